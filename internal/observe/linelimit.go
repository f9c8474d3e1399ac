package observe

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// LineLimit limits the log lines of one kind, so that callers that are refused all the
// time don't fill the log. It is safe for concurrent use.
type LineLimit struct {
	perSecond int

	mu sync.Mutex
	// windowEnd is the end of the current second, written the lines in it, and omitted the
	// lines that were left out since the last one that was written.
	windowEnd time.Duration
	written   int
	omitted   int
}

// NewLineLimit returns a limit of lines a second.
func NewLineLimit(perSecond int) *LineLimit { return &LineLimit{perSecond: perSecond} }

// Allow reports whether a line may be written at a time of a monotonic clock, and returns a
// field with the number of lines that were omitted before it.
func (l *LineLimit) Allow(now time.Duration) (zap.Field, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.windowEnd {
		l.windowEnd, l.written = now+time.Second, 0
	}
	if l.written >= l.perSecond {
		l.omitted++
		return zap.Skip(), false
	}
	omitted := zap.Int("lines_omitted", l.omitted)
	l.written++
	l.omitted = 0
	return omitted, true
}
