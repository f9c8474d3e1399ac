package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
)

const onlyEvent = "id: 1\ndata: a\n\n"

// endAfter returns a backend server that sends one event and ends its response in an orderly
// way when a share of the time has passed that it was given.
func endAfter(share float64, framing exchange.Framing) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		allowed, _ := strconv.Atoi(r.Header.Get("X-Allowed-Ms"))
		end := time.Now().Add(time.Duration(share * float64(allowed) * float64(time.Millisecond)))
		echo(w, r)
		switch framing {
		case exchange.FramedByConnection:
			w.Header().Set("Transfer-Encoding", "identity")
		case exchange.FramedByLength:
			w.Header().Set("Content-Length", strconv.Itoa(len(onlyEvent)))
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Until(end))
		_, _ = io.WriteString(w, onlyEvent)
	}
}

// Guards against a response that looks complete although its backend server may have stopped
// work at the deadline, and against one that is dropped although it ended before.
func TestResponseThatEndsAtTheDeadlineIsIncomplete(t *testing.T) {
	for _, framing := range []exchange.Framing{exchange.FramedByChunks, exchange.FramedByConnection, exchange.FramedByLength} {
		for _, path := range []string{"/stream/x", "/rigid/x", "/once/x", "/safe/x"} {
			for share, wantComplete := range map[float64]bool{0.1: true, 1: false} {
				t.Run(string(framing)+path+" "+strconv.FormatFloat(share, 'g', -1, 64), func(t *testing.T) {
					t.Parallel()
					s := newSetup(t)
					s.add("server-1", serviceOf(path), "a", endAfter(share, framing))
					// Far from the deadline where the response must be whole.
					waitMs := map[bool]string{true: "4000", false: "400"}[wantComplete]
					for range 5 {
						resp, body, err := s.call(path, "X-Wait-Ms", waitMs)
						isComplete := err == nil && resp.StatusCode == http.StatusOK
						if framing == exchange.FramedByLength && share == 1 && isComplete && body == onlyEvent {
							// The gateway was late, and the length shows that the body is whole.
							continue
						}
						if isComplete != wantComplete {
							t.Errorf("complete %v with %q, error %v; expected %v", isComplete, body, err, wantComplete)
						}
					}
				})
			}
		}
	}
}

// Guards against a backend server that may stop work before the attempt has ended, so that its
// own end and that of the attempt can't be told apart.
func TestAllowedTimeEndsAfterTheAttempt(t *testing.T) {
	for _, left := range []time.Duration{time.Nanosecond, time.Millisecond, 20 * time.Millisecond, 899_999_999, 900_000_001, time.Hour} {
		if got := allowedTime(left); got < left || got >= left+time.Millisecond || got%time.Millisecond != 0 {
			t.Errorf("%s left gives %s", left, got)
		}
	}
	if stopTolerance >= responseMargin {
		t.Errorf("the tolerance of %s isn't less than the margin of %s", stopTolerance, responseMargin)
	}
}

// serveOne announces a backend server that accepts one connection, reads a request and calls
// serve with the listener, the connection and the id of the request; it closes both
// afterwards. It returns its address.
func (s *setup) serveOne(id, service string, serve func(l net.Listener, c net.Conn, requestID string)) string {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			serve(l, c, r.Header.Get("X-Id"))
		}
		_ = c.Close()
		_ = l.Close()
	}()
	s.announce(id, service, "a", l.Addr().String())
	return l.Addr().String()
}

// sendOnlyEvent sends the beginning of a response without a length and without chunks, as a
// backend server whose process is killed then.
func sendOnlyEvent(_ net.Listener, c net.Conn, requestID string) {
	_, _ = fmt.Fprintf(c, unframedHead+onlyEvent, requestID)
}

// Guards against a response without a length and without chunks that looks complete although
// the process of its backend server was killed, directly and through another gateway.
func TestResponseOfAKilledBackendServerIsIncomplete(t *testing.T) {
	for _, path := range []string{"/rigid/x", "/once/x"} {
		t.Run("direct"+path, func(t *testing.T) {
			s := newSetup(t)
			// A gateway that knows one backend server only can't tell its end from the loss of
			// its own path.
			s.add("server-2", "other", "a", echo)
			s.add("server-3", "other", "b", echo)
			s.serveOne("server-1", serviceOf(path), sendOnlyEvent)
			s.checkUnframed(path, "", false)
		})
		t.Run("through another gateway"+path, func(t *testing.T) {
			s := newIsolatedSetup(t)
			address := s.serveOne("server-1", serviceOf(path), sendOnlyEvent)
			s.others[0].announce("server-1", serviceOf(path), "a", address)
			s.checkUnframed(path, "", false)
		})
	}
}

