package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
)

var errInjected = errors.New("injected input/output error")

// errDead is the result of each operation after the process has ended.
var errDead = errors.New("the process has ended")

// memFS is an in-memory file system that tracks durable content separately from
// written content. The end of the process keeps everything that was written; a loss
// of power keeps or loses each unsynced write and each unsynced name independently.
type memFS struct {
	mu sync.Mutex
	// names are the files as written, durable those whose names were synced, and
	// unsynced the changes of names since, in order.
	names    map[string]*memInode
	durable  map[string]*memInode
	unsynced []nameChange

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
	// operations is the number of changes and syncs after which the process ends,
	// when >= 0.
	operations int
}

// nameChange is a created (from is empty), removed (to is empty) or renamed file.
type nameChange struct {
	from, to string
	ino      *memInode
}

// memInode is the content of one file, as written and as last synced, and the
// changes in between.
type memInode struct {
	data, synced []byte
	unsynced     []dataChange
}

// dataChange is a write of data at offset, or, if data is nil, a truncation to
// offset bytes.
type dataChange struct {
	offset int
	data   []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*memInode{}, durable: map[string]*memInode{}, shortWrite: -1, space: -1, operations: -1}
}

// step counts one operation. It reports whether the process is alive, and whether it
// ends within this operation.
func (m *memFS) step() (alive, last bool) {
	if m.operations > 0 {
		m.operations--
		return true, m.operations == 0
	}
	return m.operations < 0, false
}

// restart starts a new process after the previous one has ended; files are as it
// left them.
func (m *memFS) restart() {
	m.failSync, m.failSyncDir, m.shortWrite, m.operations = "", false, -1, -1
}

// losePower keeps what is durable, and each later change of a name or of content, or
// part of a write, at random.
func (m *memFS) losePower(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restart()
	keepsNothing := rng.IntN(4) == 0
	for _, c := range m.unsynced {
		if !keepsNothing && rng.IntN(2) == 0 {
			c.apply(m.durable)
		}
	}
	m.names, m.unsynced = map[string]*memInode{}, nil
	for name, ino := range m.durable {
		data := slices.Clone(ino.synced)
		for _, c := range ino.unsynced {
			if !keepsNothing {
				data = c.applyPart(data, rng)
			}
		}
		m.names[name] = &memInode{data: data, synced: slices.Clone(data)}
	}
	m.durable = maps.Clone(m.names)
}

// apply changes a set of files. The removal or renaming of a file that another one
// has replaced has no effect.
func (c nameChange) apply(files map[string]*memInode) {
	if c.from != "" && files[c.from] == c.ino {
		delete(files, c.from)
	}
	if c.to != "" {
		files[c.to] = c.ino
	}
}

// applyPart applies a change of content to data, or not, or a part of it.
func (c dataChange) applyPart(data []byte, rng *rand.Rand) []byte {
	part := rng.IntN(3)
	switch {
	case part == 0:
		return data
	case c.data == nil:
		return resize(data, c.offset)
	}
	data = resize(data, max(len(data), c.offset+len(c.data)))
	const block = 64
	for at := 0; at < len(c.data); at += block {
		if part == 1 || rng.IntN(2) == 0 {
			copy(data[c.offset+at:], c.data[at:min(at+block, len(c.data))])
		}
	}
	return data
}

// resize returns data with the given size; new bytes are zero.
func resize(data []byte, size int) []byte {
	if size <= len(data) {
		return data[:size]
	}
	return append(data, make([]byte, size-len(data))...)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive, last := m.step()
	if !alive {
		return nil, errDead
	}
	m.change(nameChange{to: name, ino: &memInode{}})
	if last {
		return nil, errDead
	}
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
	return m.changeName(nameChange{from: from, to: to, ino: m.names[from]})
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeName(nameChange{from: name, ino: m.names[name]})
}

// changeName carries out a change, unless the process has ended.
func (m *memFS) changeName(c nameChange) error {
	alive, last := m.step()
	if !alive {
		return errDead
	}
	m.change(c)
	if last {
		return errDead
	}
	return nil
}

// change changes a name, which isn't durable before the directory is synced.
func (m *memFS) change(c nameChange) {
	c.apply(m.names)
	m.unsynced = append(m.unsynced, c)
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
	alive, last := m.step()
	if !alive || last {
		return errDead
	}
	if m.failSyncDir {
		m.failSyncDir = false
		return errInjected
	}
	if !m.ignoreSync {
		m.durable, m.unsynced = maps.Clone(m.names), nil
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
	alive, last := f.m.step()
	if !alive {
		return 0, errDead
	}
	n, err := len(p), error(nil)
	if last {
		n, err = len(p)/2, errDead
	}
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
	if n > 0 {
		f.ino.unsynced = append(f.ino.unsynced, dataChange{offset: len(f.ino.data), data: slices.Clone(p[:n])})
	}
	f.ino.data = append(f.ino.data, p[:n]...)
	return n, err
}

func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	alive, last := f.m.step()
	if !alive || last {
		return errDead
	}
	if f.m.failSync != "" && strings.Contains(f.name, f.m.failSync) {
		f.m.failSync = ""
		return errInjected
	}
	if !f.m.ignoreSync {
		f.ino.synced, f.ino.unsynced = slices.Clone(f.ino.data), nil
		f.m.syncName(f.ino)
	}
	return nil
}

// syncName makes the name durable under which a new file was created: that is part of
// the sync of its content.
func (m *memFS) syncName(ino *memInode) {
	m.unsynced = slices.DeleteFunc(m.unsynced, func(c nameChange) bool {
		created := c.ino == ino && c.from == ""
		if created {
			m.durable[c.to] = ino
		}
		return created
	})
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	alive, last := f.m.step()
	if !alive {
		return errDead
	}
	f.ino.unsynced = append(f.ino.unsynced, dataChange{offset: int(size)})
	f.ino.data = slices.Clone(f.ino.data[:size])
	if last {
		return errDead
	}
	return nil
}

func (f *memFile) Close() error { return nil }
