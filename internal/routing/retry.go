package routing

import "time"

const (
	// retryShare is the number of retries that each request adds to the retry
	// budgets.
	retryShare = 0.1
	// accountBurst and totalBurst are the maximum numbers of retries that a
	// budget accumulates. A budget starts with initialRetries, so that the
	// first failure after an idle period can be retried.
	accountBurst   = 10.0
	totalBurst     = 100.0
	initialRetries = 1.0
	// accountIdleTimeout is how long the budget of an idle account is kept.
	accountIdleTimeout = 10 * time.Minute
)

// RetryBudget limits retries to a share of the requests, for each client
// account and in total. Without it, retries multiply the load of a fleet that
// is failing. It isn't safe for concurrent use. Times are those of a monotonic
// clock of the caller.
type RetryBudget struct {
	total    float64
	accounts map[string]*budget
}

type budget struct {
	available  float64
	lastUsedAt time.Duration
}

// NewRetryBudget returns a RetryBudget in which every budget starts with
// initialRetries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{total: initialRetries, accounts: map[string]*budget{}}
}

// Request counts a new request. Retries must not be counted.
func (r *RetryBudget) Request(now time.Duration, account string) {
	b := r.account(now, account)
	b.available = min(accountBurst, b.available+retryShare)
	r.total = min(totalBurst, r.total+retryShare)
}

// Retry reports whether a retry is within both budgets, and if so takes it from
// them.
func (r *RetryBudget) Retry(now time.Duration, account string) bool {
	b := r.account(now, account)
	// Ten additions of a tenth fall short of one by rounding.
	if b.available < 1-1e-9 || r.total < 1-1e-9 {
		return false
	}
	b.available--
	r.total--
	return true
}

// Expire drops the budgets of accounts that have been idle for
// accountIdleTimeout.
func (r *RetryBudget) Expire(now time.Duration) {
	for name, b := range r.accounts {
		if now-b.lastUsedAt >= accountIdleTimeout {
			delete(r.accounts, name)
		}
	}
}

// account returns the budget of an account, which is new for an unknown one,
// and marks it as used at now.
func (r *RetryBudget) account(now time.Duration, name string) *budget {
	b := r.accounts[name]
	if b == nil {
		b = &budget{available: initialRetries}
		r.accounts[name] = b
	}
	b.lastUsedAt = now
	return b
}
