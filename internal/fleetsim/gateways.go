package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/placement"
)

// The timing of load shares, as in package gateway: how long new work and progress are
// collected, the longest time between two load shares, which grows with the number of
// gateways, its jitter, and how long a load share is used.
const (
	batchDelayMs            = 4
	progressDelayMs         = 50
	minShareIntervalMs      = 500
	shareIntervalPerGateway = 10
	shareJitter             = 0.4
	minShareLifetimeMs      = 2_000
	shareLifetimeIntervals  = 2.5
	// localDetailGateways is the number of gateways from which on they know of other
	// failure domains by summaries, and remoteSample the number of candidates in each.
	localDetailGateways = 128
	remoteSample        = 3
	// maxDeferShare is the share of the objective for which a choice may be deferred.
	maxDeferShare = 0.5
)

// Outage is a period, in ms, in which a gateway is frozen, or stopped: a frozen one
// chooses for its requests when it runs again, while a stopped one gets none and starts
// again without knowledge.
type Outage struct {
	Gateway      int
	FromMs, ToMs float64
	Stops        bool
}

// Gateways choose engines, each from what it knows: its own choices at once, and those
// of the others from their last load share that has arrived. Engine i and gateway i are
// in failure domain i modulo Domains.
type Gateways struct {
	Count, Domains int
	// AgeMs is the time from a choice until the other gateways know of it, and
	// SummaryAgeMs the one until those of other failure domains do that know it by
	// summaries.
	AgeMs, SummaryAgeMs float64
	// LossShare is the share of the load shares that a gateway doesn't receive.
	LossShare float64
	Outages   []Outage
	// IsOrderLocal is set if the order differs between failure domains.
	IsOrderLocal bool
	// CountsUnseen is set if the requests that others have probably sent since their
	// last load share count as open.
	CountsUnseen bool

	rng    *rand.Rand
	ranks  [][]float64
	shares []shareTimes
}

// shareTimes holds when a gateway has sent load shares and sends the next one.
type shareTimes struct {
	sent   []float64
	nextMs float64
}

// start prepares the gateways for a run.
func (g *Gateways) start(engines int, seed uint64) {
	g.rng = rand.New(rand.NewPCG(seed, 2))
	g.ranks = nil
	for range g.Domains {
		g.ranks = append(g.ranks, drawRanks(g.rng, engines))
	}
	g.shares = make([]shareTimes, g.Count)
	for i := range g.shares {
		g.shares[i].nextMs = g.intervalMs()
	}
}

// drawRanks returns a random order of the engines, as positions from 0 to 1.
func drawRanks(rng *rand.Rand, engines int) []float64 {
	out := make([]float64, engines)
	for i, position := range rng.Perm(engines) {
		out[i] = (float64(position) + 0.5) / float64(engines)
	}
	return out
}

func (g *Gateways) maxIntervalMs() float64 {
	return max(minShareIntervalMs, shareIntervalPerGateway*float64(g.Count))
}

// intervalMs draws the time to the next load share if nothing changes.
func (g *Gateways) intervalMs() float64 {
	return (1 - shareJitter*g.rng.Float64()) * g.maxIntervalMs()
}

// pick returns the gateway that gets a request. Stopped gateways get none.
func (g *Gateways) pick(now float64) int {
	for {
		i := g.rng.IntN(g.Count)
		if o := g.outage(i, now); o == nil || !o.Stops {
			return i
		}
	}
}

// outage returns the outage of a gateway at the time now, or nil.
func (g *Gateways) outage(gateway int, now float64) *Outage {
	for i := range g.Outages {
		if o := &g.Outages[i]; o.Gateway == gateway && o.FromMs <= now && now < o.ToMs {
			return o
		}
	}
	return nil
}

// frozenUntilMs returns when a gateway runs again, or now if it runs.
func (g *Gateways) frozenUntilMs(gateway int, now float64) float64 {
	if o := g.outage(gateway, now); o != nil {
		return o.ToMs
	}
	return now
}

// restartedMs returns when a gateway last started again without knowledge.
func (g *Gateways) restartedMs(gateway int, now float64) float64 {
	at := math.Inf(-1)
	for _, o := range g.Outages {
		if o.Gateway == gateway && o.Stops && o.ToMs <= now {
			at = max(at, o.ToMs)
		}
	}
	return at
}

