package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

func init() { cases["replaced"] = (*system).runReplaced }

const (
	// coreMachines is the number of core machines, and coreLosses how many of them may be lost
	// at once.
	coreMachines = 8
	coreLosses   = 2
	// successorTime is the time from the loss of a machine to the start of its successor, and
	// catchUpTime the bound catch-up-s, after which the lost one doesn't count any more.
	successorTime = time.Second
	catchUpTime   = 6 * time.Second
	// maxRounds bounds the rounds in which machines are replaced.
	maxRounds = 8
	// changeTime is how long the operator tries a change and a read at the end.
	changeTime = 10 * time.Second
	// servedTime is the time in which ordinary requests are counted at the end.
	servedTime = 4 * time.Second
)

// core is the core of a deployment, of which machines are replaced.
type core struct {
	s *system
	// live are the machines that run, in the order of their start.
	live   []*process
	hosts  int
	losses int
}

// coreStatus is what a control process says of the replica set.
type coreStatus struct {
	Raft struct {
		Role     string   `json:"role"`
		Leader   string   `json:"leader"`
		Voters   []string `json:"voters"`
		Learners []string `json:"learners"`
	} `json:"raft"`
}

// add starts a core machine with an empty disk at a new address.
func (c *core) add(seeds []string, isFirst bool) error {
	ip := c.s.controlIP(c.hosts)
	p := &process{name: fmt.Sprintf("core-%d", c.hosts), ip: ip, program: "bilberry-control", settings: map[string]any{
		"ip": ip, "failure_domain": domains[c.hosts%3], "failure_domains": domains, "peer_port": peerPort,
		"admin_listen": address(ip, adminPort), "operator_listen": address(ip, controlPort),
		"data_dir": filepath.Join(c.s.dir, ip), "seeds": seeds, "memory_mb": 280, "disk_mb": 128, "tolerated_losses": c.losses,
	}}
	if isFirst {
		p.settings["bootstrap"] = true
	}
	c.hosts++
	if err := os.MkdirAll(filepath.Join(c.s.dir, ip), 0o700); err != nil {
		return err
	}
	if err := c.s.start(p); err != nil {
		return err
	}
	delete(p.settings, "bootstrap")
	c.live = append(c.live, p)
	return nil
}

// remove ends a machine for good.
func (c *core) remove(p *process) {
	c.s.logf("%s at %s is removed for good", p.name, p.ip)
	p.kill()
	c.live = slices.DeleteFunc(c.live, func(q *process) bool { return q == p })
}

// seeds returns the addresses of three machines that run.
func (c *core) seeds() []string {
	var out []string
	for _, p := range c.live[:3] {
		out = append(out, address(p.ip, controlPort))
	}
	return out
}

// status returns what the machine that leads says of the replica set.
func (c *core) status() (st coreStatus, ok bool) {
	for _, p := range c.live {
		r := c.s.call(time.Second, http.MethodGet, "http://"+address(p.ip, adminPort)+"/dump", "")
		var one coreStatus
		if r.err != nil || json.Unmarshal([]byte(r.body), &one) != nil {
			continue
		}
		if st = one; strings.EqualFold(st.Raft.Role, "leader") {
			return st, true
		}
	}
	return st, false
}

// victims chooses machines to be replaced: learners first, then voters that don't lead.
func (c *core) victims(most int) []*process {
	st, _ := c.status()
	ofSet := func(ids []string) (out []*process) {
		for _, p := range c.live {
			isIn := slices.ContainsFunc(ids, func(id string) bool { return strings.HasPrefix(id, p.ip+"/") })
			if isIn && !strings.HasPrefix(st.Raft.Leader, p.ip+"/") {
				out = append(out, p)
			}
		}
		return out
	}
	list := append(ofSet(st.Raft.Learners), ofSet(st.Raft.Voters)...)
	c.s.logf("voters %v, learners %v", st.Raft.Voters, st.Raft.Learners)
	return list[:min(most, len(list))]
}

// replace replaces machines, no more at once than may be lost, and waits until their
// successors have had their time.
func (c *core) replace() error {
	victims := c.victims(c.losses)
	for _, p := range victims {
		c.remove(p)
	}
	time.Sleep(successorTime)
	for range victims {
		if err := c.add(c.seeds(), false); err != nil {
			return err
		}
	}
	time.Sleep(catchUpTime + 200*time.Millisecond)
	return nil
}

// operate makes a call of the operator at the machines in turn.
func (c *core) operate(method, body string, timeout time.Duration) (result, error) {
	var last result
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		p := c.live[i%len(c.live)]
		last = c.s.call(time.Second, method, "http://"+address(p.ip, controlPort)+names.Config, body, "Content-Type", "application/json")
		c.s.logf("operator: %s %s at %s: %.150s", method, names.Config, p.name, last)
		if last.err == nil && last.status == http.StatusOK {
			return last, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last, fmt.Errorf("%s of the desired state got no 200 within %s", method, timeout)
}

// runReplaced replaces core machines again and again, and reads the desired state at the end.
func (s *system) runReplaced(hasTrouble bool) error {
	c := &core{s: s, losses: coreLosses}
	for range coreMachines {
		if err := c.add(s.seeds(), true); err != nil {
			return err
		}
	}
	if _, err := c.operate(http.MethodPut, desiredState(3), startTimeout); err != nil {
		return err
	}
	if _, err := s.startReplica("i-aace57a97e", "signctl", 101, domains[0], 15*time.Millisecond); err != nil {
		return err
	}
	g := s.gateway(0, edgeMemoryMB)
	if err := s.start(g); err != nil {
		return err
	}
	if err := s.awaitServed(g, startTimeout); err != nil {
		return err
	}
	for round := 1; hasTrouble && round <= maxRounds; round++ {
		s.logf("round %d", round)
		if err := c.replace(); err != nil {
			return err
		}
		st, hasLeader := c.status()
		s.logf("after round %d: leads: %v, voters %v, learners %v", round, hasLeader, st.Raft.Voters, st.Raft.Learners)
		if !hasLeader {
			break
		}
	}
	_, err := c.operate(http.MethodPut, desiredState(8), changeTime)
	s.logf("a change after all: %v", err)
	read, readErr := c.operate(http.MethodGet, "", changeTime)
	served, total := s.countServed(g, servedTime)
	s.logf("%d of %d ordinary requests are served at the end", served, total)
	switch {
	case readErr != nil:
		return brokenf("read back at the end, the desired state doesn't come: %v", readErr)
	case err == nil && read.body != desiredState(8):
		return brokenf("read back at the end, the desired state isn't what was acknowledged: %.200s", read.body)
	case err != nil:
		return brokenf("a proper change got no ack within %s", changeTime)
	}
	return nil
}
