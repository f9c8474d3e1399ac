package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowAnswer writes an answer only after a while, as on a busy machine.
type slowAnswer struct {
	http.ResponseWriter
	crashed func() bool
}

func (w slowAnswer) Write(p []byte) (int, error) {
	for end := time.Now().Add(200 * time.Millisecond); !w.crashed() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return w.ResponseWriter.Write(p)
}

func (w slowAnswer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// The answer to an order to crash must leave before the crash resets its
// connection, however slowly it is written.
func TestOrderToCrashIsAnswered(t *testing.T) {
	in := startEngine(t, "{}")
	crashed := func() bool { return in.Stats().Crashes > 0 }
	answer := &recorder{header: http.Header{}}
	r, err := http.NewRequest(http.MethodPost, "/admin/faults", strings.NewReader(`{"crash": true}`))
	if err != nil {
		t.Fatal(err)
	}
	answer.crashed = crashed
	in.serveFaults(slowAnswer{answer, crashed}, r)
	if answer.afterCrash() {
		t.Error("the crash came before the answer was written")
	}
	for end := time.Now().Add(5 * time.Second); !crashed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the order was not carried out")
		}
	}
}

// recorder notes whether an answer was written after a crash.
type recorder struct {
	header  http.Header
	crashed func() bool

	mu   sync.Mutex
	late bool
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(int)     {}
func (r *recorder) Flush()              {}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = r.late || r.crashed()
	return io.Discard.Write(p)
}

func (r *recorder) afterCrash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}
