package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bilberryhub/internal/openai"

	"github.com/juju/errors"
)

// request is one request that the engine holds.
type request struct {
	id        string
	body      *openai.Request
	job       *job
	answer    *answer
	stream    *stream
	resumable bool
	plan      requestFaults
	// kv is returned to the caller of an export.
	kv *openai.KVTransfer
	// source is the export that this request imports, if any, and endTokens
	// is where the tokens held for this request end in the prompt.
	source    *source
	endTokens int
	// forget ends the time in which an ended stream can be resumed.
	forget *time.Timer
}

// engine runs the model of one boot against the clock.
type engine struct {
	cfg   *InstanceSettings
	scale float64
	stats *Stats
	// fallOver is called when the engine is overloaded while cold.
	fallOver func(reason string)
	// ctx ends with the boot.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	model *model
	open  map[string]*request
	// finished counts completed requests of this boot.
	finished   int
	warmed     *time.Timer
	coldReport bool
	last       *request
	exports    map[int64]*export
	nextExport int64

	wake chan struct{}
	done sync.WaitGroup
}

// protocolError is an error with an HTTP status.
type protocolError struct {
	status  int
	code    string
	message string
}

func (e *protocolError) Error() string { return e.code + ": " + e.message }

var errFellOver = errors.ConstError("engine fell over while cold")

func newEngine(cfg *InstanceSettings, first bool, scale float64, stats *Stats, fallOver func(string)) *engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &engine{
		ctx: ctx, stop: stop,
		cfg: cfg, scale: scale, stats: stats, fallOver: fallOver,
		model: newModel(*cfg.Model), open: map[string]*request{},
		exports: map[int64]*export{}, wake: make(chan struct{}, 1),
	}
	cold := cfg.Model.ColdRequests > 0 || cfg.Model.ColdSeconds > 0
	if cold && !(first && cfg.Model.StartsWarm) {
		e.setCold(true, true)
	}
	e.done.Go(e.run)
	return e
}

// close ends the boot: all work is lost.
func (e *engine) close() {
	e.stop()
	e.done.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.warmed != nil {
		e.warmed.Stop()
	}
	for _, x := range e.exports {
		x.expires.Stop()
	}
	for _, r := range e.open {
		e.model.cancel(r.job)
		if r.forget != nil {
			r.forget.Stop()
		}
		r.stream.end()
	}
	e.stats.WastedBefore.Add(e.model.stats.WastedTokens)
	e.model.stats.WastedTokens = 0
}

// setCold changes the temperature. A cold time that starts without warning is
// not reported.
func (e *engine) setCold(cold, reported bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.cold, e.coldReport, e.finished = cold, cold && reported, 0
	if e.warmed != nil {
		e.warmed.Stop()
		e.warmed = nil
	}
	if s := e.cfg.Model.ColdSeconds; cold && s > 0 {
		e.warmed = time.AfterFunc(e.real(seconds(s)), func() { e.setCold(false, false) })
	}
}

func (e *engine) real(d time.Duration) time.Duration { return time.Duration(float64(d) * e.scale) }

// submit queues a request. The caller holds an attachment of its stream.
func (e *engine) submit(r *request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, dup := e.open[r.id]; dup {
		return &protocolError{http.StatusConflict, "duplicate_request_id", "a request with this X-Request-Id is open"}
	}
	if !e.model.fits(r.job) {
		e.stats.TooLarge.Add(1)
		return &protocolError{
			http.StatusRequestEntityTooLarge, "prompt_too_large",
			"prompt and output exceed the KV memory of this engine",
		}
	}
	e.stats.Requests.Add(1)
	e.open[r.id] = r
	if e.model.cold {
		running := uint64(len(e.model.waiting)+len(e.model.running)) + 1
		e.stats.MaxConcurrentCold.max(running)
		if limit := uint64(e.cfg.ColdLimitRequests); limit > 0 && running > limit {
			e.stats.Overloads.Add(1)
			go e.fallOver("cold engine got more requests than its limit")
			return errFellOver
		}
	}
	e.stats.MaxConcurrent.max(uint64(len(e.model.waiting)+len(e.model.running)) + 1)

	r.job.owner = r
	e.model.add(r.job)
	e.last = r
	e.signal()
	return nil
}

