package standin

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// metrics serves the counters and the load of the instance in the Prometheus text
// format.
func (b *boot) metrics(w http.ResponseWriter, _ *http.Request) {
	d := b.in.Stats()
	set := metrics.NewSet()
	for _, m := range []struct {
		name  string
		value float64
	}{
		{"standin_requests_running", float64(d.Running)},
		{"standin_requests_waiting", float64(d.Waiting)},
		{"standin_kv_tokens_reserved", float64(d.ReservedTokens)},
		{"standin_kv_tokens_leaked", float64(d.LeakedTokens)},
		{"standin_requests_total", float64(d.Requests)},
		{"standin_requests_completed_total", float64(d.Completed)},
		{"standin_overloads_total", float64(d.Overloads)},
		{"standin_crashes_total", float64(d.Crashes)},
		{"standin_tokens_wasted_total", float64(d.WastedTokens)},
		{"standin_tokens_prefilled_total", float64(d.Model.PrefilledTokens)},
		{"standin_tokens_cached_total", float64(d.Model.CachedTokens)},
		{"standin_tokens_generated_total", float64(d.Model.GeneratedTokens)},
	} {
		set.NewGauge(m.name, func() float64 { return m.value })
	}
	set.WritePrometheus(w)
}
