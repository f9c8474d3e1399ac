// Package announce defines the JSON documents with which backend servers register
// at entry processes. It doesn't send or serve them.
//
// A backend server posts an Announcement to Path of any entry process every
// Interval. The dispatcher of its pool responds with 200 and a Reply; any other
// entry process responds with 307 and the address of the dispatcher. A backend
// server announces itself to one dispatcher at a time, which makes that dispatcher
// the exclusive owner of the budget of the backend server. Unknown fields are
// ignored, so that newer backend servers can announce themselves to older entry
// processes.
package announce

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Path is the URL path to which backend servers post their announcements.
const Path = "/v1/backend-servers/announce"

// BootHeader carries the boot number for which a request was granted. A backend
// server that runs under another boot number responds with StatusWrongBoot and the
// X-Request-Id of the request, and does not run the request: a grant for an earlier boot must not add to the load of a
// cold start. Backend servers that do not implement the header run the request.
const (
	BootHeader      = "X-Backend-Boot"
	StatusWrongBoot = http.StatusMisdirectedRequest
)

// SequenceHeader carries the sequence number of the announcement whose lease a request was
// granted under. A backend server that has sent this announcement longer than GrantLifetime
// ago, by its own clock, responds with StatusWrongBoot as well and does not run the request.
// No check in the sender can do that: a process may be paused after it, for any time, and
// the bytes may wait in a process that passes them on. The backend server checks when it has
// read the whole request. Backend servers that do not implement the header run the request.
const SequenceHeader = "X-Backend-Announcement"

// LeavingHeader, with the value 1 in a response, states that the backend server leaves,
// whatever its announcements say.
const LeavingHeader = "X-Backend-Leaving"

const (
	// Interval is the time between two announcements of one backend server.
	Interval = 500 * time.Millisecond
	// Lease is how long an announcement is valid after its receipt.
	Lease = 1500 * time.Millisecond
	// MaxDelay bounds the time from sending an announcement to its receipt: it is
	// the timeout of the call in the backend server.
	MaxDelay = 500 * time.Millisecond
	// PermitLifetime is how long after a grant it may be used.
	PermitLifetime = 500 * time.Millisecond
	// GrantLifetime is the time from sending an announcement after which no request may
	// begin to run that was granted under its lease.
	GrantLifetime = MaxDelay + Lease + PermitLifetime
	// MaxBytes bounds one announcement; 4,096 open requests fit.
	MaxBytes = 1 << 20
)

// Kind is the kind of a backend server.
type Kind string

// The kinds of backend servers: engines that serve models, and plain HTTP services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Announcement describes the state of one backend server at the time of sending.
type Announcement struct {
	ID string `json:"id"`
	// Boot increases with each start of the backend server.
	Boot          uint64   `json:"boot"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	Service       string   `json:"service"`
	Kind          Kind     `json:"kind"`
	Models        []string `json:"models,omitempty"`
	// MemoryTokens is the KV cache capacity in tokens; zero for plain services.
	MemoryTokens uint64 `json:"memory_tokens,omitempty"`
	// MaxConcurrent is the maximum number of concurrent requests when warm.
	MaxConcurrent uint32 `json:"max_concurrent,omitempty"`
	// ColdLimitRequests is the maximum number of concurrent requests while cold;
	// zero means that the limit of the manifest applies.
	ColdLimitRequests uint32 `json:"cold_limit_requests,omitempty"`
	ChecksFencing     bool   `json:"checks_fencing,omitempty"`
	// Leaving is set if the backend server must not be granted any more requests.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence increases with each announcement of one boot.
	Sequence uint64 `json:"sequence"`
	// PreviousOwner is the dispatcher that last responded with 200. If a later
	// call got no response, it is the address of that call, because the receiver
	// may have accepted it. It is empty if it would be the receiver itself.
	PreviousOwner string `json:"previous_owner,omitempty"`
	// PreviousReleased is set if that dispatcher has released its lease.
	PreviousReleased bool `json:"previous_released,omitempty"`
	Load             Load `json:"load"`
}

// Load is a load report. It is older than the announcement that carries it.
type Load struct {
	// AgeMS is the time since the report was taken, in milliseconds.
	AgeMS    uint64 `json:"age_ms"`
	Sequence uint64 `json:"sequence"`
	// Open lists the X-Request-Id of all requests that are queued or running.
	Open             []string `json:"open"`
	MemoryUsedTokens uint64   `json:"memory_used_tokens"`
	// PrefillTokens is the number of prompt tokens not yet prefilled.
	PrefillTokens uint64 `json:"prefill_tokens"`
	// Cold is set while the backend server considers itself cold.
	Cold bool `json:"cold"`
	// PrefillTokensPerSecond is the observed prefill throughput when warm; zero if
	// unknown.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// CacheEvents lists changes of the prefix cache since earlier reports. They are
	// delayed, and there may be gaps in their sequence numbers.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// CacheEvent reports that one prefix block was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Hash identifies the prefix that ends with the block.
	Hash    uint64 `json:"hash,string"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Reply is the response to an announcement that was accepted. Owner is the id of
// the dispatcher. LeaseMS and IntervalMS are in milliseconds.
type Reply struct {
	Owner      string `json:"owner"`
	LeaseMS    int64  `json:"lease_ms"`
	IntervalMS int64  `json:"interval_ms"`
	// Released is set if the dispatcher has released its lease. The backend server
	// must then announce itself to Next, the HTTP address of the next dispatcher.
	Released bool   `json:"released,omitempty"`
	Next     string `json:"next,omitempty"`
}

// Decode reads one announcement from r and checks it. It returns an error if the
// JSON cannot be decoded, is larger than 1 MiB or has an invalid field.
func Decode(r io.Reader) (*Announcement, error) {
	a := &Announcement{}
	if err := json.NewDecoder(io.LimitReader(r, MaxBytes)).Decode(a); err != nil {
		return nil, errors.Annotate(err, "decode announcement")
	}
	return a, errors.Trace(a.Check())
}

// Check returns an error for the first field with an invalid value, or nil.
func (a *Announcement) Check() error {
	switch {
	case a.ID == "":
		return errors.New("announcement: id is empty")
	case a.Boot == 0:
		return errors.Errorf("announcement of %s: boot is zero", a.ID)
	case a.Address == "":
		return errors.Errorf("announcement of %s: address is empty", a.ID)
	case !isHostPort(a.Address):
		return errors.Errorf("announcement of %s: address %q is no host and port", a.ID, a.Address)
	case a.FailureDomain == "":
		return errors.Errorf("announcement of %s: failure_domain is empty", a.ID)
	case a.Service == "":
		return errors.Errorf("announcement of %s: service is empty", a.ID)
	case a.Sequence == 0:
		return errors.Errorf("announcement of %s: sequence is zero", a.ID)
	case a.Kind != KindModel && a.Kind != KindPlain:
		return errors.Errorf("announcement of %s: kind %q is neither model nor plain", a.ID, a.Kind)
	case a.Kind == KindModel && len(a.Models) == 0:
		return errors.Errorf("announcement of %s: a model server names no models", a.ID)
	case a.Kind == KindModel && a.MemoryTokens == 0:
		return errors.Errorf("announcement of %s: memory_tokens is zero", a.ID)
	}
	return nil
}

// isHostPort reports whether address consists of a host and a port from 1 to 65535.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
