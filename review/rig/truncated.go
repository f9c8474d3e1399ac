package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refuseTime is how long the backend servers refuse connections, callTime how long
	// requests are sent afterwards.
	refuseTime = 1500 * time.Millisecond
	callTime   = 4 * time.Second
	// brokenEvery is the inverse of the share of the answers that are reset on the way.
	brokenEvery = 20
	// answerBytes is the size of a body, of which half is sent before a reset.
	answerBytes = 800
)

// unframedServer is a backend server whose answers have neither a length nor chunks and
// end with their connection. While faulty, it resets the connection of a share of them in
// the middle.
type unframedServer struct {
	id, address string
	rec         *record
	faulty      atomic.Bool
	answers     atomic.Int64
	mu          sync.Mutex
	listener    net.Listener
}

// listen accepts connections, and close refuses them.
func (s *unframedServer) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.address = l, l.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	return nil
}

func (s *unframedServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

func (s *unframedServer) serveConn(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get(names["attempt"])
	if req.Header.Get(names["expect"]) != s.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names["not_run"])
		return
	}
	s.rec.add("%s runs %s", s.id, id)
	time.Sleep(15 * time.Millisecond)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s\r\nConnection: close\r\n\r\n", names["attempt"], id, names["seal"], id)
	body := wholeBody(id)
	if !s.faulty.Load() || s.answers.Add(1)%brokenEvery != 0 {
		_, _ = io.WriteString(conn, head+body)
		return
	}
	s.rec.add("%s resets its answer to %s after %d of %d bytes", s.id, id, answerBytes/2, answerBytes)
	_, _ = io.WriteString(conn, head+body[:answerBytes/2])
	time.Sleep(20 * time.Millisecond)
	// Without lingering, the connection is reset when it is closed.
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// wholeBody returns the body of the answer to a request.
func wholeBody(id string) string {
	return strings.Repeat(id+" ", answerBytes/(len(id)+1)+1)[:answerBytes]
}

// truncated: a gateway can't connect to backend servers for a while and sends through
// another one. Some answers without a length are reset on the way.
func truncated(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return false, err
	}
	if err := d.operate(http.MethodPut, names["config_path"], fill(configTemplate, map[string]any{"Version": 1, "Keys": `"k1"`})); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var servers []*unframedServer
	for i, domain := range domains {
		s := &unframedServer{id: fmt.Sprintf("i-%d", i+1), address: d.controls[i].ip + ":0", rec: rec}
		if err := s.listen(); err != nil {
			return false, err
		}
		defer s.close()
		servers = append(servers, s)
		go d.announce(s.id, s.address, domain, stop)
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	var broken, complete atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(2*time.Second + refuseTime + callTime)
	for range 4 {
		wg.Go(func() {
			for time.Now().Before(end) {
				a := send(d.callerAddress(0), http.MethodGet, "/lookup/x", "k1", "", time.Second)
				isWhole := string(a.body) == wholeBody(a.id)
				rec.add("answer to %s: status %d, %d bytes, length stated %q, error %v", a.id, a.status, len(a.body), a.header.Get("Content-Length"), a.err)
				switch {
				case a.status != http.StatusOK || a.err != nil:
				case isWhole:
					complete.Add(1)
				default:
					broken.Add(1)
					rec.add("%s is not the whole body", a.id)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.add("the backend servers refuse connections; only the first gateway has requests")
		for _, s := range servers {
			s.close()
		}
		time.Sleep(refuseTime)
		for _, s := range servers {
			s.faulty.Store(true)
			if err := s.listen(); err != nil {
				return false, err
			}
		}
		rec.add("the backend servers accept connections again, and reset 1 in %d answers", brokenEvery)
	}
	wg.Wait()
	rec.add("%d whole answers, %d that are not whole but look complete", complete.Load(), broken.Load())
	return broken.Load() > 0, nil
}
