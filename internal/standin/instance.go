package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/observe"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Instance is one simulated backend server. Crashes take away its boot and its
// connections; counters, effects and orders stay.
type Instance struct {
	cfg     InstanceSettings
	scale   float64
	log     *zap.Logger
	stats   *Stats
	faults  faultState
	effects *effects
	orders  *orders
	seed    uint64

	mu       sync.Mutex
	first    uint64
	number   uint64
	current  *boot
	server   *http.Server
	listener net.Listener
	conns    map[net.Conn]struct{}
	announce *announcer
	restart  *time.Timer
	stopped  bool
	// background holds all goroutines of the instance.
	background sync.WaitGroup
}

// NewInstance returns an instance that is not started.
func NewInstance(cfg InstanceSettings, scale float64, seed uint64, log *zap.Logger) *Instance {
	stats := &Stats{}
	first := cfg.FirstBoot
	if first == 0 {
		first = uint64(time.Now().UnixMilli())
	}
	in := &Instance{
		cfg: cfg, scale: scale, stats: stats, seed: seed, first: first, number: first,
		log:     log.With(zap.String("instance", cfg.ID)),
		effects: &effects{runs: map[string]int{}},
		orders: &orders{
			checks: cfg.ChecksFencing, stats: stats, models: cfg.Models,
			loadTime: time.Duration(float64(seconds(cfg.Model.LoadSeconds)) * scale),
		},
	}
	in.faults.faults = cfg.Faults
	return in
}

// Start boots the instance.
func (in *Instance) Start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.bootLocked()
}

// Address returns the announced address.
func (in *Instance) Address() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cfg.Address
}

// Boot returns the boot number.
func (in *Instance) Boot() uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.number
}

func (in *Instance) bootLocked() error {
	if err := in.listenLocked(); err != nil {
		return errors.Trace(err)
	}
	cfg := in.cfg
	b := &boot{in: in, number: in.number}
	if cfg.Kind == announce.KindModel {
		b.engine = newEngine(&cfg, in.number == in.first, in.scale, in.stats, func(reason string) { in.crash(b, reason) })
	} else {
		b.plain = &plain{open: map[string]int{}}
	}
	in.current = b
	in.conns = map[net.Conn]struct{}{}
	in.server = &http.Server{
		Handler:           in.counted(b, b.routes()),
		ConnState:         in.trackConn,
		ReadHeaderTimeout: 10 * time.Second,
	}
	in.serveLocked()
	if len(cfg.Entries) > 0 {
		in.announce = newAnnouncer(in, b)
	}
	in.log.Info("booted", zap.Uint64("boot", in.number), zap.String("address", in.cfg.Address))
	return nil
}

func (in *Instance) listenLocked() error {
	l, err := net.Listen("tcp", in.cfg.Listen)
	if err != nil {
		return errors.Annotatef(err, "listen for %s", in.cfg.ID)
	}
	// Port 0 is resolved once, so that restarts keep the address.
	if in.cfg.Address == "" {
		in.cfg.Address = l.Addr().String()
	}
	in.cfg.Listen = l.Addr().String()
	in.listener = &slowListener{Listener: l, faults: &in.faults}
	return nil
}

func (in *Instance) serveLocked() {
	server, l := in.server, in.listener
	in.background.Go(func() { _ = server.Serve(l) })
}

// slowListener delays each accepted connection while the fault is set.
type slowListener struct {
	net.Listener
	faults *faultState
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if wait := millis(l.faults.get().SlowAcceptMS); err == nil && wait > 0 {
		time.Sleep(wait)
	}
	return c, err
}

// counted lets Stop wait for the handlers, and turns requests away that reach a
// boot after its crash.
func (in *Instance) counted(b *boot, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in.mu.Lock()
		up := !in.stopped && in.current == b
		if up {
			in.background.Add(1)
		}
		in.mu.Unlock()
		if !up {
			drop(w)
			return
		}
		defer in.background.Done()
		if want := r.Header.Get(announce.BootHeader); want != "" && want != strconv.FormatUint(b.number, 10) {
			writeError(w, announce.StatusWrongBoot, "wrong_boot", "this backend server runs under another boot number")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (in *Instance) trackConn(c net.Conn, s http.ConnState) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch s {
	case http.StateNew:
		in.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(in.conns, c)
	}
}

// crash resets all connections and drops all work of the given boot, and boots
// again after the restart time. Later calls for the same boot have no effect.
func (in *Instance) crash(b *boot, reason string) {
	in.mu.Lock()
	if in.stopped || in.current != b {
		in.mu.Unlock()
		return
	}
	in.stats.Crashes.Add(1)
	in.current = nil
	parts := in.detachLocked()
	wait := time.Duration(float64(seconds(in.cfg.Model.RestartSeconds)) * in.scale)
	in.restart = time.AfterFunc(wait, in.reboot)
	in.background.Add(1)
	in.mu.Unlock()
	in.log.Warn("crashed", zap.Uint64("boot", b.number), zap.String("reason", reason))
	parts.close(true)
	go func() {
		defer in.background.Done()
		b.close()
	}()
}

func (b *boot) close() {
	if b.engine != nil {
		b.engine.close()
	}
}

func (in *Instance) reboot() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return
	}
	in.number++
	if err := in.bootLocked(); err != nil {
		in.number--
		in.log.Error("restart failed", observe.Error(err))
		in.restart = time.AfterFunc(announce.Interval, in.reboot)
	}
}

