package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Repeat states whether the requests of a route may run more than once.
type Repeat string

// The values of Repeat.
const (
	// RepeatSafe means that requests may run any number of times.
	RepeatSafe Repeat = "safe"
	// RepeatOnce means that requests run at most once.
	RepeatOnce Repeat = "once"
	// RepeatStream means that requests are answered by a stream of events. They run
	// at most once unless the route is resumable.
	RepeatStream Repeat = "stream"
)

// Routing is the desired state of gateways: routes from a host and path prefix to
// weighted services, and the keys of client accounts.
type Routing struct {
	Routes   []Route          `json:"routes"`
	Services []RoutedService  `json:"services"`
	Accounts []RoutingAccount `json:"accounts,omitempty"`
	Limits   CallerLimits     `json:"limits"`
	// Source is the document that the manifest was translated from. Operators who
	// read the desired state get it back unchanged.
	Source string `json:"source,omitempty"`

	// byHost holds the routes by lower-case host, longest path prefix first.
	byHost  map[string][]*Route
	service map[string]*RoutedService
	// byKey holds the accounts by the digests of their keys.
	byKey map[string]*RoutingAccount
	// minPriority is the lowest priority value, which is the most urgent one, among
	// the routes of a service.
	minPriority map[string]int
}

// Route maps one path prefix of one host to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	Repeat     Repeat `json:"repeat"`
	// TimeoutMs limits the time to the end of the response.
	TimeoutMs int64 `json:"timeout_ms"`
	// ObjectiveMs is the latency objective for the response, or for the first event
	// of a stream.
	ObjectiveMs float64 `json:"objective_ms,omitempty"`
	// GapObjectiveMs is the objective for the longest gap between two events of a
	// stream.
	GapObjectiveMs float64 `json:"pause_ms,omitempty"`
	// Priority is the urgency of requests; lower values are more urgent.
	Priority int      `json:"priority,omitempty"`
	Targets  []Target `json:"targets"`
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Anonymous is set if requests without a key are allowed.
	Anonymous bool `json:"anonymous,omitempty"`
	// Resumable is set if a stream may be continued at another backend server.
	Resumable bool `json:"resumable,omitempty"`
}

// Idempotent reports whether a request may be sent to a second backend server after
// the first may have run it.
func (r *Route) Idempotent() bool {
	return r.Repeat == RepeatSafe || (r.Repeat == RepeatStream && r.Resumable)
}

// Target is a service to which a route sends requests, in proportion to the weight.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RoutedService describes the backend servers of one service.
type RoutedService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"`
	// ColdStartMs is how long a backend server stays cold after its start.
	ColdStartMs float64 `json:"cold_start_ms,omitempty"`
	// ColdPerSecond is the rate of requests that a cold backend server can handle; 0
	// means no limit.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	Engine        *Engine `json:"engine,omitempty"`
}

// Engine describes the performance of a model engine. Package enginemodel predicts
// times from it.
type Engine struct {
	// Slots is the number of concurrent requests.
	Slots int `json:"slots"`
	// CapacityTokens is the size of the KV memory in tokens.
	CapacityTokens int64 `json:"capacity_tokens"`
	// StepMs is the base time of a decode step, which generates one token for each
	// sequence that is being decoded.
	StepMs float64 `json:"step_ms"`
	// PerSequenceMs is added to a step for each sequence that is being decoded.
	PerSequenceMs float64 `json:"per_sequence_ms"`
	// ContextMsPerThousand is added to a step for each 1,000 tokens of context.
	ContextMsPerThousand float64 `json:"context_ms_per_thousand"`
	// PrefillTokensPerSecond is the prefill rate without the quadratic part; see
	// PairsMsPerMillion.
	PrefillTokensPerSecond float64 `json:"read_tokens_per_second"`
	// PairsMsPerMillion is the quadratic part of the prefill time: the time for a
	// million pairs of a token and any earlier token.
	PairsMsPerMillion float64 `json:"pairs_ms_per_million"`
	// ChunkTokens limits the number of prompt tokens that are prefilled in one step.
	ChunkTokens int64 `json:"chunk_tokens"`
	// Stride is the number of steps in a pass while sequences are being decoded.
	Stride int `json:"stride"`
	// HopMs is carried over from the document of the operator; no prediction uses it.
	HopMs float64 `json:"hop_ms"`
	// UsualPromptTokens and UsualResponseTokens are the mean numbers of tokens of a
	// prompt and of a response.
	UsualPromptTokens   float64 `json:"usual_prompt_tokens,omitempty"`
	UsualResponseTokens float64 `json:"usual_answer_tokens,omitempty"`
}

