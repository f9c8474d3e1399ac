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
	"bilberryhub/internal/openai"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Instance is one simulated backend server. A crash ends its boot and resets its
// connections; counters, faults, effects and orders outlive it. Its methods are safe
// for concurrent use.
type Instance struct {
	cfg     InstanceSettings
	scale   float64
	log     *zap.Logger
	stats   *Stats
	faults  faultInjector
	effects *effects
	orders  *orders
	seed    uint64

	mu        sync.Mutex
	firstBoot uint64
	// number is the boot number of the current or the last boot, and current the
	// boot that is up, or nil.
	number       uint64
	current      *boot
	server       *http.Server
	listener     net.Listener
	conns        map[net.Conn]struct{}
	announce     *announcer
	restartTimer *time.Timer
	stopped      bool
	// background counts the goroutines and request handlers that Stop waits for.
	background sync.WaitGroup
}

// NewInstance returns an instance that is not started. scale is the time scale and
// seed that of the losses of load reports.
func NewInstance(cfg InstanceSettings, scale float64, seed uint64, log *zap.Logger) *Instance {
	stats := &Stats{}
	firstBoot := cfg.FirstBoot
	if firstBoot == 0 {
		firstBoot = uint64(time.Now().UnixMilli())
	}
	in := &Instance{
		cfg: cfg, scale: scale, stats: stats, seed: seed, firstBoot: firstBoot, number: firstBoot,
		log:     log.With(zap.String("instance", cfg.ID)),
		effects: &effects{runs: map[string]int{}},
		orders: &orders{
			checksFencing: cfg.ChecksFencing, stats: stats, models: cfg.Models,
			loadDuration: time.Duration(float64(seconds(cfg.Model.LoadSeconds)) * scale),
		},
	}
	in.faults.faults = cfg.Faults
	return in
}

// Start boots the instance. It returns an error if it cannot listen.
func (in *Instance) Start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.bootLocked()
}

// Address returns the announced address. It is empty before Start unless the
// settings give it.
func (in *Instance) Address() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cfg.Address
}

// Boot returns the number of the current boot, or of the last one while the
// instance is down.
func (in *Instance) Boot() uint64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.number
}

