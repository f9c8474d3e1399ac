package raft

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/wirepb"
)

// TestNewRefuses guards against a start from inconsistent durable state, or with
// a configuration that invalidates the lease.
func TestNewRefuses(t *testing.T) {
	valid := Config{ID: "a", ElectionTimeout: 100, HeartbeatInterval: 20, MaxClockDrift: 5, MaxInflightEntries: 1, MaxMessageBytes: 1}
	largeDrift, emptyWindow := valid, valid
	largeDrift.MaxClockDrift, emptyWindow.MaxInflightEntries = 50, 0
	gap := []*wirepb.LogEntry{{Index: 2, Term: 1, Kind: wirepb.LogEntry_KIND_EMPTY}}
	for cfg, init := range map[*Config]InitialState{
		&largeDrift: {}, &emptyWindow: {}, {}: {}, new(valid): {Entries: gap}, new(valid): {HardState: &wirepb.HardState{Commit: 1}},
		new(valid): {Snapshot: &wirepb.Snapshot{Index: 3, Term: 1}},
	} {
		if _, err := New(*cfg, init, 0); err == nil {
			t.Errorf("accepted %+v with %+v", *cfg, init)
		}
	}
}

// mechanisms maps the values of the argument without= in testdata to the
// mechanisms that they disable.
var mechanisms = map[string]disabledMechanisms{
	"preVote": {preVote: true}, "checkQuorum": {checkQuorum: true}, "stickiness": {stickiness: true},
	"learnerSync": {learnerSync: true}, "persistBeforeCount": {persistBeforeCount: true}, "retired": {retired: true},
	"leaseAfterCommit": {leaseAfterCommit: true}, "changeAfterCommit": {changeAfterCommit: true},
	"quietStart": {quietStart: true}, "stallGuard": {stallGuard: true},
}

// TestFaults guards against wrong behaviour in the individual fault cases under
// testdata. A scenario runs a script on a simulated cluster. A proof runs the
// script with and without a mechanism: with it, the invariants must hold, and
// the outputs of the two runs must differ, so that a proof that doesn't exercise
// its mechanism fails.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			voters := []string{"a", "b", "c"}
			if a, ok := d.Arg("voters"); ok {
				voters = a.Vals
			}
			with := newSim(1, disabledMechanisms{}, voters...)
			out := with.script(t, d)
			if with.err != nil {
				d.Fatalf(t, "%s", out)
			} else if d.Cmd != "proof" {
				return out
			}
			a, _ := d.Arg("without")
			without := newSim(1, mechanisms[a.Vals[0]], voters...).script(t, d)
			if without == out {
				d.Fatalf(t, "nothing changes without %s", a.Vals[0])
			}
			return "with:\n" + out + "without:\n" + without
		})
	})
}

// script runs one command per line until an invariant is violated. It returns
// the output of the commands and the errors that they return.
func (s *sim) script(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for line := range strings.Lines(d.Input) {
		if line[0] == '#' {
			continue
		}
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil {
			d.Fatalf(t, "%s: %v", line, err)
		}
		text, err := s.command(t, &datadriven.TestData{Pos: d.Pos, Cmd: cmd, CmdArgs: args})
		out.WriteString(text)
		if err = cmp.Or(s.err, err); err != nil {
			fmt.Fprintf(&out, "%s: %v\n", strings.TrimSpace(line), err)
		}
		if s.err != nil {
			break
		}
	}
	return out.String()
}

// command runs one command and returns its output. Arguments without a value
// name hosts.
func (s *sim) command(t *testing.T, d *datadriven.TestData) (string, error) {
	var hosts []*host
	for _, a := range d.CmdArgs {
		if h := s.host(a.Key); h != nil && len(a.Vals) == 0 {
			hosts = append(hosts, h)
		}
	}
	var number int
	for _, key := range []string{"ms", "n", "term"} {
		d.MaybeScanArgs(t, key, &number)
	}
	switch d.Cmd {
	case "run":
		s.run(time.Duration(number) * time.Millisecond)
	case "elect":
		return "", s.elect(hosts[0].id)
	case "transfer":
		return "", s.leader().node.TransferLeadership(hosts[0].id, s.now(s.leader()))
	case "put":
		return "", s.put(d.CmdArgs[0].Key)
	case "fill":
		return "", s.fill(number)
	case "propose":
		return "", s.propose(hosts[0], d.CmdArgs[1].Key)
	case "change":
		return "", s.changeCommand(t, d)
	case "net":
		d.MaybeScanArgs(t, "loss", &s.loss)
		d.MaybeScanArgs(t, "dup", &s.dup)
		d.MaybeScanArgs(t, "delay", &s.delay)
	case "cut":
		s.cut[[2]string{hosts[0].id, hosts[1].id}] = true
	case "heal":
		s.heal()
	case "settle":
		return "", s.settle()
	case "restored":
		return fmt.Sprintf("%d snapshots\n", s.restored), nil
	case "vote":
		m := &wirepb.RaftMessage{
			Kind: wirepb.RaftMessage_KIND_VOTE, From: hosts[0].id, To: hosts[1].id, Term: uint64(number),
			LogIndex: 1000, LogTerm: uint64(number) - 1,
		}
		s.recoverInvariant(func() { hosts[1].node.Step(m, s.now(hosts[1])) })
	default:
		return s.hostCommands(t, d, hosts, time.Duration(number)*time.Millisecond)
	}
	return "", nil
}

