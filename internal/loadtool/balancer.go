package loadtool

import (
	"math/rand/v2"
	"sync"
	"time"
)

// exclusionTime is how long an address that failed is excluded.
const exclusionTime = 2 * time.Second

// Balancer selects entry addresses round robin like the load balancer of the
// platform, starting at a random address that depends on the seed. Addresses that
// refuse connections or drain are excluded for exclusionTime. It is safe for
// concurrent use.
type Balancer struct {
	mu            sync.Mutex
	addresses     []string
	next          int
	excludedUntil map[string]time.Time
}

// NewBalancer returns a balancer over the given addresses.
func NewBalancer(addresses []string, seed uint64) *Balancer {
	b := &Balancer{addresses: addresses, excludedUntil: map[string]time.Time{}}
	if len(addresses) > 0 {
		b.next = rand.New(rand.NewPCG(seed, 0)).IntN(len(addresses))
	}
	return b
}

// Len returns the number of addresses.
func (b *Balancer) Len() int { return len(b.addresses) }

// Next returns the next address that is not excluded, or just the next one if all
// are excluded.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.addresses {
		address := b.advance()
		if now.After(b.excludedUntil[address]) {
			return address
		}
	}
	return b.advance()
}

// advance returns the next address. The caller holds b.mu.
func (b *Balancer) advance() string {
	address := b.addresses[b.next]
	b.next = (b.next + 1) % len(b.addresses)
	return address
}

// MarkDown excludes an address for exclusionTime.
func (b *Balancer) MarkDown(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excludedUntil[address] = time.Now().Add(exclusionTime)
}
