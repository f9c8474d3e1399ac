// Package gateway implements the gateway process, which serves callers by
// routes: it finds the route and the client account of a request, chooses a
// backend server, forwards the request and relays the response. It doesn't run
// models and doesn't manage the fleet.
//
// Each gateway decides on its own, from its copy of the configuration, from the
// announcements that it receives through all state processes and from the load
// that the gateways share with each other. No request waits for another
// process, and the loss of a process or a partition doesn't stop the others.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/callerconn"
	"bilberryhub/internal/config"
	"bilberryhub/internal/configsync"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// sweepInterval is the interval at which expired table entries are
	// dropped.
	sweepInterval = time.Second
	// stallThreshold is the delay of a timer from which it is logged: the
	// process got no CPU time, was frozen, or was busy for long.
	stallThreshold = 100 * time.Millisecond
	// headerTimeout limits the time for reading the head of a caller's
	// request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept. It is
	// longer than any limit of a manifest, so that a caller within that limit
	// never sends on a connection that was closed.
	idleTimeout = 90 * time.Second
	// maxIdleConns is the maximum number of idle connections to one backend
	// server.
	maxIdleConns = 4
	// maxHeadBytes limits the head of a caller's request.
	maxHeadBytes = 64 << 10
	// maxReadyHeadBytes limits the head of a readiness check. With the default of net/http,
	// 1 MiB, 96 connections with heads that don't end made a gateway use 390 MiB.
	maxReadyHeadBytes = 16 << 10
)

// configuration gives access to the current configuration. It is a
// *configsync.Syncer except in tests.
type configuration interface {
	Current() *config.Version
	// Age returns the time since the configuration was confirmed as the
	// newest.
	Age(now time.Time) time.Duration
	Run(ctx context.Context)
	Status() configsync.Status
}

// Gateway is a gateway process.
type Gateway struct {
	settings    Settings
	dialect     Dialect
	log         *zap.Logger
	incarnation uint64

	sync      configuration
	members   *members
	workTable *workTable
	batch     shareBatch
	health    *health
	budget    *budget
	// held limits the bytes that are held for callers, and heldLines the log lines about it.
	held         *membudget.Budget
	heldLines    *observe.LineLimit
	reachability *reachability
	isolation    *isolation
	// connects serves gateways that are isolated, at peerServer.
	connects   *peerconn.Server
	peerServer *wire.Server
	suspects   *suspects
	limits     *limits
	notices    *notices
	exchanges  *exchange.Pool
	udp        *net.UDPConn
	// sendDatagram sends a datagram to another gateway.
	sendDatagram func(data []byte, to netip.AddrPort) error
	callers      *http.Server
	// callerListener is the listener of callers, and callerConns its connections.
	callerListener net.Listener
	callerConns    *callerconn.Set
	ready          *http.Server
	admin          *observe.Admin

	// now is the clock of choices and notices, and random returns a random number in [0, 1).
	// Tests replace them.
	now    func() time.Duration
	random func() float64
	// started is when the Gateway was created.
	started time.Duration
	// open is the number of requests of callers that are being served.
	open     atomic.Int64
	stopping atomic.Bool
	// acceptsUntil is the time in ns by which new requests must have ended, once the load
	// balancer has noticed a planned stop; 0 before.
	acceptsUntil atomic.Int64
	// serving ends when the open requests must end, at the end of the grace time.
	serving    context.Context
	endServing context.CancelFunc
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New returns a gateway that doesn't listen yet. Start starts it.
func New(s Settings, d Dialect, log *zap.Logger) *Gateway {
	g := &Gateway{
		settings: s, dialect: d, log: log, now: bootclock.Now, random: rand.Float64, started: bootclock.Now(), incarnation: rand.Uint64(), workTable: newWorkTable(), health: newHealth(),
		callerConns: callerconn.NewSet(), budget: newBudget(s), held: membudget.New(membudget.Capacity(s.HeldMB, s.MemoryMB, defaultMaxBodyBytes)), heldLines: observe.NewLineLimit(heldLinesPerSecond), reachability: newReachability(), isolation: newIsolation(), suspects: newSuspects(), limits: newLimits(), notices: &notices{}, exchanges: exchange.NewPool(maxIdleConns),
	}
	g.sendDatagram = func(data []byte, to netip.AddrPort) error {
		_, err := g.udp.WriteToUDPAddrPort(data, to)
		return err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.serving, g.endServing = context.WithCancel(context.Background())
	g.members = newMembers(g)
	g.connects = g.newPeerServer()
	g.sync = configsync.New(configsync.Options{
		EntryID: s.ID, StatesNow: g.states, Clients: g.members.clients, Log: log, Now: bootclock.Time,
	})
	return g
}

// states returns the addresses of the state processes to get the configuration
// from.
func (g *Gateway) states() []string {
	if known := g.members.stateAddresses(); len(known) > 0 {
		return known
	}
	return g.settings.States
}

func (g *Gateway) wireOptions() wire.Options {
	return wire.Options{KeepAlive: sessionKeepAlive, Self: wire.Identity{
		Kind: wire.KindEntry, ID: g.settings.ID, Incarnation: g.incarnation, FailureDomain: g.settings.FailureDomain,
	}}
}

// info returns how this gateway introduces itself to the state processes.
func (g *Gateway) info() *wirepb.GatewayInfo {
	return &wirepb.GatewayInfo{
		Id: g.settings.ID, Address: g.settings.ShareListen, FailureDomain: g.settings.FailureDomain, Incarnation: g.incarnation,
		Relays: true, Connects: true,
	}
}

// Start opens the listeners and starts serving. It returns an error if a
// listener can't be opened.
func (g *Gateway) Start() error {
	addr, err := net.ResolveUDPAddr("udp", g.settings.ShareListen)
	if err != nil {
		return errors.Annotatef(err, "resolve %s", g.settings.ShareListen)
	}
	if g.udp, err = net.ListenUDP("udp", addr); err != nil {
		return errors.Annotatef(err, "listen for shares on %s", g.settings.ShareListen)
	}
	peerOpts := g.wireOptions()
	peerOpts.IsPeer = g.members.isGateway
	if g.peerServer, err = wire.Serve(g.settings.ShareListen, peerOpts, g.servePeer, g.log); err != nil {
		return errors.Trace(err)
	}
	g.admin = g.newAdmin()
	if err := g.admin.Serve(g.settings.AdminListen); err != nil {
		return errors.Trace(err)
	}
	g.members.addStates(g.ctx, g.settings.States)
	g.wg.Go(func() { g.sync.Run(g.ctx) })
	g.wg.Go(func() { g.sendShares(g.ctx) })
	g.wg.Go(func() { g.sendSummaries(g.ctx) })
	g.wg.Go(g.receiveShares)
	g.wg.Go(func() { g.sweep(g.ctx) })
	g.wg.Go(func() { g.probeLoop(g.ctx) })
	g.wg.Go(func() { g.probeInDoubt(g.ctx) })
	return g.listen()
}

// listen opens the listeners for callers and for readiness checks.
func (g *Gateway) listen() error {
	debugLog, err := zap.NewStdLogAt(g.log, zap.DebugLevel)
	if err != nil {
		return errors.Annotate(err, "make logger of the HTTP server")
	}
	g.callers = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes, ErrorLog: debugLog,
		ConnState: g.callerConns.Track, ConnContext: withConn,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(g.dialect.ReadyPath(), g.serveReady)
	g.ready = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxReadyHeadBytes, ErrorLog: debugLog}
	for address, server := range map[string]*http.Server{g.settings.CallerListen: g.callers, g.settings.ReadyListen: g.ready} {
		l, err := wire.ListenConfig().Listen(g.ctx, "tcp", address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", address)
		}
		if server == g.callers {
			g.callerListener = l
			l = g.callerConns.Listener(l)
		}
		g.wg.Go(func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !g.stopping.Load() {
				g.log.Error("server ended", zap.String("address", address), observe.Error(err))
			}
		})
	}
	g.log.Info("gateway started", zap.String("callers", g.settings.CallerListen), zap.Strings("states", g.settings.States))
	return nil
}

