// Package workload generates reproducible request sequences from a seed.
//
// Production traffic arrives without notice, and no measurements of it exist.
// Experiments therefore use a specified, repeatable workload: prompts of a thousand
// to a million tokens, a few large accounts among many, unannounced bursts,
// prefixes shared within an account, urgencies and deadlines. Arrivals are
// open-loop: they do not wait for responses, because callers in production do not
// slow down when the system does.
//
// The package sends nothing; package loadtool does.
package workload

import (
	"time"

	"github.com/juju/errors"
)

// LongTokens is the prompt length, in tokens, above which a prompt is long. By
// default one prompt in fifty is long.
const LongTokens = 100_000

// ShortTokens is the prompt length, in tokens, below which a prompt is short.
const ShortTokens = 10_000

// Class is a range of prompt lengths in tokens, From included and To excluded.
type Class struct {
	Name     string
	From, To int
}

// Classes are the length classes of all reports, two per decade, in ascending order.
var Classes = []Class{
	{"1k-3k", 0, 3_000},
	{"3k-10k", 3_000, ShortTokens},
	{"10k-30k", ShortTokens, 30_000},
	{"30k-100k", 30_000, LongTokens},
	{"100k-300k", LongTokens, 300_000},
	{"300k-1M", 300_000, 1 << 62},
}

// ClassOf returns the name of the class of a prompt length in tokens.
func ClassOf(tokens int) string {
	for _, c := range Classes {
		if tokens < c.To {
			return c.Name
		}
	}
	return Classes[len(Classes)-1].Name
}

// Pattern is the random process that generates arrivals.
type Pattern string

// Arrival patterns. All have the same mean rate.
const (
	// Steady arrivals are a Poisson process.
	Steady Pattern = "steady"
	// Bursty arrivals are a Poisson process whose rate changes between a third
	// and three times the mean.
	Bursty Pattern = "bursty"
	// HeavyTailed arrivals have Pareto intervals, with long gaps and clusters.
	HeavyTailed Pattern = "heavy_tailed"
)

// Config describes a workload. Default returns the values that settings start from.
type Config struct {
	Seed uint64 `json:"seed,omitempty"`
	// Salt changes the texts of prompts and nothing else, so that a second run of
	// the same workload gets no prefix cache hits from the first one.
	Salt              uint64  `json:"salt,omitempty"`
	DurationSeconds   float64 `json:"duration_seconds,omitempty"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Pattern           Pattern `json:"pattern,omitempty"`
	MinTokens         int     `json:"min_tokens,omitempty"`
	MaxTokens         int     `json:"max_tokens,omitempty"`
	// LongShare is the share of prompts over LongTokens. NoLong omits these and
	// leaves all other requests unchanged, to measure the effect of long prompts
	// on the others.
	LongShare float64 `json:"long_share,omitempty"`
	NoLong    bool    `json:"no_long,omitempty"`
	Accounts  int     `json:"accounts,omitempty"`
	// LargeAccounts is how many of the Accounts together send LargeShare of the
	// requests.
	LargeAccounts int     `json:"large_accounts,omitempty"`
	LargeShare    float64 `json:"large_share,omitempty"`
	// BurstEverySeconds is the mean interval between bursts. In a burst one
	// account sends BurstRequests additional requests within BurstSeconds. Zero
	// BurstRequests disables bursts.
	BurstEverySeconds float64 `json:"burst_every_seconds,omitempty"`
	BurstSeconds      float64 `json:"burst_seconds,omitempty"`
	BurstRequests     int     `json:"burst_requests,omitempty"`
	// SharedPrefixShare is the share of requests that start with a prefix of their
	// account.
	SharedPrefixShare float64 `json:"shared_prefix_share,omitempty"`
	MinOutputTokens   int     `json:"min_output_tokens,omitempty"`
	MaxOutputTokens   int     `json:"max_output_tokens,omitempty"`
	// DeadlineSeconds is the fixed part of a request's deadline, to which
	// DeadlineSecondsPer1000 is added for each thousand prompt tokens.
	DeadlineSeconds        float64 `json:"deadline_seconds,omitempty"`
	DeadlineSecondsPer1000 float64 `json:"deadline_seconds_per_1000,omitempty"`
}

// Default returns the workload of the experiments.
func Default() Config {
	return Config{
		Seed: 1, DurationSeconds: 120, RequestsPerSecond: 8, Pattern: Steady,
		MinTokens: 1000, MaxTokens: 1_000_000, LongShare: 0.02,
		Accounts: 10, LargeAccounts: 3, LargeShare: 0.6,
		BurstEverySeconds: 30, BurstSeconds: 2,
		SharedPrefixShare: 0.3, MinOutputTokens: 16, MaxOutputTokens: 128,
		DeadlineSeconds: 60, DeadlineSecondsPer1000: 0.3,
	}
}

// Request is one request of a workload.
type Request struct {
	// Number is the position in the order of arrival, from 0.
	Number int
	// At is the arrival time, from the start of the workload.
	At           time.Duration
	Account      int
	PromptTokens int
	// PrefixTokens is the length of the prompt's prefix that is shared with other
	// requests of the account with the same Prefix number.
	Prefix       int
	PrefixTokens int
	MaxTokens    int
	Urgency      string
	Deadline     time.Duration
	// Burst is set for the additional requests of a burst.
	Burst bool
	// Nonce makes the prompt unique.
	Nonce uint64
	Salt  uint64
}

// Class returns the name of the length class of the prompt.
func (r *Request) Class() string { return ClassOf(r.PromptTokens) }

// Check returns an error for the first invalid field, or nil.
func (c *Config) Check() error {
	switch {
	case c.DurationSeconds <= 0 || c.RequestsPerSecond <= 0:
		return errors.New("workload: duration_seconds and requests_per_second must be positive")
	case c.MinTokens <= 0 || c.MinTokens > LongTokens || c.MaxTokens < LongTokens:
		return errors.Errorf("workload: min_tokens and max_tokens must enclose %d", LongTokens)
	case c.LargeAccounts < 0 || c.LargeAccounts > c.Accounts || c.Accounts <= 0:
		return errors.New("workload: large_accounts must be within accounts")
	case c.MinOutputTokens <= 0 || c.MaxOutputTokens < c.MinOutputTokens:
		return errors.New("workload: min_output_tokens must be positive and within max_output_tokens")
	case c.Pattern != Steady && c.Pattern != Bursty && c.Pattern != HeavyTailed:
		return errors.Errorf("workload: pattern %q is unknown", c.Pattern)
	}
	return nil
}
