package dispatch

// PolicyNames lists the values of Config.Policy. All but the first are baselines
// for measurements: they grant at once, without queue, classes and cold budgets,
// and do not enforce memory.
var PolicyNames = []string{"bilberry", "random", "round_robin", "fewest_requests", "fewest_tokens"}

// policy chooses the backend servers for a request.
type policy interface {
	// queues tells whether a request waits when it cannot be placed.
	queues() bool
	// place returns the members to reserve, or nil. It must not use a backend
	// server that is held for another request.
	place(c *Core, d *dispatch, held map[*backend]*dispatch) []member
}

func newPolicy(name string) policy {
	if name == "" || name == "bilberry" {
		return bilberry{}
	}
	return baseline(name)
}

// baseline is a policy of common load balancers.
type baseline string

func (baseline) queues() bool { return false }

func (n baseline) place(c *Core, d *dispatch, _ map[*backend]*dispatch) []member {
	var list []*backend
	for _, b := range d.pool.order {
		if ok, _ := c.usable(b); ok && b.serves(d.req.Model) && !excludes(d, b) {
			list = append(list, b)
		}
	}
	if len(list) == 0 {
		return nil
	}
	best := list[0]
	switch n {
	case "random":
		best = list[c.rng.IntN(len(list))]
	case "round_robin":
		best = list[d.pool.next%len(list)]
		d.pool.next++
	case "fewest_requests":
		best = least(list, func(b *backend) uint64 { return uint64(len(b.open)) })
	case "fewest_tokens":
		best = least(list, func(b *backend) uint64 { return b.reserved })
	}
	return []member{{
		backend: best, boot: best.boot, reserved: d.tokens(), part: d.req.PromptTokens,
		prefill: float64(d.req.PromptTokens),
	}}
}

func least(list []*backend, load func(*backend) uint64) *backend {
	best := list[0]
	for _, b := range list[1:] {
		if load(b) < load(best) {
			best = b
		}
	}
	return best
}
