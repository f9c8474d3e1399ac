package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a sound backend server of a plain service.
type plainServer struct {
	id  string
	rec *record
	// ran is called with the id of each request that runs.
	ran func(id string)
}

func (s *plainServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *plainServer) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(names["attempt"])
		if req.Header.Get(names["expect"]) != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names["attempt"], id, names["not_run"])
			continue
		}
		s.rec.add("%s runs %s", s.id, id)
		s.ran(id)
		time.Sleep(30 * time.Millisecond)
		body := "answer of " + s.id + " to " + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s\r\nContent-Length: %d\r\n\r\n%s", names["attempt"], id, names["seal"], id, len(body), body)
	}
}

// runs records when the backend server of each failure domain last ran a request.
type runs struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (r *runs) add(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[domain] = time.Now()
}

func (r *runs) lastAt(domain string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[domain]
}

// startServers starts a sound backend server in each failure domain.
func (d *deployment) startServers(ran *runs, stop chan struct{}) error {
	for i, domain := range domains {
		l, err := net.Listen("tcp", d.controls[i].ip+":0")
		if err != nil {
			return err
		}
		s := &plainServer{id: fmt.Sprintf("i-%d", i+1), rec: d.record, ran: func(string) { ran.add(domain) }}
		go s.serve(l)
		go d.announce(s.id, l.Addr().String(), domain, stop)
	}
	return nil
}
