// Package requestlimit divides the request rate that a backend server takes among the
// processes that send to it.
//
// A backend server in need names the number of requests in a second that it takes from
// all senders together. Senders that kept to it one by one would exceed it by their
// number, and with an equal rate for each, hundreds of senders could send at the same
// moment. The package therefore divides the time since a limit was first named into
// slots. The permits of a slot, as many as the limit, belong to senders in an order that
// changes with the slot, and end with it, so that unused ones don't accumulate. Senders
// agree on the beginning by exchanging limits; nothing has to be exchanged for each
// request.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
// Times are on any monotonic clock, the same one for all calls.
package requestlimit

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPerSecond is the lowest rate. At 0, no response could tell that a limit has
	// ended.
	minPerSecond = 0.25
	// maxPerSecond bounds a rate to what can be counted.
	maxPerSecond = 1e6
	// slotLength is the length of a slot. A window may contain one slot more than its
	// length.
	slotLength = time.Second
	// settleTime is the time after a response that names a limit in which one without
	// a limit doesn't end it: responses overtake each other.
	settleTime = 300 * time.Millisecond
	// confirmInterval is the time after which a limit should be confirmed by a response.
	confirmInterval = time.Second
	// minChange is the smallest relative change of a rate that counts as a change.
	minChange = 0.2
	// retention is how long a limit is kept after the last response about it, and
	// liftedRetention the same for one that has ended.
	retention       = 5 * time.Minute
	liftedRetention = 10 * time.Second
	// maxShared bounds the limits that are exchanged together.
	maxShared = 64
)

// Limit is what is known of the limit of one lifetime of a backend server.
type Limit struct {
	Backend uint64 `json:"backend"`
	// PerSecond is the rate for all senders together.
	PerSecond float64 `json:"per_second"`
	// Lifted is set if the latest response named no limit.
	Lifted bool `json:"lifted"`
	// Since is when a limit was first named, At when the latest response arrived.
	Since time.Duration `json:"since_ns"`
	At    time.Duration `json:"at_ns"`
}

// Sender is the position of a process in an order of all senders that they share.
type Sender struct{ Position, Count int }

// Table holds the limits by lifetime of the backend server.
type Table struct{ limits map[uint64]*entry }

type entry struct {
	Limit
	// used is the number of permits of a slot that were used.
	slot uint64
	used int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{map[uint64]*entry{}} }

// RecordLimit records a response that names a limit. It reports whether other processes
// should know at once.
func (t *Table) RecordLimit(now time.Duration, backend uint64, perSecond float64) bool {
	return t.Merge(Limit{Backend: backend, PerSecond: perSecond, Since: now, At: now})
}

// RecordNoLimit records a response that names no limit. It reports whether a limit has
// ended with it.
func (t *Table) RecordNoLimit(now time.Duration, backend uint64) bool {
	e := t.limits[backend]
	if e == nil || e.Lifted || now-e.At < settleTime {
		return false
	}
	e.Lifted, e.At = true, now
	return true
}

// Merge records what this or another process knows of a limit. The latest response
// counts. It reports whether the limit has changed. A rate that is no number of at least
// 0 is ignored.
func (t *Table) Merge(l Limit) bool {
	if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 1) {
		return false
	}
	l.PerSecond = min(max(minPerSecond, l.PerSecond), maxPerSecond)
	e := t.limits[l.Backend]
	if e == nil {
		t.limits[l.Backend] = &entry{Limit: l}
		return true
	}
	e.Since = min(e.Since, l.Since)
	if l.At <= e.At {
		return false
	}
	changed := e.Lifted != l.Lifted || math.Abs(l.PerSecond-e.PerSecond) > minChange*e.PerSecond
	e.PerSecond, e.Lifted, e.At = l.PerSecond, l.Lifted, l.At
	return changed
}

// IsLimited reports whether a limit of the backend server is in force.
func (t *Table) IsLimited(backend uint64) bool {
	e := t.limits[backend]
	return e != nil && !e.Lifted
}

// ShouldSpare reports whether the backend server should be used only if others are busy:
// it has a limit, and has confirmed it recently. Without responses, nobody would learn
// that the limit has ended.
func (t *Table) ShouldSpare(now time.Duration, backend uint64) bool {
	return t.IsLimited(backend) && now-t.limits[backend].At < confirmInterval
}

// Allows reports whether a sender may send a request to the backend server now.
func (t *Table) Allows(now time.Duration, backend uint64, s Sender) bool {
	e := t.limits[backend]
	if e == nil || e.Lifted {
		return true
	}
	slot := e.slotAt(now)
	used := 0
	if slot == e.slot {
		used = e.used
	}
	return used < e.permits(slot, s)
}

// Take counts a request to the backend server, if a limit is in force.
func (t *Table) Take(now time.Duration, backend uint64) {
	e := t.limits[backend]
	if e == nil || e.Lifted {
		return
	}
	if slot := e.slotAt(now); slot != e.slot {
		e.slot, e.used = slot, 0
	}
	e.used++
}

// slotAt returns the number of the slot at a time, from 1.
func (e *entry) slotAt(now time.Duration) uint64 { return 1 + uint64(max(0, now-e.Since)/slotLength) }

// permits returns the number of permits that a sender has in a slot. Small differences
// of the rate, as senders may have them for a moment, move few permits.
func (e *entry) permits(slot uint64, s Sender) int {
	// Multiples of the golden ratio spread the slots that round a rate up evenly.
	_, fraction := math.Modf(float64(slot) * math.Phi)
	total, senders := int(e.PerSecond*slotLength.Seconds()+fraction), max(1, s.Count)
	turn := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, e.Backend), slot)
	first := int(xxhash.Sum64(turn) % uint64(senders))
	n := total / senders
	if (s.Position-first+senders)%senders < total%senders {
		n++
	}
	return n
}

// Expire drops limits without a recent response.
func (t *Table) Expire(now time.Duration) {
	for backend, e := range t.limits {
		if now-e.At > retention || (e.Lifted && now-e.At > liftedRetention) {
			delete(t.limits, backend)
		}
	}
}

// Limits returns the limits, the latest first, up to maxShared.
func (t *Table) Limits() []Limit {
	out := make([]Limit, 0, len(t.limits))
	for _, e := range t.limits {
		out = append(out, e.Limit)
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Backend, b.Backend)) })
	return out[:min(len(out), maxShared)]
}
