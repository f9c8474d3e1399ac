package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
)

// A backend server answers a call about a reservation, and sends a second copy of that
// answer when the connection is used again. The copy must not be taken for the answer to
// the next call: these answers don't name their call.
func TestLateCopyIsNotTheAnswerToTheNextReservation(t *testing.T) {
	s := newSetup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			status := "200 OK"
			if n > 0 {
				status = "409 Conflict" // no memory is left for the second reservation
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status)
				}
			}()
		}
	}()
	holder := s.announce("holder", "model", "a", l.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout*5)
	defer cancel()
	began := bootclock.Now()
	if err := s.g.reserveOne(ctx, &reservation{id: "r1", holder: holder, tokens: 10}); err != nil {
		t.Fatal(err)
	}
	if err := s.g.reserveOne(ctx, &reservation{id: "r2", holder: holder, tokens: 10}); err == nil {
		t.Errorf("a reservation that was refused counts as made, after %s", bootclock.Now()-began)
	}
}

// holders are backend servers that hold reservations for a time after each call and answer
// no call while they are paused.
type holders struct {
	mu sync.Mutex
	// expires is when the first reservation at an address expires.
	expires map[string]time.Time
	paused  time.Time
	lease   time.Duration
}

// serveOrder serves a call about a reservation, after a pause if its caller still waits then.
func (h *holders) serveOrder(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h.mu.Lock()
	until := time.Until(h.paused)
	h.mu.Unlock()
	time.Sleep(max(0, until))
	h.mu.Lock()
	defer h.mu.Unlock()
	if id, ok := strings.CutPrefix(r.URL.Path, "/reserve/"); ok && r.Context().Err() == nil {
		h.expires[id] = time.Now().Add(h.lease)
	}
}

// isExpired reports whether a reservation has expired.
func (h *holders) isExpired() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.expires {
		if time.Now().After(t) {
			return true
		}
	}
	return false
}

// Guards against a stream that looks complete although its backend server has cut it off
// when memory that was reserved for it at other ones had expired, as these were silent
// for a second or so while it was due to be renewed.
func TestStreamCutWhenItsReservationExpiresIsIncomplete(t *testing.T) {
	const events = 45
	s := newSetup(t)
	h := &holders{lease: s.g.leaseTime(), expires: map[string]time.Time{}}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "" {
			h.serveOrder(r)
			return
		}
		echo(w, r)
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= events && !h.isExpired(); i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	for i := range 4 {
		s.add("server-"+strconv.Itoa(i), "model", "a", serve)
	}
	time.AfterFunc(800*time.Millisecond, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.paused = time.Now().Add(1300 * time.Millisecond)
	})
	resp, body, err := s.call("/stream/x", "X-Prompt", "380000", "X-Wait-Ms", "5000")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Logf("not complete: %v, %v", resp, err)
		return
	}
	if n := strings.Count(body, "id: "); n != events {
		t.Errorf("the stream looks complete after %d of %d events", n, events)
	}
}
