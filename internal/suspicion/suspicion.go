// Package suspicion tracks which requests are suspected of crashing backend
// servers, so that callers of the package can quarantine them.
//
// A request that crashes every backend server on which it runs would, as its
// caller retries it, take down the whole fleet. Each crash is counted against the
// requests that ran on the backend server. Crashes are kept as a set, so that
// broadcasts that arrive twice, late or in a different order lead to the same
// counts at every dispatcher. The package neither sends broadcasts nor refuses
// requests.
package suspicion

import (
	"time"
)

const (
	// Retention is how long crashes are kept after the last one of a fingerprint.
	Retention = 10 * time.Minute
	// QuarantineCrashes is the number of crashes at which a fingerprint is refused.
	QuarantineCrashes = 2
	// minRerunDelay is the minimum time between a crash and the next run of a
	// suspect.
	minRerunDelay = time.Second
	// maxFingerprints bounds the fingerprints with crashes. The one with the
	// oldest last crash is evicted first.
	maxFingerprints = 65536
	// maxCompleted bounds the completed fingerprints in each generation.
	maxCompleted = 32768
)

// Crash identifies the crash of one backend server by the boot that crashed.
type Crash struct {
	Backend string
	Boot    uint64
}

// Table holds the crashes known to one process, by request fingerprint. It is not
// safe for concurrent use. The arguments named now are times on any monotonic
// clock, the same one for all calls.
type Table struct {
	records map[string]*record
	// sole holds the crashes that are attributed to a single fingerprint.
	sole map[Crash]soleCrash
	// completed and completedOld hold the fingerprints that completed a run since
	// their last crash, in two generations: the older one is dropped when the
	// younger one is full or at least Retention old, which bounds both.
	completed, completedOld map[string]bool
	completedSince          time.Duration
}

type record struct {
	lastCrash time.Duration
	crashes   map[Crash]time.Duration
}

type soleCrash struct {
	fingerprint  string
	attributedAt time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[string]*record{}, sole: map[Crash]soleCrash{}, completed: map[string]bool{}}
}

// RecordCrash records that a backend server crashed while the request with the
// given fingerprint ran there. If sole is set, the crash is attributed to this
// fingerprint alone, because it was the only suspect on the backend server. An
// empty fingerprint is ignored.
func (t *Table) RecordCrash(now time.Duration, fingerprint string, crash Crash, sole bool) {
	if fingerprint == "" {
		return
	}
	delete(t.completed, fingerprint)
	delete(t.completedOld, fingerprint)
	r := t.records[fingerprint]
	if r == nil {
		if len(t.records) >= maxFingerprints {
			t.dropOldest()
		}
		r = &record{crashes: map[Crash]time.Duration{}}
		t.records[fingerprint] = r
	}
	if _, exists := r.crashes[crash]; !exists {
		r.lastCrash = max(r.lastCrash, now)
		r.crashes[crash] = now
	}
	if _, exists := t.sole[crash]; sole && !exists {
		t.sole[crash] = soleCrash{fingerprint, now}
	}
}

// RecordCompletion records a complete run, which removes the crashes of the
// fingerprint. An empty fingerprint is ignored.
func (t *Table) RecordCompletion(now time.Duration, fingerprint string) {
	if fingerprint == "" {
		return
	}
	delete(t.records, fingerprint)
	if len(t.completed) >= maxCompleted || now-t.completedSince >= Retention {
		t.completed, t.completedOld, t.completedSince = map[string]bool{}, t.completed, now
	}
	t.completed[fingerprint] = true
}

// Count returns the number of crashes that are attributed to a fingerprint. A
// crash attributed to another fingerprint alone does not count.
func (t *Table) Count(fingerprint string) int {
	r := t.records[fingerprint]
	if r == nil {
		return 0
	}
	n := 0
	for crash := range r.crashes {
		if attribution, ok := t.sole[crash]; !ok || attribution.fingerprint == fingerprint {
			n++
		}
	}
	return n
}

// IsSuspected reports whether a fingerprint is suspected, which is when at least one
// crash is attributed to it.
func (t *Table) IsSuspected(fingerprint string) bool { return t.Count(fingerprint) > 0 }

// CanRerun reports whether enough time has passed since the last crash of a
// fingerprint for the next run. By then, copies that ran in other failure domains
// at the time of the crash have crashed as well and have been counted.
func (t *Table) CanRerun(now time.Duration, fingerprint string) bool {
	r := t.records[fingerprint]
	return r == nil || now-r.lastCrash >= minRerunDelay
}

// Quarantined reports whether a fingerprint must be refused, and the remaining
// time of its quarantine.
func (t *Table) Quarantined(now time.Duration, fingerprint string) (time.Duration, bool) {
	if t.Count(fingerprint) < QuarantineCrashes {
		return 0, false
	}
	left := t.records[fingerprint].lastCrash + Retention - now
	return max(0, left), left > 0
}

// HasCompleted reports whether a fingerprint completed a run since its last
// crash.
func (t *Table) HasCompleted(fingerprint string) bool {
	return t.completed[fingerprint] || t.completedOld[fingerprint]
}

// Expire drops the fingerprints whose last crash is at least Retention ago.
func (t *Table) Expire(now time.Duration) {
	for fp, r := range t.records {
		if now-r.lastCrash >= Retention {
			delete(t.records, fp)
		}
	}
	for crash, attribution := range t.sole {
		// Kept twice as long as the records, so that an attribution outlives the
		// counts of the other fingerprints that it overrides.
		if now-attribution.attributedAt >= 2*Retention {
			delete(t.sole, crash)
		}
	}
}

// Entry is the state of one fingerprint in a state dump. Age is the time since its
// last crash.
type Entry struct {
	Fingerprint string        `json:"fingerprint"`
	Count       int           `json:"count"`
	Age         time.Duration `json:"age_ns"`
	Crashes     []Crash       `json:"crashes"`
}

// Dump returns all fingerprints with crashes, in no particular order.
func (t *Table) Dump(now time.Duration) []Entry {
	out := make([]Entry, 0, len(t.records))
	for fp, r := range t.records {
		entry := Entry{Fingerprint: fp, Count: t.Count(fp), Age: now - r.lastCrash}
		for crash := range r.crashes {
			entry.Crashes = append(entry.Crashes, crash)
		}
		out = append(out, entry)
	}
	return out
}

func (t *Table) dropOldest() {
	oldest, oldestAt := "", time.Duration(1<<62)
	for fp, r := range t.records {
		if r.lastCrash < oldestAt {
			oldest, oldestAt = fp, r.lastCrash
		}
	}
	delete(t.records, oldest)
}
