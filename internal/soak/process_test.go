// Package soak tests a cluster of real processes: it starts state processes, entry
// processes and simulated backend servers in three failure domains on loopback,
// and kills, pauses, stops and restarts them under traffic. The in-process tests
// of package e2e cannot pause one process, or make it lose its memory without its
// cooperation. Package soak doesn't measure performance.
//
// The promise numbers in the comments refer to the numbered guarantees of the
// system.
package soak

import (
	"fmt"
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

// binDir is the directory of the binaries under test. TestMain builds them, so that
// a stale build is never tested.
var binDir string

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
	binDir = dir
	return m.Run()
}

// build builds the binaries under test into dir.
func build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir, "bilberryhub/cmd/bilberry-entry", "bilberryhub/cmd/bilberry-state", "bilberryhub/cmd/bilberry-standin")
	timer := time.AfterFunc(buildTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build binaries: %w\n%s", err, out)
	}
	return nil
}

// process is one program under test, which may be started more than once.
type process struct {
	name, binary, configFile, logFile string

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	code         int
	exitedAt     time.Time
	exitExpected bool
	starts       int
}

// start runs the program. The previous run must have exited.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(binDir, p.binary), "-config", p.configFile)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The kernel kills the process with the test binary, because a test binary that
	// is killed runs no cleanup.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.starts++
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code, p.exitedAt = cmd.ProcessState.ExitCode(), time.Now()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends sig to the process, if it was ever started.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.exitExpected = true
	}
	// The only error is that the process has exited.
	_ = p.cmd.Process.Signal(sig)
}

// waitExit reports whether the process has exited within the limit.
func (p *process) waitExit(limit time.Duration) bool {
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() error {
	p.signal(syscall.SIGKILL)
	if !p.waitExit(exitTimeout) {
		return fmt.Errorf("%s has not exited after SIGKILL", p.name)
	}
	return nil
}

// exitCode returns the exit code of the last run, which must have exited.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// exitTime returns when the test noticed the end of the last run, which must have exited.
func (p *process) exitTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitedAt
}

// exitedUnexpectedly reports whether the process has exited without a SIGKILL or
// SIGTERM from the test.
func (p *process) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.exitExpected
	default:
		return false
	}
}

// runNumber returns the number of the current run, from 1.
func (p *process) runNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
