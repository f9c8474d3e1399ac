package wal

import (
	"fmt"
	"syscall"

	"github.com/juju/errors"
)

// CorruptError reports content that was durable once and has changed since.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// DiskFullError reports a write for which the disk has no space. Records
// acknowledged earlier are intact, nothing of the refused write remains, and
// the log accepts further calls.
type DiskFullError struct {
	File  string
	Bytes int
	Cause error
}

func (e *DiskFullError) Error() string {
	return fmt.Sprintf("disk full: %d bytes not written to %s: %v", e.Bytes, e.File, e.Cause)
}

func (e *DiskFullError) Unwrap() error { return e.Cause }

// ErrConflictCommitted reports an attempt to replace a committed entry.
var ErrConflictCommitted = errors.New("entries replace a committed entry")

// ErrSnapshotOutdated reports a snapshot that is not newer than the durable one.
var ErrSnapshotOutdated = errors.New("snapshot is outdated")

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
