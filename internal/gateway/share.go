package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wirepb"
)

const (
	// minShareInterval is the time between two load shares when nothing changes, and
	// shareIntervalPerGateway its lower limit for each gateway: the load shares that
	// a gateway receives while nothing changes then don't grow with the number of
	// gateways.
	minShareInterval        = 500 * time.Millisecond
	shareIntervalPerGateway = 10 * time.Millisecond
	// shareJitter is the share of the interval by which it varies.
	shareJitter = 0.4
	// batchDelay collects changes that come together into one datagram.
	batchDelay = 4 * time.Millisecond
	// progressDelay is how long first events and ends are held back, to be
	// sent together with new work: about one pass of an engine.
	progressDelay = 50 * time.Millisecond
	// batchInterval is the time for which a gateway collects the load shares that it
	// relays in a batch.
	batchInterval = 100 * time.Millisecond
	// batchTimeout is the time without a batch after which another gateway is asked to
	// collect. batchRetryTime is how long a gateway without load shares to send goes on
	// with it.
	batchTimeout   = 300 * time.Millisecond
	batchRetryTime = 5 * time.Second
	// maxSharedJobs limits a datagram to about 8 KiB, at some 55 bytes per
	// job.
	maxSharedJobs = 140
)

var (
	sharesSent     = metrics.GetOrCreateCounter(`bilberry_gateway_shares_sent_total`)
	sharesUnsent   = metrics.GetOrCreateCounter(`bilberry_gateway_shares_unsent_total`)
	shareBytesSent = metrics.GetOrCreateCounter(`bilberry_gateway_share_bytes_sent_total`)
	sharesRelayed  = metrics.GetOrCreateCounter(`bilberry_gateway_shares_relayed_total`)
	sharesReceived = metrics.GetOrCreateCounter(`bilberry_gateway_shares_received_total`)
	sharePanics    = metrics.GetOrCreateCounter(`bilberry_gateway_share_panics_total`)
	sharesInvalid  = metrics.GetOrCreateCounter(`bilberry_gateway_shares_bad_total`)
)

// sendShares sends the work of this gateway to the other gateways, after each
// change and at intervals, until ctx ends. Each datagram carries all running
// work, up to maxSharedJobs jobs, so a lost one is made up for by the next.
func (g *Gateway) sendShares(ctx context.Context) {
	due := time.NewTimer(minShareInterval)
	defer due.Stop()
	isProgressPending := false // due is set to progressDelay
	for sequence := uint64(1); ; {
		isNew := true
		select {
		case <-ctx.Done():
			return
		case <-g.workTable.added:
			if !sleep(ctx, batchDelay) {
				return
			}
		case <-g.workTable.progressed:
			if !isProgressPending {
				isProgressPending = true
				due.Reset(progressDelay)
			}
			continue
		case <-due.C:
			isNew = false
		}
		g.sendShare(sequence, isNew)
		sequence++
		isProgressPending = false
		// The gateways often start together; without jitter all of them would send at
		// the same moment and be silent in between.
		due.Reset(time.Duration((1 - shareJitter*g.random()) * float64(g.shareInterval())))
	}
}

// shareInterval returns the time between two load shares when nothing changes.
func (g *Gateway) shareInterval() time.Duration {
	return max(minShareInterval, time.Duration(g.members.count())*shareIntervalPerGateway)
}

// sendShare sends the load share of this gateway to the other gateways, or to those that
// need the details of its work; see localDetailGateways.
func (g *Gateway) sendShare(sequence uint64, isNew bool) {
	if g.members.isLocalDetail() {
		g.sendDetails(sequence, isNew)
		return
	}
	s := g.share(sequence)
	direct, relays := g.members.shareTargets()
	g.sendShareTo(s, direct)
	s.Relay = true
	g.sendShareTo(s, relays)
}

// sendDetails sends the load share of this gateway to those of its own failure domain and
// of the failure domains where its work has changed. New work is sent at once: in a
// burst, all gateways there would choose the same engine before they learn of each
// other's choices. A load share without new work goes to one gateway of a failure domain,
// which sends it on in a batch.
func (g *Gateway) sendDetails(sequence uint64, isNew bool) {
	now := bootclock.Now()
	// Before the load share is made: what changes in between is sent again.
	changed := g.workTable.takeChangedDomains(now, g.shareInterval())
	changed.used[g.settings.FailureDomain] = true
	targets := g.members.detailTargets(changed)
	s := g.share(sequence)
	if isNew {
		targets.direct = append(targets.direct, g.members.domainAddresses()...)
	}
	g.sendShareTo(s, targets.direct)
	s.Relay = true
	g.sendShareTo(s, targets.relays)
	s.Later = true
	g.sendShareTo(s, targets.batchers)
	if isNew {
		return
	}
	if batcher := g.members.batcher(g.batch.skipBatchers(now)); batcher.IsValid() {
		g.sendShareTo(s, []netip.AddrPort{batcher})
	} else {
		g.relayShare(s)
	}
}

