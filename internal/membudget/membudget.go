// Package membudget limits the bytes that a process holds for its callers, such as
// request bodies and responses that are read whole.
//
// A reservation of at most SmallBytes is small, any other is large. The budget admits a
// reservation under three rules:
//
//   - All reservations together stay within the capacity, and the large ones within
//     three quarters of it, so that small requests are served while large bodies fill
//     the rest.
//   - A holder may hold at most as much as is free after the reservation: a single
//     holder gets half of the capacity, two get a third each. For a small reservation,
//     only the small ones of its holder count, because the large bodies of an account
//     must not shut out its small requests.
//   - A holder without another reservation gets what fits, so that a single request of
//     the largest legal size is served in calm conditions.
//
// The package uses no clock and does no I/O except for reading the body that is passed
// to Read. It never waits: what does not fit is refused with a *FullError.
package membudget

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

const (
	// SmallBytes is the largest size of a small reservation. It holds a prompt of about
	// 15,000 tokens, and the largest announcement of a backend server.
	SmallBytes = 64 << 10
	// smallShare is the divisor of the capacity that yields the part which only small
	// reservations get.
	smallShare = 4
	// memoryShare is the divisor of the memory of the VM that yields the default
	// capacity. Buffers that are garbage until the next collection, and the values
	// decoded from bodies, need a multiple of what is held.
	memoryShare = 4
	// defaultCapacity applies if the memory of the VM is not known.
	defaultCapacity = 128 << 20
)

var (
	heldBytes = metrics.GetOrCreateGauge(`bilberry_held_bytes`, nil)
	refused   = metrics.GetOrCreateCounter(`bilberry_held_bytes_refused_total`)
)

// ErrReleased is returned by Grow for a reservation that was released.
var ErrReleased = errors.New("the reservation was released")

// FullError states that a reservation does not fit the budget. Sizes are in bytes.
type FullError struct {
	Holder string
	// Requested is the size that was to be added, HeldByHolder and Held what the holder
	// and all holders held then.
	Requested, HeldByHolder, Held int64
	Capacity                      int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("memory budget is full: %d bytes requested for %s, which holds %d; held in total %d of %d",
		e.Requested, e.Holder, e.HeldByHolder, e.Held, e.Capacity)
}

// Capacity returns the capacity in bytes that the settings held_mb and memory_mb ask
// for, both in MiB. A single body of largestBody bytes always fits beside the part for
// small reservations.
func Capacity(heldMB, memoryMB, largestBody int64) int64 {
	capacity := int64(defaultCapacity)
	switch {
	case heldMB > 0:
		capacity = heldMB << 20
	case memoryMB > 0:
		capacity = memoryMB << 20 / memoryShare
	}
	const largePart = smallShare - 1
	return max(capacity, (largestBody+largePart-1)/largePart*smallShare)
}

// Budget limits the bytes that are held. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	capacity int64
	// held is the sum of all reservations, by holder and in total.
	holders map[string]sizes
	held    sizes
}

// sizes are the bytes of small and of large reservations.
type sizes struct{ small, large int64 }

func (s sizes) total() int64 { return s.small + s.large }

// class returns the part of s to which a reservation of n bytes belongs.
func (s *sizes) class(n int64) *int64 {
	if n <= SmallBytes {
		return &s.small
	}
	return &s.large
}

// move replaces a reservation of from bytes by one of to bytes.
func (s *sizes) move(from, to int64) {
	*s.class(from) -= from
	*s.class(to) += to
}

// New returns a budget of capacity bytes.
func New(capacity int64) *Budget {
	return &Budget{capacity: capacity, holders: map[string]sizes{}}
}

// SetCapacity changes the capacity, because the largest legal body may change with the
// configuration. What is held beyond a smaller capacity stays.
func (b *Budget) SetCapacity(capacity int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held.total()
}

// Reserve reserves n bytes for a holder. The error is a *FullError if they do not fit;
// 0 bytes always do.
func (b *Budget) Reserve(holder string, n int64) (*Reservation, error) {
	r := &Reservation{budget: b, holder: holder}
	if err := r.Grow(n); err != nil {
		return nil, err
	}
	return r, nil
}

// Reservation is a part of a budget. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	holder string

	// n and released are guarded by the mutex of the budget.
	n        int64
	released bool
}

// Grow adds n bytes, which are to be reserved before they are read. The error is a
// *FullError if they do not fit, or ErrReleased; the reservation is then unchanged. A
// negative n counts as 0.
func (r *Reservation) Grow(n int64) error {
	n = max(n, 0)
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return errors.Trace(ErrReleased)
	}
	if n == 0 {
		return nil
	}
	if !b.fits(r, n) {
		refused.Inc()
		return &FullError{
			Holder: r.holder, Requested: n, HeldByHolder: b.holders[r.holder].total(), Held: b.held.total(), Capacity: b.capacity,
		}
	}
	b.resize(r, r.n+n)
	return nil
}

// Size returns the size in bytes.
func (r *Reservation) Size() int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.n
}

// ShrinkTo returns what the reservation holds beyond n bytes.
func (r *Reservation) ShrinkTo(n int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resize(r, min(r.n, max(n, 0)))
}

// Release returns the bytes to the budget. It may be called more than once, and for a nil
// reservation.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resize(r, 0)
	r.released = true
}

// fits reports whether r may grow by n bytes. The caller holds mu.
func (b *Budget) fits(r *Reservation, n int64) bool {
	free := b.capacity - b.held.total()
	if n > free {
		return false
	}
	free -= n
	size := r.n + n
	all, own := b.held, b.holders[r.holder]
	all.move(r.n, size)
	own.move(r.n, size)
	if size > SmallBytes && all.large > b.capacity-b.capacity/smallShare {
		return false
	}
	counted := own.total()
	if counted == size {
		return true
	}
	if size <= SmallBytes {
		counted = own.small
	}
	return counted <= free
}

// resize changes the size of r to n bytes. The caller holds mu.
func (b *Budget) resize(r *Reservation, n int64) {
	own := b.holders[r.holder]
	own.move(r.n, n)
	b.held.move(r.n, n)
	heldBytes.Add(float64(n - r.n))
	r.n = n
	if own.total() == 0 {
		delete(b.holders, r.holder)
		return
	}
	b.holders[r.holder] = own
}
