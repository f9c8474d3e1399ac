package suspicion

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// EvidenceCrashes is the number of crashes at which the features that all of them
	// have in common are quarantined.
	EvidenceCrashes = 3
	// simultaneousCrashes is the time within which crashes count as one: failures of
	// many backend servers at once have another cause than a request.
	simultaneousCrashes = 100 * time.Millisecond
	// trialDelay is the time from the last crash to the first trial of a quarantined
	// request. It doubles with each crash above EvidenceCrashes.
	trialDelay = 30 * time.Second
	// TrialTurn is the time for which one process may run a trial, before another one
	// may.
	TrialTurn = 5 * time.Second
	// maxCrashes bounds the crashes that are kept, maxCrashFeatures the features of each,
	// and maxServed the innocent features that are kept, in each generation.
	maxCrashes       = 128
	maxCrashFeatures = 512
	maxServed        = 8192
	// reportWindow is how long each crash is repeated to the other processes. The
	// crashes of quarantined features are repeated until they expire.
	reportWindow = 3 * time.Second
	// maxReports bounds the crashes that are reported together, and maxReportedFeatures
	// the features of one report.
	maxReports          = 24
	maxReportedFeatures = 64
)

// Feature identifies something that a request may have in common with others: the
// request itself, which its caller may send again, or a part of its prompt.
type Feature uint64

// Request is a request as far as it may crash backend servers.
type Request struct {
	// Self is the feature that only repeats of the request share.
	Self Feature
	// Parts are the parts of its prompt that other requests may share.
	Parts []Feature
}

// Suspect is a set of features that all requests have which crash backend servers.
type Suspect struct {
	// Features are sorted.
	Features []Feature `json:"features"`
	// Crashes is the number of crashes, where simultaneous ones count once.
	Crashes   int           `json:"crashes"`
	LastCrash time.Duration `json:"last_crash_ns"`
}

// Key returns a hash of the features.
func (s *Suspect) Key() uint64 {
	var data []byte
	for _, f := range s.Features {
		data = binary.LittleEndian.AppendUint64(data, uint64(f))
	}
	return xxhash.Sum64(data)
}

// Matches reports whether a request has all features of the suspect.
func (s *Suspect) Matches(r Request) bool {
	for _, f := range s.Features {
		if f != r.Self && !slices.Contains(r.Parts, f) {
			return false
		}
	}
	return true
}

// Evidence finds the features of requests that crash backend servers. Unlike Table, it
// doesn't need to know which request has caused a crash: each crash comes with the
// features of all requests that were open on the backend server and had not begun to
// respond. A feature is innocent of the crashes before a time at which a request with it
// has begun to respond.
//
// The features that explain most crashes are quarantined first, and the crashes that
// they explain don't count against others. Features that occur in the same crashes can't
// be told apart; only requests with all of them are quarantined, so that requests with
// some of them can show which ones are innocent.
//
// Reports may arrive twice, late or in another order. An Evidence is not safe for
// concurrent use. Times are on any monotonic clock, the same one for all calls.
type Evidence struct {
	// crashes holds the crashes by lifetime of the backend server.
	crashes map[uint64]*crashEvidence
	// counts holds the number of crashes of each feature.
	counts map[Feature]int
	// served holds when a request with a feature last began to respond, in two
	// generations.
	served, servedOld map[Feature]time.Duration
	// cleared holds when features were last found innocent of a crash.
	cleared map[Feature]time.Duration

	// suspects follows from crashes, unless isStale is set.
	suspects []Suspect
	isStale  bool
	// announced holds the keys of the suspects that NewSuspects has returned.
	announced map[uint64]bool
	// trials holds the turn of the last trial, by key of the suspect.
	trials map[uint64]uint64
}