// bootParts are the sockets and the announcer of one boot.
type bootParts struct {
	server   *http.Server
	listener net.Listener
	conns    []net.Conn
	announce *announcer
}

func (in *Instance) detachLocked() *bootParts {
	p := &bootParts{server: in.server, listener: in.listener, announce: in.announce}
	for c := range in.conns {
		p.conns = append(p.conns, c)
	}
	in.server, in.listener, in.announce = nil, nil, nil
	return p
}

// close closes the sockets; reset makes peers see a reset connection.
func (p *bootParts) close(reset bool) {
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for _, c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
	if p.announce != nil {
		p.announce.close()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
}

// Stop ends the instance for good.
func (in *Instance) Stop() {
	in.mu.Lock()
	if in.stopped {
		in.mu.Unlock()
		return
	}
	in.stopped = true
	if in.restart != nil {
		in.restart.Stop()
	}
	b := in.current
	parts := in.detachLocked()
	in.mu.Unlock()
	parts.close(false)
	if b != nil {
		b.close()
	}
	in.background.Wait()
}

// SetFaults lets change edit the faults in force and applies the result.
func (in *Instance) SetFaults(change func(*Faults) error) (Faults, error) {
	f, crash, err := in.applyFaults(change)
	crash()
	return f, err
}

// applyFaults does what SetFaults does, but leaves an ordered crash to the caller:
// it resets all connections, so that an answer has to be sent before.
func (in *Instance) applyFaults(change func(*Faults) error) (now Faults, crash func(), err error) {
	crash = func() {}
	f, err := in.faults.update(change)
	if err != nil {
		return f, crash, errors.Trace(err)
	}
	in.mu.Lock()
	b := in.current
	if err := in.refuseLocked(f.Refuse); err != nil {
		in.mu.Unlock()
		return f, crash, errors.Trace(err)
	}
	if f.Crash && b != nil && !in.stopped {
		in.background.Add(1)
		crash = func() {
			go func() {
				defer in.background.Done()
				in.crash(b, "ordered")
			}()
		}
	}
	in.mu.Unlock()
	if f.Cold != nil && b != nil && b.engine != nil {
		b.engine.setCold(*f.Cold, f.ColdReported)
	}
	return in.faults.get(), crash, nil
}

// refuseLocked closes or opens the listening socket.
func (in *Instance) refuseLocked(refuse bool) error {
	if in.current == nil || refuse == (in.listener == nil) {
		return nil
	}
	if refuse {
		err := in.listener.Close()
		in.listener = nil
		return errors.Annotate(err, "close listener")
	}
	if err := in.listenLocked(); err != nil {
		return errors.Trace(err)
	}
	in.serveLocked()
	return nil
}

// Stats returns the counters.
func (in *Instance) Stats() *StatsDocument {
	in.mu.Lock()
	b, number := in.current, in.number
	in.mu.Unlock()
	var e *engine
	if b != nil {
		e = b.engine
	}
	d := in.stats.document(in.cfg.ID, number, e)
	d.Up = b != nil
	return d
}

// Effects returns how often each effect was run.
func (in *Instance) Effects() map[string]int { return in.effects.all() }

func (in *Instance) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, in.Stats())
}

// serveFaults answers the faults in force, and changes those that a POST names.
func (in *Instance) serveFaults(w http.ResponseWriter, hr *http.Request) {
	if hr.Method != http.MethodPost {
		writeJSON(w, http.StatusOK, in.faults.get())
		return
	}
	d := json.NewDecoder(http.MaxBytesReader(w, hr.Body, 1<<16))
	// A misspelt fault would make a test pass without its fault.
	d.DisallowUnknownFields()
	f, crash, err := in.applyFaults(func(f *Faults) error { return d.Decode(f) })
	defer crash()
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_faults", err.Error())
		return
	}
	doc, err := json.Marshal(f)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "bad_faults", err.Error())
		return
	}
	// With its length stated and flushed, the answer has left as a whole.
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(doc)))
	if _, err := w.Write(doc); err != nil {
		in.log.Debug("faults not answered", zap.Error(err))
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		in.log.Debug("faults not flushed", zap.Error(err))
	}
}
