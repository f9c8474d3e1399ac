package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/announce"
)

// measurementPeriod is the duration of the measurement for each size, which covers
// ten heartbeats of each peer.
const measurementPeriod = 5 * time.Second

// traffic counts the connections dialed by entry processes and the bytes that they
// carry. Each exchange is counted once, at the dialing side, with requests and replies.
type traffic struct{ out, in, conns atomic.Int64 }

type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.out.Add(int64(n))
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.in.Add(int64(n))
	return n, err
}

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.conns.Add(1)
	return countedConn{conn, t}, nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startFleet starts entry processes that are configured with the addresses of those
// started before, and waits until each one has received a heartbeat of all others.
func startFleet(b *testing.B, size int, t *traffic) []*Server {
	var fleet []*Server
	var addresses []string
	for i := range size {
		s, err := New(&Settings{
			ID: fmt.Sprintf("entry-d%02d-%02d", i/32+1, i+1), FailureDomain: fmt.Sprintf("domain-%02d", i/32+1),
			Listen: "127.0.0.1:0", AnnounceListen: "127.0.0.1:0", WireListen: "127.0.0.1:0",
			Entries: addresses, DispatchPolicy: "bilberry", Seed: uint64(i + 1), LogLevel: "error",
		}, Options{Dial: t.dial}, zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Close)
		fleet = append(fleet, s)
		addresses = append(addresses, s.wire.Address())
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, s := range fleet {
		for live := 0; live < size; {
			if time.Now().After(deadline) {
				b.Fatalf("%s has %d of %d entry processes in its table", s.settings.ID, live, size)
			}
			_ = s.loop.do(s.ctx, func(c *control) { live = len(c.peers.Live()) })
			time.Sleep(10 * time.Millisecond)
		}
	}
	// The lists of known peers are complete one heartbeat later.
	time.Sleep(2 * heartbeatInterval)
	return fleet
}

// reportFleetMetrics reports traffic and CPU time for each entry process. The metric
// sent-B/s is what one process sends, which on average equals what it receives.
func reportFleetMetrics(b *testing.B, size int, t *traffic) {
	out, in, conns, cpu, start := t.out.Load(), t.in.Load(), t.conns.Load(), cpuTime(b), time.Now()
	time.Sleep(measurementPeriod)
	seconds := time.Since(start).Seconds()
	used := cpuTime(b) - cpu
	sent := float64(t.out.Load() - out + t.in.Load() - in)
	b.ReportMetric(sent/seconds/float64(size), "sent-B/s")
	b.ReportMetric(100*used.Seconds()/seconds/float64(size), "cpu-%")
	b.ReportMetric(float64(t.conns.Load()-conns), "new-conns")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkControlByPeers measures the control traffic and CPU time of one idle entry
// process as a function of the number of peers with which it exchanges heartbeats.
func BenchmarkControlByPeers(b *testing.B) {
	for _, peers := range []int{0, 3, 9, 30} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			t := &traffic{}
			startFleet(b, peers+1, t)
			for range b.N {
				reportFleetMetrics(b, peers+1, t)
			}
		})
	}
}

// BenchmarkControlByPools measures the control traffic of two entry processes as a
// function of the number of pools that one of them dispatches.
func BenchmarkControlByPools(b *testing.B) {
	for _, pools := range []int{0, 6, 24, 72} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			t := &traffic{}
			fleet := startFleet(b, 2, t)
			announcePools(b, fleet[0], pools)
			time.Sleep(2 * heartbeatInterval)
			for range b.N {
				reportFleetMetrics(b, 2, t)
			}
		})
	}
}

// announcePools makes s the dispatcher of pools with one backend server each,
// until the benchmark ends.
func announcePools(b *testing.B, s *Server, pools int) {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	b.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			_ = s.loop.do(ctx, func(c *control) {
				for i := range pools {
					c.core.Announce(c.now(), &announce.Announcement{
						ID: fmt.Sprintf("engine-%02d", i), Boot: 1, Address: "127.0.0.1:9", Sequence: sequence,
						FailureDomain: fmt.Sprintf("domain-%02d", i/6+1), Service: fmt.Sprintf("service-%d", i%6),
						Kind: announce.KindModel, Models: []string{fmt.Sprintf("model-%d", i%6)}, MemoryTokens: 600_000,
					})
				}
			})
			select {
			case <-ctx.Done():
			case <-time.After(announce.Interval):
			}
		}
	}()
}
