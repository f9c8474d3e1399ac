package routing

import "time"

const (
	// retryShare is what each request adds to the retry budgets, in retries.
	retryShare = 0.1
	// accountBurst and totalBurst bound saved retries. A budget starts with one
	// retry, so that the first failure after a quiet time can be retried.
	accountBurst = 10.0
	totalBurst   = 100.0
	initial      = 1.0
	// forgetAccount is how long the budget of an idle account is kept.
	forgetAccount = 10 * time.Minute
)

// RetryBudget limits retries to a share of the requests, for each account and in
// total. Without it, retries multiply the load of a fleet that is failing.
type RetryBudget struct {
	total    float64
	accounts map[string]*budget
}

type budget struct {
	left float64
	seen time.Duration
}

// NewRetryBudget returns full initial budgets.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{total: initial, accounts: map[string]*budget{}}
}

// Request counts a new request, not a retry.
func (r *RetryBudget) Request(now time.Duration, account string) {
	b := r.account(now, account)
	b.left = min(accountBurst, b.left+retryShare)
	r.total = min(totalBurst, r.total+retryShare)
}

// Retry takes one retry from both budgets, or tells that there is none.
func (r *RetryBudget) Retry(now time.Duration, account string) bool {
	b := r.account(now, account)
	// Ten additions of a tenth fall short of one by rounding.
	if b.left < 1-1e-9 || r.total < 1-1e-9 {
		return false
	}
	b.left--
	r.total--
	return true
}

// Expire drops the budgets of idle accounts.
func (r *RetryBudget) Expire(now time.Duration) {
	for name, b := range r.accounts {
		if now-b.seen >= forgetAccount {
			delete(r.accounts, name)
		}
	}
}

func (r *RetryBudget) account(now time.Duration, name string) *budget {
	b := r.accounts[name]
	if b == nil {
		b = &budget{left: initial}
		r.accounts[name] = b
	}
	b.seen = now
	return b
}