// mayDefer reports whether a request that has waited for elapsed ms may be deferred.
func (g *Gateways) mayDefer(elapsed, objective float64) bool {
	return g == nil || elapsed < maxDeferShare*objective
}

// deferStepMs returns the time after which a deferred request is placed again.
func (g *Gateways) deferStepMs() float64 {
	if g == nil {
		return placement.DeferStepMs
	}
	return (0.5 + g.rng.Float64()) * placement.DeferStepMs
}

// recordNew makes a gateway send a load share soon, because it has sent a request.
func (g *Gateways) recordNew(gateway int, now float64) {
	if g != nil {
		g.sendDue(gateway, now)
		g.shares[gateway].nextMs = min(g.shares[gateway].nextMs, now+batchDelayMs)
	}
}

// recordProgress makes a gateway send a load share after progressDelayMs, because one of
// its requests had its first event or ended.
func (g *Gateways) recordProgress(gateway int, now float64) {
	if g != nil {
		g.sendDue(gateway, now)
		g.shares[gateway].nextMs = min(g.shares[gateway].nextMs, now+progressDelayMs)
	}
}

// sendDue sends the load shares of a gateway that are due at the time now. A gateway
// that doesn't run sends them later.
func (g *Gateways) sendDue(gateway int, now float64) {
	s := &g.shares[gateway]
	for s.nextMs <= now {
		if o := g.outage(gateway, s.nextMs); o != nil {
			s.nextMs = o.ToMs
			continue
		}
		s.sent = append(s.sent, s.nextMs)
		s.nextMs += g.intervalMs()
	}
}

// seenMs returns for each gateway when it sent the newest load share that a gateway
// uses at the time now, or negative infinity without one; for itself it is now.
func (g *Gateways) seenMs(gateway int, now float64) []float64 {
	out := make([]float64, g.Count)
	delay := g.AgeMs - batchDelayMs
	oldest := max(now-max(minShareLifetimeMs, shareLifetimeIntervals*g.maxIntervalMs()), g.restartedMs(gateway, now)) - delay
	for i := range out {
		g.sendDue(i, now)
		out[i] = math.Inf(-1)
		sent := g.shares[i].sent
		for k := len(sent) - 1; k >= 0 && sent[k] >= oldest; k-- {
			if sent[k] <= now-delay && !g.isLost(i, gateway, k) {
				out[i] = sent[k]
				break
			}
		}
	}
	out[gateway] = now
	return out
}

// isLost reports whether a gateway doesn't receive the k-th load share of another one.
func (g *Gateways) isLost(from, to, k int) bool {
	return pseudorandom(from, to, k) < g.LossShare
}

