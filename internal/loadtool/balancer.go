package loadtool

import (
	"math/rand/v2"
	"sync"
	"time"
)

// downTime is how long an address that failed is left out.
const downTime = 2 * time.Second

// Balancer hands out entry addresses round robin, from a seeded start, like the
// platform's balancer. Addresses that refuse connections or drain are left out
// for a while.
type Balancer struct {
	mu        sync.Mutex
	addresses []string
	next      int
	downUntil map[string]time.Time
}

// NewBalancer returns a balancer over addresses.
func NewBalancer(addresses []string, seed uint64) *Balancer {
	b := &Balancer{addresses: addresses, downUntil: map[string]time.Time{}}
	if len(addresses) > 0 {
		b.next = rand.New(rand.NewPCG(seed, 0)).IntN(len(addresses))
	}
	return b
}

// Len returns the number of addresses.
func (b *Balancer) Len() int { return len(b.addresses) }

// Next returns the next address that is not left out, or the next one if all
// are.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.addresses {
		a := b.advance()
		if now.After(b.downUntil[a]) {
			return a
		}
	}
	return b.advance()
}

func (b *Balancer) advance() string {
	a := b.addresses[b.next]
	b.next = (b.next + 1) % len(b.addresses)
	return a
}

// Down leaves an address out for a while.
func (b *Balancer) Down(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.downUntil[address] = time.Now().Add(downTime)
}
