package entry

import (
	"crypto/sha256"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/membudget"
)

// phase is the progress of a request, for the state dump and for the deadline check.
type phase int32

const (
	phaseAdmitted phase = iota
	phaseQueued
	phaseGranted
	phaseSent
	phaseAnswering
)

var phaseNames = [...]string{"admitted", "queued", "granted", "sent", "answering"}

func (p phase) String() string { return phaseNames[p] }

// request is one admitted request of a caller. phase and backend change while it is
// in the request table and are accessed atomically.
type request struct {
	id      string
	version *config.Version
	account *manifest.Account
	service *manifest.Service
	urgency *manifest.Urgency
	method  string
	path    string // with the query string
	header  http.Header
	body    []byte
	// held is what is reserved for the body, and for a response that is read whole. It is
	// nil for a request that resumes a stream.
	held *membudget.Reservation
	// isCut is set if the caller has received a part of a response that isn't a stream.
	isCut    bool
	model    *modelRequest
	arrived  time.Time
	deadline time.Time
	// idempotent is set if the request may be dispatched again after a failure.
	idempotent bool
	// key is the idempotency key of the caller, empty if there is none.
	key         string
	fingerprint [sha256.Size]byte

	phase   atomic.Int32
	backend atomic.Pointer[string]
}

func (r *request) setPhase(p phase) { r.phase.Store(int32(p)) }

func (r *request) setBackend(id string) { r.backend.Store(&id) }

// releasePrompt drops the references to the prompt once a response has started,
// after which the request is never dispatched again. A prompt may be several MB long.
func (r *request) releasePrompt() {
	r.body, r.header = nil, nil
	if r.model != nil {
		r.model.fields, r.model.raw, r.model.prefix = nil, nil, nil
	}
	r.held.Release()
}

// timeLeft returns the time until the deadline, which is negative after it.
func (r *request) timeLeft() time.Duration { return time.Until(r.deadline) }

// requestTable holds the open requests of the process by id. It is safe for
// concurrent use.
type requestTable struct {
	mu       sync.Mutex
	requests map[string]*request
	draining bool
	// drained is closed when draining has begun and the table is empty.
	drained chan struct{}
	closed  bool
}

func newRequestTable() *requestTable {
	return &requestTable{requests: map[string]*request{}, drained: make(chan struct{})}
}

// add adds a request. It returns false, without adding it, if the process drains.
func (t *requestTable) add(r *request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.requests[r.id] = r
	return true
}

func (t *requestTable) remove(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r.id)
	t.closeIfEmpty()
}

// drain makes add reject new requests, and returns a channel that is closed when the
// table is empty.
func (t *requestTable) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.closeIfEmpty()
	return t.drained
}

func (t *requestTable) closeIfEmpty() {
	if t.draining && len(t.requests) == 0 && !t.closed {
		t.closed = true
		close(t.drained)
	}
}

func (t *requestTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

// checkDeadlines reports an invariant violation for each request that is still in
// the table more than grace after its deadline. Deadlines before resumedAt are
// counted from then, because a paused process cannot end requests.
func (t *requestTable) checkDeadlines(now, resumedAt time.Time, grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		due := r.deadline
		if resumedAt.After(due) {
			due = resumedAt
		}
		overdue := now.Sub(due)
		invariant.Report(overdue <= grace, "request_past_deadline",
			"request %s of account %s is %s past its deadline in phase %s", r.id, r.account.Name, overdue, phase(r.phase.Load()))
	}
}

// requestState is the state of one request in the state dump.
type requestState struct {
	ID         string `json:"id"`
	Account    string `json:"account"`
	Service    string `json:"service"`
	Phase      string `json:"phase"`
	Backend    string `json:"backend_server,omitempty"`
	AgeMS      int64  `json:"age_ms"`
	LeftMS     int64  `json:"left_ms"`
	Idempotent bool   `json:"idempotent"`
}

func (t *requestTable) dump(now time.Time) []requestState {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := make([]requestState, 0, len(t.requests))
	for _, r := range t.requests {
		state := requestState{
			ID: r.id, Account: r.account.Name, Service: r.service.Name,
			Phase: phase(r.phase.Load()).String(),
			AgeMS: now.Sub(r.arrived).Milliseconds(), LeftMS: r.deadline.Sub(now).Milliseconds(),
			Idempotent: r.idempotent,
		}
		if b := r.backend.Load(); b != nil {
			state.Backend = *b
		}
		requests = append(requests, state)
	}
	return requests
}
