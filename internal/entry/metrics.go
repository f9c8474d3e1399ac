package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

var (
	metricFirstToken      = metrics.NewHistogram("bilberry_first_token_seconds")
	metricDuration        = metrics.NewHistogram("bilberry_request_seconds")
	metricRetries         = metrics.NewCounter("bilberry_retries_total")
	metricResumes         = metrics.NewCounter("bilberry_stream_resumes_total")
	metricCrashes         = metrics.NewCounter("bilberry_backend_crashes_total")
	metricVoidPermits     = metrics.NewCounter("bilberry_void_permits_total")
	metricLateDispatches  = metrics.NewCounter("bilberry_late_dispatches_total")
	metricPauses          = metrics.NewCounter("bilberry_process_pauses_total")
	metricIsolated        = metrics.NewCounter("bilberry_entry_isolated_total")
	metricPeerConnections = metrics.NewCounter("bilberry_entry_peer_connections_total")
)

// countRefusal counts a refusal by code and by whether the request was run.
func countRefusal(refErr *refusal.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_refusals_total{code=%q,run=%q}`, refErr.Code, refErr.Run)).Inc()
}

// countOutcome counts a dispatch by its last step.
func countOutcome(step wirepb.Progress_Step) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_dispatches_total{end=%q}`, step.String())).Inc()
}
