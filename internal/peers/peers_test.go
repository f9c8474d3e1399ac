package peers

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/wirepb"
)

// Guards against dead, old or draining entry processes in the ranking.
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
				lost = table.Heartbeat(now, &wirepb.PeerHeartbeat{Self: info, Known: []*wirepb.PeerInfo{{Id: "e9", FailureDomain: "y"}}})
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
			fmt.Fprintf(&out, " lost %v unheard %d\n", lost, len(table.Unheard()))
		}
		return out.String()
	})
}

// Guards against a ranking that moves more pools than those of a lost process,
// and against processes that rank differently with the same knowledge.
func TestRendezvous(t *testing.T) {
	build := func(self int, without int) *Table {
		table := New(Peer{ID: fmt.Sprint("e", self), FailureDomain: "x"})
		for i := range 6 {
			if i != without {
				table.Heartbeat(0, &wirepb.PeerHeartbeat{Self: &wirepb.PeerInfo{Id: fmt.Sprint("e", i), FailureDomain: "x"}})
			}
		}
		return table
	}
	a, b, less := build(0, -1), build(1, -1), build(0, 5)
	load := map[string]int{}
	for i := range 600 {
		service := fmt.Sprint("s", i)
		p, _ := a.Dispatcher("x", service)
		q, _ := b.Dispatcher("x", service)
		r, _ := less.Dispatcher("x", service)
		if p.ID != q.ID {
			t.Fatalf("%s: %s and %s", service, p.ID, q.ID)
		}
		if p.ID != "e5" && r.ID != p.ID {
			t.Fatalf("%s moved from %s to %s without cause", service, p.ID, r.ID)
		}
		load[p.ID]++
	}
	for id, n := range load {
		if n < 50 || n > 150 {
			t.Errorf("%s dispatches %d of 600 pools", id, n)
		}
	}
}

func message(t *Table, address string) *wirepb.PeerHeartbeat {
	return t.Messages([]string{address})[address]
}

// Guards against lists of known processes in each heartbeat, which grow with the
// cube of the number of processes, and against a process that is not found
// because a list was left out.
func TestKnownListOnlyWhenItDiffers(t *testing.T) {
	tables := map[string]*Table{}
	join := func(id string) {
		tables[id] = New(Peer{ID: id, Address: "at-" + id, FailureDomain: "x", Incarnation: 1})
	}
	// exchange carries a heartbeat and its answer, and returns the entries sent.
	exchange := func(from, to string) int {
		m := message(tables[from], "at-"+to)
		tables[to].Heartbeat(0, m)
		answer := message(tables[to], "at-"+from)
		tables[from].Heartbeat(0, answer)
		return len(m.Known) + len(answer.Known)
	}
	// round lets each process talk to those that it knows or was told of.
	round := func() (entries int) {
		for from, table := range tables {
			for _, p := range append(table.Live(), table.Unheard()...) {
				if p.ID != from {
					entries += exchange(from, p.ID)
				}
			}
		}
		return entries
	}
	settle := func(n int) {
		for range 5 {
			round()
		}
		for id, table := range tables {
			if got := len(table.Live()); got != n {
				t.Fatalf("%s knows %d of %d processes", id, got, n)
			}
		}
		if entries := round(); entries > 0 {
			t.Fatalf("%d entries sent among %d processes that know the same", entries, n)
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		join(id)
	}
	exchange("b", "a")
	exchange("c", "a")
	exchange("d", "c")
	settle(4)
	// A process that joins through one of them is found by all.
	join("e")
	exchange("e", "d")
	settle(5)
	// A process that states no digest gets the list with each heartbeat.
	m := message(tables["a"], "at-b")
	tables["b"].Heartbeat(0, &wirepb.PeerHeartbeat{Self: m.Self})
	if got := len(message(tables["b"], "at-a").Known); got != 4 {
		t.Fatalf("%d entries for a process without digest, want 4", got)
	}
}
