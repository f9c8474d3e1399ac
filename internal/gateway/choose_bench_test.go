package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// BenchmarkChoose measures one choice among 78 backend servers with 12 slots behind 75
// gateways, with half of the slots in use. A gateway makes it for each request on a
// fraction of a core.
func BenchmarkChoose(b *testing.B) {
	const servers, gateways, slots = 78, 75, 12
	spec := &manifest.Engine{
		Slots: slots, CapacityTokens: 405_000, StepMs: 1.31, PerSequenceMs: 0.000917, ContextMsPerThousand: 0.00213,
		PrefillTokensPerSecond: 154_000, PairsMsPerMillion: 0.162, ChunkTokens: 2048, Stride: 34,
	}
	for name, c := range map[string]struct {
		route  int
		prompt int64
	}{"plain": {0, 0}, "short": {2, 5_000}, "long": {2, 45_000}} {
		b.Run(name, func(b *testing.B) {
			g := New(Settings{ID: "gateway-0", FailureDomain: "a", AnnounceMs: 1000}, testDialect{}, zap.NewNop())
			defer g.cancel()
			version := testVersion(b, 1)
			g.sync = &testConfig{version: version}
			route := version.Manifest.Routing.Routes[c.route]
			service := version.Manifest.Routing.Service(route.Targets[0].Service)
			if service.Engine != nil {
				service.Engine = spec
			}
			now := bootclock.Now()
			for i := range servers {
				g.members.table.Merge(fleet.BackendServer{
					ID: fmt.Sprintf("server-%02d", i), Service: service.Name, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
					FailureDomain: string(rune('a' + i%3)), Slots: slots, BornMs: 1, Sequence: 1, SeenAt: now + time.Hour,
				})
			}
			list, _ := g.members.backends()
			for i := range gateways - 1 {
				id := fmt.Sprintf("gateway-%d", i+1)
				g.members.gateways[id] = &gatewayEntry{info: &wirepb.GatewayInfo{Id: id, FailureDomain: string(rune('a' + i%3))}}
				s := &share{incarnation: 1, sequence: 1, at: now, lifetime: time.Hour}
				for k := range servers * slots / 2 / gateways {
					w := enginemodel.Work{
						Request: uint64(i*100 + k), SentMs: ms(now), PromptTokens: 5_000, PartTokens: 5_000, OutputTokens: 300,
						Decoding: k%3 > 0, DoneMs: ms(now), PauseMs: 250, ObjectiveMs: 280, Value: 1,
					}
					s.jobs = append(s.jobs, job{backend: list[(i*6+k)%servers].Key(), sent: now, work: w})
				}
				g.workTable.others[id] = s
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := bootclock.Now()
				r := &request{version: version, route: &route, service: service, arrived: now, deadline: now + 10*time.Second, waited: 1}
				r.caller = CallerRequest{ID: "id", PromptTokens: c.prompt, ExpectedOutputTokens: 300}
				p, err := g.choose(r, service, nil)
				if err != nil {
					b.Fatal(err)
				}
				g.workTable.mu.Lock()
				for _, j := range append(p.helperJobs, p.job) {
					delete(g.workTable.local, j)
				}
				g.workTable.mu.Unlock()
			}
		})
	}
}
