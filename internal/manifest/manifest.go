// Package manifest parses, checks, hashes and indexes the manifest, the
// complete desired state that a build pipeline generates.
//
// The manifest decides who may use what, so a mistake in it must be refused as
// a whole instead of being read as something else: unknown fields, duplicate
// keys, duplicate names, dangling references and values out of range are
// errors. All faults of a document are reported, each with its path.
package manifest

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// Kind is the kind of a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Defaults of optional fields.
const (
	// DefaultColdLimitRequests is the only budget that no cold backend server
	// can fail to handle.
	DefaultColdLimitRequests = 1
	// DefaultDeadlineMs is ten minutes, within which an engine prefills a
	// prompt of a million tokens.
	DefaultDeadlineMs = 600_000
	// DefaultMaxBodyBytes holds a prompt of a million tokens with escapes.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxOutputTokens bounds the reservation of a request that states
	// no limit.
	DefaultMaxOutputTokens = 4096
	// DefaultIsolatedServingSeconds is how long a dispatcher serves its own
	// failure domain without a confirmed configuration.
	DefaultIsolatedServingSeconds = 900
	// DefaultWeight is the share of an account that states none.
	DefaultWeight = 1
)

var checked = metrics.GetOrCreateCounter(`bilberry_manifest_checks_total`)

// MaxBytes bounds a manifest. 2,200 accounts with grants need below 4 MiB.
const MaxBytes = 16 << 20

// Manifest is a checked manifest. It is immutable after Parse and safe for
// concurrent use.
type Manifest struct {
	Number         uint64          `json:"number"`
	Services       []Service       `json:"services"`
	Accounts       []Account       `json:"accounts"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	Urgencies      []Urgency       `json:"urgencies"`
	// IsolatedServingSeconds is nil in documents that leave it out; use
	// IsolatedServing.
	IsolatedServingSeconds *int `json:"isolated_serving_seconds,omitempty"`
	// Routing is the part that gateways serve; nil where entry processes serve
	// the services above.
	Routing *Routing `json:"routing,omitempty"`

	index index
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Models are the model names that callers may use; unique over all services.
	Models []string `json:"models,omitempty"`
	// PathPrefix is the path of a plain service, without a trailing slash.
	PathPrefix string `json:"path_prefix,omitempty"`
	// IdempotentCalls has a meaning of its own when it is present and empty;
	// see IsIdempotent.
	IdempotentCalls   []Call `json:"idempotent_calls,omitempty"`
	ColdLimitRequests int    `json:"cold_limit_requests,omitempty"`
	// MaxConcurrent bounds the open requests of one backend server; 0 means
	// that only its memory does.
	MaxConcurrent int   `json:"max_concurrent,omitempty"`
	DeadlineMs    int64 `json:"deadline_ms,omitempty"`
	MaxBodyBytes  int64 `json:"max_body_bytes,omitempty"`
	// PrefillTokensPerSecond is a hint for estimates before the first
	// measurement; 0 means none.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	MaxOutputTokens        uint64  `json:"max_output_tokens,omitempty"`
}

// Call names calls of a service. Path is the whole request path; a trailing
// "*" matches any rest.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 are the SHA-256 digests of the account's keys in lower-case hex.
	KeySHA256 []string `json:"key_sha256"`
	// Weight is the share of the account in fair queueing.
	Weight float64 `json:"weight,omitempty"`
	Grants []Grant `json:"grants"`
}

// Grant allows an account to use a service.
type Grant struct {
	Service string `json:"service"`
	// Urgencies that the account may ask for; the first is the default.
	Urgencies     []string `json:"urgencies"`
	RatePerSecond float64  `json:"rate_per_second"`
	Concurrent    int      `json:"concurrent"`
}

// Allows reports whether the grant includes the urgency.
func (g *Grant) Allows(urgency string) bool { return slices.Contains(g.Urgencies, urgency) }

// Urgency is a class of requests.
type Urgency struct {
	Name string `json:"name"`
	// Priority orders the classes; a lower value is more urgent.
	Priority int `json:"priority"`
	// TTFTTargetMs is the target time to first token; 0 means none.
	TTFTTargetMs int `json:"ttft_target_ms,omitempty"`
}

// FailureDomain is a set of VMs that fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

var errTooLarge = Errors{{Path: "", Message: "document is larger than 16 MiB"}}

// Decode returns the manifest of a document that Parse has accepted at another
// process. It leaves out what takes most of the time of Parse: the bounds of
// single fields and repeated keys.
func Decode(data []byte) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, errTooLarge
	}
	m := &Manifest{}
	dec := json.NewDecoder(bytes.NewReader(data))
	// A field that this build does not know may restrict what it would allow.
	dec.DisallowUnknownFields()
	if err := dec.Decode(m); err != nil {
		return nil, errors.Annotate(err, "decode manifest")
	}
	if faults := m.check(); len(faults) > 0 {
		return nil, sorted(faults)
	}
	m.prepare()
	return m, nil
}

// Parse checks data in full and returns the manifest. The error is an Errors
// with all faults of the document. It is for documents that are not accepted
// yet; see Decode.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, errTooLarge
	}
	checked.Inc()
	faults := duplicateKeys(data)
	schemaFaults, err := checkSchema(data)
	if err != nil {
		return nil, Errors{{Path: "", Message: err.Error()}}
	}
	faults = append(faults, schemaFaults...)
	m := &Manifest{}
	// A wrong type is reported by the schema; the rest of the document is
	// still decoded, so that its other faults are reported as well.
	decodeErr := json.Unmarshal(data, m)
	faults = append(faults, m.check()...)
	if decodeErr != nil && len(faults) == 0 {
		faults = append(faults, Fault{Message: decodeErr.Error()})
	}
	if len(faults) > 0 {
		return nil, sorted(faults)
	}
	m.prepare()
	return m, nil
}

// check returns the faults that the schema cannot express.
func (m *Manifest) check() []Fault {
	return slices.Concat(m.checkNames(), m.checkServices(), m.checkReferences(), m.Routing.check())
}

// prepare sets defaults and builds the lookups of a checked manifest.
func (m *Manifest) prepare() {
	m.setDefaults()
	m.index = newIndex(m)
	m.Routing.prepare()
}

func (m *Manifest) setDefaults() {
	if m.IsolatedServingSeconds == nil {
		seconds := DefaultIsolatedServingSeconds
		m.IsolatedServingSeconds = &seconds
	}
	for i := range m.Services {
		s := &m.Services[i]
		setDefault(&s.ColdLimitRequests, DefaultColdLimitRequests)
		setDefault(&s.DeadlineMs, DefaultDeadlineMs)
		setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
		setDefault(&s.MaxOutputTokens, DefaultMaxOutputTokens)
	}
	for i := range m.Accounts {
		setDefault(&m.Accounts[i].Weight, DefaultWeight)
	}
}

// setDefault replaces the zero value, which the schema allows for no field
// that has a default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
