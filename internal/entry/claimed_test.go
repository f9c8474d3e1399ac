package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/claim"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// A request that reaches its deadline while the state processes have no quorum must be
// answered in time: its outcome is recorded in the background. The wait for the record
// used to end a second after the deadline.
func TestRecordOfAnOutcomeEndsInTime(t *testing.T) {
	silent, err := wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindState, ID: "s"}},
		func(ctx context.Context, _ *wire.Stream, _ *wirepb.Envelope) error {
			<-ctx.Done()
			return ctx.Err()
		}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	s := &Server{log: zap.NewNop(), claims: claim.New(claim.Options{
		EntryID: "e", StateAddresses: []string{silent.Address()}, Log: zap.NewNop(),
		Wire: wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "e"}},
	})}
	defer s.claims.Close()
	for _, tc := range []struct {
		name string
		left time.Duration
	}{{"at the deadline", 0}, {"shortly before it", 200 * time.Millisecond}, {"after it", -time.Second}} {
		r := &request{id: "r", key: "k-" + tc.name, deadline: time.Now().Add(tc.left)}
		r.account = &manifest.Account{Name: "a"}
		s.recordOutcome(r, claim.Result{ClaimID: "c"}, &storedResponse{}, refusal.NewUnknown(refusal.IdempotencyInProgress, "timed out"))
		if late := time.Since(r.deadline) - max(0, -tc.left); late > deadlineGrace/2 {
			t.Errorf("%s: the response would be %s late", tc.name, late)
		}
	}
}

// Guards against a recorded response of an earlier build whose status HTTP doesn't define, and
// which the caller gets, or which ends the connection with a panic.
func TestRecordedUndefinedStatusIsNotReplayed(t *testing.T) {
	for status, want := range map[uint32]bool{0: false, 99: false, 101: false, 200: true, 503: true, 599: true, 600: false, 999: false, 2000: false} {
		w := httptest.NewRecorder()
		refErr, isStarted := replayOutcome(w, claim.Result{Recorded: &wirepb.ClaimOutcome{Kind: wirepb.ClaimOutcome_KIND_DONE, Status: status}})
		if isStarted != want || (refErr == nil) != want {
			t.Errorf("status %d: response started %v, refusal %v", status, isStarted, refErr)
		}
		if refErr != nil && refErr.Run != refusal.RunYes {
			t.Errorf("status %d: run %q", status, refErr.Run)
		}
	}
}