// bootLocked opens the port and starts the boot in.number. The caller holds in.mu, as
// for all methods with this suffix.
func (in *Instance) bootLocked() error {
	if err := in.listenLocked(); err != nil {
		return errors.Trace(err)
	}
	cfg := in.cfg
	b := &boot{in: in, number: in.number}
	if cfg.Kind == announce.KindModel {
		b.engine = newEngine(&cfg, in.number == in.firstBoot, in.scale, in.stats, func(reason string) { in.crash(b, reason) })
	} else {
		b.plain = &plain{open: map[string]int{}}
	}
	in.current = b
	in.conns = map[net.Conn]struct{}{}
	in.server = &http.Server{
		Handler:           in.trackHandlers(b, b.routes()),
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

// listenLocked opens the listening socket.
func (in *Instance) listenLocked() error {
	l, err := net.Listen("tcp", in.cfg.Listen)
	if err != nil {
		return errors.Annotatef(err, "listen for %s", in.cfg.ID)
	}
	// A port of 0 is resolved at the first start only, so that restarts keep the
	// address.
	if in.cfg.Address == "" {
		in.cfg.Address = l.Addr().String()
	}
	in.cfg.Listen = l.Addr().String()
	in.listener = &slowListener{Listener: l, faults: &in.faults}
	return nil
}

// serveLocked accepts connections in the background.
func (in *Instance) serveLocked() {
	server, l := in.server, in.listener
	in.background.Go(func() { _ = server.Serve(l) })
}

// slowListener delays each accepted connection while the fault SlowAcceptMS is set.
type slowListener struct {
	net.Listener
	faults *faultInjector
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if wait := millis(l.faults.get().SlowAcceptMS); err == nil && wait > 0 {
		time.Sleep(wait)
	}
	return c, err
}

// trackHandlers wraps the handler of boot b, so that Stop waits for running handlers.
// It resets connections with requests that arrive after the end of the boot, and
// rejects requests that were granted for another boot.
func (in *Instance) trackHandlers(b *boot, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in.mu.Lock()
		up := !in.stopped && in.current == b
		if up {
			in.background.Add(1)
		}
		in.mu.Unlock()
		if !up {
			dropConnection(w)
			return
		}
		defer in.background.Done()
		if want := r.Header.Get(announce.BootHeader); want != "" && want != strconv.FormatUint(b.number, 10) {
			w.Header().Set(openai.HeaderRequestID, r.Header.Get(openai.HeaderRequestID))
			writeError(w, announce.StatusWrongBoot, "wrong_boot", "this backend server runs under another boot number")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// trackConn keeps in.conns up to date.
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

// crash resets all connections and discards all work of boot b, and boots again
// after RestartSeconds of simulated time. Later calls for the same boot have no
// effect.
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
	in.restartTimer = time.AfterFunc(wait, in.reboot)
	in.background.Add(1)
	in.mu.Unlock()
	in.log.Warn("crashed", zap.Uint64("boot", b.number), zap.String("reason", reason))
	parts.close(true)
	go func() {
		defer in.background.Done()
		b.close()
	}()
}

// close ends the engine, if the boot has one.
func (b *boot) close() {
	if b.engine != nil {
		b.engine.close()
	}
}

// reboot starts the next boot. If that fails it is tried again after
// announce.Interval.
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
		in.restartTimer = time.AfterFunc(announce.Interval, in.reboot)
	}
}

// bootParts are the sockets and the announcer of one boot.
type bootParts struct {
	server   *http.Server
	listener net.Listener
	conns    []net.Conn
	announce *announcer
}

// detachLocked takes the sockets and the announcer from the instance.
func (in *Instance) detachLocked() *bootParts {
	p := &bootParts{server: in.server, listener: in.listener, announce: in.announce}
	for c := range in.conns {
		p.conns = append(p.conns, c)
	}
	in.server, in.listener, in.announce = nil, nil, nil
	return p
}

// close stops the announcer and closes the sockets. With reset, connections are
// reset instead of closed in order.
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

// Stop ends the instance and waits for its goroutines. It cannot be started again.
func (in *Instance) Stop() {
	in.mu.Lock()
	if in.stopped {
		in.mu.Unlock()
		return
	}
	in.stopped = true
	if in.restartTimer != nil {
		in.restartTimer.Stop()
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

// SetFaults applies change to the current faults and puts the result into effect. It
// returns the faults after the change, and the error of change or of the listening
// socket.
func (in *Instance) SetFaults(change func(*Faults) error) (Faults, error) {
	f, crash, err := in.applyFaults(change)
	crash()
	return f, err
}

// applyFaults is SetFaults without the crash, if one is ordered, which the caller
// triggers by calling crash. The crash resets all connections, so a response has to
// be sent before it.
func (in *Instance) applyFaults(change func(*Faults) error) (inForce Faults, crash func(), err error) {
	crash = func() {}
	f, err := in.faults.update(change)
	if err != nil {
		return f, crash, errors.Trace(err)
	}
	in.mu.Lock()
	b := in.current
	if err := in.setRefusingLocked(f.Refuse); err != nil {
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

// setRefusingLocked closes the listening socket or opens it again.
func (in *Instance) setRefusingLocked(refuse bool) error {
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

// Stats returns the counters and the current load.
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

// Effects returns the number of runs by effect id.
func (in *Instance) Effects() map[string]int { return in.effects.snapshot() }

func (in *Instance) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, in.Stats())
}

// serveFaults returns the current faults. A POST changes the faults that its body
// contains.
func (in *Instance) serveFaults(w http.ResponseWriter, hr *http.Request) {
	if hr.Method != http.MethodPost {
		writeJSON(w, http.StatusOK, in.faults.get())
		return
	}
	d := json.NewDecoder(http.MaxBytesReader(w, hr.Body, 1<<16))
	// If an unknown field were ignored, a test with a misspelt fault would pass
	// without that fault.
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
	// With Content-Length set and the flush, the whole response is sent before the
	// deferred crash.
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(doc)))
	if _, err := w.Write(doc); err != nil {
		in.log.Debug("failed to write response of the faults endpoint", zap.Error(err))
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		in.log.Debug("failed to flush response of the faults endpoint", zap.Error(err))
	}
}
