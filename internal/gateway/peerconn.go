package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// maxPeersTried is the number of gateways that are asked to connect for one request.
	maxPeersTried = 3
	// peerAvoidTime is how long a gateway that couldn't help is not asked again.
	peerAvoidTime = time.Second
	// peerDrainPollInterval is the interval at which a planned stop checks for open
	// connections of other gateways.
	peerDrainPollInterval = 10 * time.Millisecond
)

var (
	peerConnections = metrics.GetOrCreateCounter(`bilberry_gateway_peer_connections_total{result="connected"}`)
	peerFailures    = metrics.GetOrCreateCounter(`bilberry_gateway_peer_connections_total{result="failed"}`)
)

var errNoPeer = errors.New("no other gateway can connect")

// connPath is the path of a request to a backend server.
type connPath struct {
	// isDirect is set if an own connection of this gateway was chosen.
	isDirect bool
	// gateway is the id of the other gateway that connected, and address its address for
	// calls; both are empty if this one did.
	gateway, address string
}

// send sends a request to a backend server, on an own connection or through another
// gateway. If no other gateway can connect, an own connection is tried nevertheless if
// triesItself is set.
func (g *Gateway) send(ctx context.Context, b *fleet.BackendServer, triesItself bool, r exchange.Request) (response *exchange.Response, path connPath, err error) {
	now := bootclock.Now()
	r.Address = b.Address
	r.Skipped = func(status int, h http.Header) { g.skipResponse(b, status, h) }
	if path.isDirect = g.isolation.usesOwnConnection(now, g.random()); path.isDirect {
		r.Dialed = func(err error) { g.recordDial(b, now, err) }
	} else {
		r.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			conn, peer, err := g.dialThroughPeer(ctx, b)
			if err != nil && triesItself && saysNothing(err) && !errors.Is(err, errLeaving) && ctx.Err() == nil {
				return g.dialItself(ctx, b, err)
			}
			path.gateway, path.address = peer.id, peer.address
			return conn, err
		}
	}
	response, err = g.exchanges.Do(ctx, r)
	return response, path, err
}

// dialItself connects to a backend server on an own connection although this gateway
// counts as isolated. It returns peerErr if that fails, as before.
func (g *Gateway) dialItself(ctx context.Context, b *fleet.BackendServer, peerErr error) (net.Conn, error) {
	started := bootclock.Now()
	conn, err := g.exchanges.Dial(ctx, b.Address)
	if err == nil || ctx.Err() == nil {
		g.recordDial(b, started, err)
	}
	if err != nil {
		return nil, peerErr
	}
	return conn, nil
}

// dialThroughPeer connects to a backend server through another gateway, which it returns;
// see saysNothing for its errors. A gateway that was told to pause doesn't connect, and
// the next one is asked: the pause is not for that one. If the backend server leaves,
// no other one is asked.
func (g *Gateway) dialThroughPeer(ctx context.Context, b *fleet.BackendServer) (conn net.Conn, peer connectingGateway, err error) {
	err = errNoPeer
	for _, p := range g.members.connectingGateways(b.FailureDomain, maxPeersTried) {
		conn, dialErr := peerconn.Dial(ctx, g.ctx, g.members.clients.Get(p.address), peerconn.Target{ID: b.ID, Address: b.Address})
		if dialErr == nil {
			peerConnections.Inc()
			return conn, p, nil
		}
		peerFailures.Inc()
		if notice := g.noticeOfPeer(b, dialErr); notice != nil {
			if errors.Is(notice, errLeaving) {
				return nil, connectingGateway{}, notice
			}
			err = earlier(err, notice)
			continue
		}
		if !saysNothing(dialErr) || ctx.Err() != nil {
			return nil, connectingGateway{}, dialErr
		}
		err = earlier(err, dialErr)
		g.members.avoidGateway(p.id, bootclock.Now()+peerAvoidTime)
		g.log.Info("gateway couldn't connect for this one", zap.String("gateway", p.id), zap.String("backend_server", b.ID), observe.Error(dialErr))
	}
	return nil, connectingGateway{}, err
}

