package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bilberryhub/internal/openai"

	"github.com/juju/errors"
)

// request is a request that the engine runs, or a finished stream that can still be
// resumed.
type request struct {
	id         string
	body       *openai.Request
	job        *job
	completion *completion
	stream     *stream
	resumable  bool
	// injected are the faults of this request.
	injected requestFaults
	// exportedKV is returned to the caller of an export.
	exportedKV *openai.KVTransfer
	// kvSource is the export that this request imports, or nil. prefixTokens is
	// the length of the prompt up to the end of the tokens that this engine
	// holds for the request.
	kvSource     *kvSource
	prefixTokens int
	// expire is the timer that removes a finished stream at the end of its resume
	// period.
	expire *time.Timer
}

// engine runs the model of one boot in real time, multiplied by the time scale.
type engine struct {
	cfg   *InstanceSettings
	scale float64
	stats *Stats
	// onColdOverload is called when the engine is overloaded while cold.
	onColdOverload func(reason string)
	// ctx is cancelled at the end of the boot.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	model *model
	// open has the running requests and the finished streams that can still be
	// resumed, by request id.
	open map[string]*request
	// completed counts the requests completed since the boot or the last call of
	// setCold.
	completed int
	// warmupTimer ends the cold state. reportsCold is whether load reports state
	// that the engine is cold.
	warmupTimer  *time.Timer
	reportsCold  bool
	lastRequest  *request
	exports      map[int64]*export
	lastExportID int64

	// wake wakes up run when there may be work; it has a capacity of 1.
	wake chan struct{}
	wg   sync.WaitGroup
}

// protocolError is an error that is returned to the caller with an HTTP status and
// an error code.
type protocolError struct {
	status  int
	code    string
	message string
}

func (e *protocolError) Error() string { return e.code + ": " + e.message }

var errColdOverload = errors.ConstError("engine fell over while cold")

// newEngine starts an engine, which is cold if the settings say so. isFirstBoot is
// true for the first boot of an instance, which StartsWarm makes warm.
func newEngine(cfg *InstanceSettings, isFirstBoot bool, scale float64, stats *Stats, onColdOverload func(string)) *engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &engine{
		ctx: ctx, stop: stop,
		cfg: cfg, scale: scale, stats: stats, onColdOverload: onColdOverload,
		model: newModel(*cfg.Model), open: map[string]*request{},
		exports: map[int64]*export{}, wake: make(chan struct{}, 1),
	}
	cold := cfg.Model.ColdRequests > 0 || cfg.Model.ColdSeconds > 0
	if cold && !(isFirstBoot && cfg.Model.StartsWarm) {
		e.setCold(true, true)
	}
	e.wg.Go(e.run)
	return e
}

// close ends the boot and waits for the goroutines of the engine. All requests and
// exports are lost.
func (e *engine) close() {
	e.stop()
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.warmupTimer != nil {
		e.warmupTimer.Stop()
	}
	for _, x := range e.exports {
		x.expires.Stop()
	}
	for _, r := range e.open {
		e.model.cancel(r.job)
		if r.expire != nil {
			r.expire.Stop()
		}
		r.stream.end()
	}
	e.stats.WastedInEarlierBoots.Add(e.model.stats.WastedTokens)
	e.model.stats.WastedTokens = 0
}

// setCold switches the engine between the cold and the warm state. reported is
// whether load reports state that it is cold; they do not if a fault is to make it
// cold without warning.
func (e *engine) setCold(cold, reported bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.cold, e.reportsCold, e.completed = cold, cold && reported, 0
	if e.warmupTimer != nil {
		e.warmupTimer.Stop()
		e.warmupTimer = nil
	}
	if s := e.cfg.Model.ColdSeconds; cold && s > 0 {
		e.warmupTimer = time.AfterFunc(e.scaled(seconds(s)), func() { e.setCold(false, false) })
	}
}

// scaled converts simulated to real time.
func (e *engine) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * e.scale) }

// submit queues a request. The caller must be attached to its stream. It returns a
// *protocolError if the request is rejected, and errColdOverload if it exceeds the
// cold limit and crashes the engine.
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
	e.stats.recent.add(r.id)
	e.open[r.id] = r
	if e.model.cold {
		running := uint64(len(e.model.waiting)+len(e.model.running)) + 1
		e.stats.MaxConcurrentCold.update(running)
		if limit := uint64(e.cfg.ColdLimitRequests); limit > 0 && running > limit {
			e.stats.Overloads.Add(1)
			go e.onColdOverload("cold engine got more requests than its limit")
			return errColdOverload
		}
	}
	e.stats.MaxConcurrent.update(uint64(len(e.model.waiting)+len(e.model.running)) + 1)

	r.job.owner = r
	e.model.add(r.job)
	e.lastRequest = r
	e.signal()
	return nil
}

