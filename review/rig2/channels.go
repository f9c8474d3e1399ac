package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// keptConn is a connection that is kept for many requests.
type keptConn struct {
	conn net.Conn
	r    *bufio.Reader
}

func openKept(address string) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{conn, bufio.NewReader(conn)}, nil
}

// send sends a request and reads the answer.
func (k *keptConn) send(method, path, key string, deadline time.Duration) answer {
	id, text := requestText(method, path, key, deadline)
	a := answer{id: id}
	_ = k.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(k.conn, text); err != nil {
		a.err = err
		return a
	}
	return readAnswer(a, k.r, method, nil)
}

// manyChannels checks that a gateway which says that it is ready takes new connections while
// untrusted callers keep connections open.
func manyChannels(record *Record, trouble bool) (bool, error) {
	const (
		maxDescriptors, crowds, connections = 4100, 6, 900
		// New channels are tried at an interval. If those of 3 s in a row, and one more, are not
		// answered, none was taken for stable-window-ms.
		tries, tryInterval = 40, 200 * time.Millisecond
		windowTries        = int(3*time.Second/tryInterval) + 1
	)
	s, err := newSystem(record, 1)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.maxDescriptors = maxDescriptors
	if err := s.startAll(3, 1); err != nil {
		return false, err
	}
	if _, err := s.addReplica(1, "i-1", replicaSettings{Slots: 64, ServeMs: 2500}); err != nil {
		return false, err
	}
	if err := s.waitReady(0, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	ready, err := openKept(s.readyAddress(0))
	if err != nil {
		return false, err
	}
	defer ready.conn.Close()
	if a := ready.send(http.MethodGet, names.Ready, "", time.Second); a.status != http.StatusOK {
		return false, fmt.Errorf("not ready: %v", a)
	}
	g := s.gateways[0]
	if trouble {
		var wg sync.WaitGroup
		errs := make([]error, crowds)
		for n := range crowds {
			wg.Go(func() {
				var c *crowd
				if c, errs[n] = s.startCrowd(s.callers(0), connections, 0); errs[n] == nil {
					s.ends(c.end)
				}
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return false, err
		}
	}
	// The crowd is there, and does nothing any more.
	readyAnswers, answered := 0, 0
	taken := make([]bool, tries)
	var wg sync.WaitGroup
	for n := range tries {
		if n%5 == 0 {
			a := ready.send(http.MethodGet, names.Ready, "", time.Second)
			record.Line("ready check on a kept channel: %v, %d descriptors", a, g.descriptors())
			if a.status == http.StatusOK {
				readyAnswers++
			}
		}
		wg.Go(func() {
			a := request(s.callers(0), http.MethodGet, "/read/1", callerKey, time.Second, nil)
			record.Line("new channel %d: %v", n, a)
			taken[n] = a.status != 0
		})
		time.Sleep(tryInterval)
	}
	wg.Wait()
	longest, row := 0, 0
	for _, t := range taken {
		if row++; t {
			answered++
			row = 0
		}
		longest = max(longest, row)
	}
	record.Line("%d of %d new channels were answered, %d of %d ready checks; %d in a row were not answered, tried within %v",
		answered, tries, readyAnswers, tries/5, longest, time.Duration(longest)*tryInterval)
	s.recordRuns()
	return longest >= windowTries && readyAnswers == tries/5, nil
}
