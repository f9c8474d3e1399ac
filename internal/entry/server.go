// Package entry is the entry process: it takes requests from callers,
// announcements from backend servers and messages from other processes.
//
// Control state (peers, pools, reservations, suspicions) belongs to one
// goroutine, which handles events and runs the systems over the tables each
// tick. Traffic goroutines read the configuration as an immutable snapshot and
// report to the control goroutine by messages; the bytes of answers never pass
// through it.
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
	"bilberryhub/internal/claim"
	"bilberryhub/internal/config"
	"bilberryhub/internal/configsync"
	"bilberryhub/internal/dispatch"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peers"
	"bilberryhub/internal/routing"
	"bilberryhub/internal/wire"
)

// defaultDistance is the added round trip to another failure domain: one way
// takes 1 to 1.5 ms, and a dispatch needs a round trip to the dispatcher and
// one to the backend server.
const defaultDistance = 6 * time.Millisecond

// headerTimeout bounds the time a caller takes to send the headers.
const headerTimeout = 5 * time.Second

// idleTimeout closes connections of callers that send nothing for long.
const idleTimeout = 2 * time.Minute

// Options are the parts of a server that tests replace.
type Options struct {
	// Dial replaces the dialler of connections to other processes, and
	// BackendDial that of connections to backend servers.
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

	loop     *loop
	requests *requestTable
	open     *openList
	sync     *configsync.Syncer
	claims   *claim.Client
	backends *backend.Client
	clients  *wire.Pool
	admin    *observe.Admin

	wire     *wire.Server
	callers  *http.Server
	announce *http.Server

	// Addresses that are listened on, with the ports that the system assigned.
	callerAddress, announceAddress string

	// ctx ends when the process stops; abort ends when open requests must fail.
	ctx    context.Context
	cancel context.CancelFunc
	abort  context.Context
	kill   context.CancelFunc
	wg     sync.WaitGroup

	closeOnce sync.Once
}

// New returns a server that has not started.
func New(settings *Settings, opts Options, log *zap.Logger) (*Server, error) {
	tlsConfig, err := settings.TLS.Config()
	if err != nil {
		return nil, errors.Annotate(err, "TLS settings")
	}
	s := &Server{
		settings: settings, opts: opts, log: log, started: time.Now(), tls: tlsConfig,
		// Nanoseconds since the epoch differ for each start, also after a clock
		// that was set back by less than the time since the last start.
		incarnation: uint64(time.Now().UnixNano()),
		loop:        newLoop(), requests: newRequestTable(), open: newOpenList(), backends: backend.NewClient(opts.BackendDial),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.abort, s.kill = context.WithCancel(context.Background())
	s.clients = wire.NewPool(s.wireOptions())
	s.admin = observe.NewAdmin(s.dump)
	// Peers may call as soon as the process listens, so what they need exists
	// before that.
	s.sync = configsync.New(configsync.Options{
		EntryID: settings.ID, States: settings.States, Wire: s.wireOptions(), Log: log, OnChange: s.configChanged,
	})
	s.claims = claim.New(claim.Options{EntryID: settings.ID, States: settings.States, Wire: s.wireOptions(), Log: log})
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

// Start listens and begins to work. On an error nothing keeps running.
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
	if s.announce, s.announceAddress, err = s.listen(s.settings.AnnounceListen, s.announceMux()); err != nil {
		return errors.Trace(err)
	}
	s.startControl()
	if s.callers, s.callerAddress, err = s.listen(s.settings.Listen, s); err != nil {
		return errors.Trace(err)
	}
	if s.settings.AdminListen != "" {
		if err = s.admin.Serve(s.settings.AdminListen); err != nil {
			return errors.Trace(err)
		}
	}
	s.log.Info("entry process started", zap.String("callers", s.callerAddress),
		zap.String("announcements", s.announceAddress), zap.String("wire", s.wire.Address()))
	return nil
}

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
	s.wg.Go(s.heartbeats)
	if v := s.sync.Current(); v != nil {
		s.configChanged(v)
	}
}

func (s *Server) listen(address string, handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Annotatef(err, "listen on %s", address)
	}
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.wg.Go(func() { _ = hs.Serve(l) })
	return hs, l.Addr().String(), nil
}

// configChanged hands a new configuration to the control goroutine.
func (s *Server) configChanged(v *config.Version) {
	if v.Manifest == nil {
		return
	}
	s.loop.post(func(c *control) {
		c.core.SetView(newView(v))
		c.core.SetConfigAge(s.configAge())
	})
	s.log.Info("configuration in force", zap.Uint64("index", v.Index), zap.Uint64("manifest", v.Number))
}

// configAge returns the age of the configuration in force. One that came from
// a peer and was never confirmed is stale from the start of the process on.
func (s *Server) configAge() time.Duration {
	age := s.sync.Age(time.Now())
	if age == configsync.NeverFresh {
		return staleAfter + time.Since(s.started)
	}
	return age
}

func (s *Server) announceMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+announce.Path, s.serveAnnounce)
	return mux
}

// Drain refuses new requests, hands over the dispatcher roles and waits until
// the open requests have ended. It returns an error when the limit passes
// first; the requests then fail.
func (s *Server) Drain() error {
	s.admin.SetDraining()
	empty := s.requests.drain()
	s.loop.post(func(c *control) {
		c.peers.SetDraining(true)
		c.core.ReleasePools(c.now())
	})
	s.log.Info("draining", zap.Int("open_requests", s.requests.count()), zap.Duration("limit", s.settings.drain()))
	limit := time.NewTimer(s.settings.drain())
	defer limit.Stop()
	select {
	case <-empty:
	case <-limit.C:
		open := s.requests.count()
		s.kill()
		<-empty
		return errors.Errorf("%d requests were still open at the drain limit and were failed", open)
	}
	s.handOver()
	return nil
}

// handOver keeps the process up until backend servers have had time to learn
// about the next dispatcher.
func (s *Server) handOver() {
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

// Close stops everything at once. Open requests fail.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.kill()
		for _, hs := range []*http.Server{s.callers, s.announce} {
			if hs != nil {
				_ = hs.Close()
			}
		}
		s.cancel()
		if s.wire != nil {
			_ = s.wire.Close()
		}
		s.clients.Close()
		if s.claims != nil {
			s.claims.Close()
		}
		s.backends.Close()
		_ = s.admin.Close()
		s.wg.Wait()
	})
}
