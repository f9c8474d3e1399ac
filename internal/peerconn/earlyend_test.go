package peerconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberryhub/internal/rawbackend"
)

// Guards against a connection through a peer that ends as if the backend server had ended
// it in an orderly way, although the backend server has reset it, or ended it before it had
// read the request: the peer may be writing, and its write then takes the error of the reset.
func TestEndDuringTheRequestIsNotOrderly(t *testing.T) {
	const runs = 10
	for _, end := range []rawbackend.End{rawbackend.Reset, rawbackend.CloseAndReset, rawbackend.CloseMidway} {
		t.Run(string(end), func(t *testing.T) {
			p := newPeer(t)
			p.Dial = rawbackend.Dial
			s := (&rawbackend.Server{Response: rawbackend.Response{Bytes: "part", End: end}}).Serve(t)
			for range runs {
				conn, err := Dial(t.Context(), t.Context(), p.client, Target{ID: "b", Address: s.Address})
				if err != nil {
					t.Fatal(err)
				}
				written := make(chan struct{})
				go func() {
					defer close(written)
					r, _ := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("a", rawbackend.LongBodyBytes)))
					_ = r.Write(conn)
				}()
				_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				if got, err := io.ReadAll(conn); err == nil {
					t.Errorf("an orderly end after %q", got)
				}
				_ = conn.Close()
				<-written
			}
		})
	}
}