// crashEvidence is one crash. Features lacks those that are innocent.
type crashEvidence struct {
	at       time.Duration
	features map[Feature]bool
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence() *Evidence {
	return &Evidence{
		crashes: map[uint64]*crashEvidence{}, counts: map[Feature]int{}, served: map[Feature]time.Duration{}, servedOld: map[Feature]time.Duration{},
		cleared: map[Feature]time.Duration{}, announced: map[uint64]bool{}, trials: map[uint64]uint64{},
	}
}

// RecordCrash records that a backend server crashed at a time, and features of requests
// that were open there. It reports whether any of this is new.
func (e *Evidence) RecordCrash(at time.Duration, backend uint64, features ...Feature) bool {
	c := e.crashes[backend]
	if c == nil {
		if len(e.crashes) >= maxCrashes {
			e.evict()
		}
		c = &crashEvidence{at: at, features: map[Feature]bool{}}
		e.crashes[backend] = c
	}
	c.at = min(c.at, at)
	isNew := false
	for _, f := range features {
		if f != 0 && !c.features[f] && len(c.features) < maxCrashFeatures && max(e.served[f], e.servedOld[f], e.cleared[f]) <= c.at {
			c.features[f] = true
			e.counts[f]++
			isNew = true
			if e.counts[f] >= EvidenceCrashes {
				e.isStale = true
			}
		}
	}
	return isNew
}

// RecordServed records that a backend server has begun to respond to a request.
func (e *Evidence) RecordServed(at time.Duration, r Request) {
	e.Clear(at, r.Self)
	for _, f := range r.Parts {
		if len(e.served) >= maxServed {
			e.served, e.servedOld = map[Feature]time.Duration{}, e.served
		}
		e.served[f] = max(at, e.served[f])
		e.Clear(at, f)
	}
}

// Clear records that a feature is innocent of the crashes before a time.
func (e *Evidence) Clear(at time.Duration, f Feature) {
	for _, c := range e.crashes {
		if c.at < at && c.features[f] {
			e.remove(c, f)
			if len(e.cleared) >= maxServed {
				clear(e.cleared)
			}
			e.cleared[f] = max(at, e.cleared[f])
		}
	}
}

// remove removes a feature from a crash.
func (e *Evidence) remove(c *crashEvidence, f Feature) {
	delete(c.features, f)
	if e.counts[f]--; e.counts[f] == 0 {
		delete(e.counts, f)
	}
	// Without suspects, fewer features make none.
	e.isStale = e.isStale || len(e.suspects) > 0
}

// drop removes a crash.
func (e *Evidence) drop(backend uint64) {
	for f := range e.crashes[backend].features {
		e.remove(e.crashes[backend], f)
	}
	delete(e.crashes, backend)
}

// Quarantined reports whether a request must not run, and when its caller may come back.
// After a time without crashes, it lets one request run for a trial in each turn for
// which isOwner is true. The turns of all processes begin at about the same time.
func (e *Evidence) Quarantined(now time.Duration, r Request, isOwner func(key, turn uint64) bool) (retryAfter time.Duration, ok bool) {
	for _, s := range e.Suspects() {
		if !s.Matches(r) {
			continue
		}
		delay := min(Retention, trialDelay<<min(s.Crashes-EvidenceCrashes, 8))
		age := max(0, now-s.LastCrash)
		key, turn := s.Key(), uint64(age/TrialTurn)
		if age >= delay && e.trials[key] != turn && isOwner(key, turn) {
			e.trials[key] = turn
			continue
		}
		return max(TrialTurn, delay-age), true
	}
	return 0, false
}

// Suspects returns the sets of features that are quarantined.
func (e *Evidence) Suspects() []Suspect {
	if e.isStale {
		e.suspects, e.isStale = e.attribute(), false
	}
	return e.suspects
}

// NewSuspects returns the suspects that it has not returned before.
func (e *Evidence) NewSuspects() []Suspect {
	var out []Suspect
	for _, s := range e.Suspects() {
		if key := s.Key(); !e.announced[key] {
			e.announced[key] = true
			out = append(out, s)
		}
	}
	return out
}

// attribute returns the smallest number of suspects that explains the crashes, as far as
// a greedy choice finds it.
func (e *Evidence) attribute() []Suspect {
	crashesOf := map[Feature][]uint64{}
	for _, backend := range slices.Sorted(maps.Keys(e.crashes)) {
		for f := range e.crashes[backend].features {
			if e.counts[f] >= EvidenceCrashes {
				crashesOf[f] = append(crashesOf[f], backend)
			}
		}
	}
	var out []Suspect
	for {
		best, most := Feature(0), 0
		for f, crashes := range crashesOf {
			if n := e.moments(crashes); n > most || (n == most && f < best) {
				best, most = f, n
			}
		}
		if most < EvidenceCrashes {
			return out
		}
		explained := crashesOf[best]
		s := Suspect{Crashes: most}
		for f, crashes := range crashesOf {
			if slices.Equal(crashes, explained) {
				s.Features = append(s.Features, f)
			}
		}
		slices.Sort(s.Features)
		for _, backend := range explained {
			s.LastCrash = max(s.LastCrash, e.crashes[backend].at)
		}
		out = append(out, s)
		for f, crashes := range crashesOf {
			left := slices.DeleteFunc(slices.Clone(crashes), func(b uint64) bool { return slices.Contains(explained, b) })
			if crashesOf[f] = left; len(left) == 0 {
				delete(crashesOf, f)
			}
		}
	}
}

// moments returns the number of crashes of a list, where simultaneous ones count once.
func (e *Evidence) moments(crashes []uint64) int {
	if len(crashes) < EvidenceCrashes {
		return len(crashes)
	}
	times := make([]time.Duration, 0, len(crashes))
	for _, backend := range crashes {
		times = append(times, e.crashes[backend].at)
	}
	slices.Sort(times)
	n, last := 1, times[0]
	for _, at := range times[1:] {
		if at-last > simultaneousCrashes {
			n, last = n+1, at
		}
	}
	return n
}

// Expire drops crashes and innocent features that are at least Retention old.
func (e *Evidence) Expire(now time.Duration) {
	for backend, c := range e.crashes {
		if now-c.at >= Retention {
			e.drop(backend)
		}
	}
	maps.DeleteFunc(e.cleared, func(_ Feature, at time.Duration) bool { return now-at >= Retention })
	if len(e.crashes) == 0 {
		clear(e.announced)
		clear(e.trials)
	}
}

// evict drops the oldest crash that no suspect explains, or the oldest one.
func (e *Evidence) evict() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(e.crashes)), func(a, b uint64) int {
		if x, y := e.isExplained(a), e.isExplained(b); x != y {
			if x {
				return 1
			}
			return -1
		}
		return cmp.Compare(e.crashes[a].at, e.crashes[b].at)
	})
	e.drop(oldest)
}

