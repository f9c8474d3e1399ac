package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a sound replica of a plain service.
type replica struct {
	s       *system
	id      string
	service string
	domain  string
	address string
	born    int64
	server  *http.Server
	// slots holds a value for each request that runs.
	slots chan struct{}
	// silent ends its heartbeats.
	silent   chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	state string
	// runs counts the runs by id of the client attempt.
	runs map[string]int
	// work is how long a request takes.
	work time.Duration
	// home is the control process that acknowledged the last heartbeat.
	home int
}

// replicaSlots is the number of requests that a replica runs at the same time.
const replicaSlots = 6

// heartbeatTime is the time between two heartbeats of a replica.
const heartbeatTime = 1200 * time.Millisecond

// startReplica starts a replica that announces itself every heartbeatTime.
func (s *system) startReplica(id, service string, host int, domain string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", address(s.ip(host), 8120))
	if err != nil {
		return nil, err
	}
	r := &replica{
		s: s, id: id, service: service, domain: domain, address: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, replicaSlots), silent: make(chan struct{}), state: "ready", runs: map[string]int{}, work: work, home: host % 3,
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.announceLoop()
	s.mu.Lock()
	s.replicas = append(s.replicas, r)
	s.mu.Unlock()
	return r, nil
}

// stop ends the replica.
func (r *replica) stop() {
	r.stopOnce.Do(func() {
		close(r.silent)
		_ = r.server.Close()
	})
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get(names.Attempt)
	h := w.Header()
	h.Set(names.Attempt, id)
	if want := req.Header.Get(names.Expect); want != "" && want != r.id {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.runs[id]++
	state, work := r.state, r.work
	r.mu.Unlock()
	r.s.logf("replica %s (%s) runs %s %s, body of %d bytes", r.id, state, req.URL.Path, id, len(body))
	time.Sleep(work)
	h.Set(names.Seal, "seal-"+id)
	answer := "answer to " + id
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// runsOf returns how often a client attempt has run at the replicas.
func (s *system) runsOf(id string) (runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		runs += r.runsOf(id)
	}
	return runs
}

// runsOf returns how often a client attempt has run at this replica.
func (r *replica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// addReplicas starts two more replicas of the service of the first one, in the other failure
// domains.
func (s *system) addReplicas(first *replica) error {
	for i, id := range []string{"i-5d02c3b1f0", "i-91c4e77a20"} {
		if _, err := s.startReplica(id, first.service, 102+i, domains[1+i], first.work); err != nil {
			return err
		}
	}
	return nil
}

// announceLoop sends heartbeats.
func (r *replica) announceLoop() {
	for {
		r.announce()
		select {
		case <-r.silent:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// announce sends one heartbeat, to the next control process if one doesn't acknowledge it.
// It reports whether it was acknowledged.
func (r *replica) announce() bool {
	r.mu.Lock()
	state, home := r.state, r.home
	r.mu.Unlock()
	body := heartbeat{r.service, r.address, r.domain, state, r.s.sequence.Add(1), r.born}.String()
	for try := range 3 {
		i := (home + try) % 3
		to := address(r.s.controlIP(i), controlPort)
		res := r.s.call(time.Second, http.MethodPut, "http://"+to+names.Replicas+r.id, body, "Content-Type", "application/json")
		if res.err == nil && res.status/100 == 2 {
			r.mu.Lock()
			r.home = i
			r.mu.Unlock()
			return true
		}
	}
	return false
}

// setState changes what the heartbeats say.
func (r *replica) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}