func (e *engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// find returns the open or recently finished request with the given id.
func (e *engine) find(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open[id]
}

// cancel removes a request and frees its memory.
func (e *engine) cancel(r *request) {
	e.mu.Lock()
	if !r.job.gone && !r.job.held {
		e.stats.Cancelled.Add(1)
	}
	e.model.cancel(r.job)
	if e.open[r.id] == r {
		delete(e.open, r.id)
	}
	e.mu.Unlock()
	if !r.job.held {
		r.source.release()
	}
	r.stream.end()
	e.signal()
}

// run executes steps until the engine is closed.
func (e *engine) run() {
	// slack lets a step that started late end on time, so that timer delays
	// do not lower the simulated speed.
	const slack = 5 * time.Millisecond
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	end := time.Now()
	for {
		e.mu.Lock()
		length, busy := e.model.plan()
		e.mu.Unlock()
		if !busy {
			select {
			case <-e.ctx.Done():
				return
			case <-e.wake:
			}
			end = time.Now()
			continue
		}
		if oldest := time.Now().Add(-slack); end.Before(oldest) {
			end = oldest
		}
		end = end.Add(e.real(length))
		timer.Reset(time.Until(end))
		select {
		case <-e.ctx.Done():
			return
		case <-timer.C:
		}
		e.step()
	}
}

func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, em := range e.model.apply() {
		e.deliver(em)
	}
}

// deliver turns a token into events of its stream.
func (e *engine) deliver(em emission) {
	r := em.job.owner
	if n := r.plan.hangAfter; n > 0 && em.index+1 >= n {
		em.job.hung = true
		if em.index+1 > n {
			return
		}
	}
	if em.index == 0 && em.job.imported {
		r.source.release()
	}
	if em.last && em.job.export {
		e.addExport(r)
	}
	events := r.answer.step(em.index, em.last, r.kv)
	if r.plan.truncate && em.last {
		// The answer breaks off before the checksum.
		events = nil
	}
	for i, ev := range events {
		r.stream.add(ev)
		if r.plan.duplicate && r.body.Stream && em.index == 0 && i == 0 {
			r.stream.add(ev)
		}
	}
	if em.last {
		e.finish(r)
	}
}

// finish ends a request whose last token is out. Resumable streams stay
// available for a while.
func (e *engine) finish(r *request) {
	if !r.job.held {
		r.source.release()
	}
	r.stream.end()
	e.stats.Completed.Add(1)
	e.finished++
	if n := e.cfg.Model.ColdRequests; e.model.cold && n > 0 && e.finished >= n {
		e.model.cold, e.coldReport = false, false
	}
	if !r.resumable {
		delete(e.open, r.id)
		return
	}
	r.forget = time.AfterFunc(seconds(e.cfg.Model.ResumeSeconds), func() { e.forget(r) })
}

func (e *engine) forget(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open[r.id] == r {
		delete(e.open, r.id)
	}
}

// load returns what a load report says at this moment.
func (e *engine) load() loadState {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := loadState{
		memory: uint64(e.model.mem.reserved()), prefill: uint64(e.model.prefillTokens()),
		cold: e.coldReport, events: e.model.mem.takeEvents(), open: []string{},
	}
	for id, r := range e.open {
		if !r.job.gone && !r.job.held {
			l.open = append(l.open, id)
		}
	}
	return l
}

// isComplete tells whether the whole answer was produced, as opposed to a
// request that was cancelled.
func (e *engine) isComplete(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.job.generated >= r.job.maxTokens
}
