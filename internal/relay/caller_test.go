package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

// endlessReader repeats one event without a number.
type endlessReader struct{ event string }

func (r endlessReader) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat(r.event, max(len(p)/len(r.event), 1))), nil
}

// Guards against a caller that stops reading and so occupies memory of the engine
// forever.
func TestForwardTimesOutWhenCallerStopsReading(t *testing.T) {
	result := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		s := NewStream(w, testID)
		s.StallTimeout, s.WriteTimeout = time.Minute, 100*time.Millisecond
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		// Whole events only: a partial event would be joined with the next one.
		event := expand("- " + strings.Repeat("x", 100))
		result <- s.Forward(ctx, io.MultiReader(strings.NewReader(event), endlessReader{event}), cancel)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-result:
		if errors.Cause(err) != ErrCallerWrite {
			t.Fatalf("got %v, want %v", err, ErrCallerWrite)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the stream to a caller that does not read did not end")
	}
}
