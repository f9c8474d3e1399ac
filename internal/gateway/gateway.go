// Package gateway serves callers by routes: it finds the route and the client
// account of a request, chooses a backend server, forwards the request and
// passes the answer on.
//
// Every gateway decides alone, on the configuration that it holds, on the
// announcements that it hears from all state processes and on the work that the
// gateways share with each other. So no request waits for another process, and
// the loss of a process or a partition stops nobody else.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/config"
	"bilberryhub/internal/configsync"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// sweepInterval is the interval of the clean-up of tables.
	sweepInterval = time.Second
	// lateAfter is the lateness of a timer that is logged: the process got no
	// processor time, was frozen, or did long work.
	lateAfter = 100 * time.Millisecond
	// headerTimeout bounds the head of a caller's request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. It is above any
	// limit of a manifest, so that a caller within it never meets a close.
	idleTimeout = 90 * time.Second
	// maxIdleConns bounds the idle connections to one backend server.
	maxIdleConns = 4
	// noticeTime is the time from the report "not ready" until no new connections
	// arrive: the balancer asks each second and acts on the second miss.
	noticeTime = 2300 * time.Millisecond
	// stopMargin is kept of the grace time for the end of the process.
	stopMargin = 700 * time.Millisecond
	// maxHeadBytes bounds the head of a caller's request.
	maxHeadBytes = 64 << 10
)

// configuration is what a gateway needs of the configuration; a
// *configsync.Syncer outside of tests.
type configuration interface {
	Current() *config.Version
	// Age is the time since the configuration was proven to be the newest.
	Age(now time.Time) time.Duration
	Run(ctx context.Context)
	Status() configsync.Status
}

// Gateway is a running gateway process.
type Gateway struct {
	settings    Settings
	dialect     Dialect
	log         *zap.Logger
	incarnation uint64

	sync      configuration
	members   *members
	book      *book
	health    *health
	budget    *budget
	reachable *reachable
	exchanges *exchange.Pool
	udp       *net.UDPConn
	callers   *http.Server
	ready     *http.Server
	admin     *observe.Admin

	// started is when the process was set up.
	started  time.Duration
	open     atomic.Int64
	stopping atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a gateway that does not listen yet.
func New(s Settings, d Dialect, log *zap.Logger) *Gateway {
	g := &Gateway{
		settings: s, dialect: d, log: log, started: bootclock.Now(), incarnation: rand.Uint64(), book: newBook(), health: newHealth(),
		budget: newBudget(s), reachable: newReachable(), exchanges: exchange.NewPool(maxIdleConns),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.members = newMembers(g)
	g.sync = configsync.New(configsync.Options{
		EntryID: s.ID, StatesNow: g.states, Wire: g.wireOptions(), Log: log, Now: bootclock.Time,
	})
	return g
}

// states returns the state processes to ask for the configuration.
func (g *Gateway) states() []string {
	if known := g.members.stateAddresses(); len(known) > 0 {
		return known
	}
	return g.settings.States
}

func (g *Gateway) wireOptions() wire.Options {
	return wire.Options{Self: wire.Identity{
		Kind: wire.KindEntry, ID: g.settings.ID, Incarnation: g.incarnation, FailureDomain: g.settings.FailureDomain,
	}}
}

func (g *Gateway) info() *wirepb.GatewayInfo {
	return &wirepb.GatewayInfo{
		Id: g.settings.ID, Address: g.settings.ShareListen, FailureDomain: g.settings.FailureDomain, Incarnation: g.incarnation,
	}
}

func (g *Gateway) random() float64 { return rand.Float64() }

// Start listens and serves.
func (g *Gateway) Start() error {
	addr, err := net.ResolveUDPAddr("udp", g.settings.ShareListen)
	if err != nil {
		return errors.Annotatef(err, "resolve %s", g.settings.ShareListen)
	}
	if g.udp, err = net.ListenUDP("udp", addr); err != nil {
		return errors.Annotatef(err, "listen for shares on %s", g.settings.ShareListen)
	}
	g.admin = observe.NewAdmin(g.dump)
	if err := g.admin.Serve(g.settings.AdminListen); err != nil {
		return errors.Trace(err)
	}
	g.members.name(g.ctx, g.settings.States)
	g.wg.Go(func() { g.sync.Run(g.ctx) })
	g.wg.Go(func() { g.sendShares(g.ctx) })
	g.wg.Go(g.receiveShares)
	g.wg.Go(func() { g.sweep(g.ctx) })
	g.wg.Go(func() { g.probe(g.ctx) })
	return g.listen()
}

func (g *Gateway) listen() error {
	quiet, err := zap.NewStdLogAt(g.log, zap.DebugLevel)
	if err != nil {
		return errors.Annotate(err, "make logger of the HTTP server")
	}
	g.callers = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes, ErrorLog: quiet,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(g.dialect.ReadyPath(), g.answerReady)
	g.ready = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: quiet}
	for address, server := range map[string]*http.Server{g.settings.CallerListen: g.callers, g.settings.ReadyListen: g.ready} {
		l, err := wire.ListenConfig().Listen(g.ctx, "tcp", address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", address)
		}
		g.wg.Go(func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				g.log.Error("server ended", zap.String("address", address), observe.Error(err))
			}
		})
	}
	g.log.Info("gateway started", zap.String("callers", g.settings.CallerListen), zap.Strings("states", g.settings.States))
	return nil
}

