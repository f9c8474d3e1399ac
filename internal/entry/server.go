// Package entry implements the entry process, which serves requests of callers,
// announcements of backend servers and calls of other processes.
//
// Control state (peers, pools, reservations, suspicions) is owned by one goroutine,
// which handles events and does time-driven work on the tables at each tick.
// Goroutines that serve requests read the configuration as an immutable snapshot and
// send messages to the control goroutine; the bytes of responses never pass through
// it.
//
// The package connects other packages and doesn't implement their policies: backend
// servers are selected by package dispatch, pools by routing, and configurations and
// claims come from the state processes through configsync and claim.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/backend"
	"bilberryhub/internal/callerconn"
	"bilberryhub/internal/claim"
	"bilberryhub/internal/config"
	"bilberryhub/internal/configsync"
	"bilberryhub/internal/dispatch"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/peers"
	"bilberryhub/internal/routing"
	"bilberryhub/internal/wire"
)

// defaultDistance is the latency that a dispatch to another failure domain adds: the
// one-way latency is 1 to 1.5 ms, and a dispatch needs a round trip to the dispatcher
// and one to the backend server.
const defaultDistance = 6 * time.Millisecond

// readHeaderTimeout bounds the time in which a caller must send the headers.
const readHeaderTimeout = 5 * time.Second

const (
	// maxHeadBytes limits the head of a caller's request, and maxAnnounceHeadBytes that of
	// an announcement. With the default of net/http, 1 MiB, 96 connections with endless
	// header fields made a process use 757 MiB.
	maxHeadBytes         = 64 << 10
	maxAnnounceHeadBytes = 16 << 10
)

// closeTime bounds the wait for the responses that are being sent at the end of a planned
// stop, and for requests on connections that were just accepted.
const closeTime = 1500 * time.Millisecond

// idleTimeout is the time after which idle connections of callers are closed.
const idleTimeout = 2 * time.Minute