// RoutingAccount is a client account with the digests of its keys.
type RoutingAccount struct {
	Name      string   `json:"name"`
	KeySHA256 []string `json:"key_sha256"`
	// Priority takes precedence over that of the route; nil means none.
	Priority *int `json:"priority,omitempty"`
}

// CallerLimits limits requests and connections of callers. Zero means the
// default.
type CallerLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms,omitempty"`
}

// check returns the faults that the JSON schema cannot detect: duplicate names, hosts
// with prefixes and keys, and invalid targets.
func (r *Routing) check() []Fault {
	if r == nil {
		return nil
	}
	var services, hostPrefixes, accounts, keys uniqueNames
	for i, s := range r.Services {
		services.add(s.Name, pointer("routing", "services", i, "name"), "service name")
	}
	var faults []Fault
	for i, route := range r.Routes {
		at := pointer("routing", "routes", i)
		hostPrefixes.add(strings.ToLower(route.Host)+" "+route.PathPrefix, at, "host and path prefix")
		faults = append(faults, route.checkTargets(at, services.first)...)
	}
	for i, a := range r.Accounts {
		accounts.add(a.Name, pointer("routing", "accounts", i, "name"), "account name")
		for j, key := range a.KeySHA256 {
			keys.add(key, pointer("routing", "accounts", i, "key_sha256", j), "key")
		}
	}
	for _, n := range []uniqueNames{services, hostPrefixes, accounts, keys} {
		faults = append(faults, n.faults...)
	}
	return faults
}

// checkTargets returns a fault for each target that is not among services, and one if
// the weights add up to zero or less.
func (r *Route) checkTargets(at string, services map[string]string) []Fault {
	var faults []Fault
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
		if _, ok := services[t.Service]; !ok {
			faults = append(faults, Fault{at + "/targets", "no service named " + t.Service})
		}
	}
	if sum <= 0 {
		faults = append(faults, Fault{at + "/targets", "the weights add up to 0"})
	}
	return faults
}

// prepare builds the lookup tables.
func (r *Routing) prepare() {
	if r == nil {
		return
	}
	r.byHost = map[string][]*Route{}
	r.service = map[string]*RoutedService{}
	r.byKey = map[string]*RoutingAccount{}
	r.minPriority = map[string]int{}
	for i := range r.Routes {
		route := &r.Routes[i]
		for _, t := range route.Targets {
			if p, ok := r.minPriority[t.Service]; !ok || route.Priority < p {
				r.minPriority[t.Service] = route.Priority
			}
		}
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range r.Services {
		r.service[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Accounts {
		for _, key := range r.Accounts[i].KeySHA256 {
			r.byKey[key] = &r.Accounts[i]
		}
	}
}

// Match returns the route of host with the longest prefix of path, or nil. Hosts are
// compared without regard to case.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (r *Routing) Service(name string) *RoutedService { return r.service[name] }

// Rank returns the difference between the priority of a request and that of the most
// urgent route of its service. The priority of the account, which may be nil, takes
// precedence over that of the route. A request that is more urgent than all routes has
// rank 0.
func (r *Routing) Rank(route *Route, account *RoutingAccount, service string) int {
	priority := route.Priority
	if account != nil && account.Priority != nil {
		priority = *account.Priority
	}
	return max(0, priority-r.minPriority[service])
}

// AccountByKey returns the account that owns a key, or nil.
func (r *Routing) AccountByKey(key string) *RoutingAccount { return r.byKey[KeyDigest(key)] }

// KeyDigest returns the SHA-256 digest of a key in lower-case hexadecimal.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
