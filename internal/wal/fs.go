package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/juju/errors"
)

// File is an open file of an FS.
type File interface {
	io.Writer
	io.Closer
	// Sync returns when the content written so far is durable.
	Sync() error
	// Truncate sets the size of the file in bytes.
	Truncate(size int64) error
}

// FS is the part of a file system that the log uses. Tests replace it to
// inject failing syncs, short writes, a full disk and crashes.
type FS interface {
	// MkdirAll creates dir with its parents and makes the name of dir durable.
	MkdirAll(dir string) error
	// Create opens a new, empty file for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the sorted names of the files in dir.
	List(dir string) ([]string, error)
	// SyncDir makes created, renamed and removed names in dir durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on the file name, which keeps other processes
	// from using the same directory until the result is closed. It fails at once if
	// another process holds the lock.
	Lock(name string) (io.Closer, error)
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OS returns the file system of the operating system.
func OS() FS { return osFS{} }

type osFS struct{}

func (osFS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return osFS{}.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (osFS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }
func (osFS) Rename(from, to string) error         { return os.Rename(from, to) }
func (osFS) Remove(name string) error             { return os.Remove(name) }

func (osFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Annotatef(err, "lock %s, which another process may hold", name)
	}
	return f, nil
}
