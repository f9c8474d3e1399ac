package raft

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrNotLeader is returned for a call that only the leader can serve.
type ErrNotLeader struct {
	// Leader is the ID of the known leader, or empty.
	Leader string
}

func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "not the leader, no leader known"
	}
	return fmt.Sprintf("not the leader, leader is %q", e.Leader)
}

// ErrLearnerBehind is returned for the promotion of a learner that doesn't yet
// hold every committed entry durably. Match and Commit are log indexes.
type ErrLearnerBehind struct {
	ID            string
	Match, Commit uint64
}

func (e ErrLearnerBehind) Error() string {
	return fmt.Sprintf("learner %q synced up to index %d, committed is %d", e.ID, e.Match, e.Commit)
}

// ErrInvalidChange is returned for a membership change, or a leadership
// transfer, that the membership in force doesn't permit.
type ErrInvalidChange struct {
	ID     string
	Reason string
}

func (e ErrInvalidChange) Error() string {
	return fmt.Sprintf("membership change of %q: %s", e.ID, e.Reason)
}

const (
	// ErrTooManyUncommitted is returned when the limit on uncommitted entries, or
	// on their total size, is reached.
	ErrTooManyUncommitted = errors.ConstError("too many uncommitted entries")
	// ErrTransferring is returned while the leader is transferring leadership.
	ErrTransferring = errors.ConstError("leadership transfer in progress")
	// ErrTermNotCommitted is returned for a membership change while the leader
	// has not committed an entry of its own term.
	ErrTermNotCommitted = errors.ConstError("no entry of the current term is committed")
	// ErrChangePending is returned while an earlier membership change is not
	// yet committed.
	ErrChangePending = errors.ConstError("a membership change is not yet committed")
)
