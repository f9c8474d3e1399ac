package gateway

import (
	"context"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/observe"
)

// A response that has begun is lost if its attempt is canceled and no other backend server
// continues it. An attempt whose response has begun is therefore not canceled when its backend
// server is silent: a second attempt, its successor, runs beside it on another backend server.
// The caller gets the rest of the response from the first of the two that sends a part of it;
// the other one is canceled at once. A successor that is refused or fails changes nothing.

var (
	successorsBegan   = metrics.GetOrCreateCounter(`bilberry_gateway_second_attempts_total{outcome="continued the response"}`)
	successorsLate    = metrics.GetOrCreateCounter(`bilberry_gateway_second_attempts_total{outcome="the first went on"}`)
	successorsFailed  = metrics.GetOrCreateCounter(`bilberry_gateway_second_attempts_total{outcome="refused or failed"}`)
	successorsNowhere = metrics.GetOrCreateCounter(`bilberry_gateway_second_attempts_total{outcome="no backend server"}`)
)

// errSuperseded is the error of an attempt whose response another attempt continues.
var errSuperseded = errors.New("another attempt sends the response")

// succession is what an attempt and its successor share. The goroutine of the request holds the
// mutex while it sends a part of the response to the caller, so that a successor is never given
// an outdated state of the request.
type succession struct {
	mu sync.Mutex
	// isOpen is set while successors may be started.
	isOpen bool
	// next is the successor that runs, or nil, and startedAt is when the last one was started.
	next      *successor
	startedAt time.Duration
	// supersededBy is the successor that continues the response, or nil.
	supersededBy *successor
	// attempts is the number of attempts that successors have made.
	attempts atomic.Int32
	// hasBegun is set when a part of the response was received.
	hasBegun atomic.Bool
}

// successor is an attempt that runs beside an earlier one of the same request.
type successor struct {
	// of is the earlier attempt, whose succession guards isTooLate.
	of *attempt
	// isTooLate is set when the earlier attempt has gone on: the successor must send nothing.
	isTooLate bool
	// isFirst is set for the first successor of the earlier attempt.
	isFirst bool
	// isAlone is set when the earlier attempt has failed.
	isAlone atomic.Bool
	// request is a copy of the request, which becomes the request if the successor continues it.
	request *request
	cancel  context.CancelFunc
	// done is closed at the end. The fields below are set before.
	done chan struct{}
	// attempt is the last one that was made, nil if there was none, and result its result.
	attempt *attempt
	result  attemptResult
}

// successorInterval is the shortest time between the starts of two successors of an attempt: what
// made one fail may last for a while.
const successorInterval = aliveWindow / 2

// openSuccession counts the attempt as sent and allows successors.
func (a *attempt) openSuccession() {
	a.succession.mu.Lock()
	defer a.succession.mu.Unlock()
	a.r.attempts++
	a.succession.isOpen = true
}

// uncount takes back that the attempt counts as sent.
func (a *attempt) uncount() {
	a.succession.mu.Lock()
	defer a.succession.mu.Unlock()
	a.r.attempts--
}

// recordResponder records the backend server that has responded.
func (a *attempt) recordResponder() {
	a.succession.mu.Lock()
	defer a.succession.mu.Unlock()
	a.r.backend = a.pick.backend.ID
}

// startSuccessor starts an attempt beside this one, whose backend server is silent, unless one
// runs already. It reports whether it has.
func (a *attempt) startSuccessor(cause cancelCause) bool {
	s := &a.succession
	// While an event is sent to the caller, the backend server isn't what the caller waits for.
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	now := bootclock.Now()
	if !s.isOpen || s.next != nil || s.supersededBy != nil || (s.startedAt > 0 && now-s.startedAt < successorInterval) {
		return false
	}
	r := *a.r
	r.tried = append(slices.Clone(a.r.tried), a.pick.backend.ID)
	r.ran = true
	ctx, cancel := context.WithCancel(a.ctx)
	next := &successor{of: a, isFirst: s.startedAt == 0, request: &r, cancel: cancel, done: make(chan struct{})}
	s.next, s.startedAt = next, now
	a.g.log.Info("second attempt beside a silent one", zap.String("request_id", r.caller.ID), zap.String("backend_server", a.pick.backend.ID),
		zap.String("cause", string(cause)), zap.Float64("silent_ms", ms(now-a.lastSign())), zap.Int("events", r.events))
	go next.run(ctx)
	return true
}

// run makes the attempt of a successor.
func (s *successor) run(ctx context.Context) {
	defer close(s.done)
	defer s.cancel()
	if s.isFirst {
		s.of.recordSilence(bootclock.Now())
	}
	base := s.request.attempts
	err := s.attemptOnce(ctx)
	first := &s.of.succession
	first.mu.Lock()
	defer first.mu.Unlock()
	first.attempts.Add(int32(s.request.attempts - base))
	switch {
	case first.supersededBy == s:
		successorsBegan.Inc()
		return
	case s.isTooLate:
		successorsLate.Inc()
	case s.attempt == nil:
		successorsNowhere.Inc()
	default:
		successorsFailed.Inc()
	}
	s.of.g.log.Info("second attempt ended, the first one is kept", zap.String("request_id", s.request.caller.ID),
		zap.String("backend_server", s.of.pick.backend.ID), zap.Bool("first_went_on", s.isTooLate), observe.Error(err))
	s.of.r.attempts += s.request.attempts - base
	s.of.r.tried = slices.Concat(s.of.r.tried, s.triedOthers())
	first.next = nil
}

