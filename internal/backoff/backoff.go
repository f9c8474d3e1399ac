// Package backoff spreads the attempts of many processes that fail at the same time.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between attempts: exponential, with full jitter, so that
// processes that failed together don't come back together. The zero value has no
// pauses. It is not safe for concurrent use.
type Backoff struct {
	// Base bounds the first pause, Max all of them.
	Base, Max time.Duration
	// Random returns a number in [0, 1); rand.Float64 if nil.
	Random func() float64

	failures int
}

// Next returns the pause after another failed attempt: between a twentieth of the
// bound and the bound, which doubles with each failure.
func (b *Backoff) Next() time.Duration {
	bound := b.Max
	// The shift is limited because it would overflow.
	if b.failures < 20 {
		bound = min(b.Max, b.Base<<b.failures)
	}
	b.failures++
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return time.Duration((minShare + (1-minShare)*random()) * float64(bound))
}

// minShare is the smallest pause as a share of the bound. It keeps a failure that
// repeats at once from becoming a busy loop.
const minShare = 0.05

// Reset makes the next pause short again. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }
