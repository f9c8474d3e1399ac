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

// claimTimeout bounds the wait for a claim. Leader election takes up to a
// second, and the request must then still have time to run.
const claimTimeout = 3 * time.Second

// maxRecordedBody bounds the answer stored with a claim. Larger answers are
// recorded as done without their body.
const maxRecordedBody = 16 << 10

// runClaimed runs a request that is not idempotent and has a key: it claims the
// key, dispatches the request once and records the outcome.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, r *request) (ref *refusal.Error, answered bool) {
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	got, err := s.claims.Claim(cctx, r.account.Name, r.key, r.fingerprint[:])
	cancel()
	if err != nil {
		return refusal.From(err), false
	}
	if !got.Held {
		return replay(w, got)
	}
	kept := &keptAnswer{}
	ref, answered = s.run(ctx, r, &bufferWriter{w: w, kept: kept})
	s.record(r, got, kept, ref)
	return ref, answered
}

// record stores how a claimed request ended. A refusal that says "not run"
// frees the key, so that the caller can send the request again.
func (s *Server) record(r *request, got claim.Outcome, kept *keptAnswer, ref *refusal.Error) {
	o := &wirepb.ClaimOutcome{Account: r.account.Name, Key: r.key, ClaimId: got.ClaimID}
	switch {
	case ref == nil:
		o.Kind, o.Status, o.ContentType = wirepb.ClaimOutcome_KIND_DONE, uint32(kept.status), kept.contentType
		o.Body = kept.body
		if len(o.Body) > maxRecordedBody {
			o.Body, o.BodyDropped = nil, true
		}
	case ref.Run == refusal.RunNo:
		o.Kind = wirepb.ClaimOutcome_KIND_NOT_RUN
	default:
		o.Kind = wirepb.ClaimOutcome_KIND_UNKNOWN
	}
	if err := s.claims.Record(context.Background(), o); err != nil {
		s.log.Warn("outcome of a claimed request not recorded yet", zap.String("request_id", r.id), zap.Error(err))
	}
}

// replay answers a resend from the record.
func replay(w http.ResponseWriter, got claim.Outcome) (*refusal.Error, bool) {
	o := got.Recorded
	if o == nil || o.GetKind() != wirepb.ClaimOutcome_KIND_DONE {
		return refusal.Unknown(refusal.IdempotencyInProgress, "a request with this key is running or its outcome is unknown"), false
	}
	w.Header().Set(replayHeader, "true")
	if o.GetBodyDropped() {
		ref := refusal.New(refusal.IdempotencyInProgress, "the request was run; its answer was too large to keep")
		ref.Run = refusal.RunYes
		return ref, false
	}
	if ct := o.GetContentType(); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(int(o.GetStatus()))
	_, _ = w.Write(o.GetBody())
	return nil, true
}
