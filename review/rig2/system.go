package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed names.json
var namesJSON []byte

//go:embed desired.json.tmpl
var desiredText string

//go:embed announcement.json.tmpl
var announcementText string

var (
	desiredTemplate      = template.Must(template.New("desired").Parse(desiredText))
	announcementTemplate = template.Must(template.New("announcement").Parse(announcementText))
	names                = mustNames()
)

// protocolNames are the headers and paths of the protocol.
type protocolNames struct {
	Attempt, Key, Deadline, Expect, Seal, Model, Tokens, Prefix string
	NotRun                                                      string `json:"not_run"`
	ReplicaID                                                   string `json:"replica_id"`
	LastEvent                                                   string `json:"last_event"`
	Ready, Config, Replicas, Evacuations                        string
}

func mustNames() protocolNames {
	var n protocolNames
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}

// callerKey is the key of the callers.
const callerKey = "key-of-the-callers"

// System is a small deployment on loopback addresses: each VM has an address of its own.
type System struct {
	dir      string
	prefix   string
	port     int
	record   *Record
	controls []*Process
	gateways []*Process
	replicas []*Process
	version  int
	// tolerated is the number of control VMs whose loss is to be borne.
	tolerated int
	memoryMB  int
	// maxDescriptors is the limit of descriptors of a gateway, or 0.
	maxDescriptors int
	client         *http.Client
	mu             sync.Mutex
	all            []*Process
	// atEnd is called when the system is closed.
	atEnd []func()
}

// Record is the file in which a case records what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// Line appends a line, preceded by the time since the begin of the case in seconds.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
}

// Process is a process on a VM of its own.
type Process struct {
	name, ip string
	program  string
	args     []string
	cmd      *exec.Cmd
	ended    chan struct{}
	settings map[string]any
	path     string
	born     time.Time
	// maxDescriptors is the limit of descriptors, or 0.
	maxDescriptors int
}

