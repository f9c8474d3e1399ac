package manifest

import "strings"

// reservedPrefixes are paths of the entry process itself.
var reservedPrefixes = []string{
	"/v1/chat/completions", "/v1/completions", "/v1/backend-servers",
	"/health", "/metrics", "/dump",
}

// names reports names that occur twice in one list.
type names struct {
	first  map[string]string
	faults []Fault
}

func (n *names) add(name, path, what string) {
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

func (m *Manifest) checkNames() []Fault {
	var services, models, accounts, keys, domains, urgencies names
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
	for _, n := range []names{services, models, accounts, keys, domains, urgencies} {
		faults = append(faults, n.faults...)
	}
	return faults
}

func (m *Manifest) checkServices() []Fault {
	var faults []Fault
	for i := range m.Services {
		faults = append(faults, m.Services[i].check(i)...)
		faults = append(faults, m.checkPrefix(i)...)
	}
	return faults
}

// check returns the faults of the combination of kind and fields.
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

func (s *Service) checkCalls(i int) []Fault {
	var faults []Fault
	var calls names
	for j, c := range s.IdempotentCalls {
		calls.add(c.Method+" "+c.Path, pointer("services", i, "idempotent_calls", j), "call")
		inside := s.Kind == KindModel || within(strings.TrimSuffix(c.Path, "*"), s.PathPrefix)
		if s.PathPrefix != "" && c.Path != "" && !inside {
			faults = append(faults, Fault{pointer("services", i, "idempotent_calls", j, "path"), "path is outside the path prefix of the service"})
		}
	}
	return append(faults, calls.faults...)
}

// checkPrefix returns the faults of the path prefix of service i against
// reserved paths and earlier services.
func (m *Manifest) checkPrefix(i int) []Fault {
	prefix := m.Services[i].PathPrefix
	if prefix == "" {
		return nil
	}
	at := pointer("services", i, "path_prefix")
	var faults []Fault
	for _, reserved := range reservedPrefixes {
		if overlap(prefix, reserved) {
			faults = append(faults, Fault{at, "overlaps the reserved path " + reserved})
		}
	}
	for j := range i {
		if other := m.Services[j].PathPrefix; other != "" && overlap(prefix, other) {
			faults = append(faults, Fault{at, "overlaps " + pointer("services", j, "path_prefix")})
		}
	}
	return faults
}

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
		var granted names
		for j, g := range a.Grants {
			granted.add(g.Service, pointer("accounts", i, "grants", j, "service"), "grant")
			if g.Service != "" && !services[g.Service] {
				faults = append(faults, Fault{pointer("accounts", i, "grants", j, "service"), "no service named " + g.Service})
			}
			var listed names
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

// within reports whether path is prefix or below it, by whole segments.
func within(path, prefix string) bool {
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

func overlap(a, b string) bool { return within(a, b) || within(b, a) }
