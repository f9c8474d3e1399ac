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

// maxBatch bounds the messages handled between two looks at the consensus
// core, so that a flood of messages does not delay durable work.
const maxBatch = 256

// message is sent to the loop by other goroutines.
type message interface{ handle(l *loop) }

// loop owns the consensus core and the state machine.
type loop struct {
	s       *Server
	log     *zap.Logger
	machine *statemachine.Machine
	node    *raft.Node
	// forming is nil unless the replica belongs to no cluster. The node then
	// has no membership, so that it neither votes nor starts an election.
	forming *forming
	// outstanding is the work that the disk goroutine carries out.
	outstanding *raft.Ready
	jobs        chan raft.Ready
	done        chan error
	waiters     map[uint64]waiter
	applied     uint64
	appliedTerm uint64
	// snapshot is the latest durable one, and snapshotting is set while the
	// next one is written.
	snapshot     *wirepb.Snapshot
	snapshotting bool
	// snapshotFrom is the applied index from which the next one is taken, and
	// logBytes the size of the entries that were applied since the last one.
	snapshotFrom uint64
	logBytes     int64
	// leaderAt is the last contact with a leader, or the start of the loop.
	leaderAt time.Duration
	clock    leaderClock
	repair   repair
	role     raft.Role
	err      error
}

func newLoop(s *Server, rec *wal.Recovered) (*loop, error) {
	l := &loop{
		s: s, log: s.log, machine: statemachine.New(),
		jobs: make(chan raft.Ready, 1), done: make(chan error, 1), waiters: map[uint64]waiter{}, leaderAt: s.opts.Now(),
	}
	if rec.Snapshot != nil {
		if err := l.restore(rec.Snapshot); err != nil {
			return nil, errors.Trace(err)
		}
	}
	l.publish()
	if rec.Snapshot == nil {
		l.forming = &forming{done: make(chan struct{})}
	}
	if err := l.startNode(raft.InitialState{HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries}); err != nil {
		return nil, errors.Trace(err)
	}
	if l.forming == nil {
		l.s.peers.retain(l.node.MembershipAt(math.MaxUint64))
	}
	if st := l.node.Status(l.now()); l.forming == nil && !slices.Contains(slices.Concat(st.Voters, st.Learners), s.id) {
		l.log.Error("this disk belongs to no member of its cluster; move the data folder away to join with a new identity",
			zap.String("replica", s.id), zap.Strings("voters", st.Voters), zap.Strings("retired", st.Retired))
	}
	return l, nil
}

func (l *loop) startNode(init raft.InitialState) error {
	node, err := raft.New(l.s.raftConfig(), init, l.s.opts.Now())
	if err != nil {
		return errors.Annotate(err, "start consensus core")
	}
	l.node = node
	return nil
}

// run handles messages until ctx ends or the replica cannot continue.
func (l *loop) run(ctx context.Context) error {
	l.s.wg.Go(func() { l.persist(ctx) })
	if f := l.forming; f != nil {
		l.s.wg.Go(func() { l.s.form(ctx, f.done) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for l.err == nil {
		var turn string
		var began time.Duration
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.s.inbox:
			turn, began = "messages", l.now()
			m.handle(l)
			l.handleWaiting()
		case err := <-l.done:
			turn, began = "durable", l.now()
			l.finishOutstanding(err)
		case <-ticker.C:
			turn, began = "tick", l.now()
			l.tick()
		}
		l.pump()
		l.reportTurn(turn, l.now()-began)
	}
	return l.err
}

// slowTurn is the length of a turn of the loop from which it is logged: a leader
// has to send a heartbeat in each interval.
const slowTurn = heartbeatInterval

// reportTurn records how long the loop did not look at new messages.
func (l *loop) reportTurn(turn string, took time.Duration) {
	l.s.metrics.turnSeconds.Update(took.Seconds())
	if took >= slowTurn {
		l.log.Warn("slow turn of the state loop", zap.String("turn", turn), observe.Milliseconds("took_ms", took),
			zap.Uint64("applied", l.applied), zap.Int("messages_waiting", len(l.s.inbox)), zap.Int("proposals_waiting", len(l.waiters)))
	}
}

func (l *loop) handleWaiting() {
	for range maxBatch {
		select {
		case m := <-l.s.inbox:
			m.handle(l)
		default:
			return
		}
	}
}

func (l *loop) now() time.Duration { return l.s.opts.Now() }

func (l *loop) tick() {
	now := l.now()
	l.node.Tick(now)
	l.advanceClock(now)
	l.promoteLearners(now)
	l.publishLeadership(now)
	if l.node.Retired() {
		// Another disk has taken the place of this one, so what is stored here
		// is outdated for good.
		l.err = &RetiredError{ID: l.s.id}
	}
}

// pump takes work from the consensus core until the disk is needed.
func (l *loop) pump() {
	for l.err == nil && l.outstanding == nil && l.node.HasReady() {
		rd := l.node.Ready()
		l.s.peers.send(rd.Messages)
		l.outstanding = &rd
		if rd.MustSync {
			l.jobs <- rd
			return
		}
		l.finishOutstanding(nil)
	}
}

// finishOutstanding continues after the outstanding work is durable.
func (l *loop) finishOutstanding(err error) {
	rd := l.outstanding
	l.outstanding = nil
	if err != nil {
		l.err = errors.Annotate(err, "make log durable")
		return
	}
	l.s.peers.send(rd.AfterPersist)
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

// persist is the disk goroutine.
func (l *loop) persist(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rd := <-l.jobs:
			l.done <- l.write(rd)
		}
	}
}

func (l *loop) write(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := l.s.wal.SaveSnapshot(rd.Snapshot, true); err != nil {
			return errors.Trace(err)
		}
	}
	l.s.metrics.batchEntries.Update(float64(len(rd.Entries)))
	return errors.Trace(l.s.wal.Append(wal.Batch{HardState: rd.HardState, Entries: rd.Entries}))
}

