// Package manifest parses, validates, hashes and indexes the manifest, the complete
// desired state that a build pipeline generates.
//
// The manifest grants access to services, so a document with an error must be refused
// as a whole instead of being interpreted in another way: unknown fields, duplicate
// keys, duplicate names, dangling references and values out of range are errors. All
// faults of a document are reported, each with its path. Acceptance, replication and
// distribution of manifests are left to other packages.
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
	// DefaultColdLimitRequests is the only limit on open requests that every cold
	// backend server can handle.
	DefaultColdLimitRequests = 1
	// DefaultDeadlineMs is ten minutes, which is enough for an engine to prefill a
	// prompt of a million tokens.
	DefaultDeadlineMs = 600_000
	// DefaultMaxBodyBytes is enough for a prompt of a million tokens with JSON
	// escapes.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxOutputTokens limits the reservation of a request that states no
	// limit.
	DefaultMaxOutputTokens = 4096
	// DefaultIsolatedServingSeconds is how long a dispatcher serves its own
	// failure domain without a confirmed configuration.
	DefaultIsolatedServingSeconds = 900
	// DefaultWeight is the weight of an account that states none.
	DefaultWeight = 1
)

// checksTotal counts the calls of Parse.
var checksTotal = metrics.GetOrCreateCounter(`bilberry_manifest_checks_total`)

// MaxBytes limits the size of a manifest. 2,200 accounts with grants need less than
// 4 MiB.
const MaxBytes = 16 << 20

// Manifest is a valid manifest. It is immutable after Parse or Decode and safe for
// concurrent use.
type Manifest struct {
	Number         uint64          `json:"number"`
	Services       []Service       `json:"services"`
	Accounts       []Account       `json:"accounts"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	Urgencies      []Urgency       `json:"urgencies"`
	// IsolatedServingSeconds is nil in documents that omit it until the default is
	// set; use IsolatedServing to read it.
	IsolatedServingSeconds *int `json:"isolated_serving_seconds,omitempty"`
	// Routing is the section for gateways. It is nil if entry processes serve the
	// services above.
	Routing *Routing `json:"routing,omitempty"`

	index index
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Models are the model names that callers may use. A name belongs to one service.
	Models []string `json:"models,omitempty"`
	// PathPrefix is the path of a plain service, without a trailing slash.
	PathPrefix string `json:"path_prefix,omitempty"`
	// IdempotentCalls are the calls that may run more than once. An empty list is
	// not equivalent to an absent one; see IsIdempotent.
	IdempotentCalls []Call `json:"idempotent_calls,omitempty"`
	// ColdLimitRequests limits the open requests of a cold backend server.
	ColdLimitRequests int `json:"cold_limit_requests,omitempty"`
	// MaxConcurrent limits the open requests of one backend server; 0 means that
	// only its memory limits them.
	MaxConcurrent int   `json:"max_concurrent,omitempty"`
	DeadlineMs    int64 `json:"deadline_ms,omitempty"`
	MaxBodyBytes  int64 `json:"max_body_bytes,omitempty"`
	// PrefillTokensPerSecond is a hint for estimates before the first measurement; 0
	// means that there is none.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	MaxOutputTokens        uint64  `json:"max_output_tokens,omitempty"`
}

// Call identifies calls of a service by method and path. Path is the whole request
// path; a trailing "*" matches any suffix.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 are the SHA-256 digests of the keys of the account in lower-case
	// hexadecimal.
	KeySHA256 []string `json:"key_sha256"`
	// Weight is the share of the account in fair queueing.
	Weight float64 `json:"weight,omitempty"`
	Grants []Grant `json:"grants"`
}

// Grant allows an account to use a service.
type Grant struct {
	Service string `json:"service"`
	// Urgencies are the urgencies that the account may request; the first one is the
	// default.
	Urgencies []string `json:"urgencies"`
	// RatePerSecond and Concurrent limit the request rate and the number of open
	// requests of the account at the service. Each failure domain in service enforces
	// an equal share of them.
	RatePerSecond float64 `json:"rate_per_second"`
	Concurrent    int     `json:"concurrent"`
}

// Allows reports whether the grant includes the urgency.
func (g *Grant) Allows(urgency string) bool { return slices.Contains(g.Urgencies, urgency) }

// Urgency is a class of requests.
type Urgency struct {
	Name string `json:"name"`
	// Priority orders the classes; lower values are more urgent.
	Priority int `json:"priority"`
	// TTFTTargetMs is the target for the time to first token; 0 means none.
	TTFTTargetMs int `json:"ttft_target_ms,omitempty"`
}

// FailureDomain is a set of VMs that fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

var errTooLarge = Errors{{Path: "", Message: "document is larger than 16 MiB"}}

// Decode returns the manifest of a document that Parse has accepted at another
// process. It omits the checks that take most of the time of Parse: the limits of
// single fields and duplicate keys. The error is an Errors unless the document cannot
// be decoded.
func Decode(data []byte) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, errTooLarge
	}
	m := &Manifest{}
	dec := json.NewDecoder(bytes.NewReader(data))
	// An unknown field may restrict something that this build would allow.
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

// Parse validates data in full and returns the manifest. The error is an Errors with
// all faults of the document. Use it for documents that have not been accepted yet, and
// Decode for those that have.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, errTooLarge
	}
	checksTotal.Inc()
	faults := duplicateKeys(data)
	schemaFaults, err := checkSchema(data)
	if err != nil {
		return nil, Errors{{Path: "", Message: err.Error()}}
	}
	faults = append(faults, schemaFaults...)
	m := &Manifest{}
	// The schema reports values of a wrong type. Unmarshal decodes the rest of the
	// document nevertheless, so that its other faults are reported as well.
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

// check returns the faults that the JSON schema cannot detect.
func (m *Manifest) check() []Fault {
	return slices.Concat(m.checkNames(), m.checkServices(), m.checkReferences(), m.Routing.check())
}

// prepare sets defaults and builds the lookup tables of a valid manifest.
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

// setDefault sets a field that has its zero value. The schema does not allow the zero
// value for a field with a default, so that it means an omitted field.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
