// Package invariant holds assertions that run in production builds.
//
// A violated invariant means that a guarantee of the system is about to be broken, so
// every violation must be reported. Report counts and logs a violation and lets the
// process continue. Must panics in addition; it is used for state whose further use would
// spread the corruption, such as a replicated log. Tests and soak runs set a handler that
// fails the run on any violation. The package does not repair anything, and it is not
// meant for the validation of input.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Handler is called for each violation with the name of the invariant and a description.
// Without a handler, violations are logged.
type Handler func(name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler replaces the handler and returns a function that restores the
// previous one.
func SetHandler(h Handler) (restore func()) {
	old := handler.Swap(&h)
	return func() { handler.Store(old) }
}

// Report reports a violation of the named invariant if cond is false, with a description
// made from format and args. It returns cond.
func Report(cond bool, name, format string, args ...any) bool {
	if !cond {
		reportViolation(name, fmt.Sprintf(format, args...))
	}
	return cond
}

// Must reports a violation of the named invariant and panics if cond is false.
func Must(cond bool, name, format string, args ...any) {
	if cond {
		return
	}
	detail := fmt.Sprintf(format, args...)
	reportViolation(name, detail)
	_ = zap.L().Sync()
	panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
}

// Violations returns how often the named invariant was violated in this process.
func Violations(name string) uint64 { return counter(name).Get() }

// counter returns the metric that counts violations of the named invariant.
func counter(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_invariant_violations_total{name=%q}`, name))
}

// reportViolation counts a violation and passes it to the handler, or logs it.
func reportViolation(name, detail string) {
	counter(name).Inc()
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(name, detail)
		return
	}
	zap.L().Error("invariant violated", zap.String("invariant", name), zap.String("detail", detail))
}
