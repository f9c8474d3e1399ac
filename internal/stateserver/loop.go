package stateserver

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wal"
	"bilberryhub/internal/wirepb"
)

// maxMessageBatch bounds the messages handled before the loop processes the work
// of the consensus core, so that a flood of messages doesn't delay disk writes.
const maxMessageBatch = 256

// message is a request to the loop, sent by other goroutines with Server.enqueue.
// The loop calls handle.
type message interface{ handle(l *loop) }

// loop owns the consensus core and the state machine: only the goroutine of run
// uses them.
type loop struct {
	s       *Server
	log     *zap.Logger
	machine *statemachine.Machine
	node    *raft.Node
	// forming is set while the replica belongs to no cluster. The node then has
	// no membership, so that it neither votes nor starts an election.
	forming *forming
	// outstanding is the work that the persist goroutine carries out.
	outstanding *raft.Ready
	// toPersist passes outstanding work to the persist goroutine, and done returns
	// the result.
	toPersist chan raft.Ready
	done      chan error
	// waiters holds the proposals without an outcome, by log index.
	waiters     map[uint64]waiter
	applied     uint64
	appliedTerm uint64
	// snapshot is the latest durable snapshot, and snapshotting is set while the
	// next one is written.
	snapshot     *wirepb.Snapshot
	snapshotting bool
	// minSnapshotIndex is the applied index below which no snapshot is taken, and
	// bytesSinceSnapshot the size of the entries applied since the last one.
	minSnapshotIndex   uint64
	bytesSinceSnapshot int64
	// lastLeaderContact is the time of the last contact with a leader, or of the
	// start of the loop.
	lastLeaderContact time.Duration
	clock             leaderClock
	promotion         promotion
	role              raft.Role
	// cluster is the id of the cluster that this replica belongs to, or empty if it is not known.
	cluster string
	// joinRefusals limits the log lines about refused join requests, and foreignLines those about
	// messages of another cluster.
	joinRefusals, foreignLines *observe.LineLimit
	// err is the failure that ends the loop.
	err error
}

// newLoop restores the state machine and the consensus core from the recovered
// data. A data directory without a snapshot starts the formation.
func newLoop(s *Server, rec *wal.Recovered) (*loop, error) {
	l := &loop{
		s: s, log: s.log, machine: statemachine.New(),
		toPersist: make(chan raft.Ready, 1), done: make(chan error, 1), waiters: map[uint64]waiter{}, lastLeaderContact: s.opts.Now(),
		joinRefusals: observe.NewLineLimit(maxRefusedJoinLines), foreignLines: observe.NewLineLimit(maxForeignLines),
	}
	if rec.Snapshot != nil {
		if err := l.restore(rec.Snapshot); err != nil {
			return nil, errors.Trace(err)
		}
	}
	l.publish()
	if rec.Snapshot == nil {
		l.forming = &forming{done: make(chan struct{})}
		s.isForming.Store(true)
		s.metrics.withoutCluster.Set(1)
	}
	if err := l.startNode(raft.InitialState{HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries}); err != nil {
		return nil, errors.Trace(err)
	}
	if l.forming == nil {
		l.setMembers(l.applied)
	}
	if st := l.node.Status(l.now()); l.forming == nil && !slices.Contains(slices.Concat(st.Voters, st.Learners), s.id) {
		l.log.Error("this disk belongs to no member of its cluster; move the data directory away to join with a new identity",
			zap.String("replica", s.id), zap.Strings("voters", st.Voters), zap.Int("retired", len(st.Retired)))
	}
	return l, nil
}

// startNode creates the consensus core, in place of the previous one if any.
func (l *loop) startNode(init raft.InitialState) error {
	node, err := raft.New(l.s.raftConfig(), init, l.s.opts.Now())
	if err != nil {
		return errors.Annotate(err, "start consensus core")
	}
	l.node = node
	return nil
}

