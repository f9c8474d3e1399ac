// Package hostile is the harness of tests that send more to real programs than they may
// hold in memory. It builds and starts the programs, opens crowds of connections, and
// samples the memory and the descriptors of a process. Tests only.
//
// A test of this kind checks only what doesn't depend on the speed of the machine: that
// the process stays alive and under a bound, and that it answers an ordinary request.
package hostile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sampleInterval is the time between two samples of a process.
	sampleInterval = 20 * time.Millisecond
	// answerTimeout is how long an ordinary request is repeated until it is answered.
	answerTimeout = 60 * time.Second
	// answerInterval is the time between two tries.
	answerInterval = 100 * time.Millisecond
	// maxLogLines is the number of the last lines of a log that a failed test shows.
	maxLogLines = 40
)

var build struct {
	once sync.Once
	dir  string
	err  error
}

// Programs builds the programs of the working tree once, without the race detector, whose
// memory isn't that of the product, and returns their folder. RemovePrograms removes it.
func Programs(t testing.TB) string {
	t.Helper()
	build.once.Do(func() {
		if build.dir, build.err = os.MkdirTemp("", "hostile"); build.err != nil {
			return
		}
		build.err = buildPrograms(build.dir)
	})
	if build.err != nil {
		t.Fatal(build.err)
	}
	return build.dir
}

// buildPrograms builds the programs into a folder.
func buildPrograms(dir string) error {
	module, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return fmt.Errorf("folder of the module: %w", err)
	}
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	cmd.Dir = strings.TrimSpace(string(module))
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build of the programs: %w: %s", err, out)
	}
	return nil
}

// RemovePrograms removes what Programs has built. TestMain calls it.
func RemovePrograms() {
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
}

// Process is a running program.
type Process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	log  string
	// exited is closed when the process has ended; exitErr is set before.
	exited  chan struct{}
	exitErr error
}

// Start starts a program with a settings file. The process is killed at the end of the
// test; the end of its log is shown if the test has failed.
func Start(t testing.TB, program string, settings map[string]any) *Process {
	t.Helper()
	dir := t.TempDir()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &Process{t: t, name: program, log: filepath.Join(dir, "log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(Programs(t), program), "-config", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.end)
	return p
}

// end kills the process, and shows the end of its log if the test has failed.
func (p *Process) end() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	if !p.t.Failed() {
		return
	}
	data, _ := os.ReadFile(p.log)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	for _, line := range lines[max(0, len(lines)-maxLogLines):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

// Log returns the path of the log of the process.
func (p *Process) Log() string { return p.log }

// checkAlive fails the test if the process has ended.
func (p *Process) checkAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("%s has ended: %v", p.name, p.exitErr)
	default:
	}
}

// Bound is what a process must stay under.
type Bound struct {
	// AnonBytes bounds the anonymous memory, and Descriptors the open descriptors.
	AnonBytes   int64
	Descriptors int
}

// Usage is the largest use of a process that was sampled.
type Usage struct {
	AnonBytes   int64
	Descriptors int
}

func (u Usage) String() string {
	return fmt.Sprintf("%.1f MiB anonymous memory, %d descriptors", float64(u.AnonBytes)/(1<<20), u.Descriptors)
}

// Check runs a crowd against the process. It reports an error if the process ends, exceeds
// the bound, or doesn't answer an ordinary request, for which answer reports nil: while the
// connections of the crowd are open, and after they were closed.
func (p *Process) Check(bound Bound, crowd Crowd, answer func() error) {
	p.t.Helper()
	stop := p.sample()
	connections := crowd.start(p.t)
	connections.wait()
	p.waitForAnswer("beside the crowd", answer)
	connections.close()
	p.waitForAnswer("after the crowd", answer)
	used := stop()
	p.checkAlive()
	p.t.Logf("%s: %s; %s", p.name, used, connections)
	if used.AnonBytes > bound.AnonBytes {
		p.t.Errorf("%s used %d bytes of anonymous memory, the bound is %d", p.name, used.AnonBytes, bound.AnonBytes)
	}
	if used.Descriptors > bound.Descriptors {
		p.t.Errorf("%s had %d descriptors open, the bound is %d", p.name, used.Descriptors, bound.Descriptors)
	}
}

// waitForAnswer repeats an ordinary request until it is answered.
func (p *Process) waitForAnswer(when string, answer func() error) {
	p.t.Helper()
	deadline := time.Now().Add(answerTimeout)
	for {
		err := answer()
		if err == nil {
			return
		}
		p.t.Logf("%s doesn't answer yet %s: %v", p.name, when, err)
		p.checkAlive()
		if time.Now().After(deadline) {
			p.t.Errorf("%s answers no ordinary request %s: %v", p.name, when, err)
			return
		}
		time.Sleep(answerInterval)
	}
}

// sample samples the use of the process until the function that it returns is called,
// which returns the largest.
func (p *Process) sample() (stop func() Usage) {
	done, result := make(chan struct{}), make(chan Usage)
	go func() {
		var largest Usage
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			now := usage(p.cmd.Process.Pid)
			largest.AnonBytes = max(largest.AnonBytes, now.AnonBytes)
			largest.Descriptors = max(largest.Descriptors, now.Descriptors)
			select {
			case <-done:
				result <- largest
				return
			case <-tick.C:
			}
		}
	}()
	return func() Usage {
		close(done)
		return <-result
	}
}

// usage returns the use of a process now, zeros if it has ended.
func usage(pid int) Usage {
	var u Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	data, _ := os.ReadFile(filepath.Join(dir, "status"))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			u.AnonBytes = kib << 10
		}
	}
	entries, _ := os.ReadDir(filepath.Join(dir, "fd"))
	u.Descriptors = len(entries)
	return u
}
