package dispatch

import (
	"fmt"
	"math"
	"time"

	"bilberryhub/internal/refusal"
)

// forgetAccount is how long an idle account keeps its virtual time and allowance.
const forgetAccount = time.Minute

// admitAccount checks the limits of the client account. The dispatcher holds an
// equal share of each limit per failure domain in service, so that no message is
// needed between the domains.
func (c *Core) admitAccount(p *pool, d *dispatch) *refusal.Error {
	limits, _ := c.view.Limits(d.req.Account, p.key.service)
	share := 1 / float64(max(1, c.view.DomainsInService()))
	a := p.queue.account(d.req.Account)
	a.seen = c.now
	a.weight = 1
	if limits.Weight > 0 {
		a.weight = limits.Weight
	}
	if limits.Concurrent > 0 {
		// Rounded up: a share below one request would shut the account out.
		most := int(math.Ceil(float64(limits.Concurrent) * share))
		if a.running+a.queued >= most {
			return refusal.New(refusal.AccountLimit, fmt.Sprintf("%d requests of the account are open, limit %d in this failure domain", a.running+a.queued, most)).
				After(c.nextEnd(p, d.req.Account))
		}
	}
	// A retry was counted when the request first arrived.
	if limits.RatePerSecond > 0 && d.req.Attempt == 0 {
		rate := limits.RatePerSecond * share
		if wait := a.take(c.now, rate, max(1, limits.RatePerSecond)); wait > 0 {
			return refusal.New(refusal.AccountLimit, fmt.Sprintf("the account exceeds %.3g requests/s in this failure domain", rate)).After(wait)
		}
	}
	return nil
}

// take uses one request of the allowance or returns the time until there is one.
func (a *account) take(now time.Duration, rate, burst float64) time.Duration {
	if a.allowance < 0 {
		a.allowance = burst
	} else {
		a.allowance = min(burst, a.allowance+rate*(now-a.allowanceAt).Seconds())
	}
	a.allowanceAt = now
	// Sums of refills fall short of a whole request by rounding errors.
	if a.allowance < 1-1e-9 {
		return seconds((1 - a.allowance) / rate)
	}
	a.allowance = max(0, a.allowance-1)
	return 0
}

// nextEnd estimates when the first open request of an account ends.
func (c *Core) nextEnd(p *pool, name string) time.Duration {
	next := p.times.holdTime()
	for _, d := range c.dispatches {
		if d.pool == p && d.req.Account == name && d.state != stateQueued {
			next = min(next, max(0, d.grantedAt+p.times.holdTime()-c.now))
		}
	}
	return max(next, 100*time.Millisecond)
}

// expireAccounts drops accounts that are idle.
func (q *queue) expireAccounts(now time.Duration) {
	for n, a := range q.accounts {
		if a.running == 0 && a.queued == 0 && now > a.seen+forgetAccount {
			delete(q.accounts, n)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
