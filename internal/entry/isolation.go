package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/reach"
	"bilberryhub/internal/wire"
)

const (
	// probeTargets is the number of backend servers that are remembered for probes of a
	// lost path.
	probeTargets = 32
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
)

// route names the backend server of a dispatch and the dispatcher that granted it. As the
// dispatcher hears from the backend server, it can connect when this process can't.
type route struct {
	backend string
	// dispatcher is a wire address, or empty if this process is the dispatcher.
	dispatcher string
}

type routeKey struct{}

// withRoute returns a context whose connections to backend servers may take the route.
func withRoute(ctx context.Context, r route) context.Context {
	return context.WithValue(ctx, routeKey{}, r)
}

// withRoute returns a context for calls of this attempt to its backend server.
func (a *attempt) withRoute(ctx context.Context) context.Context {
	return withRoute(ctx, route{backend: a.member.GetBackend(), dispatcher: a.res.dispatcherAddress})
}

// isolation tracks whether this process can connect to backend servers itself.
type isolation struct {
	mu    sync.Mutex
	state reach.Isolation
	// targets holds addresses of backend servers that were used, by their hash.
	targets map[uint64]string
}

func newIsolation() *isolation { return &isolation{targets: map[uint64]string{}} }

// remember records the address of a backend server and returns its key. The caller holds
// the mutex.
func (i *isolation) remember(address string) uint64 {
	key := xxhash.Sum64String(address)
	if _, ok := i.targets[key]; !ok && len(i.targets) >= probeTargets {
		for old := range i.targets {
			delete(i.targets, old)
			break
		}
	}
	i.targets[key] = address
	return key
}

// isIsolated reports whether this process counts as isolated.
func (i *isolation) isIsolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.IsIsolated()
}

// recordDial records the result of an attempt to connect that began at started.
func (s *Server) recordDial(address string, started time.Duration, err error) {
	now := time.Since(s.started)
	i := s.isolation
	i.mu.Lock()
	// The failure domains of addresses are not known here.
	server := reach.Server{Key: i.remember(address)}
	known := reach.Known{Servers: len(i.targets), Domains: 1}
	var isolated, restored bool
	if err != nil {
		isolated = i.state.RecordFailure(server, known, started, now)
	} else {
		restored = i.state.RecordConnected(server, known, now)
	}
	i.mu.Unlock()
	switch {
	case isolated:
		metricIsolated.Inc()
		s.backends.CloseIdle()
		s.log.Warn("no backend server can be connected to; dispatchers connect", zap.String("address", address), observe.Error(err))
	case restored:
		// Idle connections may go through dispatchers.
		s.backends.CloseIdle()
		s.log.Info("backend servers can be connected to again", zap.String("address", address))
	}
}

// dialBackend returns a dial function that connects with dial, or through the dispatcher
// of the route of the context if this process is isolated or dial fails.
func (s *Server) dialBackend(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		r, _ := ctx.Value(routeKey{}).(route)
		if r.dispatcher != "" && s.isolation.isIsolated() {
			conn, err := s.dialThrough(ctx, r, address)
			var peerErr *peerconn.PeerError
			if !errors.As(err, &peerErr) {
				return conn, err
			}
		}
		started := time.Since(s.started)
		conn, err := dial(ctx, network, address)
		if err == nil || ctx.Err() == nil {
			s.recordDial(address, started, err)
		}
		if err == nil || r.dispatcher == "" || ctx.Err() != nil {
			return conn, err
		}
		through, throughErr := s.dialThrough(ctx, r, address)
		if throughErr != nil {
			return nil, errors.Annotatef(err, "%v, and directly", throughErr)
		}
		return through, nil
	}
}

// dialThrough connects through the dispatcher of a route.
func (s *Server) dialThrough(ctx context.Context, r route, address string) (net.Conn, error) {
	conn, err := peerconn.Dial(ctx, s.ctx, s.clients.Get(r.dispatcher), peerconn.Target{ID: r.backend, Address: address})
	if err != nil {
		s.log.Info("dispatcher couldn't connect", zap.String("dispatcher", r.dispatcher), zap.String("backend_server", r.backend), observe.Error(err))
		return nil, err
	}
	metricPeerConnections.Inc()
	return conn, nil
}

// probeLostPath tries to connect to backend servers while it is in doubt whether this
// process can, until it stops.
func (s *Server) probeLostPath(dial func(context.Context, string, string) (net.Conn, error)) {
	ticker := time.NewTicker(reach.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if address := s.isolation.takeProbe(time.Since(s.started)); address != "" {
			s.wg.Go(func() { s.probeBackend(dial, address) })
		}
	}
}

// takeProbe returns the address of the backend server to probe now, or an empty string.
func (i *isolation) takeProbe(now time.Duration) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.state.TakeProbe(0, now) {
		return ""
	}
	servers := make([]reach.Server, 0, len(i.targets))
	for key := range i.targets {
		servers = append(servers, reach.Server{Key: key})
	}
	// The order of the map is random.
	target, _ := i.state.NextTarget(servers, 0)
	return i.targets[target.Key]
}

// probeBackend tries to connect to a backend server.
func (s *Server) probeBackend(dial func(context.Context, string, string) (net.Conn, error), address string) {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	started := time.Since(s.started)
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	if s.ctx.Err() == nil {
		s.recordDial(address, started, err)
	}
}

// newPeerServer returns the server that connects for other entry processes, with dial.
func (s *Server) newPeerServer(dial func(context.Context, string, string) (net.Conn, error)) *peerconn.Server {
	return &peerconn.Server{
		Max: peerconn.MaxConnections(0), Allows: s.allowsConnect,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
	}
}

// allowsConnect returns why another process gets no connection to a target, or nil. A
// dispatcher connects only to backend servers that announce themselves to it.
func (s *Server) allowsConnect(peer wire.Peer, target peerconn.Target) error {
	if peer.Kind != wire.KindEntry {
		return errors.Errorf("%s is no entry process", peer.ID)
	}
	known := false
	err := s.loop.do(s.ctx, func(c *control) { known = c.core.HasBackend(target.ID, target.Address) })
	if err == nil && !known {
		err = errors.Errorf("%s at %s does not announce itself here", target.ID, target.Address)
	}
	return errors.Trace(err)
}
