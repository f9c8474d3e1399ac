package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestEventReader(t *testing.T) {
	long := "data: " + strings.Repeat("a", 9000) + "\n\n"
	for _, tc := range []struct {
		name, stream string
		events       []string
		err          error
	}{
		{"events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, io.EOF},
		{"longer than the buffer", long + long, []string{long, long}, io.EOF},
		{"comments and blank lines belong to the next event", ":\n\n\n: still here\n\ndata: a\n\n", []string{":\n\n\n: still here\n\ndata: a\n\n"}, io.EOF},
		{"comments at the end", "data: a\n\n: end\n\n", []string{"data: a\n\n", ": end\n\n"}, io.EOF},
		{"cut in an event", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"cut in a line", "data: a\n\nda", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"cut in a comment", "data: a\n\n: b", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(tc.stream))
			for _, want := range tc.events {
				if event, err := r.next(); err != nil || string(event) != want {
					t.Fatalf("got %.40q, %v, want %.40q", event, err, want)
				}
			}
			if _, err := r.next(); err != tc.err {
				t.Errorf("got %v at the end, want %v", err, tc.err)
			}
		})
	}
}

// A backend server that hangs but sends a byte or a comment now and then must count as
// silent: the caller gets the rest of the stream from another one, well before the
// deadline.
func TestStreamThatSendsNothingButCommentsIsMoved(t *testing.T) {
	s := newSetup(t)
	stop := make(chan struct{})
	defer close(stop)
	trickle := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		for {
			_, _ = io.WriteString(w, ":\n\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-stop:
				return
			case <-r.Context().Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	s.add("trickle", "model", "a", trickle)
	began := time.Now()
	done := make(chan string, 1)
	go func() {
		_, body, err := s.call("/stream/x", "X-Prompt", "100", "X-Wait-Ms", "8000")
		if err != nil {
			body += err.Error()
		}
		done <- body
	}()
	time.Sleep(300 * time.Millisecond)
	s.add("sound", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	body := <-done
	if took := time.Since(began); !strings.Contains(body, "data: b") || took > 5*time.Second {
		t.Errorf("got %q after %s", body, took)
	}
}

// Guards against events that a caller gets twice, or that belong to another run, from a
// backend server that begins a continued stream anew; also for a caller that continues itself.
func TestStreamThatBeginsAnewIsNotJoined(t *testing.T) {
	for last, want := range map[string]string{"": events(1, 3), "1": events(2, 3)} {
		for name, continues := range map[string]bool{"another one continues": true, "no other one": false} {
			t.Run(name+" after "+last, func(t *testing.T) {
				s := newSetup(t)
				var runs atomic.Int32
				serve := func(w http.ResponseWriter, r *http.Request) {
					echo(w, r)
					from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					switch n := runs.Add(1); {
					case n == 1 && last == "":
						sendEvents(w, 1, 2)
						panic(http.ErrAbortHandler)
					case n == 2 && continues:
						sendEvents(w, from+1, 3)
					default:
						sendEvents(w, 1, 3)
					}
				}
				for _, id := range []string{"server-1", "server-2", "server-3"} {
					s.add(id, "model", "a", serve)
				}
				resp, body, err := s.call("/stream/x", "X-Prompt", "100", "Last-Event-Id", last)
				isComplete := err == nil && resp.StatusCode == http.StatusOK
				if isComplete != continues || (isComplete && body != want) || strings.Count(body, "id: 1\n") > 1 {
					t.Errorf("complete %v with %q, error %v", isComplete, body, err)
				}
			})
		}
	}
}

// Guards against a stream without its first events that looks complete: a route whose streams
// can't be continued begins anew, whatever Last-Event-Id its caller states.
func TestStreamThatCannotBeContinuedKeepsItsEvents(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	s := newSetup(t)
	s.add("server-1", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, events)
	})
	if _, body, err := s.call("/rigid/x", "X-Prompt", "100", "Last-Event-Id", "2"); err != nil || body != events {
		t.Errorf("got %q, %v; expected %q", body, err, events)
	}
}

func TestIsHigher(t *testing.T) {
	for _, tc := range []struct {
		id, last string
		want     bool
	}{
		{"1", "", true},
		{"2", "1", true},
		{"10", "9", true},
		{"5", "1", true},
		{"1", "1", false},
		{"9", "10", false},
		{"a", "1", true},
		{"1", "a", true},
		{"18446744073709551616", "1", true},
	} {
		if got := isHigher(tc.id, tc.last); got != tc.want {
			t.Errorf("event %q after %q: %v", tc.id, tc.last, got)
		}
	}
}
