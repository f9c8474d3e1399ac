package wal

import (
	"fmt"
	"syscall"

	"github.com/juju/errors"
)

// CorruptError reports that content of a file has changed since it was durable.
type CorruptError struct {
	File string
	// Offset is the position in the file, in bytes.
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// DiskFullError reports a write that failed because the disk has no space left.
// Records acknowledged earlier are intact, nothing of the failed write remains,
// and the log accepts further calls.
type DiskFullError struct {
	File string
	// Bytes is the size of the failed write.
	Bytes int
	Cause error
}

func (e *DiskFullError) Error() string {
	return fmt.Sprintf("disk full: %d bytes not written to %s: %v", e.Bytes, e.File, e.Cause)
}

// Unwrap returns the error of the file system.
func (e *DiskFullError) Unwrap() error { return e.Cause }

// ErrConflictCommitted reports an attempt to replace a committed entry.
var ErrConflictCommitted = errors.New("entries replace a committed entry")

// ErrSnapshotOutdated reports an attempt to save a snapshot that is not newer than
// the durable one.
var ErrSnapshotOutdated = errors.New("snapshot is outdated")

// isDiskFull reports whether err means that the disk or the quota is exhausted.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
