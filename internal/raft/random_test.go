package raft

import (
	"fmt"
	"testing"
	"time"

	"bilberryhub/internal/wirepb"
)

const (
	randomSeeds = 60
	// randomTicks is the length of a run in milliseconds of virtual time.
	randomTicks = 20_000
)

// chaos runs one cluster through random faults inside the fault model: any
// crash, cut, loss, delay and duplicate; one lost disk until its replacement is
// complete.
type chaos struct {
	*sim
	next int
	lost string // identity whose disk is lost and not yet replaced
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

func (c *chaos) fault() {
	h := c.hosts[c.rng.IntN(len(c.hosts))]
	switch p := c.rng.IntN(5000); {
	case p >= 400 && p < 2000:
		if h.n != nil {
			c.next++
			_ = c.propose(h, fmt.Sprintf("cmd-%d", c.next))
		}
	case p < 300:
	case p < 306 && h.n != nil:
		c.crash(h)
	case p < 320 && h.n == nil && h.id != c.lost:
		c.start(h)
	case p < 324:
		g := c.hosts[c.rng.IntN(len(c.hosts))]
		c.cut[[2]string{g.id, h.id}] = true
	case p < 326:
		c.isolate(h.id)
	case p < 332:
		c.heal()
	case p < 336:
		c.loss, c.dup, c.delay = c.rng.Float64()*0.3, c.rng.Float64()*0.3, c.rng.Float64()*0.5
	case p < 340:
		c.loss, c.dup, c.delay = 0, 0, 0
	case p < 341:
		h.noSync = true
	case p < 350:
		h.noSync = false
	case p < 360 && h.n != nil:
		c.compact(h)
	case p < 364 && h.n != nil:
		_ = h.n.TransferLeadership(c.hosts[c.rng.IntN(len(c.hosts))].id, c.now(h))
	case p < 368 && h.n != nil && c.rng.IntN(2) == 0:
		// A forward jump counts as a stall of the process.
		h.offset += simElection/2 + time.Duration(c.rng.Int64N(int64(simElection*3)))
	case p < 400:
		c.reconfigure(c.leader())
	}
}

// reconfigure lets the leader repair, grow or shrink the set of replicas.
func (c *chaos) reconfigure(l *host) {
	if l == nil {
		return
	}
	m, st := l.n.membership(), l.n.Status(c.now(l))
	if c.lost != "" && indexOf(m.Voters, c.lost) < 0 && !st.RepairIncomplete {
		c.lost = ""
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
// damaged logs, under faults in any combination.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c, err := runChaos(seed, disabled{})
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if len(c.acked) < 50 || len(c.leaders) < 3 {
				t.Fatalf("seed %d: only %d commands in %d terms; the run proves nothing", seed, len(c.acked), len(c.leaders))
			}
		})
	}
}
