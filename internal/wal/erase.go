package wal

import (
	"path/filepath"
	"slices"

	"github.com/juju/errors"
)

// erasedName is the name that the identity gets while a data directory is erased.
const erasedName = "erased"

// Erase removes the log, the snapshots and the identity of a data directory that no
// process uses, so that the next Open creates a new identity. If the process ends
// meanwhile, the next Open completes it. A nil fs is the file system of the operating
// system.
func Erase(dir string, fs FS) error {
	if fs == nil {
		fs = OS()
	}
	// From this rename on the directory has no identity, and the remaining files are
	// known to be left over rather than what is left of a damaged directory.
	if err := fs.Rename(filepath.Join(dir, identityName), filepath.Join(dir, erasedName)); err != nil {
		return errors.Annotatef(err, "erase data folder %s", dir)
	}
	if err := fs.SyncDir(dir); err != nil {
		return errors.Annotatef(err, "erase data folder %s", dir)
	}
	return errors.Annotatef(completeErase(dir, fs), "erase data folder %s", dir)
}

// completeErase removes what is left of a data directory that is being erased, if dir is
// one. The mark is removed last.
func completeErase(dir string, fs FS) error {
	names, err := fs.List(dir)
	if err != nil {
		return errors.Annotate(err, "list")
	}
	if !slices.Contains(names, erasedName) {
		return nil
	}
	names = slices.DeleteFunc(names, func(n string) bool { return n == erasedName || n == lockName })
	if err := removeDurably(dir, names, fs); err != nil {
		return errors.Trace(err)
	}
	return removeDurably(dir, []string{erasedName}, fs)
}

// removeDurably removes files and syncs the directory.
func removeDurably(dir string, names []string, fs FS) error {
	for _, n := range names {
		if err := fs.Remove(filepath.Join(dir, n)); err != nil {
			return errors.Annotatef(err, "remove %s", n)
		}
	}
	return errors.Annotate(fs.SyncDir(dir), "sync")
}