// noticeOfPeer returns the notice because of which another gateway doesn't connect to a
// backend server, or nil if err is none. It records that the backend server leaves.
func (g *Gateway) noticeOfPeer(b *fleet.BackendServer, err error) error {
	var told *peerconn.NoticeError
	if !errors.As(err, &told) {
		return nil
	}
	connectsForbidden.Inc()
	if told.IsLeaving && told.Backend == b.Key() {
		g.mergeLeaving([]uint64{told.Backend})
		return errLeaving
	}
	// The other gateway may know another lifetime, which says nothing about this one.
	return &pausedError{bootclock.Now() + told.Pause}
}

// saysNothing reports whether a failed connection says nothing about the health of the
// backend server.
func saysNothing(err error) bool {
	var peerErr *peerconn.PeerError
	var paused *pausedError
	return errors.As(err, &peerErr) || errors.As(err, &paused) || errors.Is(err, errNoPeer) || errors.Is(err, errLeaving)
}

// newPeerServer returns the server that connects for other gateways.
func (g *Gateway) newPeerServer() *peerconn.Server {
	return &peerconn.Server{
		Max: peerconn.MaxConnections(g.settings.MemoryMB), Allows: g.allowsConnect,
		Dial:   func(ctx context.Context, address string) (net.Conn, error) { return g.exchanges.Dial(ctx, address) },
		Notice: g.connectNotice,
		Dialed: func(target peerconn.Target, err error) { g.dialedByPeer(g.members.backend(target.ID), err) },
	}
}

// waitForPeers waits until the requests of other gateways have ended whose connections go
// through this one, or ctx ends.
func (g *Gateway) waitForPeers(ctx context.Context) {
	for g.connects.Open() > 0 && sleep(ctx, peerDrainPollInterval) {
	}
}

// servePeer serves a call of another gateway.
func (g *Gateway) servePeer(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
	switch body := req.GetBody().(type) {
	case *wirepb.Envelope_Connect:
		return g.connects.Serve(ctx, st, body.Connect)
	case *wirepb.Envelope_Notice:
		return g.serveNotice(st, body.Notice)
	case *wirepb.Envelope_MembersNotice:
		return g.serveMembersNotice(st, body.MembersNotice)
	}
	return errors.Errorf("call %T is not served by a gateway", req.GetBody())
}

// allowsConnect returns why another process gets no connection to a target, or nil.
func (g *Gateway) allowsConnect(peer wire.Peer, target peerconn.Target) error {
	b := g.members.backend(target.ID)
	switch {
	case g.stopping.Load():
		return errors.New("stopping")
	case g.isolation.isIsolated():
		return errors.New("isolated as well")
	case !g.members.isGatewayID(peer.ID):
		return errors.Errorf("%s is no known gateway", peer.ID)
	case b == nil || b.Address != target.Address || b.Gone:
		return errors.Errorf("%s at %s is no known backend server", target.ID, target.Address)
	}
	return nil
}

// connectingGateway is a gateway that may be asked to connect.
type connectingGateway struct{ id, address string }

// connectingGateways returns up to most gateways that may be asked to connect to a
// backend server in a failure domain, in random order, those of that domain first: the
// path of the bytes is no longer than without them.
func (m *members) connectingGateways(domain string, most int) []connectingGateway {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	var near, far []connectingGateway
	for id, entry := range m.gateways {
		if !entry.info.GetConnects() || entry.isolated || now < entry.avoidUntil {
			continue
		}
		c := connectingGateway{id, entry.info.GetAddress()}
		if entry.info.GetFailureDomain() == domain {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	for _, list := range [][]connectingGateway{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := slices.Concat(near, far)
	return list[:min(most, len(list))]
}

// avoidGateway keeps a gateway from being asked to connect for some time.
func (m *members) avoidGateway(id string, until time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry := m.gateways[id]; entry != nil {
		entry.avoidUntil = until
	}
}

// isGatewayID reports whether a gateway is known.
func (m *members) isGatewayID(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gateways[id] != nil
}

// isGateway reports whether a gateway with an IP address is known.
func (m *members) isGateway(ip string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.gateways {
		if entry.address.IsValid() && entry.address.Addr().String() == ip {
			return true
		}
	}
	return false
}