// triedOthers returns the backend server that the successor has tried, if any.
func (s *successor) triedOthers() []string {
	if s.attempt == nil {
		return nil
	}
	return []string{s.attempt.pick.backend.ID}
}

// attemptOnce chooses a backend server and runs the attempt. It returns why there was none, or
// how it failed.
func (s *successor) attemptOnce(ctx context.Context) (err error) {
	g, r := s.of.g, s.request
	defer func() {
		// net/http recovers from a panic in the goroutine of a request only.
		if p := recover(); p != nil {
			s.result, err = mayHaveRun, errors.Errorf("panic: %v", p)
			if s.attempt != nil {
				g.workTable.remove(append(s.attempt.pick.helperJobs, s.attempt.pick.job)...)
			}
			g.log.Error("second attempt panicked", zap.String("request_id", r.caller.ID), observe.Error(err), zap.ByteString("stack", debug.Stack()))
		}
	}()
	if err := g.checkQuarantine(r); err != nil {
		return err
	}
	p, err := g.choose(r, r.service, r.tried)
	if err != nil {
		return errors.Trace(err)
	}
	if !g.budget.take(r.service.Name, g.members.count(), bootclock.Now()) {
		g.workTable.remove(append(p.helperJobs, p.job)...)
		return errors.New("the retry budget is used up")
	}
	s.attempt = g.newAttempt(r, p)
	s.attempt.successor = s
	s.attempt, s.result = g.runAttempt(ctx, s.attempt)
	s.attempt.buffered.release()
	s.attempt.buffered = nil
	return s.attempt.err
}

// beginSending must be called before a part of the response is sent to the caller, and
// endSending after. It is false if another attempt sends the response, and nothing may be sent.
func (a *attempt) beginSending() bool {
	if a.successor != nil && !a.successor.takeOver() {
		return false
	}
	s := &a.succession
	s.mu.Lock()
	if s.supersededBy != nil {
		s.mu.Unlock()
		return false
	}
	s.dropNext()
	return true
}

func (a *attempt) endSending() { a.succession.mu.Unlock() }

// dropNext cancels the successor, because the response goes on. The caller holds the mutex.
func (s *succession) dropNext() {
	if s.next != nil && !s.next.isTooLate {
		s.next.isTooLate = true
		s.next.cancel()
	}
}

// takeOver makes the successor the attempt that sends the response, and cancels the earlier one.
// It is false if that one has gone on.
func (s *successor) takeOver() bool {
	if s.of.successor != nil && !s.of.successor.takeOver() {
		return false
	}
	first := &s.of.succession
	first.mu.Lock()
	defer first.mu.Unlock()
	if s.isTooLate {
		return false
	}
	if first.supersededBy == nil {
		first.supersededBy = s
		s.of.stall.cancel()
	}
	return true
}

// mustStop reports whether the earlier attempt has gone on.
func (s *successor) mustStop() bool {
	if s == nil {
		return false
	}
	s.of.succession.mu.Lock()
	defer s.of.succession.mu.Unlock()
	return s.isTooLate
}

// isSuperseded reports whether another attempt sends the response.
func (a *attempt) isSuperseded() bool {
	a.succession.mu.Lock()
	defer a.succession.mu.Unlock()
	return a.succession.supersededBy != nil
}

// settle ends the succession of an attempt that has ended with a result. It waits for the
// successor, if there is one, and returns it if its result counts in place of that one: it
// continues the response, or the attempt has failed while it ran.
func (a *attempt) settle(result attemptResult) *successor {
	s := &a.succession
	s.mu.Lock()
	s.isOpen = false
	next := s.next
	if result == served || result == callerGone {
		s.dropNext()
	}
	s.mu.Unlock()
	if next == nil {
		return nil
	}
	next.isAlone.Store(true)
	<-next.done
	if s.supersededBy != next {
		return nil
	}
	*a.r = *next.request
	return next
}

// holdsResponse reports whether canceling the attempt may lose a response that has begun: a part
// of it was received, or the caller has a part and no other attempt runs that may complete it.
func (a *attempt) holdsResponse() bool {
	if a.succession.hasBegun.Load() {
		return true
	}
	return a.isContinuation && (a.successor == nil || a.successor.isAlone.Load())
}

// move lets another backend server serve a request for which nothing is received: the attempt
// is canceled, or a second one is started if canceling may lose the response. It reports whether
// it did either.
func (a *attempt) move(w *watchdog, cause cancelCause) bool {
	switch {
	case a.holdsResponse():
		return a.startSuccessor(cause)
	case w.fired():
		return false
	}
	w.fire(cause)
	return true
}

// onSilence is called when nothing was received for long. It returns how much longer to wait,
// or 0 to cancel the attempt.
func (a *attempt) onSilence() time.Duration {
	more := a.extendWait()
	if more > 0 || !a.holdsResponse() {
		return more
	}
	a.startSuccessor(causeSilence)
	return successorInterval
}
