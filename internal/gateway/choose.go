package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

// Reasons why no backend server was chosen.
var (
	errNoBackend = errors.New("no backend server is in service")
	errTooLarge  = errors.New("no backend server can hold the request")
	errLater     = errors.New("a later moment costs others less")
	errFull      = errors.New("no backend server has memory for the request now")
)

// fullError says that all backend servers are busy for longer than the caller
// waits.
type fullError struct {
	// untilMs is the predicted time until a request like this is served in time.
	untilMs float64
}

func (e *fullError) Error() string {
	return "all backend servers are busy beyond the time that the caller waits"
}

const (
	// silenceAnnouncements is the number of missed announcements after which a
	// backend server is used only when there is nothing else. Announcements are
	// late by seconds at times.
	silenceAnnouncements = 4
	// avoidRisk is the share of its worth that a request risks at a backend server
	// that should be avoided.
	avoidRisk = 0.9
	// crowdedShare is the share of the places above which engines count as full.
	// crowdedPerRank of them are kept for each more urgent rank, up to
	// maxCrowdedRank.
	crowdedShare   = 0.85
	crowdedPerRank = 0.1
	maxCrowdedRank = 3
	// lateLimit is the multiple of its objective above which a request is refused
	// while engines are full, sooner than making all later ones late.
	lateLimit = 0.8
	// waitShare is the share of the objective that a request waits for a better
	// moment. One that waited longer would be late after all.
	waitShare = 0.5
	// maxJointLoss is the share of its worth that a prompt larger than one engine
	// may cost in all. Its reading takes an engine's time of half a minute, so it is
	// admitted while the fleet has room for it only.
	maxJointLoss = 0.15
	// defaultPlainSlots is assumed where a backend server states no slots.
	defaultPlainSlots = 8
	// defaultOutputTokens is assumed where a caller states none.
	defaultOutputTokens = 512
	// coldShare is the share of the cold rate that all gateways use together.
	coldShare = 1.0
)

// pick is a decision: where a request runs.
type pick struct {
	backend *fleet.BackendServer
	helpers []*fleet.BackendServer
	// tickets are the reservations of the first helpers.
	tickets []ticket
	// predictedMs is the predicted time to the first event; 0 for plain services.
	predictedMs float64
	job         *job
	helperJobs  []*job
	open        int
	candidates  int
	slowness    float64
}

// candidate is a backend server that may be chosen.
type candidate struct {
	row   *fleet.BackendServer
	key   uint64
	judge judgement
	works []enginemodel.Work
}