// restore replaces the state machine by the content of a snapshot.
func (l *loop) restore(snap *wirepb.Snapshot) error {
	state := &wirepb.StateSnapshot{}
	if err := proto.Unmarshal(snap.GetData(), state); err != nil {
		return errors.Annotatef(err, "decode snapshot at entry %d", snap.GetIndex())
	}
	if err := l.machine.Restore(state); err != nil {
		return errors.Annotatef(err, "snapshot at entry %d", snap.GetIndex())
	}
	l.applied, l.appliedTerm, l.snapshot, l.logBytes = snap.GetIndex(), snap.GetTerm(), snap, 0
	if l.forming != nil {
		close(l.forming.done)
		l.forming = nil
	}
	return nil
}

// install restores a snapshot that was received from the leader. Proposals
// that it may contain have an unknown outcome.
func (l *loop) install(snap *wirepb.Snapshot) error {
	if err := l.restore(snap); err != nil {
		return errors.Trace(err)
	}
	for index, w := range l.waiters {
		if index <= snap.GetIndex() {
			w.answer(failed(CodeOutcomeUnknown, "a snapshot has replaced the log"))
			delete(l.waiters, index)
		}
	}
	l.log.Info("snapshot installed", zap.Uint64("index", snap.GetIndex()))
	l.s.peers.retain(snap.GetMembership())
	l.publish()
	return nil
}

// apply applies committed entries and answers the proposals among them.
func (l *loop) apply(entries []*wirepb.LogEntry) error {
	for _, e := range entries {
		var result *wirepb.Result
		switch e.GetKind() {
		case wirepb.LogEntry_KIND_COMMAND:
			cmd := &wirepb.Command{}
			if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
				return errors.Annotatef(err, "decode command of entry %d", e.GetIndex())
			}
			result = l.machine.Apply(e.GetIndex(), cmd)
		case wirepb.LogEntry_KIND_MEMBERSHIP:
			m := l.node.MembershipAt(e.GetIndex())
			l.log.Info("membership changed", zap.Uint64("index", e.GetIndex()), zap.Stringer("membership", m))
			l.s.peers.retain(m)
		}
		l.applied, l.appliedTerm = e.GetIndex(), e.GetTerm()
		l.logBytes += int64(len(e.GetData()))
		l.answerWaiter(e, result)
	}
	if len(entries) > 0 {
		l.s.metrics.applied.Set(float64(l.applied))
		l.publish()
	}
	return nil
}

// snapshotDue reports whether enough was applied since the last snapshot.
func (l *loop) snapshotDue() bool {
	if l.applied < l.snapshotFrom {
		return false
	}
	set := l.s.settings
	return l.applied >= l.snapshot.GetIndex()+set.SnapshotEntries || (set.SnapshotBytes > 0 && l.logBytes >= set.SnapshotBytes)
}

// maybeSnapshot starts a snapshot when one is due. Encoding and writing run next
// to the loop.
func (l *loop) maybeSnapshot() {
	if l.snapshotting || !l.snapshotDue() {
		return
	}
	l.snapshotting, l.logBytes = true, 0
	state := l.machine.Snapshot()
	snap := &wirepb.Snapshot{
		Index: l.applied, Term: l.appliedTerm, Membership: proto.CloneOf(l.node.MembershipAt(l.applied)),
	}
	l.s.wg.Go(func() {
		var err error
		if snap.Data, err = state.Encode(); err == nil {
			err = l.s.wal.SaveSnapshot(snap, false)
		}
		l.s.tell(l.s.ctx, snapshotSaved{snap: snap, err: err})
	})
}

// snapshotSaved reports the end of a snapshot.
type snapshotSaved struct {
	snap *wirepb.Snapshot
	err  error
}

func (m snapshotSaved) handle(l *loop) {
	l.snapshotting = false
	var full *wal.DiskFullError
	switch {
	case errors.Is(m.err, wal.ErrSnapshotOutdated):
	case errors.As(m.err, &full):
		// The log is intact. A later attempt is made, because operators may make
		// room meanwhile.
		l.snapshotFrom = l.applied + l.s.settings.SnapshotEntries/10 + 1
		l.logBytes = max(l.logBytes, l.s.settings.SnapshotBytes)
		l.log.Error("snapshot not written", observe.Error(m.err))
	case m.err != nil:
		l.err = errors.Annotate(m.err, "save snapshot")
	default:
		l.snapshot = m.snap
		l.node.Compact(m.snap)
		l.s.metrics.snapshots.Inc()
		l.log.Info("snapshot saved", zap.Uint64("index", m.snap.GetIndex()), zap.Int("bytes", len(m.snap.GetData())))
	}
}
