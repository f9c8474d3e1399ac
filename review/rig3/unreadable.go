package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["unreadable"] = (*system).runUnreadable }

const (
	// unreadableID is the id in the path of a heartbeat: bytes that are no text.
	unreadableID = "%ff%fe"
	// ackTime is the bound ack-ms.
	ackTime = 4 * time.Second
	// exitTime is how long a replica that leaves waits for an acknowledgement before it exits
	// anyway, and drainTime how long it serves after one.
	exitTime  = 7 * time.Second
	drainTime = 2500 * time.Millisecond
	// graceTime is the bound grace-s.
	graceTime = 8 * time.Second
)

// announceUnreadable sends the heartbeats of another writer until the end of the case, as a
// replica does: to the next control process if one doesn't acknowledge.
func (s *system) announceUnreadable() {
	home := 0
	born := time.Now().UnixMilli()
	for {
		body := heartbeat{"ghost", address(s.ip(250), 8120), domains[0], "ready", s.sequence.Add(1), born}.String()
		for try := range 3 {
			i := (home + try) % 3
			r := s.call(time.Second, http.MethodPut, "http://"+address(s.controlIP(i), controlPort)+names.Replicas+unreadableID, body, "Content-Type", "application/json")
			s.logf("heartbeat with an id of unreadable bytes at control-%d: %v", i, r)
			if r.err == nil && r.status/100 != 5 {
				home = i
				break
			}
		}
		select {
		case <-s.done:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// runUnreadable sends heartbeats with an unreadable id, replaces a replica, and stops and
// starts the gateways in turn.
func (s *system) runUnreadable(hasTrouble bool) error {
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
		go s.announceUnreadable()
	}
	time.Sleep(4 * time.Second)
	isAcked, err := s.release(first)
	if err != nil {
		return err
	}
	for _, p := range []*process{g, other} {
		if err := s.roll(p); err != nil {
			return err
		}
	}
	for _, p := range []*process{g, other} {
		served, total := s.countServed(p, judgedTime/2)
		s.logf("after the planned restart, %d of %d requests were served at %s, ready: %v", served, total, p.name, s.isReady(p))
		s.logLines(p, "readiness changed", 1)
	}
	if !isAcked {
		return brokenf("the one replica that said that it leaves had no acknowledgement within %s, and ended without one", ackTime)
	}
	return nil
}

// release replaces a replica: a new one starts, and the old one drains. It reports whether the
// old one got an acknowledgement within ackTime.
func (s *system) release(old *replica) (isAcked bool, err error) {
	if _, err := s.startReplica("i-07be61d94c", old.service, 110, old.domain, old.work); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	s.logf("replica %s drains", old.id)
	old.setState("draining")
	for began := time.Now(); time.Since(began) < exitTime; time.Sleep(heartbeatTime) {
		if old.announce() {
			isAcked = time.Since(began) <= ackTime
			s.logf("replica %s got the acknowledgement after %s", old.id, time.Since(began))
			time.Sleep(drainTime)
			break
		}
	}
	s.logf("replica %s exits, its drain was acknowledged in time: %v", old.id, isAcked)
	old.stop()
	return isAcked, nil
}

// roll stops a gateway as planned and starts it again.
func (s *system) roll(p *process) error {
	s.logf("SIGTERM of %s", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		p.kill()
	}
	if err := s.start(p); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// countServed sends ordinary requests for some time. It returns how many of them were served.
func (s *system) countServed(g *process, length time.Duration) (served, total int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		total++
		if id, r := s.request(g, readPath); r.isServed(id) {
			served++
		}
	}
	return served, total
}
