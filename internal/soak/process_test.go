// Package soak tests real processes: it starts state processes, entry processes
// and simulated backend servers in three failure domains on loopback, and kills,
// pauses, stops and restarts them under traffic. The in-process tests of package
// e2e cannot pause one process or take away its memory without its help.
package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// buildTimeout is far above the time of a build with an empty cache.
	buildTimeout = 3 * time.Minute
	// exitTimeout bounds the wait for a process that was killed.
	exitTimeout = 10 * time.Second
)

// binaries is the folder of the binaries under test, which TestMain builds, so
// that a stale build is never tested.
var binaries string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = dir
	return m.Run()
}

func build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir, "bilberryhub/cmd/bilberry-entry", "bilberryhub/cmd/bilberry-state", "bilberryhub/cmd/bilberry-standin")
	timer := time.AfterFunc(buildTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build binaries: %w\n%s", err, out)
	}
	return nil
}

// process is one program under test, which may be started several times.
type process struct {
	name, binary, config, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	code    int
	ordered bool
	started int
}

// start runs the program. The caller has seen the previous run exit.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(binaries, p.binary), "-config", p.config)
	cmd.Stdout, cmd.Stderr = log, log
	// A test binary that is killed runs no cleanup.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ordered = cmd, exited, false
	p.started++
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends sig to the running process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.ordered = true
	}
	// The only error is that the process has exited.
	_ = p.cmd.Process.Signal(sig)
}

// wait returns false when the process has not exited in time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process without notice.
func (p *process) kill() error {
	p.signal(syscall.SIGKILL)
	if !p.wait(exitTimeout) {
		return fmt.Errorf("%s has not exited after SIGKILL", p.name)
	}
	return nil
}

// exitCode returns the code of the last run, which has exited.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// died tells whether the process has exited without a signal of the test.
func (p *process) died() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.ordered
	default:
		return false
	}
}

// run returns the number of the current run.
func (p *process) run() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

const (
	// The range is below the one from which the system takes ports of outgoing
	// connections. Such a connection could otherwise occupy the port of a process
	// that is down.
	firstPort, lastPort = 10_000, 32_000
	// portsPerRun is above what all set-ups of one test run take together.
	portsPerRun = 400
)

// ports hands out each port once. Test runs at the same time start at different
// places, because a port that is free now is taken only when its process starts.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()%((lastPort-firstPort)/portsPerRun)*portsPerRun}

// freePort returns a loopback address on which nobody listens.
func freePort(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		if ports.next++; ports.next >= lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port found")
	return ""
}
