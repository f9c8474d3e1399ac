// Package suspicion decides which requests are suspected of crashing backend
// servers.
//
// A request that crashes each backend server that runs it is sent again by its
// caller and would take down the fleet. Each crash is evidence against the
// requests that ran there. The crashes form a set, so that broadcasts of them that
// arrive twice, late or in another order lead to the same counts at every
// dispatcher.
package suspicion

import (
	"time"
)

const (
	// Memory is how long evidence counts after the last crash of a fingerprint.
	Memory = 10 * time.Minute
	// Quarantine is the number of crashes after which a fingerprint is refused.
	Quarantine = 2
	// settle is the least time between a crash and the next run of a suspect.
	settle = time.Second
	// maxFingerprints bounds the table. The oldest evidence is dropped first.
	maxFingerprints = 65536
	// maxProven bounds the fingerprints remembered as harmless in each generation.
	maxProven = 32768
)

// Crash identifies the crash of one backend server.
type Crash struct {
	Backend string
	Boot    uint64
}

// Table holds the evidence known to one process.
type Table struct {
	records map[string]*record
	// sole holds the crashes that are attributed to one fingerprint alone.
	sole map[Crash]soleCrash
	// proven holds harmless fingerprints in two generations: the older one is
	// dropped when the younger is full or old, which bounds both.
	proven, provenOld map[string]bool
	provenSince       time.Duration
}

type record struct {
	last    time.Duration
	crashes map[Crash]time.Duration
}

type soleCrash struct {
	fingerprint string
	at          time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[string]*record{}, sole: map[Crash]soleCrash{}, proven: map[string]bool{}}
}

// Crashed records that a backend server crashed while the request ran there.
// sole attributes the crash to this fingerprint alone: it was the only suspect
// on the backend server.
func (t *Table) Crashed(now time.Duration, fingerprint string, crash Crash, sole bool) {
	if fingerprint == "" {
		return
	}
	delete(t.proven, fingerprint)
	delete(t.provenOld, fingerprint)
	r := t.records[fingerprint]
	if r == nil {
		if len(t.records) >= maxFingerprints {
			t.dropOldest()
		}
		r = &record{crashes: map[Crash]time.Duration{}}
		t.records[fingerprint] = r
	}
	if _, known := r.crashes[crash]; !known {
		r.last = max(r.last, now)
		r.crashes[crash] = now
	}
	if _, known := t.sole[crash]; sole && !known {
		t.sole[crash] = soleCrash{fingerprint, now}
	}
}

// Completed records a complete run, which clears the fingerprint.
func (t *Table) Completed(now time.Duration, fingerprint string) {
	if fingerprint == "" {
		return
	}
	delete(t.records, fingerprint)
	if len(t.proven) >= maxProven || now-t.provenSince >= Memory {
		t.proven, t.provenOld, t.provenSince = map[string]bool{}, t.proven, now
	}
	t.proven[fingerprint] = true
}

// Count returns how many crashes are attributed to a fingerprint.
func (t *Table) Count(fingerprint string) int {
	r := t.records[fingerprint]
	if r == nil {
		return 0
	}
	n := 0
	for crash := range r.crashes {
		if s, ok := t.sole[crash]; !ok || s.fingerprint == fingerprint {
			n++
		}
	}
	return n
}

// Suspect tells whether a fingerprint is under suspicion.
func (t *Table) Suspect(fingerprint string) bool { return t.Count(fingerprint) > 0 }

// Settled tells whether the last crash of a fingerprint is old enough for a next
// run. Copies that ran in other failure domains at that time have crashed by then,
// and their crashes count.
func (t *Table) Settled(now time.Duration, fingerprint string) bool {
	r := t.records[fingerprint]
	return r == nil || now-r.last >= settle
}

// Quarantined tells whether a fingerprint is refused, and for how much longer.
func (t *Table) Quarantined(now time.Duration, fingerprint string) (time.Duration, bool) {
	if t.Count(fingerprint) < Quarantine {
		return 0, false
	}
	left := t.records[fingerprint].last + Memory - now
	return max(0, left), left > 0
}

// Proven tells whether a fingerprint completed a run since its last crash.
func (t *Table) Proven(fingerprint string) bool {
	return t.proven[fingerprint] || t.provenOld[fingerprint]
}

// Expire drops evidence older than Memory.
func (t *Table) Expire(now time.Duration) {
	for fp, r := range t.records {
		if now-r.last >= Memory {
			delete(t.records, fp)
		}
	}
	for crash, s := range t.sole {
		// Kept twice as long, so that it outlives the evidence it outweighs.
		if now-s.at >= 2*Memory {
			delete(t.sole, crash)
		}
	}
}

// Entry is one row of a state dump.
type Entry struct {
	Fingerprint string        `json:"fingerprint"`
	Count       int           `json:"count"`
	Age         time.Duration `json:"age_ns"`
	Crashes     []Crash       `json:"crashes"`
}

// Dump returns all fingerprints with evidence.
func (t *Table) Dump(now time.Duration) []Entry {
	out := make([]Entry, 0, len(t.records))
	for fp, r := range t.records {
		e := Entry{Fingerprint: fp, Count: t.Count(fp), Age: now - r.last}
		for crash := range r.crashes {
			e.Crashes = append(e.Crashes, crash)
		}
		out = append(out, e)
	}
	return out
}

func (t *Table) dropOldest() {
	oldest, at := "", time.Duration(1<<62)
	for fp, r := range t.records {
		if r.last < at {
			oldest, at = fp, r.last
		}
	}
	delete(t.records, oldest)
}
