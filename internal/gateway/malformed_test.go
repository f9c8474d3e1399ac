package gateway

import (
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wirepb"
)

// Guards against a datagram of another process that ends this one, takes its memory, or
// keeps requests from a backend server: counts beyond all engines, rates that are no
// numbers, ages beyond the start of the process, bytes that are no message.
func TestMalformedSharesAreHarmless(t *testing.T) {
	s := newSetup(t)
	b := s.add("server-1", "plain", "b", echo)
	var err error
	if s.g.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	defer s.g.udp.Close()
	go s.g.receiveShares()
	sender, err := net.Dial("udp", s.g.udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	most := uint32(math.MaxUint32)
	for _, m := range []*wirepb.LoadShare{
		{Summary: &wirepb.LoadSummary{FailureDomain: "b", Sequence: 1, Backends: []*wirepb.BackendSummary{
			{Backend: b.Key(), Writing: most, Parts: most, HelperParts: most, WritingPromptTokens: most, WritingMs: most, PartAgeMs: most, HeldTokens: most},
		}}},
		{Gateway: "gateway-2", Sequence: 1, RequestLimits: []*wirepb.RequestLimit{
			{Backend: b.Key(), PerSecond: math.NaN(), SinceMs: most}, {Backend: b.Key(), PerSecond: math.Inf(1)}, {Backend: b.Key(), PerSecond: -1, AgeMs: most},
		}},
		{Gateway: "gateway-2", Sequence: 2, CrashEvidence: &wirepb.CrashEvidence{
			Crashes: []*wirepb.CrashReport{{Backend: b.Key(), AgeMs: most, Features: make([]uint64, 5000)}}, Served: []*wirepb.ServedFeature{{AgeMs: most}},
		}},
		{Gateway: "gateway-2", Sequence: 3, Running: []*wirepb.RunningShare{{Backend: b.Key(), AgeMs: most, PromptTokens: most, WritingMs: most, Writing: true}}},
		{Batch: []*wirepb.LoadShare{{}, {Gateway: "gateway-3", Batch: []*wirepb.LoadShare{{}}}}},
	} {
		data := mustMarshal(t, m)
		for _, cut := range []int{len(data), len(data) / 2, 1} {
			_, _ = sender.Write(data[:cut])
		}
	}
	time.Sleep(100 * time.Millisecond)
	s.g.workTable.mu.Lock()
	works := s.g.workTable.remoteWorks("b", b.Key(), nil, bootclock.Now())
	s.g.workTable.mu.Unlock()
	if len(works) > 10*maxSummarizedWorks {
		t.Errorf("%d works stand for a summary", len(works))
	}
	for range 5 {
		s.status(http.StatusOK, "/safe/x")
	}
}

// Guards against a process that ends because the code that merges a message panics.
func TestPanicWhileMergingIsContained(t *testing.T) {
	s := newSetup(t)
	s.g.workTable.others = nil // a write to this map panics
	s.g.receiveDatagram(mustMarshal(t, &wirepb.LoadShare{Gateway: "gateway-2", Sequence: 1}))
	s.g.workTable.others = map[string]*share{}
	s.add("server-1", "plain", "b", echo)
	s.status(http.StatusOK, "/safe/x")
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func decodeShare(t *testing.T, data []byte) *wirepb.LoadShare {
	t.Helper()
	s := &wirepb.LoadShare{}
	if err := proto.Unmarshal(data, s); err != nil {
		t.Fatal(err)
	}
	return s
}
