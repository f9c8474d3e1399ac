package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaSettings are the settings of a replica.
type replicaSettings struct {
	ID, Service, Address, Domain string
	Controls                     []string
	// Slots is the number of requests that it runs at a time. It rejects more if IsLimited is
	// set.
	Slots     int
	IsLimited bool
	// RunsPath is the file to which a line is appended for each run.
	RunsPath string
	// Events is the number of events of a stream, and EventMs the time between two of them.
	Events, EventMs int
	// Unframed is set if answers have neither a length nor chunks.
	Unframed bool
	// WorkMs is the time that a plain request takes, half of it after half of the body.
	WorkMs int
	// ServeMs is how long the replica still serves after it has announced that it leaves.
	ServeMs int
}

// announcement is what an announcement states.
type announcement struct {
	Service, Address, Domain, State string
	Slots                           int
	Sequence, Born                  int64
}

// replica is one lifetime of a replica.
type replica struct {
	set      replicaSettings
	born     int64
	sequence atomic.Int64
	state    atomic.Pointer[string]
	runs     *os.File
	running  atomic.Int64
	mu       sync.Mutex
}

// runReplica runs a replica until SIGTERM, after which it leaves.
func runReplica(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	r := &replica{born: time.Now().UnixMilli()}
	if err := json.Unmarshal(data, &r.set); err != nil {
		return err
	}
	if r.runs, err = os.OpenFile(r.set.RunsPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	ready := "ready"
	r.state.Store(&ready)
	l, err := net.Listen("tcp", r.set.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = server.Serve(l) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	tick := time.NewTicker(1200 * time.Millisecond)
	r.announce()
	for {
		select {
		case <-tick.C:
			r.announce()
		case <-signals:
			draining := "draining"
			r.state.Store(&draining)
			// It exits without an acknowledgement some seconds later.
			for until := time.Now().Add(3 * time.Second); time.Now().Before(until) && !r.announce(); {
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(time.Duration(r.set.ServeMs) * time.Millisecond)
			r.callControl(http.MethodDelete, "")
			return nil
		}
	}
}

// announce sends an announcement and reports whether it was acknowledged.
func (r *replica) announce() bool {
	var b bytes.Buffer
	_ = announcementTemplate.Execute(&b, announcement{
		Service: r.set.Service, Address: r.set.Address, Domain: r.set.Domain, State: *r.state.Load(), Slots: r.set.Slots,
		Sequence: r.sequence.Add(1), Born: r.born,
	})
	return r.callControl(http.MethodPut, b.String())
}

// callControl calls the control processes in turn until one acknowledges.
func (r *replica) callControl(method, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range r.set.Controls {
		address := r.set.Controls[(int(r.sequence.Load())+n)%len(r.set.Controls)]
		req, err := http.NewRequest(method, "http://"+address+names.Replicas+r.set.ID, strings.NewReader(body))
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			r.log("%s %s at %s: %v", method, *r.state.Load(), address, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
		r.log("%s %s at %s: status %d", method, *r.state.Load(), address, resp.StatusCode)
	}
	return false
}

// log writes to the log of the process, and run to the file of runs.
func (r *replica) log(format string, args ...any) {
	fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (r *replica) run(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.runs, "%s %s %s\n", time.Now().Format("15:04:05.000"), r.set.ID, fmt.Sprintf(format, args...))
}

// serve serves one request.
func (r *replica) serve(w http.ResponseWriter, hr *http.Request) {
	h := w.Header()
	id := hr.Header.Get(names.Attempt)
	h.Set(names.Attempt, id)
	h.Set(names.ReplicaID, r.set.ID)
	if hr.URL.Path == "/health" {
		return
	}
	if expected := hr.Header.Get(names.Expect); expected != "" && expected != r.set.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, hr.Body)
	defer r.running.Add(-1)
	if r.running.Add(1) > int64(r.set.Slots) && r.set.IsLimited {
		r.run("rejects %s, it is full", id)
		h.Set(names.NotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set(names.Seal, "seal-"+id)
	r.run("runs %s %s %s key %q", id, hr.Method, hr.URL.Path, hr.Header.Get(names.Key))
	defer r.run("ended %s", id)
	if strings.HasPrefix(hr.URL.Path, "/long/") || strings.HasPrefix(hr.URL.Path, "/quick/") {
		r.stream(w, hr, id)
		return
	}
	body := plainBody(id)
	if !r.set.Unframed {
		h.Set("Content-Length", fmt.Sprint(len(body)))
		time.Sleep(time.Duration(r.set.WorkMs) * time.Millisecond)
		_, _ = io.WriteString(w, body)
		return
	}
	conn := r.hijack(w, "application/json", id)
	if conn == nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, body[:len(body)/2])
	time.Sleep(time.Duration(r.set.WorkMs) * time.Millisecond)
	_, _ = io.WriteString(conn, body[len(body)/2:])
}

// plainBody returns the body of the answer to a plain request.
func plainBody(id string) string {
	return id + " " + strings.Repeat("x", 760) + " end"
}

// event returns event n of a stream, counted from 1.
func event(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// hijack writes the head of an answer that ends with its connection, which it returns.
func (r *replica) hijack(w http.ResponseWriter, contentType, id string) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n%s: %s\r\n%s: seal-%s\r\n\r\n",
		contentType, names.Attempt, id, names.Seal, id)
	return conn
}

// stream answers with a stream, from the event after the last one that the request names.
func (r *replica) stream(w http.ResponseWriter, hr *http.Request, id string) {
	first := 0
	_, _ = fmt.Sscan(hr.Header.Get(names.LastEvent), &first)
	var out io.Writer = w
	flush := func() { _ = http.NewResponseController(w).Flush() }
	if r.set.Unframed {
		conn := r.hijack(w, "text/event-stream", id)
		if conn == nil {
			return
		}
		defer conn.Close()
		out, flush = conn, func() {}
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Seal, "seal-"+id)
	}
	for n := first + 1; n <= r.set.Events; n++ {
		time.Sleep(time.Duration(r.set.EventMs) * time.Millisecond)
		if _, err := io.WriteString(out, event(n, id)); err != nil {
			return
		}
		flush()
	}
}

// addReplica starts a replica on VM 200 + n under an id, with what set states beside that.
func (s *System) addReplica(n int, id string, set replicaSettings) (*Process, error) {
	set.ID, set.Service, set.Address, set.Domain, set.Controls = id, "plain", s.addr(200+n, 5), domain(n), s.seeds()
	set.RunsPath = filepath.Join(s.dir, "runs")
	if set.Slots == 0 {
		set.Slots = 16
	}
	data, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, id+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{name: id, ip: s.ip(200 + n), program: program, args: []string{"replica", path}}
	s.replicas = append(s.replicas, p)
	return p, s.start(p)
}

// recordRuns copies the file of runs into the record, but for those of crowds.
func (s *System) recordRuns() string {
	data, _ := os.ReadFile(filepath.Join(s.dir, "runs"))
	var b strings.Builder
	omitted := 0
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, " "+crowdPrefix) {
			omitted++
			continue
		}
		b.WriteString(line)
	}
	s.record.Line("runs of the replicas, with the time of day, without %d lines for crowds:\n%s", omitted, b.String())
	return string(data)
}