// run handles messages until ctx ends or the replica can't continue, and returns the
// failure in the latter case.
func (l *loop) run(ctx context.Context) error {
	l.s.wg.Go(func() { l.persist(ctx) })
	if f := l.forming; f != nil {
		l.s.wg.Go(func() { l.s.joinCluster(ctx, f.done) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for l.err == nil {
		var turn string
		var start time.Duration
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.s.inbox:
			turn, start = "messages", l.now()
			m.handle(l)
			l.drainInbox()
		case err := <-l.done:
			turn, start = "durable", l.now()
			l.finishReady(err)
		case <-ticker.C:
			turn, start = "tick", l.now()
			l.tick()
		}
		l.processReady()
		l.reportTurn(turn, l.now()-start)
	}
	return l.err
}

// slowTurnThreshold is the duration from which a turn (one iteration of the loop) is
// logged: a leader has to send a heartbeat in each interval.
const slowTurnThreshold = heartbeatInterval

// reportTurn records the duration of one turn, for which new messages had to wait.
func (l *loop) reportTurn(turn string, took time.Duration) {
	l.s.metrics.turnSeconds.Update(took.Seconds())
	if took >= slowTurnThreshold {
		l.log.Warn("slow iteration of the state loop", zap.String("turn", turn), observe.Milliseconds("took_ms", took),
			zap.Uint64("applied", l.applied), zap.Int("messages_waiting", len(l.s.inbox)), zap.Int("proposals_waiting", len(l.waiters)))
	}
}

// drainInbox handles the messages in the inbox, up to maxMessageBatch.
func (l *loop) drainInbox() {
	for range maxMessageBatch {
		select {
		case m := <-l.s.inbox:
			m.handle(l)
		default:
			return
		}
	}
}

// now returns the monotonic time since the process started.
func (l *loop) now() time.Duration { return l.s.opts.Now() }

// tick does the periodic work of the loop, every tickInterval.
func (l *loop) tick() {
	now := l.now()
	l.node.Tick(now)
	l.advanceClock(now)
	l.promoteLearners(now)
	l.publishLeadership(now)
	if l.node.Retired() {
		// A replica with another disk has replaced this one, so the data stored here
		// stays outdated.
		members := memberAddresses(l.node.CommittedMembership())
		l.err = &RetiredError{ID: l.s.id, Members: slices.DeleteFunc(members, func(a string) bool { return a == l.s.settings.Listen })}
	}
}

// processReady processes the work of the consensus core until some of it must be
// synced to disk. The persist goroutine then continues.
func (l *loop) processReady() {
	for l.err == nil && l.outstanding == nil && l.node.HasReady() {
		rd := l.node.Ready()
		l.send(rd.Messages)
		l.outstanding = &rd
		if rd.MustSync {
			l.toPersist <- rd
			return
		}
		l.finishReady(nil)
	}
}

// finishReady completes the outstanding work after it is durable, or fails the
// replica if err is set.
func (l *loop) finishReady(err error) {
	rd := l.outstanding
	l.outstanding = nil
	if err != nil {
		l.err = errors.Annotate(err, "make log durable")
		return
	}
	l.send(rd.AfterPersist)
	if rd.Snapshot != nil {
		if err := l.install(rd.Snapshot); err != nil {
			l.err = err
			return
		}
	}
	if err := l.apply(rd.Committed); err != nil {
		l.err = err
		return
	}
	l.node.Advance(rd.Persisted())
	l.maybeSnapshot()
}

// persist makes outstanding work durable until ctx ends. It runs in its own
// goroutine, so that the loop doesn't wait for the disk.
func (l *loop) persist(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rd := <-l.toPersist:
			l.done <- l.s.retryWhileDiskFull(ctx, func() error { return l.writeReady(rd) })
		}
	}
}

// writeReady writes the snapshot, entries and hard state of rd to the log. It runs in
// the persist goroutine.
func (l *loop) writeReady(rd raft.Ready) error {
	if rd.Snapshot != nil {
		// It is saved already if the disk had no space for the entries after it.
		err := l.s.wal.SaveSnapshot(rd.Snapshot, true)
		if err != nil && !errors.Is(err, wal.ErrSnapshotOutdated) {
			return errors.Trace(err)
		}
	}
	l.s.metrics.batchEntries.Update(float64(len(rd.Entries)))
	return errors.Trace(l.s.wal.Append(wal.Batch{HardState: rd.HardState, Entries: rd.Entries}))
}

// setMembers sets the members to those at an applied index and those of the latest entry in the
// log. A replica that starts again may not know yet that this one is committed, while the
// others have all been replaced since.
func (l *loop) setMembers(applied uint64) {
	l.s.peers.setMembers(l.node.MembershipAt(applied), l.node.MembershipAt(math.MaxUint64))
}

// restore replaces the content of the state machine by that of a snapshot. It ends
// the formation, because the replica then belongs to a cluster.
func (l *loop) restore(snap *wirepb.Snapshot) error {
	state := &wirepb.StateSnapshot{}
	if err := proto.Unmarshal(snap.GetData(), state); err != nil {
		return errors.Annotatef(err, "decode snapshot at entry %d", snap.GetIndex())
	}
	if err := l.machine.Restore(state); err != nil {
		return errors.Annotatef(err, "snapshot at entry %d", snap.GetIndex())
	}
	l.applied, l.appliedTerm, l.snapshot, l.bytesSinceSnapshot = snap.GetIndex(), snap.GetTerm(), snap, 0
	l.bindCluster(snap.GetMembership())
	l.s.isForming.Store(false)
	l.s.metrics.withoutCluster.Set(0)
	if l.forming != nil {
		close(l.forming.done)
		l.forming = nil
	}
	return nil
}

