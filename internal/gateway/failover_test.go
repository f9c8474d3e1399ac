package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
)

// Guards against a data race between a request that begins its next attempt and a
// failover, which decides meanwhile whether its attempt may be moved.
func TestFailoverBesideRetries(t *testing.T) {
	s := newSetup(t)
	for _, id := range []string{"b0", "b1", "b2"} {
		s.add(id, "plain", "a", drop)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.g.failOver("a")
				time.Sleep(100 * time.Microsecond)
			}
		}
	})
	for end := bootclock.Now() + time.Second; bootclock.Now() < end; {
		if resp, _, err := s.call("/safe/x"); err == nil && resp.StatusCode == http.StatusOK {
			t.Fatal("a dropped request was served")
		}
	}
	close(stop)
	wg.Wait()
}
