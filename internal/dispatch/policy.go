package dispatch

// PolicyNames lists the values of Config.Policy. All but the first are baselines
// for measurements: they grant at once, without a queue, length classes and cold
// budgets, and do not enforce memory limits.
var PolicyNames = []string{"bilberry", "random", "round_robin", "fewest_requests", "fewest_tokens"}

// policy chooses the backend servers for a request.
type policy interface {
	// queues reports whether a request that cannot be placed is queued.
	queues() bool
	// place returns the members to reserve for a request, or nil if it cannot be
	// placed now. heldBy maps engines to the request that they are kept free for; place
	// must not use them for another request, except as canBackfill allows.
	place(c *Core, d *dispatch, heldBy map[*backend]*dispatch) []member
}

// newPolicy returns the policy of a name in PolicyNames; empty selects bilberry.
func newPolicy(name string) policy {
	if name == "" || name == "bilberry" {
		return bilberry{}
	}
	return baseline(name)
}

// baseline is a policy of common load balancers, by its name in PolicyNames.
type baseline string

func (baseline) queues() bool { return false }

func (n baseline) place(c *Core, d *dispatch, _ map[*backend]*dispatch) []member {
	var list []*backend
	for _, b := range d.pool.sortedBackends {
		if ok, _ := c.usable(b); ok && b.serves(d.req.Model) && !isExcluded(d, b) {
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
		best = list[d.pool.nextRoundRobin%len(list)]
		d.pool.nextRoundRobin++
	case "fewest_requests":
		best = leastLoaded(list, func(b *backend) uint64 { return uint64(len(b.open)) })
	case "fewest_tokens":
		best = leastLoaded(list, func(b *backend) uint64 { return b.reserved })
	}
	return []member{{
		backend: best, boot: best.boot, reserved: d.tokens(), promptTokens: d.req.PromptTokens,
		prefillTokens: float64(d.req.PromptTokens),
	}}
}

// leastLoaded returns the first backend server with the smallest load.
func leastLoaded(list []*backend, load func(*backend) uint64) *backend {
	best := list[0]
	for _, b := range list[1:] {
		if load(b) < load(best) {
			best = b
		}
	}
	return best
}
