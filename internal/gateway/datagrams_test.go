package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/wirepb"
)

// datagramNet connects gateways of one process and counts their datagrams. A gateway is
// created when the first datagram reaches it.
type datagramNet struct {
	t     *testing.T
	infos []*wirepb.GatewayInfo
	// engines are known to all gateways that are created later.
	engines []fleet.BackendServer
	// deliversAll is set if all datagrams are delivered, not only those that their
	// receiver sends on.
	deliversAll bool

	mu       sync.Mutex
	count    int
	gateways map[netip.AddrPort]*Gateway
	byAddr   map[netip.AddrPort]*wirepb.GatewayInfo
}

// newDatagramNet returns a network of n gateways in a number of failure domains.
func newDatagramNet(t *testing.T, n, domains int) *datagramNet {
	net := &datagramNet{t: t, gateways: map[netip.AddrPort]*Gateway{}, byAddr: map[netip.AddrPort]*wirepb.GatewayInfo{}}
	for i := range n {
		info := &wirepb.GatewayInfo{
			Id: fmt.Sprintf("gateway-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains), Incarnation: 1, Relays: true,
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
		}
		net.infos = append(net.infos, info)
		net.byAddr[netip.MustParseAddrPort(info.Address)] = info
	}
	return net
}

// gateway returns the gateway at an address.
func (n *datagramNet) gateway(at netip.AddrPort) *Gateway {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.gateways[at]; g != nil {
		return g
	}
	info := n.byAddr[at]
	g := New(Settings{ID: info.Id, FailureDomain: info.FailureDomain, ShareListen: info.Address, RetryWindowSeconds: 10}, testDialect{}, zap.NewNop())
	g.incarnation = info.Incarnation
	g.sendDatagram = n.send
	for _, other := range n.infos {
		g.members.recordGateway(other, bootclock.Now())
	}
	for _, e := range n.engines {
		g.members.table.Merge(e)
	}
	n.gateways[at] = g
	n.t.Cleanup(g.cancel)
	return g
}

// send counts and delivers a datagram.
func (n *datagramNet) send(data []byte, to netip.AddrPort) error {
	n.mu.Lock()
	n.count++
	n.mu.Unlock()
	if n.deliversAll || decodeShare(n.t, data).GetRelay() {
		n.gateway(to).receiveDatagram(data)
	}
	return nil
}

// take returns the number of datagrams since the last call.
func (n *datagramNet) take() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := n.count
	n.count = 0
	return count
}

// playRequests lets one gateway send requests to an engine of a failure domain, one after
// the other, each with a first event and an end, and returns the datagrams for each.
func (n *datagramNet) playRequests(g *Gateway, domain string, requests int) int {
	engine := fleet.BackendServer{ID: "engine-1", Service: "model", Address: "10.9.0.1:80", FailureDomain: domain, BornMs: 1, Sequence: 1}
	g.members.table.Merge(engine)
	n.take()
	for i := range requests {
		j := &job{backend: engine.Key(), domain: domain, sent: bootclock.Now(), work: enginemodel.Work{Request: uint64(i), PromptTokens: 100, PartTokens: 100}}
		g.workTable.mu.Lock()
		g.workTable.add(j)
		g.workTable.mu.Unlock()
		time.Sleep(2 * progressDelay)
		g.workTable.markDecoding(j, nil, bootclock.Now())
		time.Sleep(2 * progressDelay)
		g.workTable.remove(j)
		time.Sleep(2 * progressDelay)
	}
	time.Sleep(2 * batchInterval)
	return n.take() / requests
}

// Guards against load shares of one request that reach every gateway of every failure
// domain, several times: with hundreds of gateways they are most of the work of all. New
// work must reach the failure domains of its gateway and its engine; its first event and
// end may wait for the next batch there, and other failure domains read summaries. Below
// localDetailGateways, all gateways need the details.
func TestDatagramsPerRequest(t *testing.T) {
	const (
		domains  = 5
		requests = 4
	)
	for _, gateways := range []int{30, 300, 1000} {
		for _, engines := range []string{"domain-0", "domain-3"} {
			t.Run(fmt.Sprintf("%d gateways, engines in %s", gateways, engines), func(t *testing.T) {
				n := newDatagramNet(t, gateways, domains)
				g := n.gateway(netip.MustParseAddrPort(n.infos[0].Address))
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go g.sendShares(ctx)
				// Work was sent to all failure domains some time ago.
				g.workTable.mu.Lock()
				for d := range domains {
					g.workTable.usedDomains[fmt.Sprint("domain-", d)] = &domainUse{usedAt: bootclock.Now(), sharedAt: bootclock.Now()}
				}
				g.workTable.mu.Unlock()
				perDomain := gateways / domains
				// Each of new work, first event and end reaches two failure domains at most,
				// with some datagrams between those that collect them.
				limit := 4*gateways + 10
				if gateways >= localDetailGateways {
					limit = 3*2*perDomain + 20
				}
				count := n.playRequests(g, engines, requests)
				t.Logf("%d datagrams for a request", count)
				if count > limit || count < perDomain {
					t.Errorf("%d datagrams for a request, expected %d at most and %d at least", count, limit, perDomain)
				}
			})
		}
	}
}
