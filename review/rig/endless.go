package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkBytesPerSecond is the speed of the link of a gateway, 1,000 Mbit/s.
const linkBytesPerSecond = 125_000_000

// pacer lets all senders together write at the speed of one link.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait(bytes int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	until := p.next
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// plainServer is a backend server of a plain service. While faulty, the bodies of a share
// of its answers don't end.
type plainServer struct {
	id     string
	faulty atomic.Bool
	pacer  *pacer
	rec    *record
	open   atomic.Int64
	ran    func(id string)
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
		head := fmt.Sprintf("%s: %s\r\n%s: s.%s\r\n", names["attempt"], id, names["seal"], id)
		if req.Header.Get(names["expect"]) != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names["not_run"])
			continue
		}
		if s.faulty.Load() {
			s.rec.add("%s begins an endless answer to %s, %d open", s.id, id, s.open.Add(1))
			n := s.writeEndless(conn, head)
			s.open.Add(-1)
			s.rec.add("%s wrote %d bytes until the connection of %s was closed", s.id, n, id)
			return
		}
		s.rec.add("%s runs %s", s.id, id)
		if s.ran != nil {
			s.ran(id)
		}
		time.Sleep(30 * time.Millisecond)
		body := "answer of " + s.id + " to " + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

// writeEndless writes an answer whose body ends only when the other side closes.
func (s *plainServer) writeEndless(conn net.Conn, head string) (written int) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", head)
	chunk := make([]byte, 64<<10)
	for {
		s.pacer.wait(len(chunk))
		n, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		written += n
		if err != nil {
			return written
		}
	}
}

// endless: backend servers answer with bodies that never end. The stand-in of the platform
// kills a process that uses more than its memory.
func endless(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 2)
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
	p := &pacer{}
	var servers []*plainServer
	for i, domain := range domains {
		l, err := net.Listen("tcp", d.controls[i].ip+":0")
		if err != nil {
			return false, err
		}
		defer l.Close()
		s := &plainServer{id: fmt.Sprintf("i-%d", i+1), pacer: p, rec: rec}
		servers = append(servers, s)
		go s.serve(l)
		go d.announce(s.id, l.Addr().String(), domain, stop)
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	var kills atomic.Int64
	peak := make([]int, len(d.gateways))
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			for i, g := range d.gateways {
				mb := g.memoryMB()
				peak[i] = max(peak[i], mb)
				if mb > gatewayMemoryMB {
					rec.add("%s uses %d MiB of %d: killed", g.name, mb, gatewayMemoryMB)
					kills.Add(1)
					g.signal(syscall.SIGKILL)
					<-g.exited
					time.Sleep(200 * time.Millisecond)
					if err := g.start(); err != nil {
						rec.add("%v", err)
					}
				}
			}
		}
	}()
	clients := 18
	if v, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		clients = v
	}
	for _, s := range servers {
		s.faulty.Store(trouble)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for range clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				a := send(d.callerAddress(0), http.MethodGet, "/lookup/x", "k1", "", time.Second)
				rec.add("answer to %s: status %d, %d bytes, %v", a.id, a.status, len(a.body), a.err)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	rec.add("peak memory of the gateways: %v MiB; %d killed", peak, kills.Load())
	fmt.Println("peak", peak, "kills", kills.Load())
	return kills.Load() >= 3, nil
}