// Guards against a stream that looks complete although its backend server has cut it off, as
// another one that holds memory for it has ended.
func TestStreamCutWhenAHolderEndsIsIncomplete(t *testing.T) {
	const events = 30
	s := newSetup(t)
	var mu sync.Mutex
	first := -1
	var isHolder [3]bool
	var servers [3]*httptest.Server
	holderEnded := make(chan struct{})
	for i := range servers {
		servers[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			if r.Header.Get("X-Id") == "" {
				isHolder[i] = isHolder[i] || strings.HasPrefix(r.URL.Path, "/reserve/")
				mu.Unlock()
				return
			}
			isFirst := first < 0
			if isFirst {
				first = i
			}
			mu.Unlock()
			echo(w, r)
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for id := last + 1; id <= events; id++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", id)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-holderEnded:
					if isFirst {
						return
					}
				case <-time.After(50 * time.Millisecond):
				}
			}
		}))
		defer servers[i].Close()
		s.announce("server-"+strconv.Itoa(i), "model", "a", strings.TrimPrefix(servers[i].URL, "http://"))
	}
	time.AfterFunc(500*time.Millisecond, func() {
		mu.Lock()
		defer mu.Unlock()
		for i, holds := range isHolder {
			if holds && i != first {
				_ = servers[i].Listener.Close()
				servers[i].CloseClientConnections()
				break
			}
		}
		close(holderEnded)
	})
	resp, body, err := s.call("/stream/x", "X-Prompt", "150000")
	mu.Lock()
	defer mu.Unlock()
	if isHolder == [3]bool{} {
		t.Fatal("no memory was reserved")
	}
	if err == nil && resp.StatusCode == http.StatusOK && strings.Count(body, "id: ") != events {
		t.Errorf("the stream looks complete after %d of %d events", strings.Count(body, "id: "), events)
	}
}

// Guards against a response that counts as whole although memory that is reserved for it may
// have expired, or its holder doesn't respond.
func TestEndWithoutReservedMemoryIsNoEnd(t *testing.T) {
	now := bootclock.Now()
	for name, tc := range map[string]struct {
		heldFor   time.Duration
		isFailing bool
		framing   exchange.Framing
		want      error
	}{
		"held":                    {time.Second, false, exchange.FramedByChunks, nil},
		"lease over":              {0, false, exchange.FramedByChunks, errMemoryLost},
		"lease nearly over":       {stopTolerance / 2, false, exchange.FramedByChunks, errMemoryLost},
		"holder doesn't respond":  {time.Second, true, exchange.FramedByChunks, errMemoryLost},
		"lease over, with length": {0, true, exchange.FramedByLength, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			res := &reservation{holder: s.add("holder", "model", "a", echo)}
			res.heldUntil.Store(int64(now + tc.heldFor))
			res.isFailing.Store(tc.isFailing)
			a := &attempt{g: s.g, pick: &pick{reservations: []*reservation{res}}, sent: now, allowed: time.Minute}
			if got := a.endError(tc.framing, now); got != tc.want {
				t.Errorf("got %v, expected %v", got, tc.want)
			}
		})
	}
}

// Guards against a stream without a length and without chunks that looks complete although the
// process of its backend server has ended in the middle of it, after it had said that it leaves.
func TestStreamOfALeavingBackendServerThatEndsIsContinued(t *testing.T) {
	for name, change := range map[string]func(*fleet.BackendServer){
		"draining": func(b *fleet.BackendServer) { b.Draining = true },
		"gone":     func(b *fleet.BackendServer) { b.Gone = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.serveOne("server-1", "model", func(l net.Listener, c net.Conn, requestID string) {
				sendOnlyEvent(l, c, requestID)
				s.leave("server-1", change)
				s.announceRest()
				time.Sleep(50 * time.Millisecond)
				_ = l.Close()
			})
			resp, body, err := s.call("/stream/x", "X-Prompt", "100")
			if err == nil && resp.StatusCode == http.StatusOK && body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
				t.Errorf("the stream looks complete with %q", body)
			}
		})
	}
}

// leave changes the announcement of a backend server.
func (s *setup) leave(id string, change func(*fleet.BackendServer)) {
	s.g.members.mu.Lock()
	defer s.g.members.mu.Unlock()
	b := *s.g.members.table.Get(id)
	change(&b)
	b.Sequence++
	b.SeenAt = bootclock.Now()
	s.g.members.sorted = nil
	s.g.members.table.Merge(b)
}

// announceRest adds a backend server that sends the events after the first one.
func (s *setup) announceRest() {
	s.add("server-2", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		if r.Header.Get("Last-Event-Id") == "1" {
			_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		}
	})
}

// Guards against a whole response that is dropped because its backend server, which says in
// the response that it leaves, takes no connections any more: a planned stop closes the
// listener first and lets the last responses end.
func TestWholeResponseOfABackendServerThatSaysItLeavesIsDelivered(t *testing.T) {
	s := newSetup(t)
	s.add("server-2", "other", "a", echo)
	s.add("server-3", "other", "b", echo)
	s.serveOne("server-1", "plain", func(l net.Listener, c net.Conn, requestID string) {
		_ = l.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Leaving: 1\r\n\r\nwhole", requestID)
	})
	s.checkUnframed("/once/x", "whole", true)
}

// Guards against a stream of a killed backend server that looks complete because the path of
// the gateway seems lost, as another backend server was killed shortly before.
func TestStreamOfTheSecondKilledBackendServerIsIncomplete(t *testing.T) {
	s := newSetup(t)
	killed := s.announce("killed", "other", "b", "127.0.0.1:9")
	s.serveOne("server-1", "model", func(l net.Listener, c net.Conn, requestID string) {
		sendOnlyEvent(l, c, requestID)
		s.g.recordDial(killed, bootclock.Now(), syscall.ECONNREFUSED)
	})
	s.checkUnframed("/stream/x", "", false)
}
