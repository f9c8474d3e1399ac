package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/wirepb"
)

// benchPool is a core with one pool of warm backend servers whose leases are renewed.
type benchPool struct {
	core     *Core
	now      time.Duration
	backends int    // number of backend servers
	accounts int    // number of client accounts that send requests
	sequence uint64 // of the last announcements
	nextID   int
}

func newBenchPool(b *testing.B, backends, accounts int) *benchPool {
	v := newTestView()
	v.service = Service{PrefillTokensPerSecond: 100_000, MaxConcurrent: 64}
	p := &benchPool{core: New(Config{Entry: "e0", Incarnation: 1, FailureDomain: "x", MaxQueue: 100_000}), backends: backends, accounts: accounts}
	p.core.SetView(v)
	p.core.Tick(0)
	p.announce()
	return p
}

// announce renews the leases of all backend servers.
func (p *benchPool) announce() {
	p.sequence++
	for i := range p.backends {
		p.core.Announce(p.now, &announce.Announcement{
			ID: fmt.Sprintf("engine-%03d", i), Boot: 1, Address: "a", FailureDomain: "x", Service: "svc",
			Kind: announce.KindModel, Models: []string{"m"}, MemoryTokens: 600_000, MaxConcurrent: 64, ColdLimitRequests: 64,
			Sequence: p.sequence,
		})
	}
	p.core.SetConfigAge(0)
}

// reserve sends one request, from each account in turn, and returns its dispatch id.
func (p *benchPool) reserve() string {
	p.nextID++
	id := fmt.Sprintf("dispatch-%d", p.nextID)
	p.core.Reserve(p.now, &wirepb.Reserve{
		DispatchId: id, Account: fmt.Sprintf("account-%04d", p.nextID%p.accounts), Service: "svc", FailureDomain: "x", Model: "m",
		Urgency: "normal", DeadlineMs: 3_600_000, PromptTokens: 1000, MaxOutputTokens: 400, Entry: "p0", EntryIncarnation: 1,
	})
	return id
}

// progress reports a step of a granted dispatch.
func (p *benchPool) progress(id string, step wirepb.Progress_Step, g *wirepb.Grant) {
	m := g.GetMembers()[0]
	p.core.Progress(p.now, &wirepb.Progress{
		DispatchId: id, Service: "svc", FailureDomain: "x", Step: step, ElapsedMs: 20, OutputTokens: 400,
		Backend: m.GetBackend(), Boot: m.GetBoot(),
	})
}

// finish completes all dispatches granted since the last TakeActions and returns their
// number.
func (p *benchPool) finish() int {
	n := 0
	for _, a := range p.core.TakeActions() {
		g := a.Envelope.GetGrant()
		if g == nil {
			continue
		}
		n++
		for _, step := range []wirepb.Progress_Step{
			wirepb.Progress_STEP_STARTED, wirepb.Progress_STEP_FIRST_TOKEN, wirepb.Progress_STEP_DONE,
		} {
			p.progress(a.DispatchID, step, g)
		}
	}
	return n
}

// request runs one request from Reserve to its end, with the share of ticks and
// announcements at a dispatcher that gets 82 requests/s: 490 requests/s of a failure
// domain, divided over six pools.
func (p *benchPool) request() {
	const perSecond = 82
	before := p.now
	p.now += time.Second / perSecond
	p.reserve()
	p.finish()
	p.core.Tick(p.now)
	if p.now/announce.Interval != before/announce.Interval {
		p.announce()
	}
}

// fill occupies all slots of the pool and queues n requests, so that each completion is
// followed by a choice among the queued requests.
func (p *benchPool) fill(b *testing.B, n int) {
	granted := 0
	for p.core.sortedPools[0].queue.size < n || n == 0 {
		p.reserve()
		for _, a := range p.core.TakeActions() {
			g := a.Envelope.GetGrant()
			if g == nil {
				b.Fatalf("refused after %d grants with %d queued: %v", granted, p.core.sortedPools[0].queue.size, a.Envelope)
			}
			granted++
			p.progress(a.DispatchID, wirepb.Progress_STEP_STARTED, g)
			p.progress(a.DispatchID, wirepb.Progress_STEP_FIRST_TOKEN, g)
		}
		if n == 0 {
			return
		}
	}
}

// BenchmarkRequestByBackends measures the time of the core per request for several
// numbers of backend servers in the pool.
func BenchmarkRequestByBackends(b *testing.B) {
	for _, n := range []int{10, 60, 200} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) { benchRequests(b, n, 10) })
	}
}

// BenchmarkRequestByAccounts measures the time of the core per request for several
// numbers of client accounts that send requests.
func BenchmarkRequestByAccounts(b *testing.B) {
	for _, n := range []int{10, 200, 2200} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) { benchRequests(b, 10, n) })
	}
}

// benchRequests runs one request per iteration after each account has sent one.
func benchRequests(b *testing.B, backends, accounts int) {
	p := newBenchPool(b, backends, accounts)
	for range accounts {
		p.request()
	}
	b.ResetTimer()
	for range b.N {
		p.request()
	}
}

// BenchmarkRequestByQueue measures the time of one Reserve and the completion of another
// request for several numbers of queued requests.
func BenchmarkRequestByQueue(b *testing.B) {
	for _, accounts := range []int{10, 2200} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("accounts=%d/queued=%d", accounts, n), func(b *testing.B) {
				p := newBenchPool(b, 10, accounts)
				p.fill(b, n)
				running := p.running()
				b.ResetTimer()
				for range b.N {
					p.reserve()
					d := running[0]
					running = running[1:]
					p.core.Progress(p.now, &wirepb.Progress{
						DispatchId: d.id, Service: "svc", FailureDomain: "x", Step: wirepb.Progress_STEP_DONE, ElapsedMs: 20,
						OutputTokens: 400, Backend: d.members[0].backend.id, Boot: 1,
					})
					for _, a := range p.core.TakeActions() {
						if g := a.Envelope.GetGrant(); g != nil {
							p.progress(a.DispatchID, wirepb.Progress_STEP_STARTED, g)
							p.progress(a.DispatchID, wirepb.Progress_STEP_FIRST_TOKEN, g)
							running = append(running, p.core.dispatches[a.DispatchID])
						}
					}
					if len(running) == 0 {
						b.Fatal("no request is running")
					}
				}
				b.ReportMetric(float64(p.core.sortedPools[0].queue.size), "queued-at-end")
			})
		}
	}
}

// running returns the granted dispatches in order of arrival.
func (p *benchPool) running() []*dispatch {
	var out []*dispatch
	for _, d := range p.core.dispatchesByArrival() {
		if len(d.members) > 0 {
			out = append(out, d)
		}
	}
	return out
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkDispatchMemory measures the heap of the core per backend server, client
// account and queued request.
func BenchmarkDispatchMemory(b *testing.B) {
	for _, n := range []int{1000, 3000, 10_000} {
		for _, what := range []string{"backend", "account", "queued"} {
			b.Run(fmt.Sprintf("%s/n=%d", what, n), func(b *testing.B) {
				for range b.N {
					before := heapInUse()
					var p *benchPool
					switch what {
					case "backend":
						p = newBenchPool(b, n, 1)
					case "account":
						p = newBenchPool(b, 1, n)
						for i := range n {
							p.core.sortedPools[0].queue.account(fmt.Sprintf("account-%04d", i))
						}
					case "queued":
						p = newBenchPool(b, 1, 10)
						p.fill(b, n)
					}
					b.ReportMetric((heapInUse()-before)/float64(n), "heap-B/item")
					runtime.KeepAlive(p)
				}
			})
		}
	}
}
