package raft

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/wirepb"
)

var (
	firstSeed = flag.Uint64("raft.first-seed", 1, "first seed of the randomised runs")
	seeds     = flag.Uint64("raft.seeds", 40, "number of randomised runs")
)

// quietPhase is the time between the start and the end of load.
const quietPhase = 400 * time.Millisecond

// randomTicks is the length of a run in milliseconds of virtual time.
const randomTicks = 20_000

// chaos runs one cluster through random faults inside the fault model: any
// crash, cut, loss, delay and duplicate; one lost disk until its replacement is
// complete.
type chaos struct {
	*sim
	next     int
	members  []string
	lost     string // identity whose disk is lost and not yet replaced
	replaced int    // disks replaced, up to the promotion of the successor
}

func runChaos(seed uint64, off disabled) (*chaos, error) {
	c := &chaos{sim: newSim(seed, off, "a", "b", "c")}
	for _, h := range c.hosts {
		c.skew(h)
	}
	for range randomTicks {
		c.tick(0.2)
		c.fault()
		if c.err != nil {
			return c, c.err
		}
	}
	return c, c.settle()
}

// skew gives a host a clock that runs up to 1% fast or slow. Over two election
// timeouts that stays below the bound on clock drift.
func (c *chaos) skew(h *host) {
	h.rate = 0.99 + 0.02*c.rng.Float64()
	h.offset = time.Duration(c.rng.Int64N(int64(time.Hour)))
}

// pick returns a random host, most often a member of the last known membership.
func (c *chaos) pick() *host {
	if l := c.leader(); l != nil {
		c.members = append(ids(l.n.membership().Voters), ids(l.n.membership().Learners)...)
	}
	if len(c.members) == 0 || c.rng.IntN(5) == 0 {
		return c.hosts[c.rng.IntN(len(c.hosts))]
	}
	return c.host(c.members[c.rng.IntN(len(c.members))])
}

func (c *chaos) fault() {
	h := c.pick()
	switch p := c.rng.IntN(5000); {
	case p < 6 && h.n != nil:
		c.crashInWrite(h)
		if c.rng.IntN(2) == 0 {
			c.start(h)
		}
	case p < 20:
		c.start(h)
	case p < 24:
		g := c.pick()
		c.cut[[2]string{g.id, h.id}] = true
		c.cut[[2]string{h.id, g.id}] = c.rng.IntN(2) == 0
	case p < 26:
		c.isolate(h.id)
	case p < 32:
		c.heal()
	case p < 36:
		c.loss, c.dup, c.delay = c.rng.Float64()*0.3, c.rng.Float64()*0.3, c.rng.Float64()*0.5
	case p < 40:
		c.loss, c.dup, c.delay = 0, 0, 0
	case p < 41:
		h.noSync = true
	case p < 50:
		h.noSync = false
	case p < 60 && h.n != nil:
		c.compact(h)
	case p < 64 && h.n != nil:
		_ = h.n.TransferLeadership(c.pick().id, c.now(h))
	case p < 66 && h.n != nil:
		h.n.ReportSnapshot(c.pick().id, false, c.now(h))
	case p < 70 && h.n != nil && c.rng.IntN(2) == 0:
		// A forward jump counts as a stall of the process.
		h.offset += simElection/2 + time.Duration(c.rng.Int64N(int64(simElection*3)))
	case p < 100:
		c.reconfigure(c.leader())
	case p < 110 && c.t/quietPhase%2 == 1:
		c.attackLease(c.leader(), h)
	case p < 1700:
		// In quiet phases, replicas that are cut off still hold the whole log and
		// could win an election.
		if quiet := c.t/quietPhase%2 == 1; h.n != nil && !quiet {
			c.next++
			_ = c.propose(h, fmt.Sprintf("cmd-%d", c.next))
		}
	}
}

