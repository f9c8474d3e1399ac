package dispatch

import "time"

// Service is what the core needs to know about a service.
type Service struct {
	// ColdLimit is the most requests at once on a cold backend server; zero
	// leaves it to the announcement.
	ColdLimit uint32
	// PrefillTokensPerSecond is used until a backend server has been measured.
	PrefillTokensPerSecond float64
	// MaxConcurrent is used when an announcement leaves it out; zero selects
	// defaultConcurrent.
	MaxConcurrent uint32
}

// Limits are the limits of a client account for one service, over all failure
// domains. Zero means no limit; a zero weight counts as one.
type Limits struct {
	Weight        float64
	RatePerSecond float64
	Concurrent    uint32
}

// Urgency is a class of requests. Lower priorities are served first, as in the
// protocol of the engines.
type Urgency struct {
	Priority   uint32
	TTFTTarget time.Duration
}

// View is the configuration in force, as far as the core needs it.
type View interface {
	// Index is the log index of the configuration.
	Index() uint64
	Service(name string) (Service, bool)
	Limits(account, service string) (Limits, bool)
	Urgency(name string) (Urgency, bool)
	// Excluded tells whether an order takes the failure domain or the backend
	// server out of service, and which one. An empty backend asks about the domain.
	Excluded(domain, backend string) (bool, string)
	// IsolatedServing is how long a dispatcher serves its own failure domain
	// without a confirmed configuration.
	IsolatedServing() time.Duration
	DomainsInService() int
}

// Homes finds the failure domain that runs the requests with a suspected
// fingerprint, so that two dispatchers do not run one at the same time.
type Homes interface {
	SuspectHome(service string, fingerprint []byte) (domain, dispatcher string, ok bool)
}