// install restores a snapshot that was received from the leader. The outcome of
// proposals that it may contain is unknown.
func (l *loop) install(snap *wirepb.Snapshot) error {
	if err := l.restore(snap); err != nil {
		return errors.Trace(err)
	}
	for index, w := range l.waiters {
		if index <= snap.GetIndex() {
			w.answer(failureOutcome(CodeOutcomeUnknown, "a snapshot has replaced the log"))
			delete(l.waiters, index)
		}
	}
	l.log.Info("snapshot installed", zap.Uint64("index", snap.GetIndex()))
	l.s.peers.setMembers(snap.GetMembership())
	l.publish()
	return nil
}

// apply applies committed entries and answers the proposals among them, after the configuration
// was published: who reads it after an answer must not get an older one.
func (l *loop) apply(entries []*wirepb.LogEntry) error {
	results := make([]*wirepb.Result, len(entries))
	for i, e := range entries {
		switch e.GetKind() {
		case wirepb.LogEntry_KIND_COMMAND:
			cmd := &wirepb.Command{}
			if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
				return errors.Annotatef(err, "decode command of entry %d", e.GetIndex())
			}
			results[i] = l.machine.Apply(e.GetIndex(), cmd)
		case wirepb.LogEntry_KIND_MEMBERSHIP:
			l.log.Info("membership changed", append(membershipFields(l.node.MembershipAt(e.GetIndex())), zap.Uint64("index", e.GetIndex()))...)
			l.setMembers(e.GetIndex())
		}
		l.applied, l.appliedTerm = e.GetIndex(), e.GetTerm()
		l.bytesSinceSnapshot += int64(len(e.GetData()))
	}
	if len(entries) == 0 {
		return nil
	}
	l.s.metrics.applied.Set(float64(l.applied))
	l.publish()
	for i, e := range entries {
		l.answerWaiter(e, results[i])
	}
	return nil
}

// snapshotDue reports whether enough entries or bytes were applied since the last
// snapshot.
func (l *loop) snapshotDue() bool {
	if l.applied < l.minSnapshotIndex {
		return false
	}
	set := l.s.settings
	return l.applied >= l.snapshot.GetIndex()+set.SnapshotEntries || (set.SnapshotBytes > 0 && l.bytesSinceSnapshot >= set.SnapshotBytes)
}

// maybeSnapshot starts a snapshot when one is due. Another goroutine encodes and
// writes it, so that the loop continues meanwhile.
func (l *loop) maybeSnapshot() {
	if l.snapshotting || !l.snapshotDue() {
		return
	}
	l.snapshotting, l.bytesSinceSnapshot = true, 0
	state := l.machine.Snapshot()
	snap := &wirepb.Snapshot{
		Index: l.applied, Term: l.appliedTerm, Membership: proto.CloneOf(l.node.MembershipAt(l.applied)),
	}
	l.s.wg.Go(func() {
		var err error
		if snap.Data, err = state.Encode(); err == nil {
			err = l.s.wal.SaveSnapshot(snap, false)
		}
		l.s.enqueue(l.s.ctx, snapshotSaved{snap: snap, err: err})
	})
}

// snapshotSaved reports to the loop that a snapshot was written or failed.
type snapshotSaved struct {
	snap *wirepb.Snapshot
	err  error
}

func (m snapshotSaved) handle(l *loop) {
	l.snapshotting = false
	switch {
	case errors.Is(m.err, wal.ErrSnapshotOutdated):
	case isDiskFull(m.err):
		// The log is intact. The snapshot is tried again later, because operators may
		// free disk space meanwhile.
		l.minSnapshotIndex = l.applied + l.s.settings.SnapshotEntries/10 + 1
		l.bytesSinceSnapshot = max(l.bytesSinceSnapshot, l.s.settings.SnapshotBytes)
		l.log.Error("snapshot not written; disk is full", observe.Error(m.err))
	case m.err != nil:
		l.err = errors.Annotate(m.err, "save snapshot")
	default:
		l.snapshot = m.snap
		l.node.Compact(m.snap)
		l.s.metrics.snapshots.Inc()
		l.log.Info("snapshot saved", zap.Uint64("index", m.snap.GetIndex()), zap.Int("bytes", len(m.snap.GetData())))
	}
}
