package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/fleet"
	"bilberryhub/internal/notice"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// maxSharedLeaving limits the backend servers that a load share names as leaving.
	maxSharedLeaving = 256
	// tellTimeout bounds a call that tells another gateway of a notice.
	tellTimeout = time.Second
)

var (
	leavingNoticed = metrics.GetOrCreateCounter(`bilberry_gateway_notices_total{kind="leaving"}`)
	pausesNoticed  = metrics.GetOrCreateCounter(`bilberry_gateway_notices_total{kind="pause"}`)
	invalidNoticed = metrics.GetOrCreateCounter(`bilberry_gateway_notices_total{kind="invalid"}`)
	noticesTold    = metrics.GetOrCreateCounter(`bilberry_gateway_notices_told_total{result="ok"}`)
	noticesUntold  = metrics.GetOrCreateCounter(`bilberry_gateway_notices_told_total{result="failed"}`)
	// connectsForbidden counts the connections that other gateways didn't make for this
	// one because of a notice.
	connectsForbidden = metrics.GetOrCreateCounter(`bilberry_gateway_peer_connections_total{result="notice"}`)
	noticesRespected  = metrics.GetOrCreateCounter(`bilberry_gateway_backend_servers_out_by_notice_total`)
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

// recordNotices records what a response of a backend server says about it. It tells the
// other gateways that the backend server leaves. A pause is for this gateway only, and for
// the one that made the connection, which the backend server takes for the sender.
func (g *Gateway) recordNotices(b *fleet.BackendServer, path connPath, requestID string, info ResponseInfo) {
	if !info.hasNotice() {
		return
	}
	log := g.log.With(zap.String("backend_server", b.ID), zap.String("request_id", requestID))
	if info.IgnoredNotice != "" {
		ignoreNotice(log, info.IgnoredNotice)
	}
	key := b.Key()
	if g.addNotices(log, key, info.Leaving, info.Pause, g.now()) {
		g.sendToAll(&wirepb.LoadShare{Leaving: []uint64{key}})
	}
	if path.gateway != "" && (info.Leaving || info.Pause > 0) {
		go g.tellConnecting(path, log, &wirepb.Notice{Backend: key, Leaving: info.Leaving, PauseMs: pauseMs(info.Pause)})
	}
}

// ignoredOtherRequest is the reason for which a notice is ignored in a response that belongs
// to another request.
const ignoredOtherRequest = "the response belongs to another request"

// ignoreNotice records that a notice is ignored, and why.
func ignoreNotice(log *zap.Logger, reason string) {
	invalidNoticed.Inc()
	log.Info("ignoring an invalid notice of a backend server", zap.String("reason", reason))
}

// skipResponse records a response that belongs to another request: what it says of its
// backend server may be of another lifetime, or of another backend server.
func (g *Gateway) skipResponse(b *fleet.BackendServer, status int, h http.Header) {
	if info := g.dialect.DecodeResponse(status, h); info.hasNotice() {
		ignoreNotice(g.log.With(zap.String("backend_server", b.ID)), ignoredOtherRequest)
	}
}

// hasNotice reports whether a response says something of its backend server.
func (info ResponseInfo) hasNotice() bool {
	return info.Leaving || info.Pause > 0 || info.IgnoredNotice != ""
}

// pauseMs returns a pause in whole ms, rounded up, as other gateways are told.
func pauseMs(pause time.Duration) uint32 {
	return uint32((min(pause, notice.MaxPause) + time.Millisecond - 1) / time.Millisecond)
}

// addNotices adds what this gateway was told at now about a backend server. It reports
// whether it is new that the backend server leaves.
func (g *Gateway) addNotices(log *zap.Logger, key uint64, isLeaving bool, pause, now time.Duration) (leaves bool) {
	n := g.notices
	n.mu.Lock()
	leaves = isLeaving && n.table.RecordLeaving(key)
	pauses := n.table.RecordPause(key, pause, now, g.random())
	n.mu.Unlock()
	if pauses {
		pausesNoticed.Inc()
		log.Info("backend server wants a pause", zap.Duration("pause", pause))
	}
	if leaves {
		leavingNoticed.Inc()
		log.Info("backend server says that it leaves")
	}
	return leaves
}

// tellConnecting tells the gateway that made the connection for a response what the
// response says about its backend server.
func (g *Gateway) tellConnecting(path connPath, log *zap.Logger, n *wirepb.Notice) {
	ctx, cancel := context.WithTimeout(g.ctx, tellTimeout)
	defer cancel()
	_, err := g.members.clients.Get(path.address).Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Notice{Notice: n}})
	if err != nil {
		// An earlier build doesn't serve the call.
		noticesUntold.Inc()
		log.Info("gateway that connected wasn't told of a notice", zap.String("gateway", path.gateway), observe.Error(err))
		return
	}
	noticesTold.Inc()
}