// pseudorandom returns a number from 0 to 1 that depends on the arguments only, by the
// finalizer of SplitMix64.
func pseudorandom(a, b, c int) float64 {
	x := uint64(a)<<42 ^ uint64(b)<<21 ^ uint64(c)
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// view is what a gateway knows at one moment: of each gateway what it had sent until
// seenMs, and of engines known by summaries all until summaryMs.
type view struct {
	gateways  *Gateways
	now       float64
	seenMs    []float64
	summaryMs float64
	// oldestMs is the oldest of all times in the view.
	oldestMs float64
	// restartedMs holds when each gateway last started again.
	restartedMs []float64
}

func (g *Gateways) view(gateway int, now float64) *view {
	v := &view{gateways: g, now: now, seenMs: g.seenMs(gateway, now), summaryMs: now - g.SummaryAgeMs, oldestMs: now - g.SummaryAgeMs}
	for i, at := range v.seenMs {
		if !math.IsInf(at, -1) {
			v.oldestMs = min(v.oldestMs, at)
		}
		v.restartedMs = append(v.restartedMs, g.restartedMs(i, now))
	}
	return v
}

// work returns how the view shows work of a gateway that ended at endedMs, and false if
// it doesn't show it.
func (v *view) work(w enginemodel.Work, gateway int, endedMs float64, isSummarized bool) (enginemodel.Work, bool) {
	at := v.seenMs[gateway]
	if isSummarized {
		at = max(v.summaryMs, min(at, v.now))
	}
	if w.SentMs > at || (w.SentMs < v.restartedMs[gateway] && at >= v.restartedMs[gateway]) {
		return w, false
	}
	w.Ended = endedMs <= at
	if !w.Ended && w.DoneMs > at {
		w.Decoding, w.DoneMs = false, 0
	}
	return w, true
}

// works returns the work at an engine that the view shows, with the ended work that was
// prefilled while some of it was queued.
func (v *view) works(e *engine, isSummarized bool) []enginemodel.Work {
	out := make([]enginemodel.Work, 0, len(e.parts)+4)
	oldest := math.Inf(1)
	add := func(w enginemodel.Work, gateway int, endedMs float64) {
		w, ok := v.work(w, gateway, endedMs, isSummarized)
		switch {
		case !ok:
			return
		case !w.Ended && !w.Decoding:
			oldest = min(oldest, w.SentMs)
		}
		out = append(out, w)
	}
	for _, part := range e.parts {
		add(part.Work, part.request.gateway, math.Inf(1))
	}
	for i := len(e.ended) - 1; i >= 0 && e.ended[i].endedMs >= min(oldest, v.oldestMs); i-- {
		add(e.ended[i].Work, e.ended[i].gateway, e.ended[i].endedMs)
	}
	return slices.DeleteFunc(out, func(w enginemodel.Work) bool { return w.Ended && w.DoneMs <= oldest })
}

// unseenWindowMs is the time over which the rate of new requests is measured.
const unseenWindowMs = 1_000

// withUnseen appends work that stands for the requests that other gateways have probably
// sent since their last load share: the newest known ones, as often as the rate of the
// last second and the age of the view suggest.
func (v *view) withUnseen(list []enginemodel.Work, isSummarized bool) []enginemodel.Work {
	ageMs := v.gateways.AgeMs
	if isSummarized {
		ageMs = v.gateways.SummaryAgeMs
	}
	var recent []enginemodel.Work
	for _, w := range list {
		if w.SentMs > v.now-unseenWindowMs && !w.Helper && !w.Ended {
			recent = append(recent, w)
		}
	}
	count := float64(len(recent)) * ageMs / unseenWindowMs
	for n := int(count + v.gateways.rng.Float64()); n > 0 && len(recent) > 0; n-- {
		w := recent[v.gateways.rng.IntN(len(recent))]
		w.SentMs, w.Decoding, w.DoneMs = v.now, false, 0
		list = append(list, w)
	}
	return list
}

// rank returns the position of an engine in the order that a gateway uses.
func (g *Gateways) rank(gateway, engine int) float64 {
	if g.IsOrderLocal {
		return g.ranks[gateway%g.Domains][engine]
	}
	return g.ranks[0][engine]
}

// candidates returns the engines that a gateway chooses from, with the load that it
// knows. With localDetailGateways it knows other failure domains by summaries, and
// chooses among a few of their engines that are allotted to its own.
func (g *Gateways) candidates(f *Fleet, gateway int) []placement.Engine {
	v := g.view(gateway, f.now)
	out := make([]placement.Engine, 0, len(f.engines))
	for _, e := range g.sample(f, gateway) {
		isRemote := e.index%g.Domains != gateway%g.Domains
		isSummarized := isRemote && g.Count >= localDetailGateways
		works := v.works(e, isSummarized)
		if g.CountsUnseen {
			works = v.withUnseen(works, isSummarized)
		}
		out = append(out, placement.Engine{
			Index: e.index, Slots: f.Slots, Remote: isRemote,
			Rank: g.rank(gateway, e.index), Random: g.rng.Float64(),
			Load: enginemodel.NewLoad(f.Spec, works, f.now, f.knownSlowness(e.index)),
		})
	}
	return out
}

// sample returns the engines in service that a gateway may choose.
func (g *Gateways) sample(f *Fleet, gateway int) []*engine {
	var out []*engine
	inDomain := make([][]*engine, g.Domains)
	for _, e := range f.engines {
		domain := e.index % g.Domains
		switch {
		case f.OutOfService[e.index]:
		case domain == gateway%g.Domains || g.Count < localDetailGateways:
			out = append(out, e)
		case g.isAllotted(e.index, gateway%g.Domains):
			inDomain[domain] = append(inDomain[domain], e)
		}
	}
	for _, list := range inDomain {
		g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		out = append(out, list[:min(remoteSample, len(list))]...)
	}
	return out
}

// isAllotted reports whether an engine is allotted to one of the other failure domains.
func (g *Gateways) isAllotted(engine, domain int) bool {
	next := 1 + int(pseudorandom(engine, 0, -2)*float64(g.Domains-1))
	return (engine%g.Domains+next)%g.Domains == domain
}
