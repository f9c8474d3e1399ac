package main

import (
	"net/http"
	"time"
)

func init() { cases["outage"] = (*system).runOutage }

const (
	// outageTime is how long the core is without power.
	outageTime = 64 * time.Second
	// recoveryTime is the bound recovery-s, and drainBound the bound drain-ms.
	recoveryTime = 12 * time.Second
	drainBound   = 2 * time.Second
	// afterDrainTime is the time in which requests are sent that must not reach the replica.
	afterDrainTime = 4 * time.Second
)

// runOutage lets the core lose power for a minute, and drains a replica long after.
func (s *system) runOutage(hasTrouble bool) error {
	g, first, err := s.startSmall()
	if err != nil {
		return err
	}
	if err := s.addReplicas(first); err != nil {
		return err
	}
	other := s.gateway(1, edgeMemoryMB)
	if err := s.start(other); err != nil {
		return err
	}
	if err := s.awaitServed(other, startTimeout); err != nil {
		return err
	}
	if hasTrouble {
		if err := s.powerOffCore(); err != nil {
			return err
		}
	}
	if err := s.await("a read of the desired state", recoveryTime, func() bool {
		r := s.call(time.Second, http.MethodGet, "http://"+address(s.controlIP(0), controlPort)+"/bilberryhub/config", "")
		return r.err == nil && r.status == http.StatusOK
	}); err != nil {
		return err
	}
	time.Sleep(recoveryTime)
	if err := s.roll(other); err != nil {
		return err
	}
	for _, p := range []*process{g, other} {
		served, total := s.countServed(p, time.Second)
		s.logf("before the drain, %d of %d requests are served at %s", served, total, p.name)
	}
	return s.checkDrain(g, first)
}

// powerOffCore takes the power from all control processes for outageTime.
func (s *system) powerOffCore() error {
	var controls []*process
	for _, p := range s.running() {
		if p.program == "bilberry-control" {
			controls = append(controls, p)
			_ = p.cmd.Process.Kill()
		}
	}
	s.logf("the core is without power")
	time.Sleep(outageTime)
	for _, p := range controls {
		if err := s.start(p); err != nil {
			return err
		}
	}
	s.logf("the core is back")
	return nil
}

// checkDrain drains a replica and checks that no request that is sent later than drain-ms after
// the acknowledgement reaches it through a gateway.
func (s *system) checkDrain(g *process, r *replica) error {
	r.setState("draining")
	if err := s.await("the acknowledgement of the drain", ackTime, r.announce); err != nil {
		return brokenf("%v", err)
	}
	s.logf("replica %s drains, acknowledged", r.id)
	time.Sleep(drainBound)
	late := 0
	for end := time.Now().Add(afterDrainTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		id, _ := s.request(g, setPath)
		if r.runsOf(id) > 0 {
			late++
		}
	}
	s.logf("%d requests reached %s later than %s after the acknowledgement of its drain", late, r.id, drainBound)
	if late > 0 {
		return brokenf("%d requests sent through %s reached %s later than %s after the acknowledgement of its drain", late, g.name, r.id, drainBound)
	}
	return nil
}
