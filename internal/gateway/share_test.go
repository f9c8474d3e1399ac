package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/wirepb"
)

// New work must be shared at once, so that the other gateways don't choose the
// same engine. First events and ends must go along with it or follow a little
// later: a datagram for each of them would go to every other gateway.
func TestProgressSharesAreCoalesced(t *testing.T) {
	s := newSetup(t)
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if s.g.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	defer s.g.udp.Close()
	s.g.members.mu.Lock()
	s.g.members.recordGateway(&wirepb.GatewayInfo{Id: "gateway-2", FailureDomain: "a", Address: other.LocalAddr().String()}, bootclock.Now())
	s.g.members.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.g.sendShares(ctx)

	received := func(within time.Duration) int {
		n, buf := 0, make([]byte, 4096)
		_ = other.SetReadDeadline(time.Now().Add(within))
		for {
			if _, _, err := other.ReadFrom(buf); err != nil {
				return n
			}
			n++
		}
	}
	var jobs []*job
	for i := range 10 {
		j := &job{backend: uint64(i), work: enginemodel.Work{PromptTokens: 10, PartTokens: 10}}
		s.g.workTable.mu.Lock()
		s.g.workTable.add(j)
		s.g.workTable.mu.Unlock()
		jobs = append(jobs, j)
	}
	if n := received(5 * batchDelay); n == 0 {
		t.Error("new work is not shared at once")
	}
	received(2 * progressDelay)
	for _, j := range jobs {
		s.g.workTable.markDecoding(j, nil, bootclock.Now())
		s.g.workTable.remove(j)
		time.Sleep(time.Millisecond)
	}
	if n := received(3 * progressDelay); n == 0 || n > 2 {
		t.Errorf("%d datagrams for 20 changes within %s, expected one or two", n, progressDelay)
	}
}
