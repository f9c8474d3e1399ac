// Package invariant holds assertions that run in production builds.
//
// A violated invariant means that a promise of the system is about to be
// broken, so it must never pass unnoticed. Report counts and logs a violation
// and lets the process continue; Must stops the process, for state whose
// further use would spread the damage, such as a replicated log. Test runs and
// soak runs set a handler that fails the run on either of them.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Handler receives each violation. The default handler logs it.
type Handler func(name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler replaces the handler and returns a function that restores the
// previous one.
func SetHandler(h Handler) (restore func()) {
	old := handler.Swap(&h)
	return func() { handler.Store(old) }
}

// Report checks cond and reports a violation of the named invariant.
// It returns cond.
func Report(cond bool, name, format string, args ...any) bool {
	if !cond {
		violated(name, fmt.Sprintf(format, args...))
	}
	return cond
}

// Must checks cond and panics after reporting a violation.
func Must(cond bool, name, format string, args ...any) {
	if cond {
		return
	}
	detail := fmt.Sprintf(format, args...)
	violated(name, detail)
	panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
}

// Violations returns how often the named invariant was violated.
func Violations(name string) uint64 { return counter(name).Get() }

func counter(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_invariant_violations_total{name=%q}`, name))
}

func violated(name, detail string) {
	counter(name).Inc()
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(name, detail)
		return
	}
	zap.L().Error("invariant violated", zap.String("invariant", name), zap.String("detail", detail))
}
