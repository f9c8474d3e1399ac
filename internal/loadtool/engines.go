package loadtool

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// Engines is the sum of the counters of all stand-in engines. The JSON names are
// those of the stand-in.
type Engines struct {
	Requests          uint64 `json:"requests"`
	Completed         uint64 `json:"completed"`
	Cancelled         uint64 `json:"cancelled"`
	Overloads         uint64 `json:"overloads"`
	Crashes           uint64 `json:"crashes"`
	MaxConcurrentCold uint64 `json:"max_concurrent_cold"`
	AfterLeaving      uint64 `json:"after_leaving"`
	WastedTokens      uint64 `json:"wasted_tokens"`
	LeakedTokens      uint64 `json:"leaked_tokens"`
	ReservedTokens    uint64 `json:"reserved_tokens"`
	CachedTokens      uint64 `json:"cached_tokens"`
	PrefilledTokens   uint64 `json:"prefilled_tokens"`
}

// readCounters reads and sums the counters of all stand-in processes. It returns nil
// if the settings have no URLs of counters.
func (t *Tool) readCounters(ctx context.Context) (*Engines, error) {
	if len(t.settings.Stats) == 0 {
		return nil, nil
	}
	sum := &Engines{}
	for _, url := range t.settings.Stats {
		if err := sum.add(ctx, url); err != nil {
			return nil, errors.Annotatef(err, "read counters of %s", url)
		}
	}
	return sum, nil
}

// add adds the counters of the stand-in process at url.
func (e *Engines) add(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var instances []struct {
		Engines
		Model struct {
			Cached    uint64 `json:"cached_tokens"`
			Prefilled uint64 `json:"prefilled_tokens"`
		} `json:"model"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&instances); err != nil {
		return errors.Annotate(err, "decode counters")
	}
	for _, counters := range instances {
		e.Requests += counters.Requests
		e.Completed += counters.Completed
		e.Cancelled += counters.Cancelled
		e.Overloads += counters.Overloads
		e.Crashes += counters.Crashes
		e.MaxConcurrentCold = max(e.MaxConcurrentCold, counters.MaxConcurrentCold)
		e.AfterLeaving += counters.AfterLeaving
		e.WastedTokens += counters.WastedTokens
		e.LeakedTokens += counters.LeakedTokens
		e.ReservedTokens += counters.ReservedTokens
		e.CachedTokens += counters.Model.Cached
		e.PrefilledTokens += counters.Model.Prefilled
	}
	return nil
}

// since returns the increase of the counters since before. Gauges of memory and maxima
// have their current value. The token counters of the model reset at each boot, so a
// crash may decrease them; in that case the increase is zero.
func (e *Engines) since(before *Engines) *Engines {
	delta := *e
	delta.Requests -= before.Requests
	delta.Completed -= before.Completed
	delta.Cancelled -= before.Cancelled
	delta.Overloads -= before.Overloads
	delta.Crashes -= before.Crashes
	delta.AfterLeaving -= before.AfterLeaving
	delta.WastedTokens -= before.WastedTokens
	delta.CachedTokens -= min(delta.CachedTokens, before.CachedTokens)
	delta.PrefilledTokens -= min(delta.PrefilledTokens, before.PrefilledTokens)
	return &delta
}