// signal wakes up run.
func (e *engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// find returns the request with the given id, or nil. A finished stream is found
// until its resume period ends.
func (e *engine) find(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open[id]
}

// cancel removes a request and ends its stream. It frees the memory unless the
// request has become an export.
func (e *engine) cancel(r *request) {
	e.mu.Lock()
	if !r.job.removed && !r.job.held {
		e.stats.Cancelled.Add(1)
	}
	e.model.cancel(r.job)
	if e.open[r.id] == r {
		delete(e.open, r.id)
	}
	e.mu.Unlock()
	if !r.job.held {
		r.kvSource.release()
	}
	r.stream.end()
	e.signal()
}

// run executes steps until the engine is closed.
func (e *engine) run() {
	// The end of a step is scheduled from the scheduled end of the previous one,
	// so that a step that starts late ends on time and timer delays do not lower
	// the simulated speed. maxCatchUp limits the delay that is made up for.
	const maxCatchUp = 5 * time.Millisecond
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stepEnd := time.Now()
	for {
		e.mu.Lock()
		duration, hasWork := e.model.startStep()
		e.mu.Unlock()
		if !hasWork {
			select {
			case <-e.ctx.Done():
				return
			case <-e.wake:
			}
			stepEnd = time.Now()
			continue
		}
		if earliest := time.Now().Add(-maxCatchUp); stepEnd.Before(earliest) {
			stepEnd = earliest
		}
		stepEnd = stepEnd.Add(e.scaled(duration))
		timer.Reset(time.Until(stepEnd))
		select {
		case <-e.ctx.Done():
			return
		case <-timer.C:
		}
		e.step()
	}
}

// step finishes the current step of the model and delivers its tokens.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, tok := range e.model.finishStep() {
		e.deliver(tok)
	}
}

// deliver adds the events of a token to its stream, subject to the injected faults.
// The caller holds e.mu.
func (e *engine) deliver(tok outputToken) {
	r := tok.job.owner
	if n := r.injected.hangAfter; n > 0 && tok.index+1 >= n {
		tok.job.hung = true
		if tok.index+1 > n {
			return
		}
	}
	if tok.index == 0 && tok.job.imported {
		r.kvSource.release()
	}
	if tok.last && tok.job.export {
		e.addExport(r)
	}
	events := r.completion.appendToken(tok.index, tok.last, r.exportedKV)
	if r.injected.truncate && tok.last {
		// The stream ends before the checksum.
		events = nil
	}
	for i, ev := range events {
		r.stream.add(ev)
		if r.injected.duplicate && r.body.Stream && tok.index == 0 && i == 0 {
			r.stream.add(ev)
		}
	}
	if tok.last {
		e.finish(r)
	}
}

// finish ends a request whose last token was delivered. A resumable stream stays
// available for the resume period. The caller holds e.mu.
func (e *engine) finish(r *request) {
	if !r.job.held {
		r.kvSource.release()
	}
	r.stream.end()
	e.stats.Completed.Add(1)
	e.completed++
	if n := e.cfg.Model.ColdRequests; e.model.cold && n > 0 && e.completed >= n {
		e.model.cold, e.reportsCold = false, false
	}
	if !r.resumable {
		delete(e.open, r.id)
		return
	}
	r.expire = time.AfterFunc(seconds(e.cfg.Model.ResumeSeconds), func() { e.expire(r) })
}

// expire removes a finished stream at the end of its resume period.
func (e *engine) expire(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open[r.id] == r {
		delete(e.open, r.id)
	}
}

// load returns the current load and the cache events since the last call.
func (e *engine) load() loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := loadReport{
		memoryTokens: uint64(e.model.mem.reserved()), pendingPrefillTokens: uint64(e.model.prefillTokens()),
		cold: e.reportsCold, cacheEvents: e.model.mem.takeEvents(), open: []string{},
	}
	for id, r := range e.open {
		if !r.job.removed && !r.job.held {
			l.open = append(l.open, id)
		}
	}
	return l
}

// isComplete reports whether all tokens of the request were produced, as opposed to
// a request that was cancelled.
func (e *engine) isComplete(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.job.generatedTokens >= r.job.maxTokens
}
