package callerconn

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// LimitBodyTime ends the reading of the body of a request, if it has one, after the given
// time, also if the handler doesn't read it: net/http reads up to 256 KiB of such a body
// before or after the response, to use the connection again, and waits for the caller without
// any limit.
func LimitBodyTime(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
	}
}

// EndBodyTime ends the limit when the body has been read to its end. The handler would take
// its expiry for the end of the connection.
func EndBodyTime(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// EndAfterResponse makes net/http end the connection after the response to a request whose
// body is refused, without reading the rest of the body. It is called before the response
// is written.
func EndAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// net/http delays the end of a connection only after a body over the limit of a
	// MaxBytesReader. Without the delay, the bytes that are still on their way cause a reset,
	// and the caller loses the response. The reader is given a body of its own, because a read
	// of the caller's may block.
	tooLarge := io.NopCloser(strings.NewReader("x"))
	_, _ = http.MaxBytesReader(w, tooLarge, 0).Read(make([]byte, 1))
	// net/http reads up to 256 KiB of the body after the response, for as long as the caller
	// takes to send them.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}
