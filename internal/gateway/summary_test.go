package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/wirepb"
)

// addPeers makes the gateway know others, n in each failure domain, which aren't there.
func (s *setup) addPeers(n int, domains ...string) {
	s.g.members.mu.Lock()
	defer s.g.members.mu.Unlock()
	for _, d := range domains {
		for i := range n {
			s.g.members.recordGateway(&wirepb.GatewayInfo{
				Id: fmt.Sprint(d, "-", i), FailureDomain: d, Address: "127.0.0.1:9", Relays: true, Incarnation: 1,
			}, bootclock.Now())
		}
	}
}

// With hundreds of gateways, a busy engine of another failure domain must look busy from
// a summary, and idle again when its work has ended, although no load share about it
// arrives here.
func TestSummaryStandsForWorkElsewhere(t *testing.T) {
	s := newSetup(t)
	now := bootclock.Now()
	busy := s.announce("busy", "model", "b", "10.0.0.1:80")
	works := []enginemodel.Work{
		{Request: 1, SentMs: ms(now) - 900, PromptTokens: 5000, PartTokens: 5000, OutputTokens: 1000, Decoding: true, DoneMs: ms(now) - 500, PauseMs: 300},
		{Request: 2, SentMs: ms(now) - 100, PromptTokens: 90_000, PartTokens: 30_000, OutputTokens: 700, PauseMs: 800, ObjectiveMs: 1500},
		{Request: 3, SentMs: ms(now) - 300, PromptTokens: 90_000, PartTokens: 10_000, Helper: true, HeldTokens: 7, ObjectiveMs: 4000},
		{Request: 4, Ended: true, DoneMs: ms(now)},
	}
	message := func(sequence uint64, works []enginemodel.Work) *wirepb.LoadShare {
		// Over the wire, as another gateway receives it.
		data, err := proto.Marshal(&wirepb.LoadShare{Summary: &wirepb.LoadSummary{
			FailureDomain: "b", Incarnation: 7, Sequence: sequence,
			Backends: []*wirepb.BackendSummary{summarize(busy.Key(), works, ms(now))},
		}})
		if err != nil {
			t.Fatal(err)
		}
		out := &wirepb.LoadShare{}
		if err := proto.Unmarshal(data, out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	known := func() []enginemodel.Work {
		s.g.workTable.mu.Lock()
		defer s.g.workTable.mu.Unlock()
		return s.g.workTable.remoteWorks("b", busy.Key(), s.g.workTable.works(bootclock.Now())[busy.Key()], bootclock.Now())
	}
	// predicted is the predicted time to the first event of another request there.
	predicted := func(list []enginemodel.Work) float64 {
		return enginemodel.NewLoad(testSpec, list, ms(bootclock.Now()), 1).FirstEventMs(1000, 1000)
	}
	s.g.receiveShare(message(2, works))
	got := known()
	if n, parts := openRequests(got), len(got); n != 2 || parts != 3 {
		t.Fatalf("%d open requests and %d works, want 2 and 3", n, parts)
	}
	if p, exact, idle := predicted(got), predicted(works), predicted(nil); p < (exact+idle)/2 || p > 2*exact {
		t.Errorf("predicted %.1f ms from the summary, %.1f ms from the works, %.1f ms for an idle engine", p, exact, idle)
	}
	if got[0].HeldTokens != 7 {
		t.Errorf("held tokens %v", got[0].HeldTokens)
	}
	// Work that was sent from here after the summary counts beside it.
	s.g.workTable.mu.Lock()
	s.g.workTable.add(&job{backend: busy.Key(), sent: bootclock.Now(), work: enginemodel.Work{SentMs: ms(bootclock.Now())}})
	s.g.workTable.mu.Unlock()
	if n := openRequests(known()); n != 3 {
		t.Errorf("%d open requests with one sent from here", n)
	}
	s.g.receiveShare(message(1, nil)) // delayed
	if n := openRequests(known()); n != 3 {
		t.Errorf("%d open requests after a delayed summary", n)
	}
	time.Sleep(summaryDelay + 20*time.Millisecond)
	s.g.receiveShare(message(3, nil))
	if n := openRequests(known()); n != 0 {
		t.Errorf("%d open requests after a summary without work", n)
	}
}

// Summaries that say nothing about another failure domain must not change anything.
func TestInvalidSummaries(t *testing.T) {
	s := newSetup(t)
	before := sharesInvalid.Get()
	s.g.receiveShare(&wirepb.LoadShare{Summary: &wirepb.LoadSummary{Sequence: 1}})
	s.g.receiveShare(&wirepb.LoadShare{Summary: &wirepb.LoadSummary{FailureDomain: "a", Sequence: 1}})
	s.g.receiveShare(&wirepb.LoadShare{})
	if n := sharesInvalid.Get() - before; n != 3 || len(s.g.workTable.summaries) != 0 {
		t.Errorf("%d messages counted as invalid, %d summaries kept", n, len(s.g.workTable.summaries))
	}
}

// TestRemoteCandidatesAreSampled guards against a herd: gateways that all choose on the
// same summary must not all find the same engine of another failure domain best, each
// engine must be a candidate in one other failure domain, and a failure domain without
// engines of its own must find enough of them elsewhere.
func TestRemoteCandidatesAreSampled(t *testing.T) {
	s := newSetup(t)
	var list []candidate
	for _, d := range []string{"a", "b", "c"} {
		for i := range 20 {
			b := s.announce(fmt.Sprint(d, i), "model", d, fmt.Sprintf("10.0.0.%d:8%s", i, d))
			list = append(list, candidate{server: b, key: b.Key()})
		}
	}
	domains := []string{"a", "b", "c"}
	seenIn := map[string]string{}
	for _, domain := range domains {
		for range 200 {
			local, remote := 0, 0
			for _, c := range sampleRemote(list, domain, domains) {
				if c.server.FailureDomain == domain {
					local++
					continue
				}
				remote++
				if other := seenIn[c.server.ID]; other != "" && other != domain {
					t.Fatalf("%s is a candidate in %s and in %s", c.server.ID, domain, other)
				}
				seenIn[c.server.ID] = domain
			}
			if local != 20 || remote != 2*remoteSample {
				t.Fatalf("%d local and %d remote candidates", local, remote)
			}
		}
	}
	if len(seenIn) != 60 {
		t.Errorf("%d of 60 engines were ever candidates in another failure domain", len(seenIn))
	}
	elsewhere := slices.DeleteFunc(list, func(c candidate) bool { return c.server.FailureDomain == "a" })
	if n := len(sampleRemote(elsewhere, "a", domains)); n != 2*remoteSampleAlone {
		t.Errorf("%d candidates without any in the own failure domain", n)
	}
}

// With hundreds of gateways in one failure domain, ends and first events are sent to one
// of two gateways that all of them agree on, and from there in batches.
func TestProgressIsBatched(t *testing.T) {
	s := newSetup(t)
	s.addPeers(60, "a", "b", "c")
	if !s.g.members.isLocalDetail() {
		t.Fatal("load shares of 181 gateways don't stay within the failure domain")
	}
	var b shareBatch
	if !b.add(&wirepb.LoadShare{Gateway: "a-1", Incarnation: 1, Sequence: 2}) {
		t.Error("not the first of a batch")
	}
	for _, late := range []*wirepb.LoadShare{
		{Gateway: "a-1", Incarnation: 1, Sequence: 1, Running: []*wirepb.RunningShare{{}}},
		{Gateway: "a-2", Incarnation: 1, Sequence: 1},
		{Gateway: "a-2", Incarnation: 1, Sequence: 5, Running: make([]*wirepb.RunningShare, maxSharedJobs)},
	} {
		if b.add(late) {
			t.Error("the first of a batch again")
		}
	}
	shares := 0
	for _, m := range b.take() {
		for _, share := range m.GetBatch() {
			shares++
			if want := map[string]uint64{"a-1": 2, "a-2": 5}[share.GetGateway()]; share.GetSequence() != want {
				t.Errorf("load share %d of %s, want %d", share.GetSequence(), share.GetGateway(), want)
			}
		}
	}
	if shares != 2 || len(b.take()) != 0 {
		t.Errorf("%d load shares in the batch", shares)
	}
	// Summaries and batches of each failure domain are sent by two gateways.
	senders := 0
	for i := range 60 {
		other := newSetup(t)
		other.g.settings.ID = fmt.Sprint("a-", i)
		other.addPeers(60, "a")
		if other.g.members.isSummarySender() {
			senders++
		}
	}
	if senders != summarySenders {
		t.Errorf("%d gateways send summaries", senders)
	}
}

// TestNewWorkIsNotBatched answers the pattern of a burst of short prompts before hundreds
// of gateways: new work must reach the gateways of the failure domain at once, and not by
// way of the gateway that collects load shares.
func TestNewWorkIsNotBatched(t *testing.T) {
	s := newSetup(t)
	s.addPeers(60, "b", "c", "d")
	const peers = 5
	isPeer := map[netip.AddrPort]bool{}
	for i := range peers {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
		isPeer[at] = true
		s.g.members.mu.Lock()
		s.g.members.recordGateway(&wirepb.GatewayInfo{
			Id: fmt.Sprint("a-", i), FailureDomain: "a", Address: at.String(), Relays: true, Incarnation: 1,
		}, bootclock.Now())
		s.g.members.mu.Unlock()
	}
	var mu sync.Mutex
	sent := map[netip.AddrPort]bool{}
	s.g.sendDatagram = func(_ []byte, to netip.AddrPort) error {
		mu.Lock()
		defer mu.Unlock()
		if isPeer[to] {
			sent[to] = true
		}
		return nil
	}
	received := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		n = len(sent)
		clear(sent)
		return n
	}
	s.g.sendShare(1, true)
	if n := received(); n != peers {
		t.Errorf("new work was sent to %d of %d gateways at once", n, peers)
	}
	s.g.sendShare(2, false)
	if n := received(); n > 1 {
		t.Errorf("progress was sent to %d gateways at once", n)
	}
}
