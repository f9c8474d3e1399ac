package gateway

import (
	"context"
	"encoding/binary"
	"hash/maphash"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/wirepb"
)

const (
	// localDetailGateways is the number of gateways from which on load shares stay
	// within the failure domain: with the load shares of all, each gateway receives as
	// many datagrams as all callers send requests, several times over. Gateways of
	// other failure domains get summaries instead.
	localDetailGateways = 128
	// summaryInterval is the time between two summaries of one sender, and
	// summarySenders the number of gateways of a failure domain that send them, so that
	// a lost one is missed by half of the summaries only.
	summaryInterval = time.Second
	summarySenders  = 2
	// summaryRequests is the number of new requests and parts of prompts at the backend
	// servers of the failure domain after which a sender doesn't wait for the interval, so
	// that the others don't choose on a summary that misses many of them.
	summaryRequests = 8
	// summaryLifetime is how long a summary is used without a newer one.
	summaryLifetime = 3 * summaryInterval
	// summaryDelay is the longest time that work is on its way into a summary. Work of
	// this failure domain that is younger than a summary by less is counted beside it.
	summaryDelay = 100 * time.Millisecond
	// remoteSample is the number of backend servers of each other failure domain that
	// are candidates for one request, chosen at random among those that are allotted to
	// this failure domain. remoteSampleAlone replaces it if fewer than minLocalBackends of
	// this failure domain can be chosen; all are candidates then.
	remoteSample      = 3
	remoteSampleAlone = 8
	minLocalBackends  = 8
	// maxSummarizedWorks bounds the works that stand for one kind of work in the summary
	// of a backend server, whatever number the summary states.
	maxSummarizedWorks = 1024
	// usedDomainRetention is how long a failure domain gets load shares after the last
	// work there was sent: they tell that it has ended.
	usedDomainRetention = 20 * time.Second
)

var (
	summariesSent     = metrics.GetOrCreateCounter(`bilberry_gateway_summaries_sent_total`)
	summariesReceived = metrics.GetOrCreateCounter(`bilberry_gateway_summaries_received_total`)
)

// summary is the latest summary of the work in another failure domain.
type summary struct {
	incarnation, sequence uint64
	at                    time.Duration
	backends              map[uint64]*wirepb.BackendSummary
}

// sendSummaries sends summaries of the work in this failure domain to the others, if it
// is this gateway's turn, until ctx ends.
func (g *Gateway) sendSummaries(ctx context.Context) {
	due := time.NewTimer(summaryInterval)
	defer due.Stop()
	var sentAt time.Duration
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case <-g.workTable.received:
			// What comes together is summarized together.
			if !sleep(ctx, batchDelay) {
				return
			}
			if g.newRequestsSince(sentAt) < summaryRequests {
				continue
			}
		}
		due.Reset(time.Duration((1 - shareJitter*g.random()) * float64(summaryInterval)))
		isSender := g.members.isLocalDetail() && g.members.isSummarySender()
		g.workTable.signalReceived(isSender)
		if isSender {
			sentAt = bootclock.Now()
			g.sendSummary(g.summary(sequence), sentAt)
		}
	}
}

// newRequestsSince returns the number of requests and parts of prompts that were sent to
// backend servers of this failure domain after a time and still run.
func (g *Gateway) newRequestsSince(at time.Duration) int {
	servers := g.members.ownBackends()
	g.workTable.mu.Lock()
	defer g.workTable.mu.Unlock()
	n := 0
	for j := range g.workTable.local {
		if j.sent > at && servers[j.backend] {
			n++
		}
	}
	for _, s := range g.workTable.others {
		for i := range s.jobs {
			if s.jobs[i].sent > at && servers[s.jobs[i].backend] {
				n++
			}
		}
	}
	return n
}

// sendSummary sends a summary to the other failure domains, with what their gateways
// would else learn of load shares that don't reach them.
func (g *Gateway) sendSummary(s *wirepb.LoadSummary, now time.Duration) {
	direct, relays := g.members.summaryTargets()
	m := &wirepb.LoadShare{
		Summary: s, CrashEvidence: g.suspects.evidenceMessage(now), RequestLimits: g.limits.message(now), Leaving: g.notices.leaving(),
	}
	g.sendShareTo(m, direct)
	m.Relay = true
	g.sendShareTo(m, relays)
	summariesSent.Inc()
}

