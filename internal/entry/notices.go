package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/backend"
	"bilberryhub/internal/notice"
	"bilberryhub/internal/wirepb"
)

var (
	metricLeavingNoticed = metrics.NewCounter(`bilberry_entry_notices_total{kind="leaving"}`)
	metricPauseNoticed   = metrics.NewCounter(`bilberry_entry_notices_total{kind="pause"}`)
	metricInvalidNotice  = metrics.NewCounter(`bilberry_entry_notices_total{kind="invalid"}`)
)

// notices is what a response says of its backend server.
type notices struct {
	isLeaving bool
	// pause is how long the backend server wants no more requests, or 0.
	pause time.Duration
	// invalid is the header whose value has no meaning, or empty.
	invalid string
}

// readNotices reads what a response says of its backend server: that it leaves
// (announce.LeavingHeader), and the Retry-After of a response 429 or 503, in seconds. A
// response that is not of the lifetime that was asked says nothing about that one.
func readNotices(resp *http.Response) (n notices) {
	if resp.StatusCode == announce.StatusWrongBoot {
		return n
	}
	if values := resp.Header.Values(announce.LeavingHeader); len(values) > 0 {
		if n.isLeaving = len(values) == 1 && strings.TrimSpace(values[0]) == "1"; !n.isLeaving {
			n.invalid = announce.LeavingHeader
		}
	}
	values := resp.Header.Values("Retry-After")
	if len(values) == 0 || (resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests) {
		return n
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if len(values) > 1 || err != nil || !(seconds >= 0) {
		n.invalid = "Retry-After"
		return n
	}
	n.pause = time.Duration(min(seconds, notice.MaxPause.Seconds()) * float64(time.Second))
	return n
}

// reportNotices reports what a response says of its backend server to the dispatcher, at
// once: a stream may run for minutes. A response of an engine that names no request may
// be that to another one.
func (a *attempt) reportNotices(resp *http.Response) {
	if a.req.model != nil && resp.Header.Get(backend.RequestIDHeader) != a.id {
		return
	}
	n := readNotices(resp)
	if n.invalid != "" {
		metricInvalidNotice.Inc()
		a.log.Info("ignoring an invalid notice of a backend server", zap.String("header", n.invalid), zap.Strings("values", resp.Header.Values(n.invalid)))
	}
	if n.pause > 0 {
		metricPauseNoticed.Inc()
		a.log.Info("backend server wants a pause", zap.Duration("pause", n.pause))
	}
	if n.isLeaving {
		metricLeavingNoticed.Inc()
	}
	if n.isLeaving || n.pause > 0 {
		a.res.reportNotices(a.member, n)
	}
}

// reportNotices reports what member m has said of itself. It is no step of the dispatch,
// and an earlier build that doesn't know of it takes the pause all the same.
func (r *reservation) reportNotices(m *wirepb.GrantMember, n notices) {
	r.send(&wirepb.Progress{
		DispatchId: r.grant.GetDispatchId(), Service: r.reserve.GetService(), FailureDomain: r.reserve.GetFailureDomain(),
		Backend: m.GetBackend(), Boot: m.GetBoot(), PauseMs: uint32(n.pause.Milliseconds()), Leaving: n.isLeaving,
	})
}
