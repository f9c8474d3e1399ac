package stateserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/configsync"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// manifestWithAccounts returns a manifest with six services and the given number of
// client accounts, each with one key and a grant for every service.
func manifestWithAccounts(tb testing.TB, number uint64, accounts int) []byte {
	var services, domains, accountList, grants []any
	for i := range 6 {
		name := fmt.Sprintf("service-%d", i+1)
		services = append(services, map[string]any{"name": name, "kind": "model", "models": []string{fmt.Sprintf("model-%d", i+1)}})
		grants = append(grants, map[string]any{"service": name, "urgencies": []string{"urgent"}, "rate_per_second": 10, "concurrent": 50})
	}
	for i := range 12 {
		domains = append(domains, map[string]any{"name": fmt.Sprintf("domain-%02d", i+1), "region": fmt.Sprintf("region-%d", i/4+1)})
	}
	for i := range accounts {
		key := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		accountList = append(accountList, map[string]any{
			"name": fmt.Sprintf("account-%04d", i+1), "key_sha256": []string{hex.EncodeToString(key[:])}, "weight": 1, "grants": grants,
		})
	}
	data, err := json.Marshal(map[string]any{
		"number": number, "services": services, "accounts": accountList, "failure_domains": domains,
		"urgencies": []any{map[string]any{"name": "urgent", "priority": 0}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// countedConn counts the bytes that are read and written on a connection.
type countedConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// subscribers runs the configuration subscriptions of several entry processes.
type subscribers struct {
	// read and written count the bytes on all connections of the subscribers.
	read, written atomic.Int64
	syncers       []*configsync.Syncer

	mu sync.Mutex
	// number is the expected manifest number, and pending the number of subscribers
	// that have not published it. done is closed when pending reaches 0.
	number  uint64
	pending int
	done    chan struct{}
}

// dial opens a connection whose bytes are counted.
func (s *subscribers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &s.read, &s.written}, nil
}

// expect returns a channel that is closed when all subscribers have published
// the manifest.
func (s *subscribers) expect(number uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number, s.pending, s.done = number, len(s.syncers), make(chan struct{})
	return s.done
}

// changed is called when a subscriber has published a configuration.
func (s *subscribers) changed(v *config.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done == nil || v.Number != s.number {
		return
	}
	if s.pending--; s.pending == 0 {
		close(s.done)
	}
}

// startSubscribers starts count subscribers, which run until the end of the benchmark.
func startSubscribers(b *testing.B, c *cluster, count int) *subscribers {
	s := &subscribers{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() { cancel(); wg.Wait() })
	var states []string
	for _, r := range c.replicas {
		states = append(states, r.Address)
	}
	for i := range count {
		id := fmt.Sprintf("entry-%03d", i+1)
		syncer := configsync.New(configsync.Options{
			EntryID: id, States: states, OnChange: s.changed,
			Wire: wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: id, Incarnation: 1}, Dial: s.dial},
		})
		s.syncers = append(s.syncers, syncer)
		wg.Go(func() { syncer.Run(ctx) })
	}
	return s
}

// apply proposes a manifest. It returns the time until the manifest was accepted, and
// the time from then until it was in force at all subscribers.
func (s *subscribers) apply(b *testing.B, client *wire.Client, number uint64, content []byte) (accept, propagate time.Duration) {
	done := s.expect(number)
	start := time.Now()
	r, code := propose(client, &wirepb.Command{Id: fmt.Sprintf("manifest-%d", number), Body: &wirepb.Command_ApplyManifest{
		ApplyManifest: &wirepb.ApplyManifest{Number: number, Content: content},
	}})
	accepted := time.Now()
	if r.GetCode() != "" || r == nil {
		b.Fatalf("manifest %d: %s %v", number, code, r)
	}
	select {
	case <-done:
	case <-time.After(waitTimeout):
		b.Fatalf("manifest %d is not in force everywhere after %v", number, waitTimeout)
	}
	// Subscribers may publish the manifest before the reply to the proposal arrives.
	return accepted.Sub(start), max(0, time.Since(accepted))
}

// BenchmarkManifestSpread measures the time from the acceptance of a manifest until it
// is in force at all subscribers, by the number of client accounts and subscribers.
// Three replicas run with synced logs.
func BenchmarkManifestSpread(b *testing.B) {
	for _, accounts := range []int{10, 200, 2200} {
		for _, count := range []int{9, 30, 100} {
			b.Run(fmt.Sprintf("accounts=%d/subscribers=%d", accounts, count), func(b *testing.B) {
				c := newCluster(b, 3)
				c.startAll()
				client := c.client(c.leader())
				s := startSubscribers(b, c, count)
				s.apply(b, client, 1, manifestWithAccounts(b, 1, accounts))
				var accept, propagate, maxPropagate time.Duration
				read := s.read.Load()
				for n := range b.N {
					content := manifestWithAccounts(b, uint64(n+2), accounts)
					acceptTime, propagateTime := s.apply(b, client, uint64(n+2), content)
					accept, propagate, maxPropagate = accept+acceptTime, propagate+propagateTime, max(maxPropagate, propagateTime)
				}
				b.ReportMetric(float64(accept.Milliseconds())/float64(b.N), "accept-ms")
				b.ReportMetric(float64(propagate.Milliseconds())/float64(b.N), "spread-ms")
				b.ReportMetric(float64(maxPropagate.Milliseconds()), "worst-spread-ms")
				b.ReportMetric(float64(s.read.Load()-read)/float64(b.N)/float64(count), "B/subscriber")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkSubscribers measures the idle control traffic of one subscription, and the
// CPU time of three replicas and all subscriptions.
func BenchmarkSubscribers(b *testing.B) {
	const interval = 5 * time.Second
	for _, count := range []int{0, 9, 30, 100} {
		b.Run(fmt.Sprintf("subscribers=%d", count), func(b *testing.B) {
			c := newCluster(b, 3)
			var replicaBytes atomic.Int64
			c.wrapConn = func(conn net.Conn) net.Conn { return countedConn{conn, &replicaBytes, &replicaBytes} }
			c.startAll()
			client := c.client(c.leader())
			s := startSubscribers(b, c, count)
			if count > 0 {
				s.apply(b, client, 1, manifestWithAccounts(b, 1, 10))
			}
			time.Sleep(time.Second)
			for range b.N {
				var before, after syscall.Rusage
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
				replicaBytesBefore := replicaBytes.Load()
				read, written, start := s.read.Load(), s.written.Load(), time.Now()
				time.Sleep(interval)
				seconds := time.Since(start).Seconds()
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
				cpuTime := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
				b.ReportMetric(100*cpuTime.Seconds()/seconds, "cpu-%-all")
				b.ReportMetric(float64(replicaBytes.Load()-replicaBytesBefore)/seconds/3, "replica-sent-B/s")
				if count > 0 {
					b.ReportMetric(float64(s.written.Load()-written)/seconds/float64(count), "entry-sent-B/s")
					b.ReportMetric(float64(s.read.Load()-read)/seconds/float64(count), "entry-received-B/s")
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkConfigParse measures the time to validate and index a configuration.
func BenchmarkConfigParse(b *testing.B) {
	for _, accounts := range []int{10, 200, 2200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s := &wirepb.ConfigSnapshot{Index: 1, ManifestNumber: 1, Manifest: manifestWithAccounts(b, 1, accounts)}
			s.Digest = config.Digest(s)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.FromSnapshot(s); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(s.GetManifest())), "manifest-B")
		})
	}
}
