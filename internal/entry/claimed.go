package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/claim"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

// claimTimeout bounds the wait for a claim. Leader election takes up to a second,
// and the request must still have time to run afterwards.
const claimTimeout = 3 * time.Second

// recordGrace is how long the recording of an outcome may delay a response after the
// deadline of the request. It is below deadlineGrace.
const recordGrace = 100 * time.Millisecond

// maxRecordedBodyBytes bounds the response stored with a claim. Larger responses
// are recorded as done without their body.
const maxRecordedBodyBytes = 16 << 10

// runClaimed runs a request that is not idempotent and has an idempotency key: it
// claims the key, runs the request at most once and records the outcome. If the key
// has been claimed before, it responds with the recorded outcome instead.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, r *request) (refErr *refusal.Error, responseStarted bool) {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	claimResult, err := s.claims.Claim(claimCtx, r.account.Name, r.key, r.fingerprint[:])
	cancel()
	if err != nil {
		return refusal.From(err), false
	}
	if !claimResult.Held {
		return replayOutcome(w, claimResult)
	}
	stored := &storedResponse{}
	refErr, responseStarted = s.run(ctx, r, &bufferedRelay{w: w, stored: stored})
	s.recordOutcome(r, claimResult, stored, refErr)
	return refErr, responseStarted
}

// recordOutcome stores the outcome of a claimed request. A refusal with RunNo
// releases the key, so that the caller can send the request again. Around the deadline
// the outcome is recorded in the background if the state processes don't answer: the
// caller gets nothing more from waiting.
func (s *Server) recordOutcome(r *request, claimResult claim.Result, stored *storedResponse, refErr *refusal.Error) {
	o := &wirepb.ClaimOutcome{Account: r.account.Name, Key: r.key, ClaimId: claimResult.ClaimID}
	switch {
	case refErr == nil:
		o.Kind, o.Status, o.ContentType = wirepb.ClaimOutcome_KIND_DONE, uint32(stored.status), stored.contentType
		o.Body = stored.body
		if stored.isDropped || len(o.Body) > maxRecordedBodyBytes {
			o.Body, o.BodyDropped = nil, true
		}
	case refErr.Run == refusal.RunNo:
		o.Kind = wirepb.ClaimOutcome_KIND_NOT_RUN
	default:
		o.Kind = wirepb.ClaimOutcome_KIND_UNKNOWN
	}
	until := time.Now().Add(recordGrace)
	if r.deadline.After(until) {
		until = r.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := s.claims.Record(ctx, o); err != nil {
		s.log.Warn("outcome of a claimed request is not recorded yet", zap.String("request_id", r.id), zap.Error(err))
	}
}

// replayOutcome responds to a repeated request with the recorded outcome. It returns a
// refusal if there is none or if the response was not stored.
func replayOutcome(w http.ResponseWriter, claimResult claim.Result) (*refusal.Error, bool) {
	o := claimResult.Recorded
	if o == nil || o.GetKind() != wirepb.ClaimOutcome_KIND_DONE {
		return refusal.NewUnknown(refusal.IdempotencyInProgress, "a request with this key is running or its outcome is unknown"), false
	}
	w.Header().Set(replayHeader, "true")
	if o.GetBodyDropped() {
		refErr := refusal.New(refusal.IdempotencyInProgress, "the request was run; its answer was too large to keep")
		refErr.Run = refusal.RunYes
		return refErr, false
	}
	if ct := o.GetContentType(); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(int(o.GetStatus()))
	_, _ = w.Write(o.GetBody())
	return nil, true
}
