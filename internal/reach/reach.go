// Package reach judges which failure domains a process can reach.
//
// A partition that drops packets hangs connections without an error, so each
// request to the far side would wait for a time-out of its own. Datagrams of
// peers and answers of backend servers arrive many times a second while a
// failure domain can be reached: when all of them stop, a few connection
// attempts tell a partition from a quiet moment. The package is pure: it reads no
// clock and does no I/O. Times are those of one steady clock of the caller.
package reach

import (
	"slices"
	"time"
)

const (
	// SuspectAfter is the silence after which a failure domain is probed: peers
	// send at least every half second, and one datagram may be late.
	SuspectAfter = 600 * time.Millisecond
	// ProbeInterval is the time between two probes of a suspected domain: several
	// times a connection's round trip between failure domains.
	ProbeInterval = 150 * time.Millisecond
	// cutFailures is the number of backend servers that must fail, one after the
	// other, for their whole domain to count as cut off: one may be dead alone.
	cutFailures = 2
)

// domain is what is known of one failure domain.
type domain struct {
	heardAt  time.Duration
	probedAt time.Duration
	// failed holds the backend servers that did not answer since heardAt.
	failed map[uint64]bool
	cut    bool
}

// Table holds the failure domains. The zero value is not usable; it is not safe
// for concurrent use.
type Table struct {
	domains map[string]*domain
}

// NewTable returns an empty table, in which every failure domain counts as
// reached.
func NewTable() *Table { return &Table{domains: map[string]*domain{}} }

func (t *Table) row(name string, now time.Duration) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{heardAt: now, failed: map[uint64]bool{}}
		t.domains[name] = d
	}
	return d
}

// Heard records that something was received from a process in a failure domain.
// It reports whether the domain counted as cut off until now.
func (t *Table) Heard(name string, now time.Duration) (restored bool) {
	d := t.row(name, now)
	restored = d.cut
	d.heardAt, d.cut = max(d.heardAt, now), false
	clear(d.failed)
	return restored
}

// Failed records a connection to a backend server that was tried at a time and
// not made. It reports whether the failure domain counts as cut off from now on.
// A failure says nothing if the domain has been heard since the attempt began.
func (t *Table) Failed(name string, backend uint64, tried time.Duration) (cut bool) {
	d := t.row(name, tried)
	if d.heardAt > tried {
		return false
	}
	d.failed[backend] = true
	if d.cut || len(d.failed) < cutFailures {
		return false
	}
	d.cut = true
	return true
}

// Cut reports whether a failure domain counts as cut off.
func (t *Table) Cut(name string) bool {
	d := t.domains[name]
	return d != nil && d.cut
}

// Silence returns the time since something was received from a failure domain, 0
// for an unknown one.
func (t *Table) Silence(name string, now time.Duration) time.Duration {
	if d := t.domains[name]; d != nil {
		return now - d.heardAt
	}
	return 0
}

// Probe reports whether a backend server of the failure domain should be probed
// now, and counts the probe.
func (t *Table) Probe(name string, now time.Duration) bool {
	d := t.row(name, now)
	if now-d.heardAt < SuspectAfter || now-d.probedAt < ProbeInterval {
		return false
	}
	d.probedAt = now
	return true
}

// Next picks the backend server to probe: one that has not failed yet, so that a
// single dead one does not hide the others.
func (t *Table) Next(name string, backends []uint64, now time.Duration) (uint64, bool) {
	if len(backends) == 0 {
		return 0, false
	}
	d := t.row(name, now)
	if i := slices.IndexFunc(backends, func(b uint64) bool { return !d.failed[b] }); i >= 0 {
		return backends[i], true
	}
	clear(d.failed)
	return backends[0], true
}
