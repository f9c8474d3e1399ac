package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// outageTime is how long all control VMs are without power.
	outageTime = 62 * time.Second
	// replicas is the number of replicas, and releaseSize how many of them each of two
	// releases replaces, one after the other.
	replicas, releaseSize = 4, 2
	// recoveryTime is the time after which the system must serve again.
	recoveryTime = 12 * time.Second
)

// longOutage checks that callers are served after a final fault, in which all control VMs were
// down for a minute and one lost its disk, and the replicas have been replaced one after the
// other since.
func longOutage(record *Record, trouble bool) (bool, error) {
	s, err := startSystem(record, 3, 2, 1, 0)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	set := replicaSettings{Events: 10, EventMs: 20, WorkMs: 10, ServeMs: 2500}
	var old []*Process
	for n := range replicas {
		p, err := s.addReplica(1+n, fmt.Sprintf("i-old-%d", n), set)
		if err != nil {
			return false, err
		}
		old = append(old, p)
	}
	for n := range 2 {
		if err := s.waitReady(n, 15*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if served, sent := s.load("before", 2*time.Second); served < sent {
		return false, fmt.Errorf("%d of %d requests were served before", served, sent)
	}
	if status, _ := s.operate(http.MethodPut, names.Config, s.desired(callerKey), s.seeds(), 5*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the change before the final fault has status %d", status)
	}
	if trouble {
		// The final fault: one loses its disk, and the others lose power.
		for _, p := range s.controls {
			s.kill(p)
		}
		time.Sleep(outageTime)
		for n, p := range s.controls {
			delete(p.settings, "bootstrap")
			if n == 0 {
				p.settings["data_dir"] = filepath.Join(s.dir, "empty")
				record.Line("%s has an empty disk", p.name)
			}
			if err := s.start(p); err != nil {
				return false, err
			}
		}
		time.Sleep(recoveryTime)
	}
	s.operate(http.MethodGet, names.Config, "", s.seeds(), 5*time.Second)
	for n := range old {
		if n%releaseSize == 0 {
			record.Line("a release begins")
		}
		if _, err := s.addReplica(11+n, fmt.Sprintf("i-new-%d", n), set); err != nil {
			return false, err
		}
		time.Sleep(1300 * time.Millisecond)
		s.signal(old[n], syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
	}
	for _, p := range old {
		<-p.ended
		record.Line("%s has left", p.name)
	}
	time.Sleep(2 * time.Second)
	served, sent := s.load("after", 5*time.Second)
	s.recordRuns()
	return 4*served < sent, nil
}

// load sends requests to all gateways for some time, and returns how many were served.
func (s *System) load(what string, d time.Duration) (served, sent int) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for n := range s.gateways {
			a := request(s.callers(n), http.MethodGet, "/read/1", callerKey, time.Second, nil)
			sent++
			if a.status == http.StatusOK && a.whole && a.body == plainBody(a.id) {
				served++
			}
			s.record.Line("%s, gateway %d: %v", what, n, a)
		}
	}
	s.record.Line("%s: %d of %d requests were served", what, served, sent)
	return served, sent
}