// summary returns a summary of the work at the backend servers of this failure domain.
func (g *Gateway) summary(sequence uint64) *wirepb.LoadSummary {
	servers, _ := g.members.backends()
	now := bootclock.Now()
	g.workTable.mu.Lock()
	works := g.workTable.works(now)
	g.workTable.mu.Unlock()
	out := &wirepb.LoadSummary{FailureDomain: g.settings.FailureDomain, Incarnation: g.incarnation, Sequence: sequence}
	for _, b := range servers {
		if b.FailureDomain == g.settings.FailureDomain && len(works[b.Key()]) > 0 {
			s := summarize(b.Key(), works[b.Key()], ms(now))
			if at := g.health.lastReceived(b.Key()); at > 0 {
				s.HeardMs = ageMs(now, at) + 1
			}
			out.Backends = append(out.Backends, s)
		}
	}
	return out
}

// summarize returns the summary of the work at one backend server. now is in ms on the
// clock of the works.
func summarize(backend uint64, works []enginemodel.Work, now float64) *wirepb.BackendSummary {
	s := &wirepb.BackendSummary{Backend: backend}
	var writingPrompt, writingOutput, writingAge, part, partPrompt, partAge, held float64
	for i := range works {
		w := &works[i]
		if w.Ended {
			continue
		}
		held += w.HeldTokens
		s.PauseMs = stricter(s.PauseMs, w.PauseMs)
		if w.Decoding {
			s.Writing++
			writingPrompt += w.PromptTokens
			writingOutput += w.OutputTokens
			writingAge += now - w.DoneMs
			continue
		}
		s.Parts++
		if w.Helper {
			s.HelperParts++
		}
		s.ObjectiveMs = stricter(s.ObjectiveMs, w.ObjectiveMs)
		part += w.PartTokens
		partPrompt += w.PromptTokens
		partAge += now - w.SentMs
	}
	mean := func(sum float64, n uint32) uint32 { return uint32(max(0, sum/float64(max(1, n)))) }
	s.WritingPromptTokens, s.WritingOutputTokens = mean(writingPrompt, s.Writing), mean(writingOutput, s.Writing)
	s.WritingMs = mean(writingAge, s.Writing)
	s.PartTokens, s.PartPromptTokens, s.PartAgeMs = mean(part, s.Parts), mean(partPrompt, s.Parts), mean(partAge, s.Parts)
	s.HeldTokens = uint32(max(0, held))
	return s
}

// stricter returns the smaller of two objectives in ms, 0 meaning none.
func stricter(current uint32, ms float64) uint32 {
	if ms <= 0 || (current > 0 && float64(current) <= ms) {
		return current
	}
	return uint32(ms)
}

// summarizedWorks returns works that stand for a summary received at the time at.
func summarizedWorks(s *wirepb.BackendSummary, at time.Duration) []enginemodel.Work {
	writing, parts := min(s.GetWriting(), maxSummarizedWorks), min(s.GetParts(), maxSummarizedWorks)
	out := make([]enginemodel.Work, 0, writing+parts)
	w := enginemodel.Work{
		PromptTokens: float64(s.GetWritingPromptTokens()), OutputTokens: float64(s.GetWritingOutputTokens()), Decoding: true,
		DoneMs: ms(at) - float64(s.GetWritingMs()), PauseMs: float64(s.GetPauseMs()),
	}
	w.SentMs = w.DoneMs
	w.Value = estimatedValue(w)
	for i := range writing {
		w.Request = summarizedRequest(s, i)
		out = append(out, w)
	}
	w = enginemodel.Work{
		PromptTokens: float64(s.GetPartPromptTokens()), PartTokens: float64(s.GetPartTokens()),
		OutputTokens: float64(s.GetWritingOutputTokens()), SentMs: ms(at) - float64(s.GetPartAgeMs()),
		PauseMs: float64(s.GetPauseMs()), ObjectiveMs: float64(s.GetObjectiveMs()),
	}
	w.Value = estimatedValue(w)
	for i := range parts {
		w.Request, w.Helper = summarizedRequest(s, writing+i), i < s.GetHelperParts()
		out = append(out, w)
	}
	if len(out) > 0 {
		out[0].HeldTokens = float64(s.GetHeldTokens())
	}
	return out
}

