package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowResponseWriter delays each write by 200 ms, as on a busy machine, or until the
// instance has crashed.
type slowResponseWriter struct {
	http.ResponseWriter
	crashed func() bool
}

func (w slowResponseWriter) Write(p []byte) (int, error) {
	for end := time.Now().Add(200 * time.Millisecond); !w.crashed() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return w.ResponseWriter.Write(p)
}

func (w slowResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against a crash fault that resets the connection of the request that set
// it before the response is written, however slow the write is.
func TestCrashFaultIsAcknowledgedBeforeCrash(t *testing.T) {
	in := startEngine(t, "{}")
	crashed := func() bool { return in.Stats().Crashes > 0 }
	rec := &recorder{header: http.Header{}}
	r, err := http.NewRequest(http.MethodPost, "/admin/faults", strings.NewReader(`{"crash": true}`))
	if err != nil {
		t.Fatal(err)
	}
	rec.crashed = crashed
	in.serveFaults(slowResponseWriter{rec, crashed}, r)
	if rec.afterCrash() {
		t.Error("the crash came before the answer was written")
	}
	for end := time.Now().Add(5 * time.Second); !crashed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the order was not carried out")
		}
	}
}

// recorder records whether a response was written after a crash.
type recorder struct {
	header  http.Header
	crashed func() bool

	mu              sync.Mutex
	wroteAfterCrash bool
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(int)     {}
func (r *recorder) Flush()              {}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wroteAfterCrash = r.wroteAfterCrash || r.crashed()
	return io.Discard.Write(p)
}

func (r *recorder) afterCrash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wroteAfterCrash
}
