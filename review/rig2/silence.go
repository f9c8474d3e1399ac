package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// silence checks that a stream is not broken off because its replica, which is sound, is
// silent for a while, just after the settings of the gateway were read again.
func silence(record *Record, trouble bool) (bool, error) {
	const (
		replicas, slots = 3, 2
		events, eventMs = 30, 240
		// The replica falls silent stopAfter after an event, shortly before the next one.
		silentAfter, stopAfter = 5, 200 * time.Millisecond
		silentFor              = 1400 * time.Millisecond
		fillers                = replicas*slots - 1
		deadline               = 10 * time.Second
		fillerDeadline         = 15 * time.Second
		afterSettingsWrite     = 300 * time.Millisecond
	)
	s, err := startSystem(record, 3, 1, 1, 0)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	set := replicaSettings{Events: events, EventMs: eventMs, WorkMs: 20, ServeMs: 2500, Slots: slots, IsLimited: true}
	for n := range replicas {
		if _, err := s.addReplica(1+n, fmt.Sprintf("i-%d", n), set); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(0, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for range fillers {
		go func() {
			a := request(s.callers(0), http.MethodPost, "/long/1", callerKey, fillerDeadline, nil)
			record.Line("other stream: %v, %d events", a, strings.Count(a.body, "\n\n"))
		}()
		time.Sleep(100 * time.Millisecond)
	}
	s.signal(s.gateways[0], syscall.SIGHUP)
	time.Sleep(afterSettingsWrite)
	seen := make(chan int, events+1)
	answers := make(chan answer, 1)
	go func() {
		answers <- request(s.callers(0), http.MethodPost, "/quick/1", callerKey, deadline, func(n int) { seen <- n })
	}()
	var a answer
	for done := false; !done; {
		select {
		case n := <-seen:
			if n == silentAfter && trouble {
				r := s.replicas[s.runningReplica()]
				time.Sleep(stopAfter)
				s.signal(r, syscall.SIGSTOP)
				time.Sleep(silentFor)
				s.signal(r, syscall.SIGCONT)
			}
		case a = <-answers:
			done = true
		}
	}
	s.recordRuns()
	isWhole := a.status == http.StatusOK && a.whole && strings.HasSuffix(a.body, event(events, a.id))
	record.Line("answer %v, %d of %d events", a, strings.Count(a.body, "\n\n"), events)
	if !trouble && !isWhole {
		return false, fmt.Errorf("the stream isn't whole without trouble")
	}
	// A refusal, or a failure that is answered, is no lost answer.
	return !isWhole && (a.status == 0 || !a.whole) && a.took < deadline, nil
}
