package manifest

import "strings"

// reservedPrefixes are the paths that the entry process serves itself. No service may
// have a path prefix that overlaps one of them.
var reservedPrefixes = []string{
	"/v1/chat/completions", "/v1/completions", "/v1/backend-servers",
	"/health", "/metrics", "/dump",
}

// uniqueNames collects the names of one list and reports duplicates.
type uniqueNames struct {
	// first is the path of the first occurrence of each name.
	first  map[string]string
	faults []Fault
}

// add records a name at the given path. What describes the kind of name in faults.
// Empty names are ignored; the JSON schema reports them.
func (n *uniqueNames) add(name, path, what string) {
	if name == "" {
		return
	}
	if n.first == nil {
		n.first = map[string]string{}
	}
	if first, ok := n.first[name]; ok {
		n.faults = append(n.faults, Fault{path, "duplicate " + what + ", first at " + first})
		return
	}
	n.first[name] = path
}

// checkNames returns the duplicate names and keys.
func (m *Manifest) checkNames() []Fault {
	var services, models, accounts, keys, domains, urgencies uniqueNames
	for i, s := range m.Services {
		services.add(s.Name, pointer("services", i, "name"), "service name")
		for j, model := range s.Models {
			models.add(model, pointer("services", i, "models", j), "model")
		}
	}
	for i, a := range m.Accounts {
		accounts.add(a.Name, pointer("accounts", i, "name"), "account name")
		for j, key := range a.KeySHA256 {
			keys.add(key, pointer("accounts", i, "key_sha256", j), "key")
		}
	}
	for i, d := range m.FailureDomains {
		domains.add(d.Name, pointer("failure_domains", i, "name"), "failure domain name")
	}
	for i, u := range m.Urgencies {
		urgencies.add(u.Name, pointer("urgencies", i, "name"), "urgency name")
	}
	var faults []Fault
	for _, n := range []uniqueNames{services, models, accounts, keys, domains, urgencies} {
		faults = append(faults, n.faults...)
	}
	return faults
}

// checkServices returns the faults within services and between them.
func (m *Manifest) checkServices() []Fault {
	var faults []Fault
	for i := range m.Services {
		faults = append(faults, m.Services[i].check(i)...)
		faults = append(faults, m.checkPrefix(i)...)
	}
	return faults
}

// check returns the faults of service i that concern the combination of its kind and
// its fields.
func (s *Service) check(i int) []Fault {
	var faults []Fault
	switch s.Kind {
	case KindModel:
		if len(s.Models) == 0 {
			faults = append(faults, Fault{pointer("services", i, "models"), "a model service needs models"})
		}
		if s.PathPrefix != "" {
			faults = append(faults, Fault{pointer("services", i, "path_prefix"), "only a plain service has a path prefix"})
		}
	case KindPlain:
		if len(s.Models) > 0 {
			faults = append(faults, Fault{pointer("services", i, "models"), "only a model service has models"})
		}
		if s.PathPrefix == "" {
			faults = append(faults, Fault{pointer("services", i, "path_prefix"), "a plain service needs a path prefix"})
		}
	}
	return append(faults, s.checkCalls(i)...)
}

// checkCalls returns duplicate idempotent calls, and those of a plain service that are
// outside its path prefix.
func (s *Service) checkCalls(i int) []Fault {
	var faults []Fault
	var calls uniqueNames
	for j, c := range s.IdempotentCalls {
		calls.add(c.Method+" "+c.Path, pointer("services", i, "idempotent_calls", j), "call")
		isInside := s.Kind == KindModel || isWithin(strings.TrimSuffix(c.Path, "*"), s.PathPrefix)
		if s.PathPrefix != "" && c.Path != "" && !isInside {
			faults = append(faults, Fault{pointer("services", i, "idempotent_calls", j, "path"), "path is outside the path prefix of the service"})
		}
	}
	return append(faults, calls.faults...)
}

// checkPrefix returns a fault for each reserved path and each earlier service whose
// path prefix overlaps that of service i.
func (m *Manifest) checkPrefix(i int) []Fault {
	prefix := m.Services[i].PathPrefix
	if prefix == "" {
		return nil
	}
	at := pointer("services", i, "path_prefix")
	var faults []Fault
	for _, reserved := range reservedPrefixes {
		if overlaps(prefix, reserved) {
			faults = append(faults, Fault{at, "overlaps the reserved path " + reserved})
		}
	}
	for j := range i {
		if other := m.Services[j].PathPrefix; other != "" && overlaps(prefix, other) {
			faults = append(faults, Fault{at, "overlaps " + pointer("services", j, "path_prefix")})
		}
	}
	return faults
}

// checkReferences returns the faults of grants: services and urgencies that do not
// exist or are listed twice.
func (m *Manifest) checkReferences() []Fault {
	services, urgencies := map[string]bool{}, map[string]bool{}
	for _, s := range m.Services {
		services[s.Name] = true
	}
	for _, u := range m.Urgencies {
		urgencies[u.Name] = true
	}
	var faults []Fault
	for i, a := range m.Accounts {
		var granted uniqueNames
		for j, g := range a.Grants {
			granted.add(g.Service, pointer("accounts", i, "grants", j, "service"), "grant")
			if g.Service != "" && !services[g.Service] {
				faults = append(faults, Fault{pointer("accounts", i, "grants", j, "service"), "no service named " + g.Service})
			}
			var listed uniqueNames
			for k, u := range g.Urgencies {
				at := pointer("accounts", i, "grants", j, "urgencies", k)
				listed.add(u, at, "urgency")
				if u != "" && !urgencies[u] {
					faults = append(faults, Fault{at, "no urgency named " + u})
				}
			}
			faults = append(faults, listed.faults...)
		}
		faults = append(faults, granted.faults...)
	}
	return faults
}

// isWithin reports whether path equals prefix or is below it. It compares whole path
// segments.
func isWithin(path, prefix string) bool {
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// overlaps reports whether one of two paths is within the other.
func overlaps(a, b string) bool { return isWithin(a, b) || isWithin(b, a) }
