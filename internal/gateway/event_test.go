package gateway

import (
	"io"
	"net/http"
	"strings"
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
