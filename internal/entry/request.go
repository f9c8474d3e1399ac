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
)

// phase is how far a request has come. It decides what a failure may say
// about the outcome.
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

// request is one admitted request of a caller.
type request struct {
	id       string
	version  *config.Version
	account  *manifest.Account
	service  *manifest.Service
	urgency  *manifest.Urgency
	method   string
	path     string
	header   http.Header
	body     []byte
	model    *modelCall
	arrived  time.Time
	deadline time.Time
	// idempotent requests may be dispatched again after a failure.
	idempotent bool
	// key is the caller's idempotency key, empty if there is none.
	key         string
	fingerprint [sha256.Size]byte

	phase   atomic.Int32
	backend atomic.Pointer[string]
}

func (r *request) setPhase(p phase) { r.phase.Store(int32(p)) }

func (r *request) setBackend(id string) { r.backend.Store(&id) }

// release lets go of the prompt once an answer has begun, after which the
// request is never dispatched again. A prompt may have several MB.
func (r *request) release() {
	r.body, r.header = nil, nil
	if r.model != nil {
		r.model.fields, r.model.prefix = nil, nil
	}
}

// left returns the time left until the deadline.
func (r *request) left() time.Duration { return time.Until(r.deadline) }

// requestTable holds the open requests of the process.
type requestTable struct {
	mu   sync.Mutex
	rows map[string]*request
	// empty is closed when the table is empty and draining has begun.
	draining bool
	empty    chan struct{}
	closed   bool
}

func newRequestTable() *requestTable {
	return &requestTable{rows: map[string]*request{}, empty: make(chan struct{})}
}

// add returns false when the process drains.
func (t *requestTable) add(r *request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.rows[r.id] = r
	return true
}

func (t *requestTable) remove(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, r.id)
	t.closeIfEmpty()
}

// drain refuses new requests and returns a channel that is closed when the
// table is empty.
func (t *requestTable) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.closeIfEmpty()
	return t.empty
}

func (t *requestTable) closeIfEmpty() {
	if t.draining && len(t.rows) == 0 && !t.closed {
		t.closed = true
		close(t.empty)
	}
}

func (t *requestTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// checkDeadlines asserts that no request is in the table longer than allowed
// past its deadline. While the process was paused, until resumed, it could not
// end any.
func (t *requestTable) checkDeadlines(now, resumed time.Time, allowed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		due := r.deadline
		if resumed.After(due) {
			due = resumed
		}
		late := now.Sub(due)
		invariant.Report(late <= allowed, "request_past_deadline",
			"request %s of account %s is %s past its deadline in phase %s", r.id, r.account.Name, late, phase(r.phase.Load()))
	}
}

type requestRow struct {
	ID         string `json:"id"`
	Account    string `json:"account"`
	Service    string `json:"service"`
	Phase      string `json:"phase"`
	Backend    string `json:"backend_server,omitempty"`
	AgeMS      int64  `json:"age_ms"`
	LeftMS     int64  `json:"left_ms"`
	Idempotent bool   `json:"idempotent"`
}

func (t *requestTable) dump(now time.Time) []requestRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]requestRow, 0, len(t.rows))
	for _, r := range t.rows {
		row := requestRow{
			ID: r.id, Account: r.account.Name, Service: r.service.Name,
			Phase: phase(r.phase.Load()).String(),
			AgeMS: now.Sub(r.arrived).Milliseconds(), LeftMS: r.deadline.Sub(now).Milliseconds(),
			Idempotent: r.idempotent,
		}
		if b := r.backend.Load(); b != nil {
			row.Backend = *b
		}
		rows = append(rows, row)
	}
	return rows
}
