package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

// passOnBytes is the size of the pieces in which a response is passed on.
const passOnBytes = 32 << 10

// metricPassedOn counts responses that were passed on while they were read, because they did
// not fit the memory budget.
var metricPassedOn = metrics.NewCounter("bilberry_entry_responses_not_held_total")

// passOn forwards the response of a plain service while it is read, after the part that was
// read: the request has run, so that it can't be refused. If the response breaks off or isn't
// whole, the caller's connection ends without the end of the response. What is held for the part,
// all beyond heldBefore bytes, is released once it was sent: the response may last until the
// deadline.
func (br *bufferedRelay) passOn(ctx context.Context, a *attempt, resp *http.Response, part []byte, heldBefore int64) outcome {
	metricPassedOn.Inc()
	out := outcome{sent: true, responseStarted: true, step: wirepb.Progress_STEP_DONE}
	copyResponseHeader(br.w.Header(), resp.Header)
	br.w.WriteHeader(resp.StatusCode)
	total := len(part)
	err := br.writePart(a, part)
	a.req.held.ShrinkTo(heldBefore)
	buf := make([]byte, passOnBytes)
	for err == nil && total <= maxBufferedResponseBytes {
		n, readErr := resp.Body.Read(buf)
		total += n
		if err = br.writePart(a, buf[:n]); err == nil {
			err = readErr
		}
	}
	if br.stored != nil {
		// The body is larger than what is recorded with a claim.
		*br.stored = storedResponse{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), isDropped: true}
	}
	isWhole := err == io.EOF && total <= maxBufferedResponseBytes && !a.endedEarly(ctx, resp, nil)
	if isWhole && ctx.Err() == nil {
		return out
	}
	a.log.Info("response cut while it was passed on", observe.Error(err))
	a.req.isCut = true
	out.step, out.excluded = wirepb.Progress_STEP_BROKEN, a.member.GetBackend()
	out.err = refusal.NewUnknown(refusal.AnswerTruncated, "the answer was cut")
	return out
}

// writePart writes a part of a response to the caller.
func (br *bufferedRelay) writePart(a *attempt, part []byte) error {
	_ = http.NewResponseController(br.w).SetWriteDeadline(time.Now().Add(a.server.settings.callerWrite()))
	_, err := br.w.Write(part)
	return err
}