// isExplained reports whether a suspect explains a crash.
func (e *Evidence) isExplained(backend uint64) bool {
	return slices.ContainsFunc(e.suspects, func(s Suspect) bool { return e.crashes[backend].hasAll(s.Features) })
}

func (c *crashEvidence) hasAll(features []Feature) bool {
	return !slices.ContainsFunc(features, func(f Feature) bool { return !c.features[f] })
}

// Report is a crash as it is sent to other processes.
type Report struct {
	Backend  uint64        `json:"backend"`
	At       time.Duration `json:"at_ns"`
	Features []Feature     `json:"features"`
}

// Reports returns what other processes should know now: recent crashes, and those by
// which a process that has just started finds the same suspects.
func (e *Evidence) Reports(now time.Duration) []Report {
	byBackend := map[uint64]map[Feature]bool{}
	for _, s := range e.Suspects() {
		for _, backend := range e.lastCrashes(s) {
			if byBackend[backend] == nil {
				byBackend[backend] = map[Feature]bool{}
			}
			for _, f := range s.Features {
				byBackend[backend][f] = true
			}
		}
	}
	for backend, c := range e.crashes {
		if now-c.at < reportWindow {
			byBackend[backend] = c.features
		}
	}
	var out []Report
	for backend, features := range byBackend {
		if len(features) > 0 {
			list := slices.Sorted(maps.Keys(features))
			out = append(out, Report{Backend: backend, At: e.crashes[backend].at, Features: list[:min(len(list), maxReportedFeatures)]})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(b.At, a.At) })
	return out[:min(len(out), maxReports)]
}

// lastCrashes returns the last EvidenceCrashes crashes of a suspect that are not
// simultaneous.
func (e *Evidence) lastCrashes(s Suspect) []uint64 {
	var all []uint64
	for backend, c := range e.crashes {
		if c.hasAll(s.Features) {
			all = append(all, backend)
		}
	}
	slices.SortFunc(all, func(a, b uint64) int { return cmp.Compare(e.crashes[b].at, e.crashes[a].at) })
	out := all[:0]
	for _, backend := range all {
		if len(out) > 0 && e.crashes[out[len(out)-1]].at-e.crashes[backend].at <= simultaneousCrashes {
			continue
		}
		if out = append(out, backend); len(out) == EvidenceCrashes {
			break
		}
	}
	return out
}

// Cleared returns the features that were recently found innocent of a crash, with the
// time.
func (e *Evidence) Cleared(now time.Duration) map[Feature]time.Duration {
	out := map[Feature]time.Duration{}
	for f, at := range e.cleared {
		if now-at < reportWindow && len(out) < maxReportedFeatures {
			out[f] = at
		}
	}
	return out
}
