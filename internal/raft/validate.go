package raft

import (
	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// maxTerm and maxIndex are the highest values that a message may carry, so that
// arithmetic on them never overflows.
const (
	maxTerm  = 1 << 62
	maxIndex = 1 << 62
)

// rejectReason returns why a message must be dropped, or an empty string if it is
// valid. There are few distinct reasons, because they are the keys of a table in
// the state dump.
func (n *Node) rejectReason(m *wirepb.RaftMessage) string {
	switch {
	case m == nil || m.From == "" || m.From == n.cfg.ID || m.Term == 0:
		return "invalid header"
	case m.To != n.cfg.ID:
		return "addressed to another replica"
	case n.isRetired(m.From):
		return "retired sender"
	case max(m.LogIndex, m.Commit, m.HintIndex) > maxIndex || max(m.Term, m.LogTerm) > maxTerm || m.LogTerm > m.Term:
		return "number out of range"
	}
	return n.bodyRejectReason(m)
}

// bodyRejectReason is rejectReason for the fields that depend on the kind of the
// message.
func (n *Node) bodyRejectReason(m *wirepb.RaftMessage) string {
	switch m.Kind {
	case wirepb.RaftMessage_KIND_APPEND:
		if checkEntries(m.Entries, m.LogIndex, m.LogTerm, m.Term) != nil {
			return "invalid entries"
		}
	case wirepb.RaftMessage_KIND_SNAPSHOT:
		if checkSnapshot(m.Snapshot, m.Term) != nil {
			return "invalid snapshot"
		}
	case wirepb.RaftMessage_KIND_APPEND_REPLY, wirepb.RaftMessage_KIND_SNAPSHOT_REPLY:
		if n.role == Leader && m.Term == n.term && (m.Round > n.round || m.LogIndex > n.log.last()) {
			return "answer to nothing sent"
		}
	case wirepb.RaftMessage_KIND_PRE_VOTE_REPLY:
		if m.Snapshot != nil && checkSnapshot(m.Snapshot, m.Term) != nil {
			return "invalid snapshot"
		}
	case wirepb.RaftMessage_KIND_PRE_VOTE, wirepb.RaftMessage_KIND_VOTE, wirepb.RaftMessage_KIND_VOTE_REPLY, wirepb.RaftMessage_KIND_TIMEOUT_NOW:
	default:
		return "unknown kind"
	}
	return ""
}

// checkEntries returns an error unless the entries follow the entry (index, term)
// without a gap, and their terms never decrease and don't exceed the term limit.
func checkEntries(entries []*wirepb.LogEntry, index, term, limit uint64) error {
	for _, e := range entries {
		index++
		if e.GetIndex() != index || e.Term < max(term, 1) || e.Term > limit {
			return errors.NotValidf("entry %d of term %d at index %d after term %d", e.GetIndex(), e.GetTerm(), index, term)
		}
		term = e.Term
		if err := checkKind(e); err != nil {
			return errors.Annotatef(err, "entry %d", index)
		}
	}
	return nil
}

func checkKind(e *wirepb.LogEntry) error {
	switch e.Kind {
	case wirepb.LogEntry_KIND_EMPTY, wirepb.LogEntry_KIND_COMMAND:
		return nil
	case wirepb.LogEntry_KIND_MEMBERSHIP:
		_, err := decodeMembership(e.Data)
		return errors.Trace(err)
	}
	return errors.NotValidf("entry kind %v", e.Kind)
}

func checkSnapshot(s *wirepb.Snapshot, term uint64) error {
	if s.GetIndex() == 0 || s.Index > maxIndex || s.Term > term {
		return errors.NotValidf("snapshot at index %d of term %d", s.GetIndex(), s.GetTerm())
	}
	return errors.Trace(validateMembership(s.Membership))
}
