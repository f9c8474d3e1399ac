package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"syscall"

	"bilberryhub/internal/standin"
)

// get decodes the JSON document at an admin address.
func (s *setup) get(address, path string, into any) error {
	data, err := s.fetch(address, path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func (s *setup) fetch(address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s%s: status %d", address, path, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

// stats returns the counters of all engines by id. The simulated backend servers
// are never paused, so that a failure to read them is a failure of the test.
func (s *setup) stats() map[string]standin.StatsDocument {
	out := map[string]standin.StatsDocument{}
	for _, p := range s.standins {
		var docs []standin.StatsDocument
		if err := s.get(p.admin, "/admin/stats", &docs); err != nil {
			s.t.Errorf("stats of %s: %v", p.name, err)
			continue
		}
		for _, d := range docs {
			if strings.HasPrefix(d.ID, "engine-") {
				out[d.ID] = d
			}
		}
	}
	return out
}

// effects returns how often each effect was run, over all plain services.
func (s *setup) effects() map[string]int {
	out := map[string]int{}
	for _, p := range s.standins {
		var runs map[string]int
		if err := s.get(p.admin, "/admin/instances/"+p.plain+"/effects", &runs); err != nil {
			s.t.Errorf("effects of %s: %v", p.name, err)
		}
		for id, n := range runs {
			out[id] += n
		}
	}
	return out
}

func (s *setup) setFaults(p *standinProcess, id string, faults map[string]any) {
	data, err := json.Marshal(faults)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.admin+"/admin/instances/"+id+"/faults", bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		s.t.Errorf("faults of %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Errorf("faults of %s: status %d", id, resp.StatusCode)
	}
}

// entryDump is the part of the state dump that the tests look at.
type entryDump struct {
	Incarnation uint64 `json:"incarnation"`
	Config      struct {
		Index          uint64 `json:"index"`
		ManifestNumber uint64 `json:"manifest_number"`
	} `json:"config"`
	Requests []json.RawMessage `json:"requests"`
	Pools    struct {
		Pools []struct {
			FailureDomain string `json:"failure_domain"`
			Service       string `json:"service"`
			Backends      []struct {
				ID       string `json:"id"`
				LeaseMS  int64  `json:"lease_left_ms"`
				Reserved uint64 `json:"reserved_tokens"`
				Open     int    `json:"open"`
			} `json:"backends"`
			Dispatches []json.RawMessage `json:"dispatches"`
		} `json:"pools"`
	} `json:"pools"`
}

type stateDump struct {
	ID   string `json:"id"`
	Raft struct {
		LeaseValid       bool     `json:"lease_valid"`
		Voters           []string `json:"voters"`
		Learners         []string `json:"learners"`
		RepairIncomplete bool     `json:"repair_incomplete"`
	} `json:"raft"`
	State struct {
		AppliedIndex   uint64 `json:"applied_index"`
		ManifestNumber uint64 `json:"manifest_number"`
	} `json:"state"`
}

func (s *setup) entryDump(e *entryProcess) (*entryDump, error) {
	d := &entryDump{}
	return d, s.get(e.admin, "/dump", d)
}

func (s *setup) stateDump(p *stateProcess) (*stateDump, error) {
	d := &stateDump{}
	return d, s.get(p.admin, "/dump", d)
}

// dumps returns the dumps of all entry processes, for a failed test.
func (s *setup) dumps() string {
	var b strings.Builder
	for _, e := range s.entries {
		data, err := s.fetch(e.admin, "/dump")
		fmt.Fprintf(&b, "%s: %s %v\n", e.name, data, err)
	}
	return b.String()
}

// dispatcher returns the entry process that holds the leases of the engines of a
// failure domain, or nil.
func (s *setup) dispatcher(domain string) *entryProcess {
	for _, e := range s.entries {
		d, err := s.entryDump(e)
		if err != nil {
			continue
		}
		for _, pool := range d.Pools.Pools {
			if pool.FailureDomain != domain || pool.Service != "assistant" || len(pool.Backends) == 0 {
				continue
			}
			held := true
			for _, b := range pool.Backends {
				held = held && b.LeaseMS > 0
			}
			if held {
				return e
			}
		}
	}
	return nil
}

// mustDispatcher waits for a dispatcher.
func (s *setup) mustDispatcher(domain string) *entryProcess {
	s.t.Helper()
	var e *entryProcess
	s.within(patience, "a dispatcher of "+domain, func() bool { e = s.dispatcher(domain); return e != nil })
	return e
}

// leader returns the state process that leads with a valid lease, or nil.
func (s *setup) leader() (*stateProcess, *stateDump) {
	for _, p := range s.states {
		if d, err := s.stateDump(p); err == nil && d.Raft.LeaseValid {
			return p, d
		}
	}
	return nil, nil
}

// voter returns the identity under which a state process is a voter, and whether
// the replica set is complete without learners.
func (s *setup) voter(name string) (identity string, complete bool) {
	_, d := s.leader()
	if d == nil {
		return "", false
	}
	for _, id := range d.Raft.Voters {
		if strings.HasPrefix(id, name+"/") {
			identity = id
		}
	}
	return identity, len(d.Raft.Voters) == domains && len(d.Raft.Learners) == 0 && !d.Raft.RepairIncomplete
}

// rejoined tells whether a state process that has lost its disk is a voter under
// a new identity and the repair is complete.
func (s *setup) rejoined(name, lost string) bool {
	id, complete := s.voter(name)
	return complete && id != "" && id != lost
}

var violation = regexp.MustCompile(`(?m)^bilberry_invariant_violations_total\S* ([1-9]\S*)$`)

// checkInvariants fails the test when a process counts a violated invariant.
// A process that does not answer is left out; its log is checked at the end.
func (s *setup) checkInvariants() {
	check := func(name, admin string) {
		data, err := s.fetch(admin, "/metrics")
		if err != nil {
			return
		}
		if m := violation.Find(data); m != nil {
			s.t.Errorf("%s: %s", name, m)
		}
	}
	for _, p := range s.states {
		check(p.name, p.admin)
	}
	for _, p := range s.entries {
		check(p.name, p.admin)
	}
}

func (s *setup) reserved() uint64 {
	sum := uint64(0)
	for _, d := range s.stats() {
		sum += d.ReservedTokens
	}
	return sum
}

func (s *setup) running() int {
	sum := 0
	for _, d := range s.stats() {
		sum += d.Running
	}
	return sum
}

func pause(p *process)  { p.signal(syscall.SIGSTOP) }
func resume(p *process) { p.signal(syscall.SIGCONT) }
