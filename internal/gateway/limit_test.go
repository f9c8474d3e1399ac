package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
)

// connect lets gateways exchange load shares over loopback.
func connect(t *testing.T, setups []*setup) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, s := range setups {
		s.g.settings.ID = fmt.Sprintf("gateway-%d", i)
		var err error
		if s.g.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.g.udp.Close() })
	}
	for i, s := range setups {
		s.g.members.mu.Lock()
		for j, other := range setups {
			if i != j {
				info := other.g.info()
				info.Address = other.g.udp.LocalAddr().String()
				s.g.members.recordGateway(info, bootclock.Now())
			}
		}
		s.g.members.mu.Unlock()
		go s.g.sendShares(ctx)
		go s.g.receiveShares()
	}
}

// limitedServer is a backend server that names a limit in its responses.
type limitedServer struct {
	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func (l *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	if l.limit != "" {
		w.Header().Set("X-Limit", l.limit)
	}
	l.mu.Unlock()
	echo(w, r)
}

func (l *limitedServer) setLimit(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// most returns the largest number of arrivals within a window, of those since a time.
func (l *limitedServer) most(since time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, at := range l.arrivals {
		for l.arrivals[first].Before(since) || at.Sub(l.arrivals[first]) > window {
			if first++; first > i {
				break
			}
		}
		most = max(most, i+1-first)
	}
	return most
}

// Guards against a backend server in need that gets as many requests as before, or its
// limit from each gateway: the limit that it names is for all of them together. The
// others serve what it doesn't take, and it is used in full again once it names none.
func TestNamedLimitHoldsForAllGateways(t *testing.T) {
	const (
		gateways  = 6
		perSecond = 2.0
		window    = 4 * time.Second
		allowed   = 1.5*perSecond*4 + 5
		settle    = time.Second
	)
	limited, other := &limitedServer{limit: fmt.Sprint(perSecond)}, &limitedServer{}
	var setups []*setup
	for i := range gateways {
		s := newSetup(t)
		if i == 0 {
			s.add("limited", "plain", "a", limited.ServeHTTP)
			s.add("other", "plain", "a", other.ServeHTTP)
		} else {
			for _, id := range []string{"limited", "other"} {
				s.announce(id, "plain", "a", setups[0].g.members.backend(id).Address)
			}
		}
		setups = append(setups, s)
	}
	connect(t, setups)
	load := func(d time.Duration) (failed int) {
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			if resp, _, err := setups[i%gateways].call(fmt.Sprintf("/safe/%d", i)); err != nil || resp.StatusCode != http.StatusOK {
				failed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		return failed
	}
	begin := time.Now()
	if failed := load(settle + window + time.Second); failed > 0 {
		t.Errorf("%d requests failed although another backend server has room", failed)
	}
	if n := limited.most(begin.Add(settle), window); float64(n) > allowed || n == 0 {
		t.Errorf("%d requests within %s to a backend server that names %v a second, expected at most %v and some", n, window, perSecond, allowed)
	}
	limited.setLimit("")
	lifted := time.Now()
	load(window)
	if n := limited.most(lifted.Add(window/2), window); n < 20 {
		t.Errorf("%d requests within %s after the limit was lifted, expected half of the load", n, window/2)
	}
}

// Guards against requests that are held, or that count as run, while all backend servers
// have taken as many requests as they name.
func TestRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	s := newSetup(t)
	s.add("limited", "plain", "a", (&limitedServer{limit: "2"}).ServeHTTP)
	served, refused := 0, 0
	for i := range 20 {
		begin := time.Now()
		resp, body, err := s.call(fmt.Sprintf("/safe/%d", i))
		switch {
		case err != nil:
			t.Fatal(err)
		case resp.StatusCode == http.StatusOK:
			served++
		case resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, `"run":"no"`) && resp.Header.Get("Retry-After") != "":
			refused++
		default:
			t.Errorf("status %d, body %q", resp.StatusCode, body)
		}
		if took := time.Since(begin); took > 500*time.Millisecond {
			t.Errorf("took %s", took)
		}
	}
	if served == 0 || refused < 10 {
		t.Errorf("%d served and %d refused of 20 at once, with 2 a second", served, refused)
	}
}
