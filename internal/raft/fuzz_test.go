package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// violableByPeer lists the invariants that a faulty sender can violate, by
// claiming to be a second leader or to hold different committed entries.
var violableByPeer = []string{
	"raft_one_leader_per_term", "raft_leader_completeness", "raft_log_matching", "raft_committed_unchanged",
}

// input decodes test actions and messages from fuzz data.
type input struct{ data []byte }

// next returns a number below limit, or 0 at the end of the data.
func (in *input) next(limit int) int {
	if len(in.data) == 0 {
		return 0
	}
	b := in.data[0]
	in.data = in.data[1:]
	return int(b) % limit
}

// number returns mostly small numbers, and some close to the largest uint64.
func (in *input) number() uint64 {
	if v := in.next(32); v < 30 {
		return uint64(v)
	}
	return ^uint64(0) >> in.next(4)
}

func (in *input) id() string { return []string{"a", "b", "c", "d", ""}[in.next(5)] }

func (in *input) membership() *wirepb.Membership {
	m := &wirepb.Membership{}
	for range in.next(4) {
		m.Voters = append(m.Voters, &wirepb.Replica{Id: in.id()})
	}
	for range in.next(2) {
		m.Learners = append(m.Learners, &wirepb.Replica{Id: in.id()})
	}
	for range in.next(2) {
		m.Retired = append(m.Retired, in.id())
	}
	return m
}

func (in *input) message() *wirepb.RaftMessage {
	m := &wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_Kind(in.next(11)), From: in.id(), To: "a", Term: in.number(),
		LogIndex: in.number(), LogTerm: in.number(), Commit: in.number(), Reject: in.next(2) == 0,
		HintIndex: in.number(), Round: in.number(),
	}
	if in.next(8) > 0 { // in most messages, keep one leader per term
		m.From = []string{"b", "c"}[m.Term%2]
	}
	index := m.LogIndex
	for range in.next(4) {
		index++
		e := &wirepb.LogEntry{Index: index, Term: m.Term, Kind: wirepb.LogEntry_KIND_COMMAND}
		if in.next(4) == 0 {
			e.Kind, e.Term = wirepb.LogEntry_Kind(in.next(5)), in.number()
			e.Data, _ = proto.Marshal(in.membership())
		}
		m.Entries = append(m.Entries, e)
	}
	if in.next(4) == 0 {
		m.Snapshot = &wirepb.Snapshot{Index: in.number(), Term: in.number(), Membership: in.membership()}
	}
	return m
}

// FuzzStep guards against messages of a faulty peer that crash a replica: they
// must be dropped unless they contradict the log itself.
func FuzzStep(f *testing.F) {
	for seed := range byte(16) {
		data := make([]byte, 4096)
		_, _ = rand.NewChaCha8([32]byte{seed}).Read(data)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		defer invariant.SetHandler(func(string, string) {})()
		defer func() {
			p := fmt.Sprint(recover())
			allowed := func(name string) bool { return strings.HasPrefix(p, "invariant "+name+" ") }
			if p != "<nil>" && !slices.ContainsFunc(violableByPeer, allowed) {
				t.Fatal(p)
			}
		}()
		fuzzNode(&input{data})
	})
}

// fuzzNode runs the actions encoded in the input on one replica.
func fuzzNode(in *input) {
	s := newSim(1, disabledMechanisms{}, "a", "b", "c")
	node, now := s.host("a").node, time.Duration(0)
	for len(in.data) > 0 {
		now += time.Duration(in.next(60)) * time.Millisecond
		switch in.next(8) {
		case 0:
			node.Tick(now)
		case 1:
			_, _, _ = node.Propose([]byte("x"), now)
		case 2:
			_, _, _ = node.ProposeMembership(Change{Kind: ChangeKind(in.next(6)), ID: in.id(), Replica: &wirepb.Replica{Id: in.id()}}, now)
		case 3:
			_ = node.TransferLeadership(in.id(), now)
		default:
			node.Step(in.message(), now)
		}
		if node.HasReady() && in.next(2) == 0 {
			node.Advance(node.Ready().Persisted())
		}
		node.Status(now)
	}
}
