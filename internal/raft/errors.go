package raft

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrNotLeader reports a call that only the leader can serve.
type ErrNotLeader struct {
	// Leader is the known leader, or empty.
	Leader string
}

func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "not the leader, no leader known"
	}
	return fmt.Sprintf("not the leader, leader is %q", e.Leader)
}

// ErrLearnerBehind reports a promotion of a learner that has not synced every
// committed entry.
type ErrLearnerBehind struct {
	ID            string
	Match, Commit uint64
}

func (e ErrLearnerBehind) Error() string {
	return fmt.Sprintf("learner %q synced up to index %d, committed is %d", e.ID, e.Match, e.Commit)
}

// ErrInvalidChange reports a membership change that doesn't fit the membership
// in force.
type ErrInvalidChange struct {
	ID     string
	Reason string
}

func (e ErrInvalidChange) Error() string {
	return fmt.Sprintf("membership change of %q: %s", e.ID, e.Reason)
}

const (
	// ErrBusy reports that the bound on uncommitted entries is reached.
	ErrBusy = errors.ConstError("too many uncommitted entries")
	// ErrTransferring reports that the leader is handing over leadership.
	ErrTransferring = errors.ConstError("leadership transfer in progress")
	// ErrTermNotCommitted reports that the leader has not yet committed an
	// entry of its own term, which a membership change requires.
	ErrTermNotCommitted = errors.ConstError("no entry of the current term is committed")
	// ErrChangePending reports that an earlier membership change is not yet
	// committed.
	ErrChangePending = errors.ConstError("a membership change is not yet committed")
)
