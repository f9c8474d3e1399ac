package standin

import (
	"strings"
	"sync"
)

// Faults are the faults that are injected at one instance. A field XNext is the
// number of following requests that are affected; -1 affects all.
type Faults struct {
	// CrashMarker crashes the instance on a request whose prompt or body
	// contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// HangNext requests stop producing tokens after HangAfterTokens tokens, with
	// the connection open.
	HangNext        int `json:"hang_next,omitempty"`
	HangAfterTokens int `json:"hang_after_tokens,omitempty"`
	// WrongIDNext requests are answered under an unknown request id, and
	// CrossIDNext requests with the response to the previous request.
	WrongIDNext int `json:"wrong_id_next,omitempty"`
	CrossIDNext int `json:"cross_id_next,omitempty"`
	// TruncateNext streams end without the checksum and the terminal event, and
	// other responses in the middle of the document.
	TruncateNext int `json:"truncate_next,omitempty"`
	// DuplicateNext streams repeat their first event. A response that is not
	// streamed has no events and is not affected.
	DuplicateNext int `json:"duplicate_next,omitempty"`
	// DropNext connections are reset after the request was read and before it is
	// run. DropAfterRunNext connections of plain services are reset after it was
	// run; engines ignore this fault.
	DropNext         int `json:"drop_next,omitempty"`
	DropAfterRunNext int `json:"drop_after_run_next,omitempty"`
	// SlowAcceptMS delays each accepted connection.
	SlowAcceptMS float64 `json:"slow_accept_ms,omitempty"`
	// Refuse closes the listening socket; open connections stay open.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving announces that the instance is leaving; it still serves requests.
	Leaving bool `json:"leaving,omitempty"`
	// SayLeaving is the value of announce.LeavingHeader in all responses to requests, which
	// say that the instance leaves; the announcements go on as before. Empty sends none.
	SayLeaving string `json:"say_leaving,omitempty"`
	// PauseNext requests are refused with 503 and RetryAfter as the Retry-After, which
	// need not be a number. They are not run.
	PauseNext  int    `json:"pause_next,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	// IgnoreCancel runs cancelled requests to their end.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// Silent stops the announcements.
	Silent bool `json:"silent,omitempty"`

	// Crash crashes the instance immediately, once.
	Crash bool `json:"crash,omitempty"`
	// Cold switches the engine to the cold or the warm state immediately.
	// ColdReported is whether its load reports state that it is cold.
	Cold         *bool `json:"cold,omitempty"`
	ColdReported bool  `json:"cold_reported,omitempty"`
}

// requestFaults are the faults of one request. hangAfter is the number of tokens
// after which it hangs, or 0.
type requestFaults struct {
	hangAfter      int
	wrongID        bool
	crossID        bool
	truncate       bool
	duplicate      bool
	dropConnection bool
	dropAfterRun   bool
	crash          bool
	pause          bool
}

// faultInjector holds the faults of an instance and assigns them to requests. It is
// safe for concurrent use.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// get returns the current faults.
func (f *faultInjector) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// update applies change to the faults and returns the result. The one-time faults
// Crash and Cold are returned but not stored. If change returns an error, the
// faults stay as they are.
func (f *faultInjector) update(change func(*Faults) error) (Faults, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.faults
	if err := change(&next); err != nil {
		return f.faults, err
	}
	f.faults = next
	f.faults.Crash, f.faults.Cold, f.faults.ColdReported = false, nil, false
	return next, nil
}

// consume reports whether a fault with the remaining count n affects the next
// request, and decrements a positive count.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// forNextRequest returns the faults of the next request, whose prompt or body is text,
// and decrements their counts.
func (f *faultInjector) forNextRequest(text string) requestFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := &f.faults
	r := requestFaults{
		wrongID: consume(&x.WrongIDNext), crossID: consume(&x.CrossIDNext),
		truncate: consume(&x.TruncateNext), duplicate: consume(&x.DuplicateNext),
		dropConnection: consume(&x.DropNext), dropAfterRun: consume(&x.DropAfterRunNext),
		pause: consume(&x.PauseNext),
		crash: x.CrashMarker != "" && strings.Contains(text, x.CrashMarker),
	}
	if consume(&x.HangNext) {
		r.hangAfter = max(1, x.HangAfterTokens)
	}
	return r
}
