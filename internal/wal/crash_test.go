package wal

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

var (
	crashSeed  = flag.Uint64("crash-seed", 1, "first seed of the crash runs")
	crashRuns  = flag.Int("crash-runs", 200, "number of crash runs")
	ignoreSync = flag.Bool("ignore-sync", false, "make syncs ineffective, which must make the crash test fail")
)

// crashModel drives a log with random operations and holds the state that was
// acknowledged, which must survive every crash.
type crashModel struct {
	t      *testing.T
	rng    *rand.Rand
	fs     *memFS
	w      *WAL
	term   uint64
	commit uint64
	snap   *wirepb.Snapshot
	// base is the index of the snapshot; entries follow it.
	base    uint64
	entries []*wirepb.LogEntry
	hs      *wirepb.HardState
	// pending is a batch whose write failed, and pendingSnaps are the snapshots newer
	// than base whose write failed; they may or may not survive.
	pending      *Batch
	pendingSnaps []*wirepb.Snapshot
}

func (m *crashModel) last() uint64 { return m.base + uint64(len(m.entries)) }

func (m *crashModel) applyBatch(b *Batch) {
	if len(b.Entries) > 0 {
		keep := b.Entries[0].GetIndex() - m.base - 1
		m.entries = append(m.entries[:keep:keep], b.Entries...)
	}
	if b.HardState != nil {
		m.hs = b.HardState
	}
}

// append appends a random batch, which may replace uncommitted entries. It reports
// whether the append succeeded.
func (m *crashModel) append() bool {
	from := m.last() + 1
	if low := max(m.commit, m.base) + 1; from > low && m.rng.IntN(5) == 0 {
		from = low + m.rng.Uint64N(from-low)
	}
	if from <= m.last() || m.rng.IntN(4) == 0 {
		m.term++
	}
	b := Batch{Entries: entries(m.term, from, from+m.rng.Uint64N(6))}
	commit := m.commit
	if m.rng.IntN(2) == 0 && from-1 > commit {
		commit += m.rng.Uint64N(from - commit)
	}
	b.HardState = &wirepb.HardState{Term: m.term, Vote: "v", Commit: commit}
	if err := m.w.Append(b); err != nil {
		if m.isUsable() {
			return true
		}
		m.pending = &b
		return false
	}
	m.applyBatch(&b)
	m.commit = commit
	return true
}

// snapshot saves a snapshot at a random committed entry, if there is one. It
// reports whether nothing failed.
func (m *crashModel) snapshot() bool {
	if m.commit <= m.base || m.commit > m.last() {
		return true
	}
	index := m.base + 1 + m.rng.Uint64N(m.commit-m.base)
	s := &wirepb.Snapshot{Index: index, Term: m.entries[index-m.base-1].GetTerm(), Data: []byte("state")}
	if err := m.w.SaveSnapshot(s, false); err != nil {
		// It may be durable although the next segment could not be started.
		m.pendingSnaps = append(m.pendingSnaps, s)
		return m.isUsable()
	}
	m.applySnapshot(s)
	return true
}

func (m *crashModel) applySnapshot(s *wirepb.Snapshot) {
	m.entries = m.entries[s.GetIndex()-m.base:]
	m.base, m.snap = s.GetIndex(), s
	m.pendingSnaps = slices.DeleteFunc(m.pendingSnaps, func(p *wirepb.Snapshot) bool { return p.GetIndex() <= m.base })
}

// isUsable reports whether the log accepts further calls after a failed one. Nothing
// remains of an append that failed.
func (m *crashModel) isUsable() bool { return m.w.Err() == nil && m.fs.operations != 0 }

// injectFault makes a later operation of the file system fail, or the process end, in
// a third of the calls.
func (m *crashModel) injectFault() {
	switch m.rng.IntN(12) {
	case 3:
		m.fs.operations = 1 + m.rng.IntN(12)
	case 0:
		m.fs.failSync = ""
		m.fs.failSync = []string{"log-", "snapshot-"}[m.rng.IntN(2)]
	case 1:
		m.fs.shortWrite = m.rng.IntN(60)
	case 2:
		m.fs.failSyncDir = true
	case 4:
		m.fs.space = m.rng.IntN(200)
	case 5:
		m.fs.space = -1
	}
}

// reopen ends the process, with or without a loss of power, opens the log again and
// compares what it recovers with the acknowledged state. The process may end again
// while it opens the log, and the disk may still be full.
func (m *crashModel) reopen(seed uint64, step int) {
	var rec *Recovered
	for rec == nil {
		if m.fs.restart(); m.rng.IntN(2) == 0 {
			m.fs.losePower(m.rng)
		}
		if m.rng.IntN(3) == 0 {
			m.fs.operations = 1 + m.rng.IntN(12)
		}
		var err error
		m.w, rec, err = Open("data", Options{FS: m.fs, SegmentBytes: 300})
		if isDiskFull(err) {
			m.fs.space = -1
		} else if err != nil && m.fs.operations != 0 {
			m.t.Fatalf("seed %d step %d: acknowledged state is lost: %v", seed, step, err)
		}
	}
	for _, s := range m.pendingSnaps {
		if rec.Snapshot.GetIndex() == s.GetIndex() {
			m.applySnapshot(s)
			break
		}
	}
	if m.pending != nil && !m.matches(rec) {
		m.applyBatch(m.pending)
		m.commit = max(m.commit, m.hs.GetCommit())
	}
	if !m.matches(rec) {
		m.t.Fatalf("seed %d step %d: acknowledged state is lost: recovered %s, expected snapshot %d, entries %d to %d, %v",
			seed, step, describe(rec), m.snap.GetIndex(), m.base+1, m.last(), m.hs)
	}
	m.pending, m.pendingSnaps = nil, nil
}

// matches reports whether rec equals the acknowledged state.
func (m *crashModel) matches(rec *Recovered) bool {
	if !proto.Equal(rec.HardState, m.hs) || rec.Snapshot.GetIndex() != m.base || len(rec.Entries) != len(m.entries) {
		return false
	}
	for i, e := range rec.Entries {
		if !proto.Equal(e, m.entries[i]) {
			return false
		}
	}
	return true
}

// TestCrashes guards against the loss of an acknowledged entry, vote or snapshot, and
// against a log that can't be opened any more, when the process ends or the machine
// loses power at any point, one after the other, also while the log is opened, after
// failed syncs and after short writes.
func TestCrashes(t *testing.T) {
	for seed := *crashSeed; seed < *crashSeed+uint64(*crashRuns); seed++ {
		m := &crashModel{t: t, rng: rand.New(rand.NewPCG(seed, 0)), fs: newMemFS(), hs: &wirepb.HardState{}, term: 1}
		m.fs.ignoreSync = *ignoreSync
		w, _, err := Open("data", Options{FS: m.fs, SegmentBytes: 300})
		if err != nil {
			t.Fatal(err)
		}
		m.w = w
		for step := range 60 {
			m.injectFault()
			ok := true
			if m.rng.IntN(6) == 0 {
				ok = m.snapshot()
			} else {
				ok = m.append()
			}
			if !ok || m.fs.operations == 0 || m.rng.IntN(8) == 0 {
				m.reopen(seed, step)
			}
		}
	}
}
