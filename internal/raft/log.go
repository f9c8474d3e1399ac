package raft

import (
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// entryLog is the part of the log that is kept in memory. It starts after the
// base, which is the last entry that was dropped or covered by a snapshot.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []*wirepb.LogEntry
	// stable is the last index up to which the log is durable. It may be below
	// the base while a received snapshot is not yet durable.
	stable uint64
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and whether the index is the base
// or in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entry(index).Term, true
}

// matches reports whether the log holds the entry (index, term).
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entry returns the entry at index, which must be after the base.
func (l *entryLog) entry(index uint64) *wirepb.LogEntry { return l.entries[index-l.baseIndex-1] }

// slice returns the entries from index lo up to and including hi.
func (l *entryLog) slice(lo, hi uint64) []*wirepb.LogEntry {
	if lo > hi {
		return nil
	}
	// The full slice expression prevents a later append from writing into the
	// returned slice while the caller still reads it.
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries from index lo on, limited by their number and total size
// in bytes, and their total size. It returns at least one entry if there is one.
func (l *entryLog) batch(lo, count uint64, bytes int) (entries []*wirepb.LogEntry, size int) {
	hi := lo
	for ; hi <= l.last() && hi-lo < count; hi++ {
		s := entrySize(l.entry(hi))
		if hi > lo && size+s > bytes {
			break
		}
		size += s
	}
	return l.slice(lo, hi-1), size
}

// unstable returns the entries that are not yet durable.
func (l *entryLog) unstable() []*wirepb.LogEntry {
	return l.slice(max(l.stable, l.baseIndex)+1, l.last())
}

func (l *entryLog) append(e *wirepb.LogEntry) {
	invariant.Must(e.Index == l.last()+1, "raft_log_contiguous", "entry %d after %d", e.Index, l.last())
	invariant.Must(e.Term >= l.lastTerm(), "raft_log_term_order", "entry %d of term %d after term %d",
		e.Index, e.Term, l.lastTerm())
	l.entries = append(l.entries, e)
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	// The backing array is not reused, because a Ready or a message may still
	// refer to the dropped entries.
	l.entries = append([]*wirepb.LogEntry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
}

// reset replaces the whole log with a snapshot that is not yet durable.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}

// compactTo drops the entries up to and including index.
func (l *entryLog) compactTo(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term := l.entry(index).Term
	l.entries = append([]*wirepb.LogEntry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// markStable records that the log is durable up to the entry (index, term). A
// report about an entry that has been replaced since is ignored: the replacement
// is part of a later Ready.
func (l *entryLog) markStable(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

// conflictHint returns the index and term of the last entry at or below index
// whose term is at most the given term. The two logs cannot match between that
// entry and index.
func (l *entryLog) conflictHint(index, term uint64) (hintIndex, hintTerm uint64) {
	for i := min(index, l.last()); i > l.baseIndex; i-- {
		if t := l.entry(i).Term; t <= term {
			return i, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// entryOverhead approximates the encoded size of an entry without its data, in
// bytes.
const entryOverhead = 24

// entrySize returns the approximate encoded size of an entry, in bytes.
func entrySize(e *wirepb.LogEntry) int { return len(e.Data) + entryOverhead }
