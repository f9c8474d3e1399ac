package standin

import (
	"strings"
	"sync"
)

// Faults are the faults in force at one instance. A count says how many of the
// next requests are affected; -1 affects all.
type Faults struct {
	// CrashMarker crashes the instance on a request whose prompt or body
	// contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// HangNext requests stop silently after HangAfterTokens tokens.
	HangNext        int `json:"hang_next,omitempty"`
	HangAfterTokens int `json:"hang_after_tokens,omitempty"`
	// WrongIDNext requests are answered under an unknown request id, and
	// CrossIDNext with the answer to the request before.
	WrongIDNext int `json:"wrong_id_next,omitempty"`
	CrossIDNext int `json:"cross_id_next,omitempty"`
	// TruncateNext streams end without checksum and end mark, and other answers
	// in the middle of the document.
	TruncateNext int `json:"truncate_next,omitempty"`
	// DuplicateNext streams repeat their first event. An answer without streaming
	// has no events to repeat.
	DuplicateNext int `json:"duplicate_next,omitempty"`
	// DropNext connections are closed after the request was read and before it
	// is run, DropAfterRunNext after it was run.
	DropNext         int     `json:"drop_next,omitempty"`
	DropAfterRunNext int     `json:"drop_after_run_next,omitempty"`
	SlowAcceptMS     float64 `json:"slow_accept_ms,omitempty"`
	// Refuse closes the listening socket; open connections stay.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving is announced; requests are still served.
	Leaving      bool `json:"leaving,omitempty"`
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// Silent stops the announcements.
	Silent bool `json:"silent,omitempty"`

	// Crash happens once, at once.
	Crash bool `json:"crash,omitempty"`
	// Cold turns the engine cold or warm at once. ColdReported says whether
	// its load reports tell.
	Cold         *bool `json:"cold,omitempty"`
	ColdReported bool  `json:"cold_reported,omitempty"`
}

// requestFaults are the faults that one request has drawn.
type requestFaults struct {
	hangAfter    int
	wrongID      bool
	crossID      bool
	truncate     bool
	duplicate    bool
	drop         bool
	dropAfterRun bool
	crash        bool
}

// faultState hands out faults to requests.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// update lets change edit the faults, and returns the result. Faults that happen
// once are not kept.
func (f *faultState) update(change func(*Faults) error) (Faults, error) {
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

func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// draw returns the faults of the next request.
func (f *faultState) draw(text string) requestFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := &f.faults
	r := requestFaults{
		wrongID: take(&x.WrongIDNext), crossID: take(&x.CrossIDNext),
		truncate: take(&x.TruncateNext), duplicate: take(&x.DuplicateNext),
		drop: take(&x.DropNext), dropAfterRun: take(&x.DropAfterRunNext),
		crash: x.CrashMarker != "" && strings.Contains(text, x.CrashMarker),
	}
	if take(&x.HangNext) {
		r.hangAfter = max(1, x.HangAfterTokens)
	}
	return r
}
