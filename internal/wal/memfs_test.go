package wal

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
)

var errInjected = errors.New("injected input/output error")

// memFS is an in-memory file system that tracks durable content separately from
// written content, so that a crash can lose unsynced content and names.
type memFS struct {
	mu sync.Mutex
	// names are the files as written, durable those whose names were synced.
	names   map[string]*memInode
	durable map[string]*memInode

	// failSync makes the next sync of a file fail whose name contains this text.
	failSync string
	// failSyncDir makes the next sync of a directory fail.
	failSyncDir bool
	// shortWrite makes the next write stop after this many bytes, when >= 0.
	shortWrite int
	// space is the number of bytes that can still be written, when >= 0.
	space int
	// ignoreSync makes syncs report success without effect, to show that the
	// tests detect missing syncs.
	ignoreSync bool
}

// memInode is the content of one file, as written and as last synced.
type memInode struct{ data, synced []byte }

func newMemFS() *memFS {
	return &memFS{names: map[string]*memInode{}, durable: map[string]*memInode{}, shortWrite: -1, space: -1}
}

// crash discards everything that is not durable. Each 64-byte block of unsynced
// content may or may not have reached the disk, in any order.
func (m *memFS) crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = map[string]*memInode{}
	for name, ino := range m.durable {
		data := slices.Clone(ino.synced)
		if n := len(ino.data) - len(data); n > 0 && slices.Equal(ino.data[:len(data)], data) {
			rest := slices.Clone(ino.data[len(data):][:rng.IntN(n+1)])
			for at := 0; at < len(rest); at += 64 {
				if rng.IntN(2) == 0 {
					clear(rest[at:min(at+64, len(rest))])
				}
			}
			data = append(data, rest...)
		}
		m.names[name] = &memInode{data: data, synced: slices.Clone(data)}
	}
	m.durable = map[string]*memInode{}
	for name, ino := range m.names {
		m.durable[name] = ino
	}
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[name] = &memInode{}
	return &memFile{m: m, name: name, ino: m.names[name]}, nil
}

func (m *memFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ino := m.names[name]
	if ino == nil {
		return nil, fs.ErrNotExist
	}
	return &memFile{m: m, name: name, ino: ino}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ino := m.names[name]
	if ino == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(ino.data), nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.names, name)
	return nil
}

func (m *memFS) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for n := range m.names {
		if filepath.Dir(n) == filepath.Clean(dir) {
			names = append(names, filepath.Base(n))
		}
	}
	sort.Strings(names)
	return names, nil
}

func (m *memFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failSyncDir {
		m.failSyncDir = false
		return errInjected
	}
	if m.ignoreSync {
		return nil
	}
	m.durable = map[string]*memInode{}
	for n, ino := range m.names {
		m.durable[n] = ino
	}
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memFile struct {
	m    *memFS
	name string
	ino  *memInode
}

func (f *memFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	n, err := len(p), error(nil)
	if f.m.shortWrite >= 0 && f.m.shortWrite < n {
		n, err = f.m.shortWrite, errInjected
		f.m.shortWrite = -1
	}
	if f.m.space >= 0 && f.m.space < n {
		n, err = f.m.space, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	if f.m.space >= 0 {
		f.m.space -= n
	}
	f.ino.data = append(f.ino.data, p[:n]...)
	return n, err
}

func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.failSync != "" && strings.Contains(f.name, f.m.failSync) {
		f.m.failSync = ""
		return errInjected
	}
	if !f.m.ignoreSync {
		f.ino.synced = slices.Clone(f.ino.data)
	}
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	f.ino.data = slices.Clone(f.ino.data[:size])
	return nil
}

func (f *memFile) Close() error { return nil }
