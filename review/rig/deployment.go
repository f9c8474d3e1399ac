package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gatewayMemoryMB = 284
	controlMemoryMB = 280
	startTimeout    = 20 * time.Second
)

// process is one process of the system on a loopback address of its own.
type process struct {
	name, ip string
	command  []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// deployment is a small deployment: three control processes and some gateways.
type deployment struct {
	dir      string
	port     int
	controls []*process
	gateways []*process
	record   *record
}

var domains = []string{"luzon-a", "luzon-b", "luzon-c"}

// newDeployment writes the settings of a deployment, with the values of a small one.
func newDeployment(rec *record, gateways int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec}
	net1, net2 := 10+rand.IntN(90), rand.IntN(250)
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", net1, net2, n) }
	if d.port, err = freePorts(ip(1)); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range domains {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(1+i), d.port))
	}
	for i, domain := range domains {
		d.controls = append(d.controls, d.newProcess("control", ip(1+i), map[string]any{
			"ip": ip(1 + i), "failure_domain": domain, "failure_domains": domains, "peer_port": d.port + 3,
			"admin_listen": ip(1+i) + ":9464", "operator_listen": seeds[i], "data_dir": filepath.Join(dir, ip(1+i)),
			"seeds": seeds, "bootstrap": true, "memory_mb": controlMemoryMB, "disk_mb": 128, "tolerated_losses": 1,
		}))
	}
	for i := range gateways {
		address := ip(20 + i)
		d.gateways = append(d.gateways, d.newProcess("gateway", address, map[string]any{
			"id": fmt.Sprintf("edge-%d", i+1), "failure_domain": domains[i%len(domains)],
			"caller_listen": fmt.Sprintf("%s:%d", address, d.port+1), "ready_listen": fmt.Sprintf("%s:%d", address, d.port+2),
			"share_listen": fmt.Sprintf("%s:%d", address, d.port+3), "admin_listen": address + ":9464", "states": seeds,
			"revoke_ms": 5000, "grace_seconds": 8, "retry_ratio": 0.2, "retry_slack": 106, "retry_window_seconds": 10,
			"free_ms": 4000, "announce_ms": 1200, "memory_mb": gatewayMemoryMB, "state_port": d.port + 3,
		}))
	}
	return d, nil
}

// metricsPort is the port of metrics and of the state dump in the deploy file.
const metricsPort = 9464

// freePorts returns the first of four ports that are free on an address, together with the
// port of metrics.
func freePorts(ip string) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(10000)
		if isFree(ip, metricsPort) && isFree(ip, port) && isFree(ip, port+1) && isFree(ip, port+2) && isFree(ip, port+3) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (d *deployment) newProcess(kind, ip string, settings map[string]any) *process {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(d.dir, kind+"-"+ip+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		panic(err)
	}
	return &process{name: kind + " " + ip, ip: ip, command: []string{"target/bilberry-" + kind, "-config", path}}
}

// start starts the process with its log in a file beside its settings.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.command[2]+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneThread(p.cmd); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// starter runs the functions that it is given on one thread that never ends: a process
// that ends with its parent does so when the thread that started it ends.
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// startOnOneThread starts a process.
func startOnOneThread(cmd *exec.Cmd) error {
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	return <-started
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.exited != nil {
		<-p.exited
	}
}

// start starts all processes.
func (d *deployment) start() error {
	for _, p := range append(append([]*process{}, d.controls...), d.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, p := range append(append([]*process{}, d.controls...), d.gateways...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// controlURL, callerAddress and readyURL return addresses of processes.
func (d *deployment) controlURL(i int) string {
	return fmt.Sprintf("http://%s:%d", d.controls[i].ip, d.port)
}

func (d *deployment) callerAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.gateways[i].ip, d.port+1)
}

func (d *deployment) isReady(i int) bool {
	status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d%s", d.gateways[i].ip, d.port+2, names["ready_path"]), "")
	return status == http.StatusOK
}

// waitReady waits until all gateways are ready.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range d.gateways {
			if d.isReady(i) {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return nil
		}
	}
	return fmt.Errorf("not all gateways were ready after %s", startTimeout)
}

// call sends a call of an operator, a backend server or the load balancer. Status 0
// means that there was no response.
func call(method, url, body string) (status int, response string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	buf := new(strings.Builder)
	data := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(data)
		buf.Write(data[:n])
		if err != nil {
			return resp.StatusCode, buf.String()
		}
	}
}

// operate sends a call of an operator to one control process after the other until one
// of them acknowledges it.
func (d *deployment) operate(method, path, body string) error {
	for end, i := time.Now().Add(startTimeout), 0; time.Now().Before(end); i++ {
		status, text := call(method, d.controlURL(i%len(d.controls))+path, body)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("%s %s: status %d: %s", method, path, status, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: no acknowledgement", method, path)
}

// announce announces a backend server at the given interval until stop is closed.
func (d *deployment) announce(id, address, domain string, stop chan struct{}) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body := fill(announcementTemplate, map[string]any{
			"Address": address, "Domain": domain, "State": "ready", "Sequence": sequence, "Born": born,
		})
		for i := range d.controls {
			if status, _ := call(http.MethodPut, d.controlURL((sequence+i)%len(d.controls))+names["replicas_path"]+id, body); status == http.StatusOK {
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
