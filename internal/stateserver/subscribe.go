package stateserver

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/configsync"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// configHeartbeatInterval is the time between two ConfigHeartbeat messages.
	configHeartbeatInterval = 500 * time.Millisecond
	// confirmationLifetime is how long a heartbeat of the leader confirms the
	// configuration of this replica, measured from the send time of the probe that
	// the heartbeat echoes: two intervals, so that a probe may be answered one
	// interval late. Subscribers treat a configuration as stale after 3 s.
	confirmationLifetime = 2 * configHeartbeatInterval
	// leaseCheckLifetime is how long the loop's last check of the lease is valid.
	// If the loop stalls for longer, the replica is not fresh.
	leaseCheckLifetime = 5 * tickInterval
)

// publication is an immutable configuration that the loop has published to the
// other goroutines.
type publication struct {
	config *wirepb.ConfigSnapshot
	// message is config encoded for subscribers.
	message *wire.Prepared
	// changed is closed when a newer publication exists.
	changed chan struct{}
}

// publish publishes the configuration in force if it has changed, and wakes the
// subscribers.
func (l *loop) publish() {
	config := l.machine.Config()
	old := l.s.published.Load()
	if old != nil && old.config == config {
		return
	}
	if old != nil {
		invariant.Must(config.GetIndex() >= old.config.GetIndex(), "stateserver_config_never_reverts",
			"config index %d after %d", config.GetIndex(), old.config.GetIndex())
	}
	l.s.published.Store(&publication{config: config, message: configsync.Message(config), changed: make(chan struct{})})
	l.s.metrics.configIndex.Set(float64(config.GetIndex()))
	if old != nil {
		close(old.changed)
	}
}

// freshness records the proofs that the configuration of this replica is in force.
type freshness struct {
	mu sync.Mutex
	// checkedAt is when the loop last checked the leadership, or 0. The following
	// four fields are as of that time: whether this replica held a valid lease, the
	// age of the last contact with the leader, the replica id of the leader, and the
	// time without a leader, measured from the start of the replica if there was no
	// contact yet.
	checkedAt     time.Duration
	leaseValid    bool
	contactAge    time.Duration
	leader        string
	leaderlessFor time.Duration
	// confirmedAt is when the probe was sent that the last heartbeat of a leader with
	// a valid lease echoed. confirmedBy is that leader, and confirmedIndex the index
	// of its configuration. They are valid if hasConfirmation is set.
	confirmedAt     time.Duration
	confirmedBy     string
	confirmedIndex  uint64
	hasConfirmation bool
}

// publishLeadership publishes the state of the lease and the leader to the other
// goroutines.
func (l *loop) publishLeadership(now time.Duration) {
	leader, age := l.node.LeaderContact(now)
	if age < 0 {
		leader, age = "", math.MaxInt64
	} else {
		l.lastLeaderContact = max(l.lastLeaderContact, now-age)
	}
	role := raft.Follower
	if leader == l.s.id {
		role = raft.Leader
	}
	if role != l.role {
		l.role = role
		l.s.metrics.setRole(role)
		st := l.node.Status(now)
		l.log.Info("role changed", zap.String("role", string(role)), zap.String("leader", leader), zap.Uint64("term", st.Term),
			zap.Uint64("commit", st.Commit))
	}
	f := &l.s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkedAt, f.leaseValid, f.contactAge, f.leader = now, l.node.LeaseValid(now), age, leader
	f.leaderlessFor = l.timeWithoutLeader(now)
	l.s.leader.Store(&leader)
}

// fresh reports whether the configuration of this replica is proven to be in force:
// by its own lease, or by recent contact with the leader together with a recent
// heartbeat of the leader that proves its lease and shows no newer configuration.
func (s *Server) fresh() bool {
	index := s.published.Load().config.GetIndex()
	f := &s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	now := s.opts.Now()
	switch {
	case f.checkedAt == 0 || now-f.checkedAt > leaseCheckLifetime:
		return false
	case f.leaseValid:
		return true
	case f.contactAge > leaseDuration || !f.hasConfirmation || f.confirmedBy != f.leader:
		return false
	}
	return now-f.confirmedAt <= confirmationLifetime && index >= f.confirmedIndex
}