// sendToAll sends a message without work to the gateways of all failure domains at once.
func (g *Gateway) sendToAll(s *wirepb.LoadShare) {
	s.Gateway, s.Incarnation, s.Isolated = g.settings.ID, g.incarnation, g.isolation.isIsolated()
	direct, relays := g.members.shareTargets()
	g.sendShareTo(s, direct)
	s.Relay = true
	g.sendShareTo(s, relays)
}

// sendShareTo sends one datagram to each of the addresses. Those that can't be sent are
// counted; the next load share makes up for them.
func (g *Gateway) sendShareTo(s *wirepb.LoadShare, addresses []netip.AddrPort) {
	data, err := proto.Marshal(s)
	if err != nil {
		g.log.Error("encode load share failed", observe.Error(err))
		return
	}
	for _, to := range addresses {
		if err := g.sendDatagram(data, to); err != nil {
			sharesUnsent.Inc()
			continue
		}
		sharesSent.Inc()
		shareBytesSent.Add(len(data))
	}
}

// relayShare sends a load share on to the other gateways of the failure domain, at once
// or in the next batch.
func (g *Gateway) relayShare(s *wirepb.LoadShare) {
	s.Relay = false
	sharesRelayed.Inc()
	if s.GetLater() {
		s.Later = false
		if g.batch.add(s) {
			time.AfterFunc(batchInterval, g.sendBatch)
		}
		return
	}
	g.sendShareTo(s, g.members.domainAddresses())
}

// shareBatch collects load shares that are sent on together.
type shareBatch struct {
	mu     sync.Mutex
	shares map[string]*wirepb.LoadShare
	// skip is the number of gateways that are skipped in the order of those that
	// collect. sentAt is when a load share was last sent to one, and receivedAt when one
	// last came back in a batch.
	skip               int
	sentAt, receivedAt time.Duration
}

// skipBatchers returns the number of gateways to skip in the order of those that collect
// load shares. It grows when no batch has arrived since the last load share, and is 0
// again after some time.
func (b *shareBatch) skipBatchers(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.sentAt > 0 && b.receivedAt < b.sentAt && now-b.sentAt > batchTimeout:
		b.skip++
	case b.skip > 0 && now-b.sentAt > batchRetryTime:
		b.skip = 0
	}
	if b.receivedAt >= b.sentAt || now-b.sentAt > batchTimeout {
		b.sentAt = now
	}
	return b.skip
}

// recordBatch records that a batch with a load share of this gateway has arrived.
func (b *shareBatch) recordBatch(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receivedAt = now
}

// add adds the load share of a gateway, which replaces an earlier one. It reports
// whether it is the first one of a batch.
func (b *shareBatch) add(s *wirepb.LoadShare) (isFirst bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shares == nil {
		b.shares = map[string]*wirepb.LoadShare{}
	}
	isFirst = len(b.shares) == 0
	if old := b.shares[s.GetGateway()]; old == nil || old.GetIncarnation() != s.GetIncarnation() || old.GetSequence() < s.GetSequence() {
		b.shares[s.GetGateway()] = s
	}
	return isFirst
}

// take removes and returns the collected load shares, in messages of about
// maxSharedJobs jobs.
func (b *shareBatch) take() []*wirepb.LoadShare {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*wirepb.LoadShare
	jobs := maxSharedJobs
	for _, s := range b.shares {
		if jobs+len(s.GetRunning()) >= maxSharedJobs {
			out, jobs = append(out, &wirepb.LoadShare{}), 0
		}
		last := out[len(out)-1]
		last.Batch = append(last.Batch, s)
		// A load share without jobs takes some space as well.
		jobs += 1 + len(s.GetRunning())
	}
	clear(b.shares)
	return out
}

// sendBatch sends the collected load shares on to the failure domain.
func (g *Gateway) sendBatch() {
	addresses := g.members.domainAddresses()
	for _, m := range g.batch.take() {
		g.sendShareTo(m, addresses)
	}
	// Its own load shares have arrived as well.
	g.batch.recordBatch(bootclock.Now())
}

// share returns the load share of this gateway, with at most maxSharedJobs jobs.
func (g *Gateway) share(sequence uint64) *wirepb.LoadShare {
	b := g.workTable
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	s := &wirepb.LoadShare{
		Gateway: g.settings.ID, Incarnation: g.incarnation, Sequence: sequence, Verdicts: g.health.verdicts(now),
		NextWithinMs: uint32(g.shareInterval().Milliseconds()), CrashEvidence: g.suspects.evidenceMessage(now),
		RequestLimits: g.limits.message(now), Isolated: g.isolation.isIsolated(), Leaving: g.notices.leaving(),
	}
	for j := range b.local {
		if len(s.Running) == maxSharedJobs {
			break
		}
		r := &wirepb.RunningShare{
			Backend: j.backend, AgeMs: uint32(max(0, now-j.sent).Milliseconds()), PromptTokens: uint32(j.work.PromptTokens),
			PartTokens: uint32(j.work.PartTokens), OutputTokens: uint32(j.work.OutputTokens), Writing: j.work.Decoding,
			PauseMs: uint32(j.work.PauseMs), ObjectiveMs: uint32(j.work.ObjectiveMs), Helper: j.work.Helper,
			Request: j.work.Request, HeldTokens: uint32(j.work.HeldTokens),
		}
		if at := g.health.lastReceived(j.backend); at > 0 {
			r.HeardMs = uint32(max(0, now-at).Milliseconds()) + 1
		}
		if j.work.Decoding {
			r.WritingMs = uint32(max(0, ms(now)-j.work.DoneMs))
		}
		s.Running = append(s.Running, r)
	}
	return s
}

