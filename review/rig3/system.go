package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a VM. Each VM has a loopback address of its own, so that they are the same
// on all of them, as on the users' machines.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	peerPort    = 7340
	adminPort   = 9464
)

// Names of failure domains.
var domains = []string{"dk-west-a", "dk-west-b", "dk-west-c"}

// system is a small deployment.
type system struct {
	programs string
	dir      string
	// prefix is the first three numbers of all addresses, with a dot.
	prefix  string
	started time.Time

	mu       sync.Mutex
	record   *os.File
	procs    []*process
	replicas []*replica

	attempt  atomic.Uint64
	sequence atomic.Uint64
	http     *http.Client
	done     chan struct{}
}

// process is a program of the project that runs.
type process struct {
	name     string
	ip       string
	program  string
	settings map[string]any
	cmd      *exec.Cmd
	exited   chan struct{}
}

// newSystem returns a system without processes.
func newSystem(programs, recordFile string) (*system, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s := &system{
		programs: programs, dir: dir, record: record, started: time.Now(), done: make(chan struct{}),
		http: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	return s, s.choosePrefix()
}

// choosePrefix chooses addresses on which nothing listens.
func (s *system) choosePrefix() error {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s150:%d", prefix, peerPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		s.prefix = prefix
		return nil
	}
	return fmt.Errorf("no free addresses")
}

// logf writes a line to the record, with the time since the start.
func (s *system) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes their files.
func (s *system) close() {
	close(s.done)
	s.mu.Lock()
	procs, replicas := s.procs, s.replicas
	s.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for _, r := range replicas {
		r.stop()
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

func (s *system) ip(host int) string { return fmt.Sprintf("%s%d", s.prefix, host) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// controlIP and gatewayIP return the addresses of the VMs.
func (s *system) controlIP(i int) string { return s.ip(150 + i) }
func (s *system) gatewayIP(i int) string { return s.ip(11 + i) }

// seeds returns the operator addresses of the control processes.
func (s *system) seeds() []string {
	var out []string
	for i := range 3 {
		out = append(out, address(s.controlIP(i), controlPort))
	}
	return out
}

// startControls starts three control processes.
func (s *system) startControls(memoryMB int) ([]*process, error) {
	var out []*process
	for i := range 3 {
		ip := s.controlIP(i)
		p := &process{name: fmt.Sprintf("control-%d", i), ip: ip, program: "bilberry-control", settings: map[string]any{
			"ip": ip, "failure_domain": domains[i], "failure_domains": domains, "peer_port": peerPort,
			"admin_listen": address(ip, adminPort), "operator_listen": address(ip, controlPort),
			"data_dir": filepath.Join(s.dir, ip), "seeds": s.seeds(), "bootstrap": true,
			"memory_mb": memoryMB, "disk_mb": 128, "tolerated_losses": 1,
		}}
		if err := os.MkdirAll(filepath.Join(s.dir, ip), 0o700); err != nil {
			return nil, err
		}
		if err := s.start(p); err != nil {
			return nil, err
		}
		delete(p.settings, "bootstrap")
		out = append(out, p)
	}
	return out, nil
}

// gateway returns a gateway that doesn't run yet, with the settings of the template.
func (s *system) gateway(i, memoryMB int) *process {
	ip := s.gatewayIP(i)
	return &process{name: fmt.Sprintf("gateway-%d", i), ip: ip, program: "bilberry-gateway", settings: map[string]any{
		"id": fmt.Sprintf("edge-%s-%d", domains[i%3], 1+i/3), "failure_domain": domains[i%3],
		"caller_listen": address(ip, frontPort), "ready_listen": address(ip, readyPort),
		"share_listen": address(ip, peerPort), "admin_listen": address(ip, adminPort),
		"states": s.seeds(), "state_port": peerPort, "revoke_ms": 5000, "grace_seconds": 8, "retry_ratio": 0.2,
		"retry_slack": 100, "retry_window_seconds": 10, "free_ms": 4000, "announce_ms": 1200, "memory_mb": memoryMB,
		"placement": map[string]any{
			"min_gateways": 32, "slot_wait": true, "short_room": 1.2, "spread": 0.6, "remote_share": 0.08, "split_wait": 0.125,
		},
	}}
}

// start starts a process with the command of the deploy file.
func (s *system) start(p *process) error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, p.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(s.programs, p.program), "-config", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.mu.Lock()
	if !slices.Contains(s.procs, p) {
		s.procs = append(s.procs, p)
	}
	s.mu.Unlock()
	s.logf("started %s at %s, process %d", p.name, p.ip, p.cmd.Process.Pid)
	return nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// running returns the processes, in the order of their first start.
func (s *system) running() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.procs)
}

// logLines copies the last lines of a process's log that contain a text into the record.
func (s *system) logLines(p *process, text string, most int) {
	data, err := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	for _, line := range lines[max(0, len(lines)-most):] {
		s.logf("log of %s: %.400s", p.name, line)
	}
}

// result is what a client has received.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r result) String() string {
	if r.err != nil {
		return "error: " + r.err.Error()
	}
	return fmt.Sprintf("status %d, %.120q", r.status, r.body)
}

// call makes a call and returns its result. Headers are pairs of name and value.
func (s *system) call(timeout time.Duration, method, url, body string, headers ...string) result {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] == "Host" {
			req.Host = headers[i+1]
			continue
		}
		req.Header[headers[i]] = []string{headers[i+1]}
	}
	client := *s.http
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(data), err}
}

// await calls f until it succeeds.
func (s *system) await(what string, timeout time.Duration, f func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, timeout)
}

// operate makes a call of the operator, as the users' pages say: it moves on to the next
// control process after a failure, a 5xx or a second without a response.
func (s *system) operate(method, path, body string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		to := address(s.controlIP(i%3), controlPort)
		r := s.call(time.Second, method, "http://"+to+path, body, "Content-Type", "application/json")
		s.logf("operator: %s %s at %s: %v", method, path, to, r)
		if r.err == nil && r.status/100 == 2 {
			return nil
		}
		if r.err == nil && r.status/100 == 4 {
			return fmt.Errorf("%s %s was refused: %v", method, path, r)
		}
		time.Sleep(150 * time.Millisecond)
	}
	return fmt.Errorf("%s %s wasn't acknowledged within %s", method, path, timeout)
}

// isReady asks a gateway whether it is ready, as the platform does.
func (s *system) isReady(p *process) bool {
	r := s.call(time.Second, http.MethodGet, "http://"+address(p.ip, readyPort)+names.Ready, "")
	return r.err == nil && r.status == http.StatusOK
}

// newAttempt returns a new id of a client attempt.
func (s *system) newAttempt() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), s.attempt.Add(1))
}
