package peers

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/wirepb"
)

// Guards against entry processes in the ranking that are dead, draining or an older
// incarnation. Lines: beat ID DOMAIN INCARNATION [draining], wait DURATION, drain
// (the local process). The output is the ranking and the processes returned as lost
// and as unconfirmed (unheard).
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		table, now := New(Peer{ID: "e0", FailureDomain: "x", Incarnation: 1}), time.Duration(0)
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			var lost []Lost
			switch f[0] {
			case "beat": // beat id domain incarnation [draining]
				info := &wirepb.PeerInfo{Id: f[1], FailureDomain: f[2], Draining: len(f) > 4}
				if _, err := fmt.Sscan(f[3], &info.Incarnation); err != nil {
					t.Fatal(err)
				}
				lost = table.HandleHeartbeat(now, &wirepb.PeerHeartbeat{Self: info, Known: []*wirepb.PeerInfo{{Id: "e9", FailureDomain: "y"}}})
			case "wait":
				step, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now += step
				lost = table.Expire(now)
			case "drain":
				table.SetDraining(true)
			}
			fmt.Fprintf(&out, "%s:", strings.TrimSpace(line))
			for _, p := range table.Ranking("x", "svc") {
				fmt.Fprintf(&out, " %s/%d", p.ID, p.Incarnation)
			}
			fmt.Fprintf(&out, " lost %v unheard %d\n", lost, len(table.Unconfirmed()))
		}
		return out.String()
	})
}

// Guards against a ranking that moves more pools than those of a lost process,
// against processes that rank differently although their tables are the same, and
// against an uneven distribution of pools.
func TestRendezvous(t *testing.T) {
	build := func(self int, without int) *Table {
		table := New(Peer{ID: fmt.Sprint("e", self), FailureDomain: "x"})
		for i := range 6 {
			if i != without {
				table.HandleHeartbeat(0, &wirepb.PeerHeartbeat{Self: &wirepb.PeerInfo{Id: fmt.Sprint("e", i), FailureDomain: "x"}})
			}
		}
		return table
	}
	a, b, withoutE5 := build(0, -1), build(1, -1), build(0, 5)
	poolCount := map[string]int{}
	for i := range 600 {
		service := fmt.Sprint("s", i)
		p, _ := a.Dispatcher("x", service)
		q, _ := b.Dispatcher("x", service)
		r, _ := withoutE5.Dispatcher("x", service)
		if p.ID != q.ID {
			t.Fatalf("%s: %s and %s", service, p.ID, q.ID)
		}
		if p.ID != "e5" && r.ID != p.ID {
			t.Fatalf("%s moved from %s to %s without cause", service, p.ID, r.ID)
		}
		poolCount[p.ID]++
	}
	for id, n := range poolCount {
		if n < 50 || n > 150 {
			t.Errorf("%s dispatches %d of 600 pools", id, n)
		}
	}
}

func heartbeatTo(t *Table, address string) *wirepb.PeerHeartbeat {
	return t.OutgoingHeartbeats([]string{address})[address]
}

// Guards against sending the list of known processes in each heartbeat, where the
// traffic grows with the cube of the number of processes, and against a process
// that is not discovered because a list was left out.
func TestKnownListOnlyWhenItDiffers(t *testing.T) {
	tables := map[string]*Table{}
	join := func(id string) {
		tables[id] = New(Peer{ID: id, Address: "at-" + id, FailureDomain: "x", Incarnation: 1})
	}
	// exchange delivers a heartbeat and its reply, and returns the number of list
	// entries sent.
	exchange := func(from, to string) int {
		m := heartbeatTo(tables[from], "at-"+to)
		tables[to].HandleHeartbeat(0, m)
		reply := heartbeatTo(tables[to], "at-"+from)
		tables[from].HandleHeartbeat(0, reply)
		return len(m.Known) + len(reply.Known)
	}
	// round makes each process exchange heartbeats with the live and the unconfirmed
	// processes of its table, and returns the number of list entries sent.
	round := func() (entries int) {
		for from, table := range tables {
			for _, p := range append(table.Live(), table.Unconfirmed()...) {
				if p.ID != from {
					entries += exchange(from, p.ID)
				}
			}
		}
		return entries
	}
	requireConverged := func(n int) {
		for range 5 {
			round()
		}
		for id, table := range tables {
			if got := len(table.Live()); got != n {
				t.Fatalf("%s has %d of %d processes in its table", id, got, n)
			}
		}
		if entries := round(); entries > 0 {
			t.Fatalf("%d entries sent among %d processes with equal tables", entries, n)
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		join(id)
	}
	exchange("b", "a")
	exchange("c", "a")
	exchange("d", "c")
	requireConverged(4)
	// A process that contacts only one of them is discovered by all.
	join("e")
	exchange("e", "d")
	requireConverged(5)
	// A process that states no digest receives the list with each heartbeat.
	m := heartbeatTo(tables["a"], "at-b")
	tables["b"].HandleHeartbeat(0, &wirepb.PeerHeartbeat{Self: m.Self})
	if got := len(heartbeatTo(tables["b"], "at-a").Known); got != 4 {
		t.Fatalf("%d entries for a process without digest, want 4", got)
	}
}
