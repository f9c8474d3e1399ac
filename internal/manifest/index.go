package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"
)

// index holds the lookup tables of a manifest. It is built once and is immutable.
type index struct {
	accountByKey map[string]*Account
	account      map[string]*Account
	service      map[string]*Service
	byModel      map[string]*Service
	byPrefix     map[string]*Service
	urgency      map[string]*Urgency
	domain       map[string]*FailureDomain
	grant        map[grantKey]*Grant
}

type grantKey struct{ account, service string }

// newIndex builds the lookup tables of m. The entries point into m.
func newIndex(m *Manifest) index {
	idx := index{
		accountByKey: map[string]*Account{}, account: map[string]*Account{},
		service: map[string]*Service{}, byModel: map[string]*Service{}, byPrefix: map[string]*Service{},
		urgency: map[string]*Urgency{}, domain: map[string]*FailureDomain{}, grant: map[grantKey]*Grant{},
	}
	for i := range m.Services {
		s := &m.Services[i]
		idx.service[s.Name] = s
		if s.PathPrefix != "" {
			idx.byPrefix[s.PathPrefix] = s
		}
		for _, model := range s.Models {
			idx.byModel[model] = s
		}
	}
	for i := range m.Accounts {
		a := &m.Accounts[i]
		idx.account[a.Name] = a
		for _, key := range a.KeySHA256 {
			idx.accountByKey[key] = a
		}
		for j := range a.Grants {
			idx.grant[grantKey{a.Name, a.Grants[j].Service}] = &a.Grants[j]
		}
	}
	for i := range m.Urgencies {
		idx.urgency[m.Urgencies[i].Name] = &m.Urgencies[i]
	}
	for i := range m.FailureDomains {
		idx.domain[m.FailureDomains[i].Name] = &m.FailureDomains[i]
	}
	return idx
}

// AccountByKey returns the account that owns the bearer key. The lookup compares
// SHA-256 digests, so that its timing reveals nothing about stored keys.
func (m *Manifest) AccountByKey(bearer string) (*Account, bool) {
	sum := sha256.Sum256([]byte(bearer))
	a, ok := m.index.accountByKey[hex.EncodeToString(sum[:])]
	return a, ok
}

// Account returns the account with the given name.
func (m *Manifest) Account(name string) (*Account, bool) {
	a, ok := m.index.account[name]
	return a, ok
}

// Service returns the service with the given name.
func (m *Manifest) Service(name string) (*Service, bool) {
	s, ok := m.index.service[name]
	return s, ok
}

// ServiceByModel returns the service that serves the model.
func (m *Manifest) ServiceByModel(model string) (*Service, bool) {
	s, ok := m.index.byModel[model]
	return s, ok
}

// ServiceByPath returns the plain service with the longest path prefix that matches
// whole segments of path. An ambiguous path, which a backend server could interpret as
// another one, matches no service; one with ".." is an example.
func (m *Manifest) ServiceByPath(path string) (*Service, bool) {
	if !isCleanPath(path) {
		return nil, false
	}
	for prefix := strings.TrimSuffix(path, "/"); prefix != ""; {
		if s, ok := m.index.byPrefix[prefix]; ok {
			return s, true
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
	return nil, false
}

// Grant returns the grant of the account for the service.
func (m *Manifest) Grant(account, service string) (*Grant, bool) {
	g, ok := m.index.grant[grantKey{account, service}]
	return g, ok
}

// Urgency returns the urgency with the given name.
func (m *Manifest) Urgency(name string) (*Urgency, bool) {
	u, ok := m.index.urgency[name]
	return u, ok
}

// FailureDomain returns the failure domain with the given name.
func (m *Manifest) FailureDomain(name string) (*FailureDomain, bool) {
	d, ok := m.index.domain[name]
	return d, ok
}

// IsolatedServing returns how long a dispatcher serves its own failure domain
// without a confirmed configuration.
func (m *Manifest) IsolatedServing() time.Duration {
	return time.Duration(*m.IsolatedServingSeconds) * time.Second
}

// IsIdempotent reports whether a call may run more than once. The path must be
// percent-decoded.
//
// GET, HEAD and OPTIONS are idempotent, as are declared calls. If a model service
// declares no list, its completions are idempotent, because an engine keeps no state of
// a request; a list, even an empty one, replaces this default. PUT and DELETE must be
// declared, because there are services whose PUT has an external effect each time. A
// call with an ambiguous path, which a backend server could interpret as another one,
// is never idempotent.
func (s *Service) IsIdempotent(method, path string) bool {
	if !isCleanPath(path) {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	if s.Kind == KindModel && s.IdempotentCalls == nil {
		return method == http.MethodPost && (path == "/v1/chat/completions" || path == "/v1/completions")
	}
	for _, c := range s.IdempotentCalls {
		if c.Method == method && c.matches(path) {
			return true
		}
	}
	return false
}

// matches reports whether a request path is one of the paths of the call.
func (c Call) matches(path string) bool {
	if prefix, ok := strings.CutSuffix(c.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return path == c.Path
}

// isCleanPath reports whether path, which must be percent-decoded, is absolute and
// unambiguous: it has no empty or dot segments, backslashes, percent signs or NUL
// bytes.
func isCleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\%\x00") {
		return false
	}
	rest := strings.TrimSuffix(path[1:], "/")
	if rest == "" {
		return path == "/"
	}
	for segment := range strings.SplitSeq(rest, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}