// Options holds the parts of a server that tests replace.
type Options struct {
	// Dial replaces the dialer of connections to other processes, and BackendDial
	// that of connections to backend servers. Nil means the default dialer.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	BackendDial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server is one entry process.
type Server struct {
	settings    *Settings
	opts        Options
	log         *zap.Logger
	started     time.Time
	incarnation uint64
	tls         *tls.Config

	loop      *loop
	requests  *requestTable
	open      *openDispatches
	sync      *configsync.Syncer
	claims    *claim.Client
	states    *stateAddresses
	backends  *backend.Client
	isolation *isolation
	// connects serves entry processes that can't reach backend servers.
	connects *peerconn.Server
	clients  *wire.Pool
	admin    *observe.Admin

	wire     *wire.Server
	callers  *http.Server
	announce *http.Server
	// callerListener is the listener of callers, and callerConns its connections.
	callerListener net.Listener
	callerConns    *callerconn.Set
	// budget limits the bodies that are held, and refusedBodies the log lines about those
	// that do not fit.
	budget        *membudget.Budget
	refusedBodies *observe.LineLimit
	// decoding is held while a body is decoded that takes a multiple of its size then.
	decoding sync.Mutex

	// The listen addresses, with the ports that the operating system assigned.
	callerAddress, announceAddress string

	// ctx ends when the process stops; abortCtx ends when open requests must fail.
	ctx           context.Context
	cancel        context.CancelFunc
	abortCtx      context.Context
	abortRequests context.CancelFunc
	wg            sync.WaitGroup

	closeOnce sync.Once
}

// New returns a server that has not been started. It returns an error if the TLS
// settings are invalid.
func New(settings *Settings, opts Options, log *zap.Logger) (*Server, error) {
	tlsConfig, err := settings.TLS.Config()
	if err != nil {
		return nil, errors.Annotate(err, "TLS settings")
	}
	s := &Server{
		settings: settings, opts: opts, log: log, started: time.Now(), tls: tlsConfig,
		// Nanoseconds since the epoch increase with each start, even if the clock was
		// set back by less than the time since the last start.
		incarnation: uint64(time.Now().UnixNano()),
		loop:        newLoop(), requests: newRequestTable(), open: newOpenDispatches(), isolation: newIsolation(),
		callerConns:   callerconn.NewSet(),
		budget:        membudget.New(settings.heldBytes(announce.MaxBytes)),
		refusedBodies: observe.NewLineLimit(maxBodyRefusalLines),
	}
	s.backends, s.connects = backend.NewClient(s.dialBackend(s.directDial())), s.newPeerServer(s.directDial())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.abortCtx, s.abortRequests = context.WithCancel(context.Background())
	s.clients = wire.NewPool(s.wireOptions())
	s.admin = observe.NewAdmin(s.dump)
	// Peers may call as soon as the process listens, so everything that serves their
	// calls is created before.
	s.states = &stateAddresses{
		configured: settings.States, clients: wire.NewPool(s.wireOptions()), log: log, changed: func(all []string) { s.claims.SetStates(all) },
	}
	s.sync = configsync.New(configsync.Options{
		EntryID: settings.ID, StatesNow: s.states.all, Wire: s.wireOptions(), Log: log, OnChange: s.applyConfig,
	})
	s.claims = claim.New(claim.Options{EntryID: settings.ID, StateAddresses: settings.States, Wire: s.wireOptions(), Log: log})
	return s, nil
}

func (s *Server) wireOptions() wire.Options {
	return wire.Options{
		Self: wire.Identity{
			Kind: wire.KindEntry, ID: s.settings.ID,
			Incarnation: s.incarnation, FailureDomain: s.settings.FailureDomain,
		},
		TLS: s.tls, Dial: s.opts.Dial,
	}
}

// Start starts the listeners and the control goroutine. If it returns an error, the
// server has been closed.
func (s *Server) Start() (err error) {
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	if s.wire, err = wire.Serve(s.settings.WireListen, s.wireOptions(), s.serveCall, s.log); err != nil {
		return errors.Trace(err)
	}
	s.wg.Go(func() { s.sync.Run(s.ctx) })
	s.wg.Go(func() { s.states.follow(s.ctx) })
	announceListener, err := listen(s.settings.AnnounceListen)
	if err != nil {
		return errors.Trace(err)
	}
	s.announce, s.announceAddress = s.serveHTTP(announceListener, s.announceMux(), maxAnnounceHeadBytes), announceListener.Addr().String()
	s.startControl()
	if s.callerListener, err = listen(s.settings.Listen); err != nil {
		return errors.Trace(err)
	}
	s.callers, s.callerAddress = s.serveHTTP(s.callerConns.Listener(s.callerListener), s, maxHeadBytes), s.callerListener.Addr().String()
	if s.settings.AdminListen != "" {
		if err = s.admin.Serve(s.settings.AdminListen); err != nil {
			return errors.Trace(err)
		}
	}
	s.log.Info("entry process started", zap.String("callers", s.callerAddress),
		zap.String("announcements", s.announceAddress), zap.String("wire", s.wire.Address()))
	return nil
}

// startControl creates the control state and starts the control goroutine and the
// heartbeats.
func (s *Server) startControl() {
	c := &control{server: s, waiters: map[string]chan<- *envelope{}, retries: routing.NewRetryBudget()}
	seed := s.settings.Seed
	if seed == 0 {
		seed = s.incarnation
	}
	c.core = dispatch.New(dispatch.Config{
		Entry: s.settings.ID, Incarnation: s.incarnation, FailureDomain: s.settings.FailureDomain,
		Policy: s.settings.DispatchPolicy, Seed: seed,
	})
	c.peers = peers.New(s.selfPeer())
	c.router = routing.New(routing.Config{
		FailureDomain: s.settings.FailureDomain, Entry: s.settings.ID, DefaultDistance: defaultDistance,
	})
	c.core.SetHomes(c.router)
	s.wg.Go(func() { s.loop.run(s.ctx, c) })
	s.wg.Go(s.runHeartbeats)
	s.wg.Go(func() { s.probeLostPath(s.directDial()) })
	if v := s.sync.Current(); v != nil {
		s.applyConfig(v)
	}
}

// directDial returns the function that connects to backend servers directly.
func (s *Server) directDial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if s.opts.BackendDial != nil {
		return s.opts.BackendDial
	}
	return backend.Dial
}

// listen listens for HTTP.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Annotatef(err, "listen on %s", address)
}

