package reach

import (
	"slices"
	"time"
)

const (
	// isolatedFailures is the number of backend servers to which connections must fail,
	// without one that succeeds in between, for the process to count as isolated: a
	// single one may have failed on its own. isolatedDomains is the number of their failure
	// domains, if there are as many: all of one may have failed together.
	isolatedFailures = 2
	isolatedDomains  = 2
	// restoredServers is the number of backend servers to which connections must
	// succeed, without one that fails in between, for the isolation to end.
	restoredServers = 2
	// failureMemory is how long a failed connection counts. Backend servers that fail
	// one after the other over a longer time have failed on their own.
	failureMemory = 3 * time.Second
	// returnTime is the time after the end of an isolation in which the share of requests
	// on own connections rises to all of them.
	returnTime = time.Second
)

// Isolation detects that a process can open no connections to backend servers, while
// other processes may still reach them.
//
// Only attempts to connect count. Datagrams of peers say nothing about the path to
// backend servers, and connections that were open before may live on while new ones are
// refused. If they live on while new ones time out, the path works, and is overloaded.
//
// An Isolation is not safe for concurrent use; the zero value is ready to use.
type Isolation struct {
	// failed holds the last failed attempts at backend servers since a connection
	// succeeded; restored holds the backend servers at which one succeeded since one failed.
	failed   map[uint64]failedAttempt
	restored map[uint64]bool
	isolated bool
	// since is when the first failed attempt began that led to the isolation, and
	// restoredAt when the last isolation ended, or 0.
	since, restoredAt time.Duration
	// connectedAt is when an attempt to connect last succeeded, receivedAt when anything
	// was last received from a backend server, and probedAt when the last probe began.
	connectedAt, receivedAt, probedAt time.Duration
}

// Server is a backend server with its failure domain, which is empty if unknown.
type Server struct {
	Key    uint64
	Domain string
}

// Known is the number of backend servers that a process may connect to, and of their
// failure domains.
type Known struct{ Servers, Domains int }

// failedAttempt is an attempt to connect that failed.
type failedAttempt struct {
	domain  string
	started time.Duration
}

// RecordFailure records that an attempt to connect to a backend server failed, which began
// at started. It reports whether the process became isolated by it.
func (i *Isolation) RecordFailure(server Server, known Known, started, now time.Duration) (isolated bool) {
	if started < i.connectedAt {
		return false
	}
	if i.failed == nil {
		i.failed = map[uint64]failedAttempt{}
	}
	for b, f := range i.failed {
		if now-f.started > failureMemory {
			delete(i.failed, b)
		}
	}
	i.failed[server.Key] = failedAttempt{server.Domain, started}
	clear(i.restored)
	if i.isolated || len(i.failed) < min(isolatedFailures, known.Servers) ||
		len(i.failedDomains()) < min(isolatedDomains, known.Domains) {
		return false
	}
	i.isolated, i.since = true, started
	for _, f := range i.failed {
		i.since = min(i.since, f.started)
	}
	return true
}

// failedDomains returns the failure domains of the failed attempts.
func (i *Isolation) failedDomains() map[string]bool {
	domains := map[string]bool{}
	for _, f := range i.failed {
		domains[f.domain] = true
	}
	return domains
}

// RecordTimeout records that an attempt to connect timed out, as RecordFailure does. It
// doesn't count if anything was received on own connections since the attempt began: in a
// burst, single attempts time out while the path works.
func (i *Isolation) RecordTimeout(server Server, known Known, started, now time.Duration) (isolated bool) {
	if i.receivedAt >= started {
		return false
	}
	return i.RecordFailure(server, known, started, now)
}

// RecordConnected records that a connection to a backend server was made. It reports
// whether the isolation of the process ended by it.
func (i *Isolation) RecordConnected(server Server, known Known, now time.Duration) (restored bool) {
	i.connectedAt = max(i.connectedAt, now)
	i.RecordReceived(now)
	clear(i.failed)
	if !i.isolated {
		return false
	}
	if i.restored == nil {
		i.restored = map[uint64]bool{}
	}
	i.restored[server.Key] = true
	if len(i.restored) < min(restoredServers, known.Servers) {
		return false
	}
	clear(i.restored)
	i.isolated, i.restoredAt = false, now
	return true
}

// RecordReceived records that something was received on an own connection to a backend
// server.
func (i *Isolation) RecordReceived(now time.Duration) { i.receivedAt = max(i.receivedAt, now) }

// IsIsolated reports whether the process counts as isolated.
func (i *Isolation) IsIsolated() bool { return i.isolated }

// IsInDoubt reports whether the process counts as isolated, or a connection failed and
// none has succeeded since.
func (i *Isolation) IsInDoubt() bool { return i.isolated || len(i.failed) > 0 }

// Since returns when the first attempt to connect began that failed in the current or
// last isolation.
func (i *Isolation) Since() time.Duration { return i.since }

// UsesOwnConnection decides whether a request is sent on an own connection. Random is a
// number in [0, 1).
func (i *Isolation) UsesOwnConnection(now time.Duration, random float64) bool {
	if i.isolated {
		return false
	}
	return i.restoredAt == 0 || random*float64(returnTime) < float64(now-i.restoredAt)
}

// TakeProbe reports whether a connection to some backend server should be tried now, and
// records it as begun. That is the case while that is in doubt, and if requests have
// waited for a response since waitingSince (0 if none wait) and nothing was received for
// SuspectAfter.
func (i *Isolation) TakeProbe(waitingSince, now time.Duration) bool {
	isSilent := waitingSince > 0 && now-max(waitingSince, i.receivedAt) >= SuspectAfter
	if !i.IsInDoubt() && !isSilent {
		return false
	}
	if now-i.probedAt < ProbeInterval {
		return false
	}
	i.probedAt = now
	return true
}

// NextTarget returns the backend server to probe: one that has neither failed nor
// succeeded since the state last changed, if there is one, and of a failure domain without
// a failure if possible. It returns false if there is no backend server.
func (i *Isolation) NextTarget(servers []Server, random float64) (Server, bool) {
	if len(servers) == 0 {
		return Server{}, false
	}
	first := int(random * float64(len(servers)))
	order := slices.Concat(servers[first:], servers[:first])
	failedDomains := i.failedDomains()
	isNew := func(s Server) bool {
		_, hasFailed := i.failed[s.Key]
		return !hasFailed && !i.restored[s.Key]
	}
	if n := slices.IndexFunc(order, func(s Server) bool { return isNew(s) && !failedDomains[s.Domain] }); n >= 0 {
		return order[n], true
	}
	if n := slices.IndexFunc(order, isNew); n >= 0 {
		return order[n], true
	}
	return order[0], true
}
