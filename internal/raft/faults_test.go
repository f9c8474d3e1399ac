package raft

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/wirepb"
)

// Guards against wrong behaviour in the single fault cases under testdata. Each
// directive runs against one simulated cluster and prints the first violation
// of an invariant, if any.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				var voters []string
				for _, a := range d.CmdArgs {
					voters = append(voters, a.Key)
				}
				s = newSim(1, disabled{}, voters...)
				return ""
			}
			out := s.command(t, d)
			if s.err != nil {
				return s.err.Error() + "\n"
			}
			return out
		})
	})
}

func outcome(err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	return ""
}

// command runs one directive. Hosts are the arguments without a value.
func (s *sim) command(t *testing.T, d *datadriven.TestData) string {
	var hosts []*host
	for _, a := range d.CmdArgs {
		if h := s.host(a.Key); h != nil && len(a.Vals) == 0 {
			hosts = append(hosts, h)
		}
	}
	switch d.Cmd {
	case "run":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		s.run(time.Duration(ms) * time.Millisecond)
	case "elect":
		return outcome(s.elect(hosts[0].id))
	case "transfer":
		return outcome(s.leader().n.TransferLeadership(hosts[0].id, s.now(s.leader())))
	case "put":
		return outcome(s.put(d.CmdArgs[0].Key))
	case "fill":
		var count int
		d.ScanArgs(t, "n", &count)
		for i := 0; i < count && s.err == nil; i++ {
			if err := s.propose(s.leader(), fmt.Sprint("fill-", i)); err != nil {
				return outcome(err)
			}
			s.run(5 * simLatency)
		}
	case "restored":
		return fmt.Sprintf("%d snapshots\n", s.restored)
	case "propose":
		return outcome(s.propose(hosts[0], d.CmdArgs[1].Key))
	case "change":
		return s.changeCommand(t, d)
	case "net":
		d.MaybeScanArgs(t, "loss", &s.loss)
		d.MaybeScanArgs(t, "dup", &s.dup)
		d.MaybeScanArgs(t, "delay", &s.delay)
	case "cut":
		s.cut[[2]string{hosts[0].id, hosts[1].id}] = true
	case "heal":
		s.heal()
	case "settle":
		return outcome(s.settle())
	case "status":
		return s.status(hosts)
	default:
		return s.hostCommand(t, d, hosts)
	}
	return ""
}

func (s *sim) hostCommand(t *testing.T, d *datadriven.TestData, hosts []*host) string {
	for _, h := range hosts {
		switch d.Cmd {
		case "isolate":
			s.isolate(h.id)
		case "crash":
			s.crash(h)
		case "start":
			s.start(h)
		case "compact":
			s.compact(h)
		case "nosync":
			h.noSync = true
		case "sync":
			h.noSync = false
		case "jump":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			h.offset += time.Duration(ms) * time.Millisecond
		default:
			d.Fatalf(t, "unknown directive %s", d.Cmd)
		}
	}
	return ""
}

// changeCommand proposes a membership change at the leader. The argument new
// starts a replica with an empty disk.
func (s *sim) changeCommand(t *testing.T, d *datadriven.TestData) string {
	kinds := map[string]ChangeKind{"add": AddLearner, "promote": Promote, "remove": Remove, "replace": Replace}
	c := Change{Kind: kinds[d.CmdArgs[0].Key]}
	var added string
	d.MaybeScanArgs(t, "id", &c.ID)
	d.MaybeScanArgs(t, "new", &added)
	if added != "" && s.host(added) == nil {
		s.join(added)
	}
	if added != "" {
		c.Replica = &wirepb.Replica{Id: added}
	}
	return outcome(s.change(s.leader(), c))
}

func (s *sim) status(hosts []*host) string {
	var b strings.Builder
	for _, h := range hosts {
		if h.n == nil {
			fmt.Fprintf(&b, "%s: stopped\n", h.id)
			continue
		}
		st := h.n.Status(s.now(h))
		fmt.Fprintf(&b, "%s: %s term=%d leader=%s lease=%v commit=%d voters=%v learners=%v repair_incomplete=%v rejected=%v\n",
			h.id, st.Role, st.Term, st.Leader, st.LeaseValid, st.Commit, st.Voters, st.Learners, st.RepairIncomplete, st.Rejected)
	}
	return b.String()
}
