// Package coldstart implements slow start for backend servers: it computes how
// many requests a backend server that is warming up may hold at once.
//
// A backend server that has just started, or that silently lost its warm state,
// can handle only a few concurrent requests. The limit starts at the cold limit
// and doubles each time as many consecutive responses as the limit have arrived
// within the target time, so that the load follows the capacity that the backend
// server has demonstrated. The package does no I/O, reads no clock and takes no
// lock: the caller reports events and queries the limit.
package coldstart

import "time"

const (
	// slowFactor is the multiple of the estimated time to first token above which
	// a first token counts as slow.
	slowFactor = 4
	// maxConsecutiveSlow is the number of consecutive slow first tokens at which
	// the backend server is considered cold. A single one is often caused by a
	// burst or by a collision inside the engine.
	maxConsecutiveSlow = 2
)

// Budget limits the number of requests that one backend server may hold at once.
// It is not safe for concurrent use.
type Budget struct {
	boot            uint64
	coldLimit       int
	fullLimit       int
	limit           int
	timelyResponses int  // consecutive responses within target since the last change of the limit
	consecutiveSlow int  // consecutive slow first tokens
	reportedCold    bool // cold flag of the last load report
	resets          int
	resetReason     string // reason for the last reset
}

// New returns the budget of a backend server that starts cold. The cold limit is
// the smaller of the nonzero values of declared (from the configuration) and
// announced (by the backend server), and 1 if both are zero. fullLimit is the
// limit at which the backend server counts as warm. All limits are numbers of
// requests.
func New(boot uint64, declared, announced uint32, fullLimit int) *Budget {
	b := &Budget{boot: boot, resetReason: "start"}
	b.SetLimits(declared, announced, fullLimit)
	return b
}

// SetLimits changes the cold limit and the full limit. A limit that has not grown
// beyond the previous cold limit is set to the new one, because the first
// announcement may arrive before the configuration that declares the cold limit.
func (b *Budget) SetLimits(declared, announced uint32, fullLimit int) {
	coldLimit := int(declared)
	if coldLimit == 0 || (announced > 0 && announced < declared) {
		coldLimit = int(announced)
	}
	grown := b.limit > b.coldLimit
	b.fullLimit = max(1, fullLimit)
	b.coldLimit = min(max(1, coldLimit), b.fullLimit)
	if !grown {
		b.limit = b.coldLimit
	}
	b.limit = min(max(b.limit, b.coldLimit), b.fullLimit)
}

// Limit returns the number of requests that the backend server may hold at once.
func (b *Budget) Limit() int { return b.limit }

// Cold reports whether the limit is still below the full limit.
func (b *Budget) Cold() bool { return b.limit < b.fullLimit }

// Resets returns the number of resets to the cold limit and the reason for the
// last one.
func (b *Budget) Resets() (int, string) { return b.resets, b.resetReason }

// RaiseTo raises the limit, up to the full limit, to open, the number of requests
// that an earlier owner of the budget has granted and that have not ended.
func (b *Budget) RaiseTo(open int) { b.limit = min(b.fullLimit, max(b.limit, open)) }

// SetBoot records the boot number of the backend server. A new number resets
// the limit to the cold limit.
func (b *Budget) SetBoot(boot uint64) {
	if boot != b.boot {
		b.boot, b.reportedCold = boot, false
		b.reset("boot")
	}
}

// RecordReport records the cold flag of a load report. Each report with the flag
// set resets the limit, which does not grow until a report without the flag
// arrives.
func (b *Budget) RecordReport(isCold bool) {
	b.reportedCold = isCold
	if isCold {
		b.reset("reported cold")
	}
}

// RecordFirstToken records the actual and the estimated time to first token of
// a request and reports whether the token counts as slow. maxConsecutiveSlow
// slow ones in succession reset the limit.
func (b *Budget) RecordFirstToken(took, estimate time.Duration) bool {
	if took <= slowFactor*estimate {
		b.consecutiveSlow = 0
		return false
	}
	b.consecutiveSlow++
	if b.consecutiveSlow >= maxConsecutiveSlow {
		b.reset("slow first tokens")
	}
	return true
}

// RecordResponse records a complete response. A response outside the target, or
// one that arrives while the backend server reports itself cold, restarts the
// count of responses that the limit needs to grow.
func (b *Budget) RecordResponse(withinTarget bool) {
	if !withinTarget || b.reportedCold {
		b.timelyResponses = 0
		return
	}
	b.timelyResponses++
	if b.timelyResponses >= b.limit && b.limit < b.fullLimit {
		b.limit = min(2*b.limit, b.fullLimit)
		b.timelyResponses = 0
	}
}

func (b *Budget) reset(resetReason string) {
	b.limit, b.timelyResponses, b.consecutiveSlow = b.coldLimit, 0, 0
	b.resets++
	b.resetReason = resetReason
}
