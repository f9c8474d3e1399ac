package gateway

import (
	"context"
	"net"
	"net/netip"
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
	// shareInterval is the time between two shares without changes.
	shareInterval = 500 * time.Millisecond
	// sharePause collects changes that come together into one datagram.
	sharePause = 4 * time.Millisecond
	// easedPause is how long progress and ends wait for new work to be shared with
	// them: about one pass of an engine.
	easedPause = 50 * time.Millisecond
	// maxSharedJobs bounds a datagram to about 8 KiB, at some 55 bytes a job.
	maxSharedJobs = 140
)

var (
	sharesSent     = metrics.GetOrCreateCounter(`bilberry_gateway_shares_sent_total`)
	sharesReceived = metrics.GetOrCreateCounter(`bilberry_gateway_shares_received_total`)
	sharesBad      = metrics.GetOrCreateCounter(`bilberry_gateway_shares_bad_total`)
)

// sendShares tells the other gateways about the own work, after each change and
// at intervals. Lost datagrams are made up for by the next one.
func (g *Gateway) sendShares(ctx context.Context) {
	due := time.NewTimer(shareInterval)
	defer due.Stop()
	soon := false // due stands at easedPause
	for sequence := uint64(1); ; {
		select {
		case <-ctx.Done():
			return
		case <-g.book.entered:
			if !sleep(ctx, sharePause) {
				return
			}
		case <-g.book.eased:
			if !soon {
				soon = true
				due.Reset(easedPause)
			}
			continue
		case <-due.C:
		}
		g.sendShare(sequence)
		sequence++
		soon = false
		due.Reset(shareInterval)
	}
}

func (g *Gateway) sendShare(sequence uint64) {
	data, err := proto.Marshal(g.share(sequence))
	if err != nil {
		g.log.Error("share not encoded", observe.Error(err))
		return
	}
	for _, address := range g.members.addresses() {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			sharesBad.Inc()
			continue
		}
		if _, err := g.udp.WriteToUDPAddrPort(data, to); err == nil {
			sharesSent.Inc()
		}
	}
}

func (g *Gateway) share(sequence uint64) *wirepb.LoadShare {
	b := g.book
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	s := &wirepb.LoadShare{
		Gateway: g.settings.ID, Incarnation: g.incarnation, Sequence: sequence, Verdicts: g.health.verdicts(now),
	}
	for j := range b.own {
		if len(s.Running) == maxSharedJobs {
			break
		}
		r := &wirepb.RunningShare{
			Backend: j.backend, AgeMs: uint32(max(0, now-j.sent).Milliseconds()), PromptTokens: uint32(j.work.PromptTokens),
			PartTokens: uint32(j.work.PartTokens), OutputTokens: uint32(j.work.OutputTokens), Writing: j.work.Writing,
			PauseMs: uint32(j.work.PauseMs), ObjectiveMs: uint32(j.work.ObjectiveMs), Helper: j.work.Helper,
			Request: j.work.Request, HeldTokens: uint32(j.work.HeldTokens),
		}
		if j.work.Writing {
			r.WritingMs = uint32(max(0, ms(now)-j.work.DoneMs))
		}
		s.Running = append(s.Running, r)
	}
	return s
}

// receiveShares merges the datagrams of the other gateways.
func (g *Gateway) receiveShares() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Warn("share not received", observe.Error(err))
			time.Sleep(sharePause)
			continue
		}
		s := &wirepb.LoadShare{}
		if err := proto.Unmarshal(buf[:n], s); err != nil || s.GetGateway() == "" {
			sharesBad.Inc()
			g.log.Debug("bad share", zap.Int("bytes", n), observe.Error(err))
			continue
		}
		sharesReceived.Inc()
		g.takeShare(s)
	}
}

func (g *Gateway) takeShare(s *wirepb.LoadShare) {
	now := bootclock.Now()
	if domain := g.members.heard(s.GetGateway(), now); domain != "" {
		g.heard(domain)
		// From another failure domain the way to a backend server is another one.
		if domain == g.settings.FailureDomain {
			g.health.hear(s.GetVerdicts(), now)
		}
	}
	b := g.book
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.others[s.GetGateway()]
	if old != nil && old.incarnation == s.GetIncarnation() && old.sequence >= s.GetSequence() {
		return
	}
	row := &share{incarnation: s.GetIncarnation(), sequence: s.GetSequence(), at: now}
	for _, r := range s.GetRunning() {
		sent := now - milliseconds(int64(r.GetAgeMs()))
		w := enginemodel.Work{
			Request: r.GetRequest(), HeldTokens: float64(r.GetHeldTokens()), SentMs: ms(sent), PromptTokens: float64(r.GetPromptTokens()), PartTokens: float64(r.GetPartTokens()),
			OutputTokens: float64(r.GetOutputTokens()), Writing: r.GetWriting(), Helper: r.GetHelper(),
			PauseMs: float64(r.GetPauseMs()), ObjectiveMs: float64(r.GetObjectiveMs()),
		}
		if w.Writing {
			w.DoneMs = ms(now - milliseconds(int64(r.GetWritingMs())))
		}
		w.Worth = worthOf(w)
		row.jobs = append(row.jobs, job{backend: r.GetBackend(), sent: sent, work: w})
	}
	b.replaceShare(s.GetGateway(), row, now)
}
