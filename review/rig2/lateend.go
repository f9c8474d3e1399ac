package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// lateEnd checks that a stream whose replica has crashed doesn't end as complete if the
// gateway stands still while the replica crashes and comes back. The stream has neither a
// length nor chunks and ends with its channel.
func lateEnd(record *Record, trouble bool) (bool, error) {
	const (
		gateways, replicas = 6, 7
		events, frozenAt   = 40, 4
		untilCrash         = 500 * time.Millisecond
		down               = 1500 * time.Millisecond
		untilThaw          = 2 * time.Second
	)
	s, err := startSystem(record, 3, gateways, 1, 0)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	set := replicaSettings{Events: events, EventMs: 200, Unframed: true, WorkMs: 20, ServeMs: 2500}
	for n := range replicas {
		if _, err := s.addReplica(1+n, fmt.Sprintf("i-first-%d", n), set); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(0, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	seen := make(chan int, events+1)
	answers := make(chan answer, 1)
	go func() {
		answers <- request(s.callers(0), http.MethodPost, "/long/1", callerKey, 15*time.Second, func(n int) { seen <- n })
	}()
	for n := range seen {
		if n >= frozenAt {
			break
		}
	}
	if trouble {
		n := s.runningReplica()
		if n < 0 {
			return false, fmt.Errorf("no replica runs the request")
		}
		s.signal(s.gateways[0], syscall.SIGSTOP)
		time.Sleep(untilCrash)
		s.kill(s.replicas[n])
		time.Sleep(down)
		if _, err := s.addReplica(1+n, fmt.Sprintf("i-second-%d", n), set); err != nil {
			return false, err
		}
		time.Sleep(untilThaw)
		s.signal(s.gateways[0], syscall.SIGCONT)
	}
	a := <-answers
	s.recordRuns()
	record.Line("answer %v", a)
	isLast := strings.HasSuffix(a.body, event(events, a.id))
	record.Line("%d of %d events, ended as complete: %v, the last one is there: %v", strings.Count(a.body, "\n\n"), events, a.whole, isLast)
	if !trouble && !isLast {
		return false, fmt.Errorf("the stream isn't whole without trouble")
	}
	return a.status == http.StatusOK && a.whole && !isLast, nil
}

// runningReplica returns the number of the replica that began to run a request last, or -1.
func (s *System) runningReplica() int {
	data, _ := os.ReadFile(filepath.Join(s.dir, "runs"))
	last := -1
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 3 || fields[2] != "runs" {
			continue
		}
		for n, p := range s.replicas {
			if p.name == fields[1] {
				last = n
			}
		}
	}
	return last
}
