// Package reach detects which failure domains a process can reach.
//
// A partition that drops packets makes connections hang without an error, so
// each request to the other side would wait for a timeout of its own. While a
// failure domain is reachable, datagrams of peers and responses of backend
// servers arrive many times a second. When all of them stop, a few connection
// attempts distinguish a partition from an idle moment.
//
// The package keeps the state of that decision. It doesn't connect anywhere,
// reads no clock and does no I/O. Times are those of a monotonic clock of the
// caller.
package reach

import (
	"slices"
	"time"
)

const (
	// SuspectAfter is the silence after which a failure domain is probed:
	// peers send at least every half second, and one datagram may be late.
	SuspectAfter = 600 * time.Millisecond
	// ProbeInterval is the time between two probes of a suspected failure
	// domain: several times the connection round trip between failure domains.
	ProbeInterval = 150 * time.Millisecond
	// unreachableFailures is the number of backend servers that must fail one
	// after the other for their failure domain to count as unreachable: a
	// single one may have failed on its own.
	unreachableFailures = 2
)

// domain is the reachability state of one failure domain.
type domain struct {
	lastContactAt time.Duration
	lastProbeAt   time.Duration
	// failed holds the backend servers that couldn't be connected to since
	// lastContactAt.
	failed      map[uint64]bool
	unreachable bool
}

// Table holds the state of all failure domains. Use NewTable; the zero value is
// not usable. A Table is not safe for concurrent use.
type Table struct {
	// SuspectAfter replaces the constant of this name if it is set: senders may have
	// longer intervals.
	SuspectAfter time.Duration

	domains map[string]*domain
}

// suspectAfter returns the silence after which a failure domain is probed.
func (t *Table) suspectAfter() time.Duration {
	if t.SuspectAfter > 0 {
		return t.SuspectAfter
	}
	return SuspectAfter
}

// NextProbe returns when the next one of the failure domains may be due to be probed.
func (t *Table) NextProbe(now time.Duration) time.Duration {
	next := now + t.suspectAfter()
	for _, d := range t.domains {
		next = min(next, max(d.lastContactAt+t.suspectAfter(), d.lastProbeAt+ProbeInterval))
	}
	return next
}

// NewTable returns an empty table, in which every failure domain counts as
// reachable.
func NewTable() *Table { return &Table{domains: map[string]*domain{}} }

// entry returns the state of a failure domain. An unknown one is added as in
// contact at now.
func (t *Table) entry(name string, now time.Duration) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{lastContactAt: now, failed: map[uint64]bool{}}
		t.domains[name] = d
	}
	return d
}

// RecordContact records that something was received from a process in a failure
// domain. It reports whether the domain counted as unreachable until now.
func (t *Table) RecordContact(name string, now time.Duration) (restored bool) {
	d := t.entry(name, now)
	restored = d.unreachable
	d.lastContactAt, d.unreachable = max(d.lastContactAt, now), false
	clear(d.failed)
	return restored
}

// RecordFailure records that a connection attempt to a backend server, started
// at the time tried, failed. It reports whether the failure domain became
// unreachable by it. The failure is ignored if something was received from the
// failure domain since the attempt started.
func (t *Table) RecordFailure(name string, backend uint64, tried time.Duration) (unreachable bool) {
	d := t.entry(name, tried)
	if d.lastContactAt > tried {
		return false
	}
	d.failed[backend] = true
	if d.unreachable || len(d.failed) < unreachableFailures {
		return false
	}
	d.unreachable = true
	return true
}

// IsUnreachable reports whether a failure domain counts as unreachable.
func (t *Table) IsUnreachable(name string) bool {
	d := t.domains[name]
	return d != nil && d.unreachable
}

// SilentFor returns the time since something was received from a failure
// domain, and 0 for an unknown one.
func (t *Table) SilentFor(name string, now time.Duration) time.Duration {
	if d := t.domains[name]; d != nil {
		return now - d.lastContactAt
	}
	return 0
}

// TakeProbe reports whether a backend server of the failure domain is due to be
// probed. If so, it records the probe as started at now.
func (t *Table) TakeProbe(name string, now time.Duration) bool {
	d := t.entry(name, now)
	if now-d.lastContactAt < t.suspectAfter() || now-d.lastProbeAt < ProbeInterval {
		return false
	}
	d.lastProbeAt = now
	return true
}

// NextTarget returns the backend server to probe: one that hasn't failed yet,
// so that a single dead one doesn't hide the others. Once all have failed it
// starts over with the first. It returns false if there is none.
func (t *Table) NextTarget(name string, backends []uint64, now time.Duration) (uint64, bool) {
	if len(backends) == 0 {
		return 0, false
	}
	d := t.entry(name, now)
	if i := slices.IndexFunc(backends, func(b uint64) bool { return !d.failed[b] }); i >= 0 {
		return backends[i], true
	}
	clear(d.failed)
	return backends[0], true
}
