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
