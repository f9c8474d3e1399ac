package gateway

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/notice"
	"bilberryhub/internal/wirepb"
)

// maxSharedLeaving limits the backend servers that a load share names as leaving.
const maxSharedLeaving = 256

var (
	leavingNoticed   = metrics.GetOrCreateCounter(`bilberry_gateway_notices_total{kind="leaving"}`)
	pausesNoticed    = metrics.GetOrCreateCounter(`bilberry_gateway_notices_total{kind="pause"}`)
	invalidNoticed   = metrics.GetOrCreateCounter(`bilberry_gateway_notices_total{kind="invalid"}`)
	noticesRespected = metrics.GetOrCreateCounter(`bilberry_gateway_backend_servers_out_by_notice_total`)
)

var errLeaving = errors.New("the backend servers leave")

// pausedError is returned if backend servers want no requests before a time.
type pausedError struct{ until time.Duration }

func (e *pausedError) Error() string { return "the backend servers want no requests for some time" }

// earlier returns the reason for which no backend server is chosen: the pause that ends
// first, if there is one.
func earlier(a, b error) error {
	var pausedA, pausedB *pausedError
	switch {
	case !errors.As(b, &pausedB):
		if errors.As(a, &pausedA) {
			return a
		}
		return b
	case errors.As(a, &pausedA) && pausedA.until <= pausedB.until:
		return a
	}
	return b
}

// notices holds what backend servers say of themselves in their responses.
type notices struct {
	mu    sync.Mutex
	table notice.Table
}

// recordNotices records what a response of a backend server says about it, and tells the
// other gateways that it leaves. A pause is for this gateway only.
func (g *Gateway) recordNotices(b *fleet.BackendServer, requestID string, info ResponseInfo) {
	if !info.Leaving && info.Pause <= 0 && !info.InvalidNotice {
		return
	}
	now, key, n := bootclock.Now(), b.Key(), g.notices
	n.mu.Lock()
	leaves := info.Leaving && n.table.RecordLeaving(key)
	pauses := n.table.RecordPause(key, info.Pause, now, g.random())
	n.mu.Unlock()
	log := g.log.With(zap.String("backend_server", b.ID), zap.String("request_id", requestID))
	if info.InvalidNotice {
		invalidNoticed.Inc()
		log.Info("ignoring an invalid notice of a backend server")
	}
	if pauses {
		pausesNoticed.Inc()
		log.Info("backend server wants a pause", zap.Duration("pause", info.Pause))
	}
	if leaves {
		leavingNoticed.Inc()
		log.Info("backend server says that it leaves")
		g.sendToAll(&wirepb.LoadShare{Leaving: []uint64{key}})
	}
}

// checkNotices returns why no request may be sent to a backend server, and otherwise
// whether it should be used only if others are busy.
func (g *Gateway) checkNotices(backend uint64, now time.Duration) (isSpared bool, err error) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	switch state, until := g.notices.table.State(backend, now); state {
	case notice.Leaving:
		noticesRespected.Inc()
		return false, errLeaving
	case notice.Paused:
		noticesRespected.Inc()
		return false, &pausedError{until}
	case notice.Spared:
		return true, nil
	}
	return false, nil
}

// noticeError returns why no request may be sent to a backend server now, or nil.
func (g *Gateway) noticeError(backend uint64) error {
	_, err := g.checkNotices(backend, bootclock.Now())
	return err
}

// mergeLeaving records the backend servers that left according to another gateway.
func (g *Gateway) mergeLeaving(backends []uint64) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	for _, b := range backends {
		if g.notices.table.RecordLeaving(b) {
			leavingNoticed.Inc()
		}
	}
}

// leaving returns the backend servers that leave, for the other gateways.
func (n *notices) leaving() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Leaving(maxSharedLeaving)
}

// retain drops the notices of backend servers that are not known any more.
func (n *notices) retain(known map[uint64]bool, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Retain(known, now)
}

// list returns the backend servers with a notice, for the state dump.
func (n *notices) list(now time.Duration) []notice.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.List(now)
}
