package dispatch

import "time"

// Service is the configuration of a service, as far as the core needs it.
type Service struct {
	// ColdLimit is the limit of concurrent requests on a cold backend server; zero
	// leaves it to the announcement.
	ColdLimit uint32
	// PrefillTokensPerSecond is the prefill speed assumed for a backend server until it
	// has been reported or measured; zero selects defaultPrefillTokensPerSecond.
	PrefillTokensPerSecond float64
	// MaxConcurrent limits the concurrent requests on a backend server whose
	// announcement has no limit; zero selects defaultMaxConcurrent.
	MaxConcurrent uint32
}

// Limits are the limits of a client account for one service, over all failure
// domains. Zero means no limit; a zero weight counts as one.
type Limits struct {
	Weight        float64 // share in fair queueing, relative to other accounts
	RatePerSecond float64 // requests/s
	Concurrent    uint32  // queued and running requests
}

// Urgency is a class of requests. Lower priorities are served first, as in the
// protocol of the engines.
type Urgency struct {
	Priority   uint32
	TTFTTarget time.Duration // target for the time to the first token
}

// View is the configuration in force, as far as the core needs it.
type View interface {
	// Index is the log index of the configuration.
	Index() uint64
	// Service returns the configuration of a service, or false if there is none.
	Service(name string) (Service, bool)
	// Limits returns the limits of a client account, or false if it may not use the
	// service.
	Limits(account, service string) (Limits, bool)
	// Urgency returns a class of requests, or false if no class has the name.
	Urgency(name string) (Urgency, bool)
	// Excluded reports whether an operator's order takes the failure domain or the
	// backend server out of service, and returns a text that names the order. With an
	// empty backend, only the failure domain is checked.
	Excluded(domain, backend string) (bool, string)
	// IsolatedServing is how long a dispatcher serves its own failure domain
	// without a confirmed configuration.
	IsolatedServing() time.Duration
	// DomainsInService is the number of failure domains that are not excluded.
	DomainsInService() int
}

// Homes assigns each suspected fingerprint of a service to one failure domain, its home,
// whose dispatcher runs its requests, so that two dispatchers do not run one at the same time.
type Homes interface {
	// SuspectHome returns the failure domain and its dispatcher. ok is false if there is
	// none.
	SuspectHome(service string, fingerprint []byte) (domain, dispatcher string, ok bool)
}
