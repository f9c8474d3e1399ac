package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// headsMemoryMB is the memory of a gateway's VM. headsCrowds processes of untrusted callers
	// open headsConnections connections each to a gateway, and send headsBytes of the head of
	// a request on each.
	headsMemoryMB    = 184
	headsCrowds      = 4
	headsConnections = 750
	headsBytes       = 60_000
	// headsRounds is how often the platform has to kill a process for the rule to be broken.
	headsRounds = 3
	headsLimit  = 70 * time.Second
)

// heads checks that gateways stay within the memory of their VMs while untrusted callers send
// heads of requests without an end. A gateway that takes more is killed and started again, as
// the platform does it.
func heads(record *Record, trouble bool) (bool, error) {
	const gateways = 2
	s, err := startSystem(record, 3, gateways, 1, headsMemoryMB)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	if _, err := s.addReplica(1, "i-1", replicaSettings{WorkMs: 10, ServeMs: 2500}); err != nil {
		return false, err
	}
	var kills [gateways]atomic.Int64
	var errs [gateways]error
	until := time.Now().Add(headsLimit)
	if !trouble {
		until = time.Now().Add(15 * time.Second)
	}
	var wg sync.WaitGroup
	for n := range gateways {
		wg.Go(func() { errs[n] = s.attackHeads(n, until, trouble, &kills[n]) })
	}
	wg.Wait()
	broken := true
	for n := range gateways {
		if errs[n] != nil {
			return false, errs[n]
		}
		record.Line("gateway %d was killed %d times", n, kills[n].Load())
		broken = broken && kills[n].Load() >= headsRounds
	}
	return broken, nil
}

// attackHeads sends heads to one gateway until it was killed headsRounds times.
func (s *System) attackHeads(n int, until time.Time, trouble bool, kills *atomic.Int64) error {
	g := s.gateways[n]
	for time.Now().Before(until) && kills.Load() < headsRounds {
		if err := s.waitReady(n, 15*time.Second); err != nil {
			return err
		}
		if !trouble {
			a := request(s.callers(n), http.MethodGet, "/read/1", callerKey, time.Second, nil)
			s.record.Line("gateway %d: %.0f MiB; ordinary request: %v", n, g.anonMemory(), a)
			time.Sleep(time.Second)
			if mb := g.anonMemory(); mb > headsMemoryMB {
				return fmt.Errorf("gateway %d takes %.0f MiB without untrusted callers", n, mb)
			}
			continue
		}
		begun, failed := make(chan *crowd, headsCrowds), make(chan error, headsCrowds)
		for range headsCrowds {
			go func() {
				c, err := s.startCrowd(s.callers(n), headsConnections, headsBytes)
				begun <- c
				failed <- err
			}()
		}
		largest := 0.0
		for round := time.Now(); time.Since(round) < 12*time.Second; time.Sleep(20 * time.Millisecond) {
			mb := g.anonMemory()
			if largest = max(largest, mb); mb > headsMemoryMB {
				break
			}
		}
		s.record.Line("gateway %d: %.0f MiB of anonymous memory, the VM has %d", n, largest, headsMemoryMB)
		if largest > headsMemoryMB {
			kills.Add(1)
			s.record.Line("the platform kills gateway %d: more memory than its VM has", n)
			s.signal(g, syscall.SIGKILL)
			<-g.ended
		}
		for range headsCrowds {
			if c := <-begun; c != nil {
				c.end()
			}
			if err := <-failed; err != nil {
				return err
			}
		}
		if !g.isRunning() {
			time.Sleep(500 * time.Millisecond)
			if err := s.start(g); err != nil {
				return err
			}
		}
	}
	return nil
}
