package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["sockets"] = (*system).runSockets }

const (
	// edgeDescriptors is the number of descriptors of an edge machine.
	edgeDescriptors = 4100
	// mostIdle bounds the connections that a client opens and leaves idle. It stops when no
	// more can be opened.
	mostIdle = 12_000
	idlers   = 50
	// idleDialTimeout is how long a connection of it may take.
	idleDialTimeout = 300 * time.Millisecond
	// stableWindow is the bound stable-window-ms, and windowClients the number of clients that
	// try meanwhile.
	stableWindow  = 3 * time.Second
	windowClients = 8
)

// limitDescriptors makes the command of a process start with the descriptors of an edge
// machine.
func (p *process) limitDescriptors(programs string) {
	p.wrap = func(args []string) *exec.Cmd {
		script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, edgeDescriptors)
		return exec.Command("bash", append([]string{"-c", script, filepath.Join(programs, p.program)}, args...)...)
	}
}

// readyCheck asks a machine once a second whether it is ready, on one connection.
type readyCheck struct {
	client *http.Client
	url    string
}

func newReadyCheck(g *process) *readyCheck {
	return &readyCheck{&http.Client{Timeout: time.Second}, "http://" + address(g.ip, readyPort) + "/bilberryhub/ready"}
}

func (c *readyCheck) isReady() bool {
	resp, err := c.client.Get(c.url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// runSockets lets a client open connections and leave them idle.
func (s *system) runSockets(hasTrouble bool) error {
	g, _, err := s.startSmall()
	if err != nil {
		return err
	}
	check := newReadyCheck(g)
	if !check.isReady() {
		return fmt.Errorf("%s isn't ready", g.name)
	}
	if hasTrouble {
		stop, err := s.openIdle(g)
		if err != nil {
			return err
		}
		defer stop()
	}
	var taken, tried atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(stableWindow + 500*time.Millisecond)
	for range windowClients {
		wg.Go(func() {
			for time.Now().Before(end) {
				tried.Add(1)
				if s.tryChannel(g) {
					taken.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	said := 0
	for time.Now().Before(end) {
		isReady := check.isReady()
		s.logf("platform: %s says that it is ready: %v", g.name, isReady)
		if isReady {
			said++
		}
		time.Sleep(time.Second)
	}
	wg.Wait()
	s.logf("%d of %d new channels were taken, the machine said %d times that it is ready", taken.Load(), tried.Load(), said)
	if taken.Load() == 0 && said > 0 {
		return brokenf("a machine that says that it is ready took none of %d new channels of %d clients in %s", tried.Load(), windowClients, stableWindow)
	}
	return nil
}

// tryChannel opens a channel, as a client does, and sends an ordinary request on it. It reports
// whether the channel was taken: opened within a second, and the request answered.
func (s *system) tryChannel(g *process) bool {
	c, err := net.DialTimeout("tcp", address(g.ip, frontPort), time.Second)
	if err != nil {
		s.logf("client: new channel to %s: %v", g.name, err)
		return false
	}
	_ = c.Close()
	id, r := s.request(g, readPath)
	return r.isServed(id)
}

// openIdle opens connections from an address of their own until no more can be opened.
func (s *system) openIdle(g *process) (stop func(), err error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip(201))}, Timeout: idleDialTimeout}
	var mu sync.Mutex
	var open []net.Conn
	var wg sync.WaitGroup
	for range idlers {
		wg.Go(func() {
			for range mostIdle / idlers {
				c, err := dialer.Dial("tcp", address(g.ip, frontPort))
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.logf("%d idle connections were opened", len(open))
	if len(open) < edgeDescriptors/2 {
		err = fmt.Errorf("only %d connections could be opened", len(open))
	}
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}, err
}