// answerReady tells the balancer whether new connections are welcome.
func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.notReady(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, reason+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReady returns why requests cannot be served, or nothing.
func (g *Gateway) notReady() string {
	v := g.sync.Current()
	age := g.sync.Age(bootclock.Time())
	switch {
	case g.stopping.Load():
		return "stopping"
	case v == nil || v.Manifest == nil || v.Manifest.Routing == nil:
		return "no configuration"
	case g.settings.keyLease() > 0 && age > g.settings.keyLease():
		return "the configuration cannot be confirmed"
	}
	if rows, _ := g.members.backends(); len(rows) == 0 {
		return "no backend server is known"
	}
	return ""
}

func (g *Gateway) sweep(ctx context.Context) {
	wasReady := ""
	first := true
	for due := bootclock.Now() + sweepInterval; sleep(ctx, due-bootclock.Now()); due = bootclock.Now() + sweepInterval {
		if late := bootclock.Now() - due; late >= lateAfter {
			g.log.Warn("process held up", observe.Milliseconds("late_ms", late), zap.Int64("open_requests", g.open.Load()))
		}
		g.members.sweep()
		g.exchanges.Sweep()
		rows, _ := g.members.backends()
		keys := make(map[uint64]bool, len(rows))
		for _, b := range rows {
			keys[b.Key()] = true
		}
		g.health.keep(keys)
		if reason := g.notReady(); first || reason != wasReady {
			first, wasReady = false, reason
			g.log.Info("readiness changed", zap.Bool("ready", reason == ""), zap.String("reason", reason))
		}
	}
}

// Reload takes the addresses of state processes from new settings over. The
// other settings count from the next start.
func (g *Gateway) Reload(s Settings) {
	g.members.name(g.ctx, s.States)
	g.log.Info("settings reloaded", zap.Strings("states", s.States))
}

// Stop ends the process as planned: it reports not ready, serves what arrives
// until the balancer has noticed, and waits for the open requests.
func (g *Gateway) Stop() error {
	began := bootclock.Now()
	g.stopping.Store(true)
	g.log.Info("stopping", zap.Int64("open_requests", g.open.Load()))
	grace := seconds(g.settings.GraceSeconds) - stopMargin
	time.Sleep(min(noticeTime, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace-(bootclock.Now()-began)))
	defer cancel()
	err := g.callers.Shutdown(ctx)
	g.log.Info("stopped", zap.Int64("open_requests", g.open.Load()), observe.Error(err))
	g.Close()
	return nil
}

// Close ends the process at once.
func (g *Gateway) Close() {
	g.cancel()
	_ = g.callers.Close()
	_ = g.ready.Close()
	_ = g.udp.Close()
	_ = g.admin.Close()
	g.wg.Wait()
}