// hostCommands runs a command that applies to each of the given hosts and returns
// its output. The span is the value of the argument ms.
func (s *sim) hostCommands(t *testing.T, d *datadriven.TestData, hosts []*host, span time.Duration) (out string, err error) {
	for _, h := range hosts {
		switch d.Cmd {
		case "status":
			out += s.status(h)
		case "isolate":
			s.isolate(h.id)
		case "crash":
			s.crash(h)
		case "start":
			s.start(h)
		case "compact":
			s.compact(h)
		case "nosync", "sync":
			h.noSync = d.Cmd == "nosync"
		case "jump":
			h.offset += span
		case "campaign":
			for h.node.electionDeadline = h.node.now; h.node.role != Leader && s.err == nil && s.t < time.Minute; {
				s.tick(0)
			}
		case "undelivered":
			s.leader().node.ReportSnapshot(h.id, false, s.now(s.leader()))
		case "stall-after-vote":
			s.stallAfterVote(span / time.Duration(len(hosts)))
		default:
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
	}
	return out, nil
}

// changeCommand proposes a membership change at the leader, or at the host given
// by the argument at. The argument new starts a replica with an empty disk.
func (s *sim) changeCommand(t *testing.T, d *datadriven.TestData) error {
	arg := func(key string) (v string) {
		d.MaybeScanArgs(t, key, &v)
		return v
	}
	kinds := map[string]ChangeKind{"add": AddLearner, "promote": Promote, "remove": Remove, "replace": Replace}
	c := Change{Kind: kinds[d.CmdArgs[0].Key], ID: arg("id")}
	if id := arg("new"); id != "" {
		c.Replica = s.join(id)
	}
	return s.change(cmp.Or(s.host(arg("at")), s.leader()), c)
}

// status returns a line that describes the state of a host.
func (s *sim) status(h *host) string {
	if h.node == nil {
		return h.id + ": stopped\n"
	}
	st := h.node.Status(s.now(h))
	return fmt.Sprintf("%s: %s term=%d leader=%s lease=%v commit=%d voters=%v learners=%v repair_incomplete=%v retired=%v rejected=%v\n",
		h.id, st.Role, st.Term, st.Leader, st.LeaseValid, st.Commit, st.Voters, st.Learners, st.RepairIncomplete, st.SelfRetired, st.Rejected)
}

// elect runs the cluster until it has a leader, transfers leadership to the given
// host if it is not the leader, and fails unless that host then holds the lease.
func (s *sim) elect(id string) error {
	s.run(5 * simElection)
	if l := s.leader(); l != nil && l.id != id {
		_ = l.node.TransferLeadership(id, s.now(l))
		s.run(simElection)
	}
	if l := s.leader(); l == nil || l.id != id {
		s.fail("%s was not elected", id)
	}
	return s.err
}

// stallAfterVote runs the cluster for a duration, and stalls the disk of each
// candidate once its vote for itself is durable.
func (s *sim) stallAfterVote(d time.Duration) {
	for end := s.t + d; s.t < end && s.err == nil; s.tick(0) {
		for _, h := range s.hosts {
			h.noSync = h.noSync || h.node != nil && h.node.role == Candidate && h.node.durableTerm == h.node.term
		}
	}
}

// put proposes a command at the leader and fails unless it is acknowledged within
// one election timeout.
func (s *sim) put(cmd string) error {
	if err := s.propose(s.leader(), cmd); err != nil {
		return err
	}
	s.run(simElection)
	if s.acked[cmd] == 0 {
		s.fail("command %q was not acknowledged", cmd)
	}
	return s.err
}

// fill proposes one command per tick of 1 ms at the leader, which is faster than
// they are committed.
func (s *sim) fill(count int) error {
	for i := range count {
		if err := s.propose(s.leader(), fmt.Sprint("fill-", i)); err != nil {
			return err
		}
		s.tick(0)
	}
	return s.err
}