// serveReady responds to the readiness check of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.notReadyReason(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, reason+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReadyReason returns why requests can't be served, or an empty string.
func (g *Gateway) notReadyReason() string {
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
	if servers, _ := g.members.backends(); len(servers) == 0 {
		return "no backend server is known"
	}
	return ""
}

// sweep drops expired table entries and logs stalls of the process and changes
// of the readiness, until ctx ends.
func (g *Gateway) sweep(ctx context.Context) {
	lastReason := ""
	first := true
	for due := bootclock.Now() + sweepInterval; sleep(ctx, due-bootclock.Now()); due = bootclock.Now() + sweepInterval {
		if stall := bootclock.Now() - due; stall >= stallThreshold {
			g.log.Warn("process stalled", observe.Milliseconds("late_ms", stall), zap.Int64("open_requests", g.open.Load()))
		}
		g.members.sweep()
		g.exchanges.Sweep()
		g.suspects.expire(bootclock.Now())
		g.limits.expire(bootclock.Now())
		servers, _ := g.members.backends()
		keys := make(map[uint64]bool, len(servers))
		for _, b := range servers {
			keys[b.Key()] = true
		}
		g.health.retainOnly(keys)
		g.notices.retain(keys, bootclock.Now())
		if reason := g.notReadyReason(); first || reason != lastReason {
			first, lastReason = false, reason
			g.log.Info("readiness changed", zap.Bool("ready", reason == ""), zap.String("reason", reason))
		}
	}
}

// Reload adds the addresses of state processes from new settings. All other
// settings take effect at the next start.
func (g *Gateway) Reload(s Settings) {
	g.members.addStates(g.ctx, s.States)
	g.log.Info("settings reloaded", zap.Strings("states", s.States))
}

// Close stops the process immediately.
func (g *Gateway) Close() {
	g.endServing()
	g.cancel()
	_ = g.callers.Close()
	g.callerConns.CloseAll()
	_ = g.ready.Close()
	_ = g.udp.Close()
	_ = g.peerServer.Close()
	_ = g.admin.Close()
	g.members.clients.Close()
	g.wg.Wait()
}