// subscribeToLeader keeps a subscription to the current leader for its heartbeats,
// until ctx ends.
func (s *Server) subscribeToLeader(ctx context.Context) {
	for sleep(ctx, leaderPollInterval) {
		leader := s.leader.Load()
		if leader == nil || *leader == "" || *leader == s.id {
			continue
		}
		address, ok := s.peers.address(*leader)
		if !ok {
			continue
		}
		s.receiveHeartbeats(ctx, *leader, address)
	}
}

// receiveHeartbeats sends probes to one leader and records its heartbeats, until the
// leader changes or the subscription fails.
func (s *Server) receiveHeartbeats(ctx context.Context, leader, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probes := &configsync.Probes[time.Duration]{}
	st, err := s.clients.Get(address).Open(ctx, s.leaderProbe(probes))
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer st.Close()
	defer cancel()
	wg.Go(func() {
		for sleep(ctx, s.leaderProbeInterval()) {
			if st.Send(s.leaderProbe(probes)) != nil {
				cancel()
			}
		}
	})
	for *s.leader.Load() == leader {
		// A leader that doesn't respond is replaced by another one; the timer ends
		// the wait for its heartbeat.
		timer := time.AfterFunc(confirmationLifetime, cancel)
		env, err := st.Recv()
		timer.Stop()
		if err != nil || st.Peer().ID != leader {
			return
		}
		s.recordHeartbeat(leader, env.GetConfigHeartbeat(), probes)
	}
}

// leaderProbeInterval returns the pause between two probes to the leader, which is
// short while the configuration of this replica is not proven to be in force.
func (s *Server) leaderProbeInterval() time.Duration {
	if s.fresh() {
		return configHeartbeatInterval
	}
	return 2 * leaderPollInterval
}

// leaderProbe returns a Subscribe message with a new probe, which the leader's
// heartbeats echo. With the highest possible known index, the leader sends only
// heartbeats and no configuration.
func (s *Server) leaderProbe(probes *configsync.Probes[time.Duration]) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{
		Subscribe: &wirepb.Subscribe{KnownIndex: math.MaxUint64, Probe: probes.Next(s.opts.Now())},
	}}
}

// recordHeartbeat records a heartbeat of the leader. Its age is measured from the
// send time of the probe that it echoes: this process may have been paused while
// the heartbeat waited in a buffer, and with the time of receipt old heartbeats
// would make the replica fresh.
func (s *Server) recordHeartbeat(leader string, hb *wirepb.ConfigHeartbeat, probes *configsync.Probes[time.Duration]) {
	sentAt, ok := probes.SentAt(hb.GetProbe())
	if !hb.GetFresh() || !ok {
		return
	}
	f := &s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt, f.confirmedBy, f.confirmedIndex, f.hasConfirmation = sentAt, leader, hb.GetIndex(), true
}

// subscribe serves a Subscribe call. A subscriber that is slow or was disconnected
// gets only the latest configuration.
func (s *Server) subscribe(ctx context.Context, st *wire.Stream, sub *wirepb.Subscribe) error {
	s.metrics.subscribers.Inc()
	defer s.metrics.subscribers.Dec()
	return configsync.ServeSubscription(ctx, st, sub, source{s})
}

// source implements configsync.Source.
type source struct{ s *Server }

func (c source) Config() *wire.Prepared   { return c.s.published.Load().message }
func (c source) Changed() <-chan struct{} { return c.s.published.Load().changed }
func (c source) Fresh() bool              { return c.s.fresh() }
func (c source) Sent()                    { c.s.metrics.configsSent.Inc() }