// summarizedRequest returns a request id for one of the works of a summary.
func summarizedRequest(s *wirepb.BackendSummary, i uint32) uint64 {
	return maphash.Comparable(summarySeed, [2]uint64{s.GetBackend(), uint64(i)})
}

var summarySeed = maphash.MakeSeed()

// mergeSummary stores a summary of another failure domain unless it is older than the
// stored one of the same sender.
func (g *Gateway) mergeSummary(s *wirepb.LoadSummary) {
	domain := s.GetFailureDomain()
	if domain == "" || domain == g.settings.FailureDomain {
		sharesInvalid.Inc()
		return
	}
	summariesReceived.Inc()
	g.recordContact(domain)
	now := bootclock.Now()
	received := &summary{incarnation: s.GetIncarnation(), sequence: s.GetSequence(), at: now, backends: map[uint64]*wirepb.BackendSummary{}}
	for _, b := range s.GetBackends() {
		received.backends[b.GetBackend()] = b
		if heard := b.GetHeardMs(); heard > 0 {
			g.health.recordReceived(b.GetBackend(), now-milliseconds(int64(heard-1)))
		}
	}
	t := g.workTable
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.summaries[domain]; old != nil && old.incarnation == received.incarnation && old.sequence >= received.sequence {
		return
	}
	t.summaries[domain] = received
}

// remoteWorks returns the work at a backend server of another failure domain: what its
// summary says, and what is known here and is too young for it. Without a recent
// summary it is what is known here. The caller holds the lock.
func (b *workTable) remoteWorks(domain string, backend uint64, known []enginemodel.Work, now time.Duration) []enginemodel.Work {
	s := b.summaries[domain]
	if s == nil || now-s.at > summaryLifetime {
		return known
	}
	var out []enginemodel.Work
	if summarized := s.backends[backend]; summarized != nil {
		out = summarizedWorks(summarized, s.at)
	}
	for _, w := range known {
		if !w.Ended && w.SentMs > ms(s.at-summaryDelay) {
			out = append(out, w)
		}
	}
	return out
}

// sampleRemote returns the candidates of this failure domain and a random sample of
// those of each other one that are allotted to this one, in an order of its own. domains
// are all failure domains.
func sampleRemote(list []candidate, local string, domains []string) []candidate {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	inDomain := map[string]int{}
	for _, c := range list {
		inDomain[c.server.FailureDomain]++
	}
	limit, isAlone := remoteSample, inDomain[local] < minLocalBackends
	if isAlone {
		limit = remoteSampleAlone
	}
	hashes := make([]uint64, 0, len(domains))
	for _, d := range domains {
		hashes = append(hashes, xxhash.Sum64String(d))
	}
	localHash := xxhash.Sum64String(local)
	out := make([]candidate, 0, len(list))
	clear(inDomain)
	for _, c := range list {
		domain := c.server.FailureDomain
		switch {
		case domain == local:
		case !isAlone && !isAllotted(c.key, xxhash.Sum64String(domain), localHash, hashes):
			continue
		default:
			if inDomain[domain]++; inDomain[domain] > limit {
				continue
			}
		}
		out = append(out, c)
	}
	return out
}

// isAllotted reports whether a backend server of one failure domain is allotted to
// another one: it is first in an order of all but its own that differs from one backend
// server to the next. Only the gateways of these two choose it, and those know of each
// other's choices at once, or with the next summary; with all, several failure domains
// would choose it on the same summary. Failure domains are given by their hashes.
func isAllotted(backend, own, other uint64, all []uint64) bool {
	position := func(domain uint64) uint64 {
		data := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), domain)
		return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, backend))
	}
	self := position(other)
	for _, domain := range all {
		if domain != own && position(domain) < self {
			return false
		}
	}
	return true
}

// isLocalDetail reports whether load shares stay within the failure domain.
func (m *members) isLocalDetail() bool { return m.count() >= localDetailGateways }

// isSummarySender reports whether it is this gateway's turn to send summaries of its
// failure domain: it is among the first in an order that all of them share.
func (m *members) isSummarySender() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, before := xxhash.Sum64String(m.g.settings.ID), 0
	for id, entry := range m.gateways {
		if entry.info.GetFailureDomain() == m.g.settings.FailureDomain && xxhash.Sum64String(id) < self {
			before++
		}
	}
	return before < summarySenders
}
