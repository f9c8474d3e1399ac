package stateserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// locateInterval is the time between two checks for missing processes.
	locateInterval = time.Second
	// locateAfter is how long a process must be missing before it gets the first notice. A
	// process that restarts, or whose path comes back, needs none in nearly all cases.
	locateAfter = 4 * time.Second
	// The pause between two notices to an address doubles from minLocatePause to maxLocatePause.
	minLocatePause = 2 * time.Second
	maxLocatePause = time.Minute
	// noticeTimeout bounds one notice.
	noticeTimeout = time.Second
	// maxNoticesAtOnce limits the notices sent in one check. After the loss of a failure domain
	// there may be hundreds of missing processes.
	maxNoticesAtOnce = 8
	// noticeDelay is how long a replica without state asks only the replicas of its settings, and
	// again after the last answer of one that belongs to a cluster. Its address may have been
	// that of a member of another cluster.
	noticeDelay = 3 * time.Second
)

// locator tells processes that are missing where members are. A process that was away may know
// only addresses at which there is no member any more.
type locator struct {
	s       *Server
	clients *wire.Pool
	// missing holds the missing processes by address.
	missing map[string]*missingProcess
}

// missingProcess is a process that is looked for. Next is the time of the next notice, and pause
// the time from that one to the following.
type missingProcess struct{ next, pause time.Duration }

// locateMissing looks for missing processes until ctx ends.
func (s *Server) locateMissing(ctx context.Context) {
	f := &locator{s: s, clients: wire.NewPool(s.wireOpts), missing: map[string]*missingProcess{}}
	defer f.clients.Close()
	for sleep(ctx, locateInterval) {
		found, ok := s.queryMissing(ctx)
		if !ok {
			return
		}
		if found.looks && s.opts.Missing != nil {
			found.missing = append(found.missing, s.opts.Missing()...)
		}
		f.update(found.missing, s.opts.Now())
		s.metrics.missing.Set(float64(len(f.missing)))
		f.notify(ctx, f.takeDue(s.opts.Now()), found.notice)
	}
}

// update replaces the missing processes by those at the given addresses.
func (f *locator) update(addresses []string, now time.Duration) {
	for a := range f.missing {
		if !slices.Contains(addresses, a) {
			delete(f.missing, a)
		}
	}
	for _, a := range addresses {
		if f.missing[a] == nil && a != f.s.settings.Listen {
			f.missing[a] = &missingProcess{next: now + locateAfter, pause: minLocatePause}
		}
	}
}

// takeDue returns the addresses that are to get a notice now, those that have waited longest
// first.
func (f *locator) takeDue(now time.Duration) []string {
	var due []string
	for a, p := range f.missing {
		if now >= p.next {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return int(f.missing[a].next - f.missing[b].next) })
	due = due[:min(len(due), maxNoticesAtOnce)]
	for _, a := range due {
		p := f.missing[a]
		p.next, p.pause = now+p.pause, min(2*p.pause, maxLocatePause)
	}
	return due
}

// notify sends a notice to each address and waits for the answers.
func (f *locator) notify(ctx context.Context, addresses []string, notice *wirepb.MembersNotice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() {
			defer f.clients.Drop(a)
			f.s.metrics.noticesSent.Inc()
			_, err := f.clients.Get(a).Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_MembersNotice{MembersNotice: notice}})
			if err != nil {
				f.s.log.Debug("missing process was not told of the members", zap.String("address", a), observe.Error(err))
				return
			}
			f.s.metrics.noticesAccepted.Inc()
			f.s.log.Info("missing process was told of the members", zap.String("address", a), zap.Strings("members", notice.GetAddresses()))
		})
	}
	wg.Wait()
}

// missingQuery requests from the loop the addresses of the processes that are missing.
type missingQuery struct{ reply chan<- missingReply }

// missingReply holds the addresses of the missing replicas, and what to tell them. Looks is set
// if this replica looks for other processes as well.
type missingReply struct {
	missing []string
	looks   bool
	notice  *wirepb.MembersNotice
}

func (m missingQuery) handle(l *loop) {
	if l.forming != nil {
		m.reply <- missingReply{}
		return
	}
	now := l.now()
	st, members := l.node.Status(now), l.node.MembershipAt(l.applied)
	r := missingReply{notice: l.notice(st, members)}
	if st.Role == raft.Leader && l.node.LeaseValid(now) {
		r.missing, r.looks = missingReplicas(st, members), true
	}
	// Without a leader each replica looks for the other processes, which may go on with the state
	// that there is. Missing replicas can't be added then.
	r.looks = r.looks || l.s.isLeaderless()
	m.reply <- r
}

