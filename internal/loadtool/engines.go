package loadtool

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// Engines sums the counters of stand-ins. The JSON names are those of the
// stand-in.
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

// engines reads the counters; nil when the settings name none.
func (t *Tool) engines(ctx context.Context) (*Engines, error) {
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
	var all []struct {
		Engines
		Model struct {
			Cached    uint64 `json:"cached_tokens"`
			Prefilled uint64 `json:"prefilled_tokens"`
		} `json:"model"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return errors.Annotate(err, "decode counters")
	}
	for _, x := range all {
		e.Requests += x.Requests
		e.Completed += x.Completed
		e.Cancelled += x.Cancelled
		e.Overloads += x.Overloads
		e.Crashes += x.Crashes
		e.MaxConcurrentCold = max(e.MaxConcurrentCold, x.MaxConcurrentCold)
		e.AfterLeaving += x.AfterLeaving
		e.WastedTokens += x.WastedTokens
		e.LeakedTokens += x.LeakedTokens
		e.ReservedTokens += x.ReservedTokens
		e.CachedTokens += x.Model.Cached
		e.PrefilledTokens += x.Model.Prefilled
	}
	return nil
}

// since returns the growth of the counters; memory and maxima are those of now.
// Token counters of the model start again with each boot, so they may shrink by
// a crash and then count from zero.
func (e *Engines) since(before *Engines) *Engines {
	d := *e
	d.Requests -= before.Requests
	d.Completed -= before.Completed
	d.Cancelled -= before.Cancelled
	d.Overloads -= before.Overloads
	d.Crashes -= before.Crashes
	d.AfterLeaving -= before.AfterLeaving
	d.WastedTokens -= before.WastedTokens
	d.CachedTokens -= min(d.CachedTokens, before.CachedTokens)
	d.PrefilledTokens -= min(d.PrefilledTokens, before.PrefilledTokens)
	return &d
}