// serveHTTP starts an HTTP server that accepts request heads of up to maxHead bytes.
func (s *Server) serveHTTP(l net.Listener, handler http.Handler, maxHead int) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead, ConnState: s.callerConns.Track,
	}
	s.wg.Go(func() { _ = server.Serve(l) })
	return server
}

// applyConfig passes a new configuration to the control goroutine. A version without
// a manifest is ignored.
func (s *Server) applyConfig(v *config.Version) {
	if v.Manifest == nil {
		return
	}
	s.budget.SetCapacity(s.settings.heldBytes(largestBody(v.Manifest)))
	s.loop.post(func(c *control) {
		c.core.SetView(newView(v))
		c.core.SetConfigAge(s.configAge())
	})
	s.log.Info("configuration in force", zap.Uint64("index", v.Index), zap.Uint64("manifest", v.Number))
}

// configAge returns the age of the configuration in force. One that was received from
// a peer and has never been confirmed counts as stale from the start of the process.
func (s *Server) configAge() time.Duration {
	age := s.sync.Age(time.Now())
	if age == configsync.NeverFresh {
		return configStaleAfter + time.Since(s.started)
	}
	return age
}

func (s *Server) announceMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+announce.Path, s.serveAnnounce)
	return mux
}

// Stop performs a planned stop: it drains, and closes when each request that was read has
// its response. The error is that of Drain.
func (s *Server) Stop() error {
	err := s.Drain()
	s.endCallers()
	s.Close()
	return err
}

// Drain refuses new requests, hands over the dispatcher roles and waits until the
// open requests have ended. If they have not ended within the drain limit, it aborts
// them and returns an error.
func (s *Server) Drain() error {
	s.admin.SetDraining()
	empty := s.requests.drain()
	s.loop.post(func(c *control) {
		c.peers.SetDraining(true)
		c.core.ReleasePools(c.now())
	})
	s.log.Info("draining", zap.Int("open_requests", s.requests.count()), zap.Duration("limit", s.settings.drain()))
	began := time.Now()
	limit := time.NewTimer(s.settings.drain())
	defer limit.Stop()
	select {
	case <-empty:
		s.log.Info("no request is open any more", zap.Duration("after", time.Since(began)))
	case <-limit.C:
		open := s.requests.count()
		s.abortRequests()
		<-empty
		return errors.Errorf("%d requests were still open at the drain limit and were failed", open)
	}
	s.waitForHandover()
	// Requests of other entry processes whose connections go through this one end first.
	for s.connects.Open() > 0 {
		select {
		case <-time.After(tickInterval):
		case <-limit.C:
			return errors.Errorf("%d connections for other entry processes were still open at the drain limit", s.connects.Open())
		}
	}
	return nil
}

// endCallers ends the connections of callers, after the responses to the requests that
// were read. It waits for closeTime at most.
func (s *Server) endCallers() {
	ctx, cancel := context.WithTimeout(s.ctx, closeTime)
	defer cancel()
	_ = s.callerListener.Close()
	if err := s.callerConns.Drain(ctx, s.callers); err != nil {
		s.log.Warn("connections of callers are open at the end of the stop", observe.Error(err))
	}
}

// waitForHandover waits until this process owns no backend server any more, at most
// until each one has had the time for an announcement, in whose reply it receives the
// address of the next dispatcher.
func (s *Server) waitForHandover() {
	deadline := time.Now().Add(announce.Interval + announce.MaxDelay)
	for time.Now().Before(deadline) {
		owned := 0
		_ = s.loop.do(s.ctx, func(c *control) { owned = c.core.Owned(c.now()) })
		if owned == 0 {
			return
		}
		time.Sleep(tickInterval)
	}
}

// Close stops the server immediately and waits for its goroutines. Open requests
// fail.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.abortRequests()
		for _, httpServer := range []*http.Server{s.callers, s.announce} {
			if httpServer != nil {
				_ = httpServer.Close()
			}
		}
		s.callerConns.CloseAll()
		s.cancel()
		if s.wire != nil {
			_ = s.wire.Close()
		}
		s.clients.Close()
		s.states.clients.Close()
		if s.claims != nil {
			s.claims.Close()
		}
		s.backends.Close()
		_ = s.admin.Close()
		s.wg.Wait()
	})
}
