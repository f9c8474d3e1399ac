// Package announce defines the JSON documents by which backend servers make
// themselves known.
//
// A backend server posts an Announcement to Path of any entry process every
// Interval. The dispatcher of its pool answers 200 with a Reply; any other
// entry process answers 307 with the address of the dispatcher. The backend
// server announces to one dispatcher at a time, which is what makes that
// dispatcher the only owner of its budget. Unknown fields are ignored, so that
// newer backend servers can announce themselves to older entry processes.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Path is where backend servers post their announcements.
const Path = "/v1/backend-servers/announce"

// BootHeader names the boot that a request was granted for. A backend server
// that runs under another boot number answers StatusWrongBoot and does not run
// the request: a grant for the boot before must not add to the load of a cold
// start. Backend servers that do not know the header run the request.
const (
	BootHeader      = "X-Backend-Boot"
	StatusWrongBoot = http.StatusMisdirectedRequest
)

const (
	// Interval between two announcements of one backend server.
	Interval = 500 * time.Millisecond
	// Lease is how long an announcement counts, from its receipt.
	Lease = 1500 * time.Millisecond
	// MaxDelay bounds the time from sending an announcement to its receipt:
	// backend servers give up on the call after it.
	MaxDelay = 500 * time.Millisecond
	// maxBytes bounds one announcement; 4,096 open requests fit.
	maxBytes = 1 << 20
)

// Kind is the kind of a backend server.
type Kind string

// The kinds of backend servers.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Announcement describes one backend server at one moment.
type Announcement struct {
	ID string `json:"id"`
	// Boot grows with each start of the backend server.
	Boot          uint64   `json:"boot"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	Service       string   `json:"service"`
	Kind          Kind     `json:"kind"`
	Models        []string `json:"models,omitempty"`
	// MemoryTokens is the KV cache capacity in tokens; zero for plain services.
	MemoryTokens uint64 `json:"memory_tokens,omitempty"`
	// MaxConcurrent is the most requests that it takes at once when warm.
	MaxConcurrent uint32 `json:"max_concurrent,omitempty"`
	// ColdLimitRequests is the most requests it bears while cold; zero leaves
	// it to the manifest.
	ColdLimitRequests uint32 `json:"cold_limit_requests,omitempty"`
	ChecksFencing     bool   `json:"checks_fencing,omitempty"`
	Leaving           bool   `json:"leaving,omitempty"`
	// Sequence grows with each announcement of one boot.
	Sequence uint64 `json:"sequence"`
	// PreviousOwner is the dispatcher that last answered 200, or the address
	// of a call made since that was not answered, because its receiver may have
	// accepted it; empty if that was the receiver.
	PreviousOwner string `json:"previous_owner,omitempty"`
	// PreviousReleased is set when that dispatcher gave up its lease.
	PreviousReleased bool `json:"previous_released,omitempty"`
	Load             Load `json:"load"`
}

// Load is a load report. It lags behind the moment of the announcement.
type Load struct {
	// AgeMS is the time since the report was taken, in ms.
	AgeMS    uint64 `json:"age_ms"`
	Sequence uint64 `json:"sequence"`
	// Open lists the X-Request-Id of each request that is queued or running.
	Open             []string `json:"open"`
	MemoryUsedTokens uint64   `json:"memory_used_tokens"`
	// PrefillTokens is the number of prompt tokens not yet prefilled.
	PrefillTokens uint64 `json:"prefill_tokens"`
	// Cold is set while the backend server knows itself to be cold.
	Cold bool `json:"cold"`
	// PrefillTokensPerSecond is the measured speed when warm; zero if unknown.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// CacheEvents are changes of the prefix cache since earlier reports. They
	// arrive late and their sequence may have gaps.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// CacheEvent tells that one prefix block was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Hash identifies the prefix that ends with the block.
	Hash    uint64 `json:"hash,string"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Reply answers an announcement that was accepted.
type Reply struct {
	Owner      string `json:"owner"`
	LeaseMS    int64  `json:"lease_ms"`
	IntervalMS int64  `json:"interval_ms"`
	// Released tells the backend server to announce itself to Next: the
	// dispatcher has given up its lease.
	Released bool   `json:"released,omitempty"`
	Next     string `json:"next,omitempty"`
}

// Decode reads and checks an announcement.
func Decode(r io.Reader) (*Announcement, error) {
	a := &Announcement{}
	if err := json.NewDecoder(io.LimitReader(r, maxBytes)).Decode(a); err != nil {
		return nil, errors.Annotate(err, "decode announcement")
	}
	return a, errors.Trace(a.Check())
}

// Check reports the first field with an invalid value.
func (a *Announcement) Check() error {
	switch {
	case a.ID == "":
		return errors.New("announcement: id is empty")
	case a.Boot == 0:
		return errors.Errorf("announcement of %s: boot is zero", a.ID)
	case a.Address == "":
		return errors.Errorf("announcement of %s: address is empty", a.ID)
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