// serveNotice serves the call of a gateway for which this one made a connection.
func (g *Gateway) serveNotice(st *wire.Stream, n *wirepb.Notice) error {
	peer := st.Peer().ID
	if !g.members.isGatewayID(peer) {
		return errors.Errorf("%s is no known gateway", peer)
	}
	log := g.log.With(zap.String("through_gateway", peer), zap.Uint64("backend", n.GetBackend()))
	g.addNotices(log, n.GetBackend(), n.GetLeaving(), milliseconds(int64(n.GetPauseMs())), g.now())
	return st.Send(wire.AckEnvelope())
}

// connectNotice returns what a backend server has told this gateway that forbids a
// connection for another one, or nil.
func (g *Gateway) connectNotice(target peerconn.Target) *wirepb.Notice {
	b := g.members.backend(target.ID)
	if b == nil {
		return nil
	}
	now, key := g.now(), b.Key()
	_, err := g.checkNotices(key, now)
	var paused *pausedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &paused):
		return &wirepb.Notice{Backend: key, PauseMs: pauseMs(paused.until - now)}
	}
	return &wirepb.Notice{Backend: key, Leaving: true}
}

// checkNotices returns why no request may be sent to a backend server, and otherwise
// whether it should be used only if others are busy.
func (g *Gateway) checkNotices(backend uint64, now time.Duration) (isSpared bool, err error) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	switch state, until := g.notices.table.State(backend, now); state {
	case notice.Leaving:
		return false, errLeaving
	case notice.Paused:
		return false, &pausedError{until}
	case notice.Spared:
		return true, nil
	}
	return false, nil
}

// allPaused returns the pause that ends first if all backend servers that could serve a
// request want one or leave, and nil otherwise.
func (g *Gateway) allPaused(r *request) error {
	if r.service == nil {
		return nil
	}
	servers, _ := g.members.backends()
	v, now := g.sync.Current(), g.now()
	var first error
	for _, b := range servers {
		if out, _ := v.Excluded(b.FailureDomain, b.ID); out || b.Service != r.service.Name || !b.Usable() {
			continue
		}
		_, err := g.checkNotices(b.Key(), now)
		if err == nil {
			return nil
		}
		first = earlier(first, err)
	}
	return first
}

// noticeError returns why no request may be sent to a backend server now, or nil.
func (g *Gateway) noticeError(backend uint64) error {
	_, err := g.checkNotices(backend, g.now())
	return err
}

// mergeLeaving records the backend servers that left according to another gateway.
func (g *Gateway) mergeLeaving(backends []uint64) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	for _, b := range backends {
		if g.notices.table.RecordLeaving(b) {
			leavingNoticed.Inc()
			g.log.Info("another gateway says that a backend server leaves", zap.Uint64("backend", b))
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

// noticeDump is a backend server with a notice in the state dump.
type noticeDump struct {
	// ID is empty if the backend server is not known any more.
	ID string `json:"id"`
	notice.Entry
}

// list returns the backend servers with a notice, for the state dump.
func (n *notices) list(servers []*fleet.BackendServer, now time.Duration) []noticeDump {
	ids := make(map[uint64]string, len(servers))
	for _, b := range servers {
		ids[b.Key()] = b.ID
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []noticeDump{}
	for _, e := range n.table.List(now) {
		out = append(out, noticeDump{ids[e.Backend], e})
	}
	return out
}
