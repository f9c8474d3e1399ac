// Package notice keeps what backend servers say of themselves in their responses: that
// they leave, and that they want no requests from this process for some time.
//
// A backend server is named by its lifetime, so that neither its next lifetime nor another
// one at the same address inherits a notice. Leaving ends only with the lifetime; a pause
// ends by itself, and requests then return gradually. What other processes report can add
// a notice, but lift none. The package reads no clock and does no I/O; times are those of
// a monotonic clock that goes on while the VM is suspended.
package notice

import "time"

const (
	// MaxPause bounds a pause, so that no response takes a backend server out for good.
	MaxPause = 5 * time.Minute
	// returnTime is the time after a pause in which a backend server is used only if
	// others are busy, and the time over which the ends of a pause at several processes
	// are spread.
	returnTime = time.Second
	// maxEntries bounds the table. Backend servers that are known come first, see Retain.
	maxEntries = 8192
	// retention is how long the notices of a backend server are kept that is not known any
	// more: an old list may bring the same lifetime back.
	retention = 10 * time.Minute
)

// State is what a process does with a backend server.
type State int

const (
	// Open: requests may be sent.
	Open State = iota
	// Spared: requests may be sent if others are busy.
	Spared
	// Paused: none may be sent before a time.
	Paused
	// Leaving: none may be sent any more.
	Leaving
)

func (s State) String() string { return [...]string{"open", "spared", "paused", "leaving"}[s] }

// notices are the notices of one lifetime of a backend server.
type notices struct {
	leaving bool
	// pausedUntil is the end of the pause, or 0.
	pausedUntil time.Duration
	// unknownSince is since when the backend server is not known, or 0.
	unknownSince time.Duration
}

// Table holds the notices of all backend servers. The zero value is ready to use. It is
// not safe for concurrent use.
type Table struct{ entries map[uint64]notices }

// entry returns the notices of a backend server, and false if there is no room for them.
func (t *Table) entry(backend uint64) (notices, bool) {
	if t.entries == nil {
		t.entries = map[uint64]notices{}
	}
	n, ok := t.entries[backend]
	return n, ok || len(t.entries) < maxEntries
}

// RecordLeaving records that a backend server leaves. It reports whether that is new.
func (t *Table) RecordLeaving(backend uint64) (isNew bool) {
	n, ok := t.entry(backend)
	if !ok || n.leaving {
		return false
	}
	n.leaving = true
	t.entries[backend] = n
	return true
}

// RecordPause records at now that a backend server wants no requests from this process
// for a time. Random is a number in [0, 1) that spreads the ends at several processes. A
// pause is never shortened. It reports whether it is new or longer.
func (t *Table) RecordPause(backend uint64, pause, now time.Duration, random float64) (isNew bool) {
	n, ok := t.entry(backend)
	if !ok || pause <= 0 {
		return false
	}
	until := now + min(pause, MaxPause) + time.Duration(random*float64(returnTime))
	if until <= n.pausedUntil {
		return false
	}
	n.pausedUntil = until
	t.entries[backend] = n
	return true
}

// State returns what to do with a backend server, and the end of its pause if it is
// paused.
func (t *Table) State(backend uint64, now time.Duration) (s State, until time.Duration) {
	n := t.entries[backend]
	switch {
	case n.leaving:
		return Leaving, 0
	case now < n.pausedUntil:
		return Paused, n.pausedUntil
	case n.pausedUntil > 0 && now < n.pausedUntil+returnTime:
		return Spared, 0
	}
	return Open, 0
}

// Leaving returns the backend servers that leave, most at the most.
func (t *Table) Leaving(most int) []uint64 {
	var out []uint64
	for backend, n := range t.entries {
		if n.leaving && len(out) < most {
			out = append(out, backend)
		}
	}
	return out
}

// Retain drops the notices of backend servers that are not known for some time, at once if
// the table is half full, and pauses that are over.
func (t *Table) Retain(known map[uint64]bool, now time.Duration) {
	keepsUnknown := len(t.entries) <= maxEntries/2
	for backend, n := range t.entries {
		isOver := !n.leaving && now >= n.pausedUntil+returnTime
		switch {
		case known[backend]:
			n.unknownSince = 0
		case n.unknownSince == 0:
			n.unknownSince = now
		}
		if isOver || !known[backend] && (!keepsUnknown || now >= n.unknownSince+retention) {
			delete(t.entries, backend)
			continue
		}
		t.entries[backend] = n
	}
}

// Entry is the state of a backend server with a notice, for the state dump.
type Entry struct {
	Backend uint64  `json:"backend"`
	State   string  `json:"state"`
	LeftMs  float64 `json:"left_ms"`
}

// List returns the backend servers that are not open.
func (t *Table) List(now time.Duration) []Entry {
	out := []Entry{}
	for backend := range t.entries {
		if s, until := t.State(backend, now); s != Open {
			out = append(out, Entry{backend, s.String(), max(0, float64(until-now)/float64(time.Millisecond))})
		}
	}
	return out
}