// missingReplicas returns the addresses of the members that are lost, and of the former members.
// At the address of a lost member there may be a replica with an empty disk, which knows nothing
// of the messages to the lost one.
func missingReplicas(st raft.Status, members *wirepb.Membership) []string {
	var out, known []string
	for _, r := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		known = append(known, r.GetAddress())
		if slices.ContainsFunc(st.Progress, func(p raft.PeerStatus) bool { return p.ID == r.GetId() && isLost(p) }) {
			out = append(out, r.GetAddress())
		}
	}
	for _, r := range members.GetFormer() {
		if !slices.Contains(known, r.GetAddress()) {
			out = append(out, r.GetAddress())
		}
	}
	return out
}

// notice returns what missing processes are told: the addresses of this replica and of the members
// that aren't lost, as far as this one knows.
func (l *loop) notice(st raft.Status, members *wirepb.Membership) *wirepb.MembersNotice {
	addresses := []string{l.s.settings.Listen}
	for _, r := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		lost := slices.ContainsFunc(st.Progress, func(p raft.PeerStatus) bool { return p.ID == r.GetId() && isLost(p) })
		if !lost && r.GetAddress() != l.s.settings.Listen && len(addresses) < wire.MaxNoticeAddresses {
			addresses = append(addresses, r.GetAddress())
		}
	}
	return &wirepb.MembersNotice{Cluster: members.GetCluster(), Addresses: addresses}
}

// queryMissing returns the missing processes. It reports false if ctx or the server ended before.
func (s *Server) queryMissing(ctx context.Context) (missingReply, bool) {
	ch := make(chan missingReply, 1)
	if !s.enqueue(ctx, missingQuery{reply: ch}) {
		return missingReply{}, false
	}
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return missingReply{}, false
}

// notices holds the addresses of members that another process has told this one, which may be
// asked if those of the settings are gone.
type notices struct {
	mu        sync.Mutex
	addresses []string
	// began is when the server started, and answeredAt when a replica that belongs to a cluster
	// last answered a join request.
	began, answeredAt time.Duration
}

// set replaces the addresses.
func (n *notices) set(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses = addresses
}

// recordAnswer records that a replica that belongs to a cluster has answered.
func (n *notices) recordAnswer(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answeredAt = now
}

// all returns the addresses.
func (n *notices) all() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses
}

// usable returns the addresses if the replicas of the settings have not led to a cluster.
func (n *notices) usable(now time.Duration) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now-max(n.began, n.answeredAt) < noticeDelay {
		return nil
	}
	return n.addresses
}

// noticeRequest requests the loop to take a notice into account. The reply is the reason why it
// doesn't, or empty.
type noticeRequest struct {
	notice *wirepb.MembersNotice
	reply  chan<- string
}

func (m noticeRequest) handle(l *loop) {
	switch {
	case l.isForeign(m.notice.GetCluster()):
		m.reply <- "the replica belongs to another cluster"
	case l.forming == nil && !l.s.isLeaderless():
		m.reply <- "the replica follows a leader"
	default:
		if l.forming != nil {
			l.forming.toldOfCluster = true
		}
		l.s.notices.set(m.notice.GetAddresses())
		m.reply <- ""
	}
}

// receiveNotice serves a MembersNotice call.
func (s *Server) receiveNotice(ctx context.Context, st *wire.Stream, n *wirepb.MembersNotice) error {
	if kind := st.Peer().Kind; kind != wire.KindState && kind != wire.KindCtl {
		return errors.Errorf("notice of members from a process of kind %q", kind)
	}
	if err := wire.CheckMembersNotice(n); err != nil {
		return st.Send(wire.FailureEnvelope("notice of members", codeRefused, err))
	}
	ch := make(chan string, 1)
	if !s.enqueue(ctx, noticeRequest{notice: n, reply: ch}) {
		return errors.New("the replica is stopping")
	}
	select {
	case reason := <-ch:
		if reason != "" {
			return st.Send(wire.FailureEnvelope("notice of members", codeRefused, errors.New(reason)))
		}
		s.log.Info("told of members", zap.String("by", st.Peer().ID), zap.Strings("members", n.GetAddresses()))
		return st.Send(wire.AckEnvelope())
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-s.ctx.Done():
		return errors.New("the replica is stopping")
	}
}
