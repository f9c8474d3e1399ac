package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["heads"] = (*system).runHeads }

const (
	// edgeMemoryMB is the memory of an edge machine.
	edgeMemoryMB = 284
	// headConnections is the number of connections that send heads, and headBytes the size of
	// the begin of a head that each of them sends. It is within max-header-bytes.
	headConnections = 2000
	headBytes       = 16_000
	// headTime is how long the clients take for their heads. It is within header-timeout-ms.
	headTime = 2800 * time.Millisecond
	// keptClients is the number of ordinary clients with a kept channel, and keptWork the time
	// that their requests take at the replica.
	keptClients = 16
	keptWork    = 100 * time.Millisecond
	// lostAllowed is the number of requests that may be lost.
	lostAllowed = 3
)

// headOf returns the begin of the head of a request with as many short fields as fit.
func headOf(size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n", readPath, clientHost)
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for n := 0; b.Len() < size; n++ {
		b.Write([]byte{letters[n%36], letters[n/36%36], letters[n/36/36%36], ':', '\n'})
	}
	return b.Bytes()
}

// keptResults counts how the requests on kept channels ended.
type keptResults struct{ answered, lost, notRun atomic.Int64 }

// keptClient sends requests one after the other on a channel that it keeps, until the channel
// ends or done is closed. A request is lost if the channel ends without an answer after the
// replica has got it.
func (s *system) keptClient(g *process, results *keptResults, done <-chan struct{}) {
	c, err := net.Dial("tcp", address(g.ip, frontPort))
	if err != nil {
		return
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	for {
		select {
		case <-done:
			return
		default:
		}
		id := s.newAttempt()
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Bilberryhub-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Bilberryhub-Deadline-Remaining: 1000\r\nContent-Length: 0\r\n\r\n",
			setPath, clientHost, id, clientKey)
		_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		answer, err := http.ReadResponse(answers, nil)
		if err == nil {
			_ = answer.Body.Close()
			results.answered.Add(1)
			s.logf("client: %s %s on a kept channel: status %d", setPath, id, answer.StatusCode)
			continue
		}
		time.Sleep(50 * time.Millisecond)
		if s.runsOf(id) == 0 {
			results.notRun.Add(1)
			s.logf("client: %s %s on a kept channel: %v, it has not run", setPath, id, err)
			return
		}
		results.lost.Add(1)
		s.logf("client: %s %s on a kept channel: %v, lost: it has run", setPath, id, err)
		return
	}
}

// runHeads lets clients send long heads, beside ordinary clients. The platform kills a process
// that uses more memory than its machine has.
func (s *system) runHeads(hasTrouble bool) error {
	g, first, err := s.startSmall()
	if err != nil {
		return err
	}
	if err := s.addReplicas(first); err != nil {
		return err
	}
	s.setWork(keptWork)
	results, done := &keptResults{}, make(chan struct{})
	var wg sync.WaitGroup
	for range keptClients {
		wg.Go(func() { s.keptClient(g, results, done) })
	}
	time.Sleep(time.Second)
	if hasTrouble {
		defer s.sendHeads(g)()
	}
	most := s.enforceMemory(g, 6*time.Second)
	close(done)
	wg.Wait()
	lost := results.lost.Load()
	s.logf("most memory of %s: %d of %d MiB; requests on kept channels: %d answered, %d lost, %d cut before they ran",
		g.name, most>>20, edgeMemoryMB, results.answered.Load(), lost, results.notRun.Load())
	if lost > lostAllowed {
		return brokenf("%d requests from kept channels were passed on and their channels closed without an answer; %d are allowed", lost, lostAllowed)
	}
	return nil
}

// enforceMemory does what the platform does for some time: it kills a process that uses more
// memory than its machine has. It returns the most memory that was seen.
func (s *system) enforceMemory(g *process, length time.Duration) (most int64) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		most = max(most, g.memoryBytes())
		if most > edgeMemoryMB<<20 {
			s.logf("platform: %s uses %d MiB, its machine has %d; killed", g.name, most>>20, edgeMemoryMB)
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			<-g.exited
			return most
		}
	}
	return most
}

// sendHeads opens connections from an address of their own, each of which sends the begin of a
// head and the rest of it at the end of headTime.
func (s *system) sendHeads(g *process) (stop func()) {
	head := headOf(headBytes)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip(201))}, Timeout: 2 * time.Second}
	var wg sync.WaitGroup
	var sent atomic.Int64
	for range headConnections {
		wg.Go(func() {
			c, err := dialer.Dial("tcp", address(g.ip, frontPort))
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := c.Write(head); err != nil {
				return
			}
			sent.Add(1)
			time.Sleep(headTime)
			_, _ = c.Write([]byte("\r\n"))
		})
	}
	s.logf("%d connections send heads of %d bytes in %s", headConnections, len(head), headTime)
	return func() {
		wg.Wait()
		s.logf("%d connections had sent the begin of a head", sent.Load())
	}
}