// receiveShares merges the datagrams of the other gateways until the socket is
// closed.
func (g *Gateway) receiveShares() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Warn("receive load share failed", observe.Error(err))
			time.Sleep(batchDelay)
			continue
		}
		g.receiveDatagram(buf[:n])
	}
}

// receiveDatagram merges one datagram of another gateway. A panic ends only that: a
// datagram that one gateway can't merge reaches all of them.
func (g *Gateway) receiveDatagram(data []byte) {
	defer func() {
		if p := recover(); p != nil {
			sharePanics.Inc()
			g.log.Error("merging a load share panicked", zap.Any("panic", p), zap.Int("bytes", len(data)), zap.StackSkip("stack", 2))
		}
	}()
	s := &wirepb.LoadShare{}
	if err := proto.Unmarshal(data, s); err != nil {
		sharesInvalid.Inc()
		g.log.Debug("invalid load share", zap.Int("bytes", len(data)), observe.Error(err))
		return
	}
	g.receiveShare(s)
}

// receiveShare merges one message of another gateway and relays it if it asks for that.
func (g *Gateway) receiveShare(s *wirepb.LoadShare) {
	if s.GetGateway() == "" && s.GetSummary() == nil && len(s.GetBatch()) == 0 {
		sharesInvalid.Inc()
		return
	}
	if s.GetRelay() {
		defer g.relayShare(s)
	}
	g.mergeCrashEvidence(s.GetCrashEvidence())
	g.mergeLimits(s.GetRequestLimits())
	g.mergeLeaving(s.GetLeaving())
	if summary := s.GetSummary(); summary != nil {
		g.mergeSummary(summary)
		return
	}
	if s.GetGateway() != "" {
		sharesReceived.Inc()
		g.mergeShare(s)
	}
	for _, part := range s.GetBatch() {
		switch part.GetGateway() {
		case "":
		case g.settings.ID:
			// Batches without it come from gateways that collect for other failure domains.
			g.batch.recordBatch(bootclock.Now())
		default:
			sharesReceived.Inc()
			g.mergeCrashEvidence(part.GetCrashEvidence())
			g.mergeLimits(part.GetRequestLimits())
			g.mergeLeaving(part.GetLeaving())
			g.mergeShare(part)
		}
	}
}

// mergeShare stores a load share from another gateway. It ignores the work in a
// load share that is not newer than the stored one of the same incarnation, or that has
// no sequence.
func (g *Gateway) mergeShare(s *wirepb.LoadShare) {
	now := bootclock.Now()
	if domain := g.members.recordContact(s.GetGateway(), s.GetIsolated(), now); domain != "" {
		g.recordContact(domain)
		// In another failure domain the network path to a backend server
		// differs.
		if domain == g.settings.FailureDomain {
			g.health.mergeVerdicts(s.GetGateway(), s.GetVerdicts(), now)
		}
	}
	b := g.workTable
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.others[s.GetGateway()]
	if s.GetSequence() == 0 || (old != nil && old.incarnation == s.GetIncarnation() && old.sequence >= s.GetSequence()) {
		return
	}
	received := &share{incarnation: s.GetIncarnation(), sequence: s.GetSequence(), at: now, lifetime: shareLifetime(milliseconds(int64(s.GetNextWithinMs())))}
	for _, r := range s.GetRunning() {
		if heard := r.GetHeardMs(); heard > 0 {
			g.health.recordReceived(r.GetBackend(), now-milliseconds(int64(heard-1)))
		}
		sent := now - milliseconds(int64(r.GetAgeMs()))
		w := enginemodel.Work{
			Request: r.GetRequest(), HeldTokens: float64(r.GetHeldTokens()), SentMs: ms(sent), PromptTokens: float64(r.GetPromptTokens()), PartTokens: float64(r.GetPartTokens()),
			OutputTokens: float64(r.GetOutputTokens()), Decoding: r.GetWriting(), Helper: r.GetHelper(),
			PauseMs: float64(r.GetPauseMs()), ObjectiveMs: float64(r.GetObjectiveMs()),
		}
		if w.Decoding {
			w.DoneMs = ms(now - milliseconds(int64(r.GetWritingMs())))
		}
		w.Value = estimatedValue(w)
		received.jobs = append(received.jobs, job{backend: r.GetBackend(), sent: sent, work: w})
	}
	b.replaceShare(s.GetGateway(), received, now)
}