// attackLease cuts a voter off from the leader until it campaigns, and then
// isolates the leader and restarts another voter or moves its clock. Or it loses
// a leader whose last commit is known to nobody else, and lets its successor
// commit nothing. Other faults end before, since they would mostly prevent that.
func (c *chaos) attackLease(l, h *host) {
	if l == nil || l == h || h.n == nil {
		return
	}
	c.mend()
	if c.rng.IntN(2) == 0 {
		_ = c.propose(l, fmt.Sprintf("last of %s at %v", l.id, c.t))
		c.run(2 * simLatency)
		for _, r := range l.n.membership().Voters {
			c.cut[[2]string{l.id, r.Id}] = true
		}
		c.run(simElection / 2)
		c.crash(l)
		c.stallAfterVote(3 * simElection)
		return
	}
	c.cut[[2]string{l.id, h.id}], c.cut[[2]string{h.id, l.id}] = true, true
	c.run(simElection)
	c.isolate(l.id)
	for _, r := range l.n.membership().Voters {
		switch g := c.host(r.Id); {
		case g == l || g == h || g.n == nil:
		case c.rng.IntN(2) == 0:
			c.crash(g)
			c.start(g)
		default:
			g.offset += 2 * simElection
		}
	}
}

// crashInWrite stops a host before, after or in the middle of its disk write.
func (c *chaos) crashInWrite(h *host) {
	if rd := h.rd; rd != nil && c.rng.IntN(2) == 0 {
		if c.rng.IntN(2) == 0 {
			rd.HardState = nil
		}
		c.persist(h, rd)
	}
	c.crash(h)
}

// reconfigure lets the leader repair, grow or shrink the set of replicas.
func (c *chaos) reconfigure(l *host) {
	if l == nil {
		return
	}
	m, st := l.n.membership(), l.n.Status(c.now(l))
	if c.lost != "" && indexOf(m.Voters, c.lost) < 0 && !st.RepairIncomplete {
		c.lost = ""
		c.replaced++
	}
	victim := m.Voters[c.rng.IntN(len(m.Voters))].Id
	switch p := c.rng.IntN(10); {
	case len(m.Learners) > 0 && p < 5:
		_ = c.change(l, Change{Kind: Promote, ID: m.Learners[0].Id})
	case c.lost != "" && indexOf(m.Voters, c.lost) >= 0 && len(m.Learners) == 0:
		_ = c.change(l, Change{Kind: Replace, ID: c.lost, Replica: c.replacement()})
	case c.lost == "" && !st.RepairIncomplete && p < 7 && len(m.Retired) < 8:
		// The disk is lost right after the previous repair, whoever leads.
		c.lost = victim
		c.crash(c.host(victim))
		c.host(victim).gone = true
	case c.lost == "" && len(m.Voters) < 5 && len(m.Learners) == 0 && p == 8:
		_ = c.change(l, Change{Kind: AddLearner, Replica: c.replacement()})
	case c.lost == "" && len(m.Voters) > 3 && p == 9:
		_ = c.change(l, Change{Kind: Remove, ID: victim})
	}
}

// replacement starts a process with an empty disk under a new identity.
func (c *chaos) replacement() *wirepb.Replica {
	h := c.addHost(fmt.Sprintf("r%d", len(c.hosts)))
	c.skew(h)
	c.start(h)
	return &wirepb.Replica{Id: h.id}
}

// Guards against loss of acknowledged entries, two leaders or two leases, and
// damaged logs, under faults in any combination. The totals guard against runs
// in which nothing happens.
func TestRandomFaults(t *testing.T) {
	var mu sync.Mutex
	var acked, terms, replaced, restored int
	t.Run("seed", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				c, err := runChaos(seed, disabled{})
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				mu.Lock()
				defer mu.Unlock()
				acked, terms = acked+len(c.acked), terms+len(c.leaders)
				replaced, restored = replaced+c.replaced, restored+c.restored
			})
		}
	})
	t.Logf("%d seeds: %d commands, %d terms, %d disks replaced, %d snapshots restored",
		*seeds, acked, terms, replaced, restored)
	if n := int(*seeds); acked < 100*n || terms < 5*n || replaced < n || restored < n {
		t.Fatal("too little happened to prove anything")
	}
}

// Guards against randomised runs that would not notice a broken mechanism. The
// other mechanisms protect availability, which these runs only check at the end.
func TestRandomFaultsNoticeMechanisms(t *testing.T) {
	const tries = 30
	for _, name := range []string{"stickiness", "persistBeforeCount", "learnerSync", "leaseAfterCommit", "quietStart", "stallGuard"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= tries; seed++ {
				if _, err := runChaos(seed, mechanisms[name]); err != nil {
					t.Logf("without the mechanism, seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("%d seeds noticed nothing", tries)
		})
	}
}
