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
	// configHeartbeatInterval is the time between two ConfigHeartbeats.
	configHeartbeatInterval = 500 * time.Millisecond
	// confirmationLifetime is how long a heartbeat of the leader confirms the
	// configuration here, counted from the probe that it echoes: two intervals,
	// so that a probe may be answered one interval late. Subscribers call a
	// configuration stale after 3 s.
	confirmationLifetime = 2 * configHeartbeatInterval
	// leadershipLifetime is how long the loop's last look at the lease counts.
	// A loop that stalls for longer makes the replica not fresh.
	leadershipLifetime = 5 * tickInterval
)

// publication is a configuration that subscribers may read.
type publication struct {
	config  *wirepb.ConfigSnapshot
	message *wire.Prepared
	// changed is closed when a newer publication exists.
	changed chan struct{}
}

// publish hands the configuration in force to the subscribers.
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

// freshness records the proofs that the configuration here is in force.
type freshness struct {
	mu sync.Mutex
	// checked is when the loop last looked; leads tells whether it held a valid
	// lease then, and contact is the age of the last contact with the leader.
	checked time.Duration
	leads   bool
	contact time.Duration
	leader  string
	// silence is the time without a leader, counted from the start of the replica
	// where none was heard yet.
	silence time.Duration
	// confirmed is when the probe was sent that the last heartbeat of the leader
	// with a valid lease echoed.
	confirmed       time.Duration
	confirmedBy     string
	confirmedConfig uint64
	hasConfirmation bool
}

// publishLeadership lets other goroutines know of the lease and the leader.
func (l *loop) publishLeadership(now time.Duration) {
	leader, age := l.node.LeaderContact(now)
	if age < 0 {
		leader, age = "", math.MaxInt64
	} else {
		l.leaderAt = max(l.leaderAt, now-age)
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
	f.checked, f.leads, f.contact, f.leader = now, l.node.LeaseValid(now), age, leader
	f.silence = l.leaderSilence(now)
	l.s.leader.Store(&leader)
}

// fresh reports whether the configuration here is proven to be in force: by
// the own lease, or by recent contact with the leader together with a recent
// heartbeat of it that shows its lease and no newer configuration.
func (s *Server) fresh() bool {
	index := s.published.Load().config.GetIndex()
	f := &s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	now := s.opts.Now()
	switch {
	case f.checked == 0 || now-f.checked > leadershipLifetime:
		return false
	case f.leads:
		return true
	case f.contact > leaseDuration || !f.hasConfirmation || f.confirmedBy != f.leader:
		return false
	}
	return now-f.confirmed <= confirmationLifetime && index >= f.confirmedConfig
}

// confirmFromLeader keeps a subscription to the leader for its heartbeats.
func (s *Server) confirmFromLeader(ctx context.Context) {
	for sleep(ctx, leaderPoll) {
		leader := s.leader.Load()
		if leader == nil || *leader == "" || *leader == s.id {
			continue
		}
		address, ok := s.peers.address(*leader)
		if !ok {
			continue
		}
		s.followLeader(ctx, *leader, address)
	}
}

// followLeader records the heartbeats of one leader until it changes.
func (s *Server) followLeader(ctx context.Context, leader, address string) {
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
		for sleep(ctx, s.confirmInterval()) {
			if st.Send(s.leaderProbe(probes)) != nil {
				cancel()
			}
		}
	})
	for *s.leader.Load() == leader {
		// A leader that is silent is replaced; the timer ends the wait for it.
		timer := time.AfterFunc(confirmationLifetime, cancel)
		env, err := st.Recv()
		timer.Stop()
		if err != nil || st.Peer().ID != leader {
			return
		}
		s.confirm(leader, env.GetConfigHeartbeat(), probes)
	}
}

// confirmInterval is the pause between two probes to the leader: short while the
// configuration here is not proven to be in force.
func (s *Server) confirmInterval() time.Duration {
	if s.fresh() {
		return configHeartbeatInterval
	}
	return 2 * leaderPoll
}

// leaderProbe returns a Subscribe message that the leader's heartbeats echo.
// The highest index asks for heartbeats only.
func (s *Server) leaderProbe(probes *configsync.Probes[time.Duration]) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{
		Subscribe: &wirepb.Subscribe{KnownIndex: math.MaxUint64, Probe: probes.Next(s.opts.Now())},
	}}
}

// confirm records a heartbeat of the leader. It counts from the probe that it
// echoes: this process may have been paused while the heartbeat waited in a
// buffer, and a time of receipt would make it fresh on old heartbeats.
func (s *Server) confirm(leader string, hb *wirepb.ConfigHeartbeat, probes *configsync.Probes[time.Duration]) {
	at, ok := probes.SentAt(hb.GetProbe())
	if !hb.GetFresh() || !ok {
		return
	}
	f := &s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed, f.confirmedBy, f.confirmedConfig, f.hasConfirmation = at, leader, hb.GetIndex(), true
}

// subscribe answers a Subscribe call. A subscriber that is slow or was away
// gets the latest configuration only.
func (s *Server) subscribe(ctx context.Context, st *wire.Stream, sub *wirepb.Subscribe) error {
	s.metrics.subscribers.Inc()
	defer s.metrics.subscribers.Dec()
	return configsync.ServeSubscription(ctx, st, sub, source{s})
}

// source is what subscribers are served.
type source struct{ s *Server }

func (c source) Config() *wire.Prepared   { return c.s.published.Load().message }
func (c source) Changed() <-chan struct{} { return c.s.published.Load().changed }
func (c source) Fresh() bool              { return c.s.fresh() }
func (c source) Sent()                    { c.s.metrics.configsSent.Inc() }
