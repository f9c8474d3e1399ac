package dispatch

import (
	"fmt"
	"math"
	"time"

	"bilberryhub/internal/refusal"
)

// accountRetention is how long the virtual time and the allowance of an idle account
// are kept.
const accountRetention = time.Minute

// admitAccount checks a request against the limits of its client account and returns
// the refusal, or nil. The dispatcher enforces an equal share of each limit per
// failure domain in service, so that the domains need not exchange messages.
func (c *Core) admitAccount(p *pool, d *dispatch) *refusal.Error {
	limits, _ := c.view.Limits(d.req.Account, p.key.service)
	share := 1 / float64(max(1, c.view.DomainsInService()))
	a := p.queue.account(d.req.Account)
	a.lastSeen = c.now
	a.weight = 1
	if limits.Weight > 0 {
		a.weight = limits.Weight
	}
	if limits.Concurrent > 0 {
		// Rounded up: with a share below one request the account could never send any.
		maxOpen := int(math.Ceil(float64(limits.Concurrent) * share))
		if a.running+a.queued >= maxOpen {
			return refusal.New(refusal.AccountLimit, fmt.Sprintf("%d requests of the account are open, limit %d in this failure domain", a.running+a.queued, maxOpen)).
				WithRetryAfter(c.untilNextCompletion(p, d.req.Account))
		}
	}
	// A retry is not counted again: the first attempt was.
	if limits.RatePerSecond > 0 && d.req.Attempt == 0 {
		rate := limits.RatePerSecond * share
		// The burst is one second of the undivided rate, and at least one request.
		if wait := a.take(c.now, rate, max(1, limits.RatePerSecond)); wait > 0 {
			return refusal.New(refusal.AccountLimit, fmt.Sprintf("the account exceeds %.3g requests/s in this failure domain", rate)).WithRetryAfter(wait)
		}
	}
	return nil
}

// take takes one request from the token bucket of the account, or returns the time
// until it holds one. rate is the refill in requests/s, burst the capacity in requests.
func (a *account) take(now time.Duration, rate, burst float64) time.Duration {
	if a.allowance < 0 {
		a.allowance = burst
	} else {
		a.allowance = min(burst, a.allowance+rate*(now-a.allowanceAt).Seconds())
	}
	a.allowanceAt = now
	// Because of rounding errors, the refills may add up to slightly less than one
	// request.
	if a.allowance < 1-1e-9 {
		return seconds((1 - a.allowance) / rate)
	}
	a.allowance = max(0, a.allowance-1)
	return 0
}

// untilNextCompletion estimates the time until the first granted request of an account
// ends, at least 100 ms.
func (c *Core) untilNextCompletion(p *pool, name string) time.Duration {
	next := p.averages.expectedServiceTime()
	for _, d := range c.dispatches {
		if d.pool == p && d.req.Account == name && d.state != stateQueued {
			next = min(next, max(0, d.grantedAt+p.averages.expectedServiceTime()-c.now))
		}
	}
	return max(next, 100*time.Millisecond)
}

// expireAccounts removes accounts that have been idle for accountRetention.
func (q *queue) expireAccounts(now time.Duration) {
	for n, a := range q.accounts {
		if a.running == 0 && a.queued == 0 && now > a.lastSeen+accountRetention {
			delete(q.accounts, n)
		}
	}
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
