package raft

import (
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// entryLog is the log in memory, from the entry after the base. The base is the
// last entry that was dropped or covered by a snapshot.
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

// term returns the term of the entry at index, if the log still knows it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entry(index).Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *entryLog) entry(index uint64) *wirepb.LogEntry { return l.entries[index-l.baseIndex-1] }

// slice returns the entries from index lo up to and including hi.
func (l *entryLog) slice(lo, hi uint64) []*wirepb.LogEntry {
	if lo > hi {
		return nil
	}
	// The full slice expression keeps a later append from writing into a slice
	// that the caller still reads.
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries from index lo on, bounded by count and bytes. It
// returns at least one entry if there is one.
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
	// The array is not reused, because a Ready or a message may still refer to
	// the dropped entries.
	l.entries = append([]*wirepb.LogEntry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
}

// reset replaces the whole log by a snapshot that is not yet durable.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}

// dropTo drops the entries up to and including index.
func (l *entryLog) dropTo(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term := l.entry(index).Term
	l.entries = append([]*wirepb.LogEntry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// persisted records that the log is durable up to the entry (index, term). A
// report about an entry that was replaced meanwhile is ignored: its successor
// is part of a later Ready.
func (l *entryLog) persisted(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

// conflictHint returns the last entry at or below index whose term is at most
// term. Between that entry and index the two logs cannot match.
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

func entrySize(e *wirepb.LogEntry) int { return len(e.Data) + entryOverhead }
