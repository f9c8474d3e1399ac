// Package coldstart holds the budget of a backend server that is warming up.
//
// A backend server that has just started, or that silently lost its warm state,
// takes only a few requests at once. The budget starts at the cold limit and
// doubles after each full budget of responses within the target time, so that
// the load follows what the backend server has shown to bear. It is pure: the
// caller reports what happened and asks for the limit.
package coldstart

import "time"

const (
	// slowFactor is how much later than estimated a first token counts as slow.
	slowFactor = 4
	// slowInRow is how many slow first tokens in a row mean a cold backend
	// server. One alone is often a burst or a collision inside the engine.
	slowInRow = 2
)

// Budget is the number of requests that one backend server may hold at once.
type Budget struct {
	boot     uint64
	cold     int
	full     int
	limit    int
	answered int // responses within target since the last change of the limit
	slow     int // slow first tokens in a row
	saysCold bool
	resets   int
	why      string
}

// New returns the budget of a backend server that starts cold. The cold limit is
// the smaller of the two that are not zero, and one if both are. full is the
// limit at which the backend server counts as warm.
func New(boot uint64, declared, announced uint32, full int) *Budget {
	b := &Budget{boot: boot, why: "start"}
	b.SetLimits(declared, announced, full)
	return b
}

// SetLimits changes the cold limit and the full limit. A budget that has not
// grown follows the cold limit: the first announcement may arrive before the
// configuration that states it.
func (b *Budget) SetLimits(declared, announced uint32, full int) {
	cold := int(declared)
	if cold == 0 || (announced > 0 && announced < declared) {
		cold = int(announced)
	}
	grown := b.limit > b.cold
	b.full = max(1, full)
	b.cold = min(max(1, cold), b.full)
	if !grown {
		b.limit = b.cold
	}
	b.limit = min(max(b.limit, b.cold), b.full)
}

// Limit returns how many requests the backend server may hold at once.
func (b *Budget) Limit() int { return b.limit }

// Cold tells whether the limit is still below the full limit.
func (b *Budget) Cold() bool { return b.limit < b.full }

// Resets returns how often the budget fell back to the cold limit, and the last reason.
func (b *Budget) Resets() (int, string) { return b.resets, b.why }

// Assume raises the limit to what an earlier owner of the budget had granted.
func (b *Budget) Assume(open int) { b.limit = min(b.full, max(b.limit, open)) }

// Boot tells the boot number of the backend server. A new one resets the budget.
func (b *Budget) Boot(boot uint64) {
	if boot != b.boot {
		b.boot, b.saysCold = boot, false
		b.reset("boot")
	}
}

// Reported takes the state from a load report. A report that says cold resets the
// budget, each time, and keeps it from growing until a report says otherwise.
func (b *Budget) Reported(cold bool) {
	b.saysCold = cold
	if cold {
		b.reset("reported cold")
	}
}

// FirstToken takes the measured and the estimated time to a first token and
// tells whether it counts as slow.
func (b *Budget) FirstToken(took, estimate time.Duration) bool {
	if took <= slowFactor*estimate {
		b.slow = 0
		return false
	}
	b.slow++
	if b.slow >= slowInRow {
		b.reset("slow first tokens")
	}
	return true
}

// Answered takes a complete response. One outside the target starts the count
// of the current budget anew.
func (b *Budget) Answered(withinTarget bool) {
	if !withinTarget || b.saysCold {
		b.answered = 0
		return
	}
	b.answered++
	if b.answered >= b.limit && b.limit < b.full {
		b.limit = min(2*b.limit, b.full)
		b.answered = 0
	}
}

func (b *Budget) reset(why string) {
	b.limit, b.answered, b.slow = b.cold, 0, 0
	b.resets++
	b.why = why
}