// choose picks a backend server for a request and enters its work. Excluded are
// backend servers, by id, that have been tried. What is out of service is taken
// from the newest configuration: a request may be sent again long after it was
// admitted.
func (g *Gateway) choose(r *request, service *manifest.RoutedService, excluded []string) (*pick, error) {
	rows, gateways := g.members.backends()
	v := g.sync.Current()
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	now := bootclock.Now()
	works := g.book.works(now)
	var list, cut []candidate
	for _, b := range rows {
		if b.Service != service.Name || !b.Usable() || slices.Contains(excluded, b.ID) {
			continue
		}
		if out, _ := v.Excluded(b.FailureDomain, b.ID); out {
			continue
		}
		key := b.Key()
		if now < b.ColdUntil && service.ColdPerSecond > 0 && !g.book.coldRoom(key, coldLimit(service, gateways), now) {
			continue
		}
		silence := silenceAnnouncements * milliseconds(g.settings.AnnounceMs)
		c := candidate{row: b, key: key, judge: g.health.judge(b, key, now, silence), works: works[key]}
		if c.judge.dead {
			continue
		}
		if g.reachable.cut(b.FailureDomain) {
			cut = append(cut, c)
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		list = cut
	}
	if len(list) == 0 {
		return nil, errNoBackend
	}
	var p *pick
	var err error
	if service.Engine != nil && r.caller.PromptTokens > 0 {
		p, err = g.chooseEngine(r, service, list, now)
	} else {
		p, err = g.choosePlain(r, list, now)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.candidates = len(list)
	g.book.enter(p.job)
	for _, h := range p.helperJobs {
		g.book.enter(h)
	}
	if now < p.backend.ColdUntil {
		g.book.sends[p.job.backend] = append(g.book.sends[p.job.backend], now)
	}
	return p, nil
}

// coldLimit is the part of one gateway in the requests that a cold backend
// server bears in a second.
func coldLimit(s *manifest.RoutedService, gateways int) int {
	return max(1, int(coldShare*s.ColdPerSecond/float64(gateways)))
}

// choosePlain picks the backend server with the least work for its slots.
func (g *Gateway) choosePlain(r *request, list []candidate, now time.Duration) (*pick, error) {
	best, cost := -1, math.Inf(1)
	for i, c := range list {
		slots := float64(c.row.Slots)
		if slots <= 0 {
			slots = defaultPlainSlots
		}
		x := float64(openWorks(c.works))/slots + 2*c.judge.failureShare + g.random()/1000
		if c.judge.avoid {
			x += avoidRisk * 10
		}
		if c.row.FailureDomain != g.settings.FailureDomain {
			x += 0.1 / slots
		}
		if now < c.row.ColdUntil {
			x += 0.5
		}
		if x < cost {
			best, cost = i, x
		}
	}
	c := list[best]
	return &pick{
		backend: c.row, open: openWorks(c.works),
		job: &job{backend: c.key, sent: now, work: enginemodel.Work{SentMs: ms(now)}},
	}, nil
}

// chooseEngine places a model request.
func (g *Gateway) chooseEngine(r *request, service *manifest.RoutedService, list []candidate, now time.Duration) (*pick, error) {
	spec := service.Engine
	req := r.placement(now)
	engines := make([]placement.Engine, 0, len(list))
	for i, c := range list {
		e := placement.Engine{
			Index: i, Slots: max(1, c.row.Slots), Far: c.row.FailureDomain != g.settings.FailureDomain,
			Rank: rank(c.key),
			Load: enginemodel.NewLoad(spec, c.works, ms(now), c.judge.slowness),
			Risk: c.judge.failureShare * req.Worth, Cold: now < c.row.ColdUntil,
		}
		if c.judge.avoid {
			e.Risk = max(e.Risk, avoidRisk*req.Worth)
		}
		engines = append(engines, e)
	}
	if req.PromptTokens+req.OutputTokens > float64(spec.CapacityTokens)*float64(min(len(list), placement.MaxHelpers+1)) {
		return nil, errTooLarge
	}
	choice, ok := placement.Choose(spec, req, engines, ms(now))
	if !ok {
		return nil, errFull
	}
	if r.events == 0 && choice.Holders > 0 && choice.LossWorth > maxJointLoss*req.Worth {
		return nil, &fullError{untilMs: choice.FirstEventMs}
	}
	if choice.Wait && r.attempts == 0 && ms(now-r.arrived) < waitShare*r.route.ObjectiveMs {
		return nil, errLater
	}
	if until, refused := r.tooLate(choice, req, engines); refused {
		return nil, &fullError{untilMs: until}
	}
	parts := float64(1 + len(choice.Helpers))
	first := list[choice.First]
	work := enginemodel.Work{
		Request: xxhash.Sum64String(r.caller.ID), SentMs: ms(now), PromptTokens: req.PromptTokens, PartTokens: req.PromptTokens / parts,
		OutputTokens: req.OutputTokens, PauseMs: r.route.PauseMs, ObjectiveMs: r.route.ObjectiveMs, Worth: req.Worth,
	}
	work.HeldTokens = choice.HeldTokens * float64(choice.Holders)
	p := &pick{
		backend: first.row, predictedMs: choice.FirstEventMs, open: openWorks(first.works), slowness: first.judge.slowness,
		job: &job{backend: first.key, sent: now, work: work},
	}
	work.Helper = true
	for n, i := range choice.Helpers {
		work.HeldTokens = 0
		if n < choice.Holders {
			work.HeldTokens = choice.HeldTokens
			p.tickets = append(p.tickets, ticket{
				id: fmt.Sprintf("%016x-%d", rand.Uint64(), n), holder: list[i].row, tokens: int64(choice.HeldTokens),
			})
		}
		p.helpers = append(p.helpers, list[i].row)
		p.helperJobs = append(p.helperJobs, &job{backend: list[i].key, sent: now, work: work})
	}
	return p, nil
}

// tooLate reports whether a request should be refused rather than placed, and the
// predicted time until one like it is served in time. One that has waited here, or
// was sent already, is placed as long as its caller waits: the former could have
// been refused at once, and the latter can only fail.
func (r *request) tooLate(c placement.Choice, req placement.Request, engines []placement.Engine) (untilMs float64, refused bool) {
	switch {
	case r.events > 0:
		return 0, false
	case c.FirstEventMs > req.AbandonMs:
		return c.FirstEventMs - req.ObjectiveMs, true
	case r.waited > 0 || r.attempts > 0:
		return 0, false
	}
	late := crowded(engines, r.rank()) && c.FirstEventMs > lateLimit*req.ObjectiveMs
	return c.FirstEventMs - req.ObjectiveMs, late
}

// openWorks counts the requests that run.
func openWorks(works []enginemodel.Work) int {
	n := 0
	for i := range works {
		if !works[i].Ended && !works[i].Helper {
			n++
		}
	}
	return n
}

// rank returns the place of a backend server in an order that is the same at all
// gateways, whichever backend servers each of them knows.
func rank(key uint64) float64 { return float64(key>>11) / (1 << 53) }

// crowded reports whether nearly all places of the engines are taken. A request
// that is admitted late then makes those that follow late as well. For the less
// urgent, some places are kept free.
func crowded(engines []placement.Engine, rank int) bool {
	open, slots := 0, 0
	for i := range engines {
		open += engines[i].Load.OpenRequests
		slots += engines[i].Slots
	}
	share := crowdedShare - crowdedPerRank*float64(min(rank, maxCrowdedRank))
	return float64(open) >= share*float64(slots)
}

// placement returns the request in the terms of the placement.
func (r *request) placement(now time.Duration) placement.Request {
	prompt := float64(r.caller.PromptTokens)
	output := float64(r.outputTokens())
	// Callers count from the last event that they have received.
	elapsed := ms(now - max(r.arrived, r.lastEventAt))
	req := placement.Request{
		PromptTokens: prompt, OutputTokens: output, Worth: placement.Worth(prompt, output),
		ObjectiveMs: max(1, r.route.ObjectiveMs-elapsed), AbandonMs: r.abandonMs() - elapsed,
	}
	return req
}

// outputTokens estimates the tokens of the answer: what the caller expects within
// what it allows, half of what it allows where it expects nothing.
func (r *request) outputTokens() int64 {
	most := r.caller.OutputTokens
	switch expected := r.caller.ExpectedOutputTokens; {
	case expected > 0 && most > 0:
		return min(expected, most)
	case expected > 0:
		return expected
	case most > 0:
		return max(1, most/2)
	}
	return defaultOutputTokens
}

// worthOf estimates the worth of work that another gateway has shared.
func worthOf(w enginemodel.Work) float64 {
	return placement.Worth(w.PromptTokens, w.OutputTokens)
}
