package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// TestStopAnswersEachRequestThatItRefuses guards against a planned stop that ends while
// the responses to requests that came late, on connections that callers keep, are not
// sent yet: their callers can't know whether they have run.
func TestStopAnswersEachRequestThatItRefuses(t *testing.T) {
	const callers = 64
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, plain: true})
	refusals := metrics.GetOrCreateCounter(`bilberry_refusals_total{code="draining",run="no"}`)
	refusedBefore := refusals.Get()
	var answered atomic.Uint64
	var wg sync.WaitGroup
	for range callers {
		conn, err := net.Dial("tcp", c.entrySettings[0].Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		wg.Go(func() {
			responses := bufio.NewReader(conn)
			for {
				if _, err := fmt.Fprintf(conn, "GET /bookings/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", testKey); err != nil {
					return
				}
				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					return
				}
				if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := c.entries[0].Stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	c.entries[0] = nil
	wg.Wait()
	if refused := refusals.Get() - refusedBefore; refused != answered.Load() || refused == 0 {
		t.Errorf("%d requests were read and refused, and %d got a response", refused, answered.Load())
	}
}