// newSystem returns a system without processes, in a temporary folder.
func newSystem(record *Record, tolerated int) (*System, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &System{
		dir: dir, record: record, tolerated: tolerated, memoryMB: 284,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		s.port = 20000 + 10*rand.IntN(1000)
		l, err := net.Listen("tcp", s.addr(1, 0))
		if err == nil {
			_ = l.Close()
			current.Store(s)
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free port")
}

// addr returns the address of a VM at a port counted from the first one: 0 control, 1
// peers, 2 admin, 3 callers, 4 ready, 5 replica.
func (s *System) addr(host, port int) string {
	return fmt.Sprintf("%s%d:%d", s.prefix, host, s.port+port)
}

func (s *System) ip(host int) string { return fmt.Sprintf("%s%d", s.prefix, host) }

func domain(i int) string { return fmt.Sprintf("domain-%c", 'a'+i%3) }

// seeds returns the control addresses of the first three VMs.
func (s *System) seeds() []string { return []string{s.addr(1, 0), s.addr(2, 0), s.addr(3, 0)} }

// addControl adds and starts the control process of VM host, with seeds.
func (s *System) addControl(host int, bootstrap bool, seeds []string) (*Process, error) {
	p := &Process{name: fmt.Sprintf("control-%d", host), ip: s.ip(host), program: "target/bilberry-control"}
	p.settings = map[string]any{
		"ip": p.ip, "failure_domain": domain(host), "failure_domains": []string{domain(0), domain(1), domain(2)},
		"peer_port": s.port + 1, "admin_listen": s.addr(host, 2), "operator_listen": s.addr(host, 0),
		"data_dir": filepath.Join(s.dir, p.name), "seeds": seeds,
		"memory_mb": 280, "disk_mb": 128, "tolerated_losses": s.tolerated,
	}
	if bootstrap {
		p.settings["bootstrap"] = true
	}
	if err := os.MkdirAll(filepath.Join(s.dir, p.name), 0o755); err != nil {
		return nil, err
	}
	s.controls = append(s.controls, p)
	return p, s.start(p)
}

// addGateway adds and starts a gateway on VM 100 + n.
func (s *System) addGateway(n int) (*Process, error) {
	host := 100 + n
	p := &Process{name: fmt.Sprintf("gateway-%d", n), ip: s.ip(host), program: "target/bilberry-gateway", maxDescriptors: s.maxDescriptors}
	p.settings = map[string]any{
		"id": p.name, "failure_domain": domain(n), "caller_listen": s.addr(host, 3), "ready_listen": s.addr(host, 4),
		"share_listen": s.addr(host, 1), "admin_listen": s.addr(host, 2), "states": s.seeds(),
		"revoke_ms": 5000, "grace_seconds": 8, "retry_ratio": 0.2, "retry_slack": 100, "retry_window_seconds": 10,
		"free_ms": 4000, "announce_ms": 1200, "memory_mb": s.memoryMB, "state_port": s.port + 1,
		"placement": map[string]any{
			"min_gateways": 32, "slot_wait": true, "short_room": 1.2, "spread": 0.6, "remote_share": 0.08, "split_wait": 0.125,
		},
	}
	s.gateways = append(s.gateways, p)
	return p, s.start(p)
}

func (s *System) callers(n int) string { return s.addr(101+n, 3) }

func (s *System) readyAddress(n int) string { return s.addr(101+n, 4) }

// start writes the settings of a process and starts it.
func (s *System) start(p *Process) error {
	if p.settings != nil {
		p.path = filepath.Join(s.dir, p.name+".json")
		data, err := json.Marshal(p.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.path, data, 0o644); err != nil {
			return err
		}
		p.args = []string{"-config", p.path}
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(p.program, p.args...)
	if p.maxDescriptors > 0 {
		limited := fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", p.maxDescriptors)
		p.cmd = exec.Command("bash", append([]string{"-c", limited, p.program}, p.args...)...)
	}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.born = time.Now()
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	s.mu.Lock()
	s.all = append(s.all, p)
	s.mu.Unlock()
	s.record.Line("start %s (%s)", p.name, filepath.Base(p.program))
	return nil
}

// signal sends a signal to a process that this system has started.
func (s *System) signal(p *Process, sig syscall.Signal) {
	s.record.Line("%v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
}

// kill ends a process at once.
func (s *System) kill(p *Process) {
	s.signal(p, syscall.SIGKILL)
	<-p.ended
}

// isRunning reports whether a process runs.
func (p *Process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// ends makes close call f.
func (s *System) ends(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atEnd = append(s.atEnd, f)
}

// close ends all processes and removes the folder.
func (s *System) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.atEnd {
		f()
	}
	for _, p := range s.all {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.all {
		<-p.ended
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// desired returns the next desired state with keys.
func (s *System) desired(keys ...string) string {
	s.version++
	var b bytes.Buffer
	if err := desiredTemplate.Execute(&b, struct {
		Version int
		Keys    []string
	}{s.version, keys}); err != nil {
		panic(err)
	}
	return b.String()
}

// call makes one call to a control process.
func (s *System) call(method, address, path, body string) (status int, answer string, err error) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// operate sends a call of the operator to the addresses in turn, with pauses, until it has a
// clear response or until limit has passed.
func (s *System) operate(method, path, body string, addresses []string, limit time.Duration) (status int, answer string) {
	pause := 100 * time.Millisecond
	for n, until := 0, time.Now().Add(limit); time.Now().Before(until); n++ {
		var err error
		address := addresses[n%len(addresses)]
		status, answer, err = s.call(method, address, path, body)
		short := answer
		if len(short) > 120 {
			short = short[:120]
		}
		s.record.Line("operator: %s %s at %s: status %d %q %v", method, path, address, status, short, err)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, ""
}

// waitReady waits until a gateway is ready.
func (s *System) waitReady(n int, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _, err := s.call(http.MethodGet, s.readyAddress(n), names.Ready, ""); err == nil && status == http.StatusOK {
			s.record.Line("gateway %d is ready", n)
			return nil
		}
	}
	return fmt.Errorf("gateway %d isn't ready", n)
}
