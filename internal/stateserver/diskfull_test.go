package stateserver

import (
	"context"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/freeport"
	"bilberryhub/internal/wal"
)

// fillableFS is the file system of the operating system on a disk that a test fills: no
// file is created or grows while full is set.
type fillableFS struct {
	wal.FS
	full *atomic.Bool
}

func (f fillableFS) Create(name string) (wal.File, error) {
	if f.full.Load() {
		return nil, &fs.PathError{Op: "create", Path: name, Err: syscall.ENOSPC}
	}
	return f.open(f.FS.Create(name))
}

func (f fillableFS) Append(name string) (wal.File, error) { return f.open(f.FS.Append(name)) }

func (f fillableFS) open(file wal.File, err error) (wal.File, error) {
	return fillableFile{file, f.full}, err
}

type fillableFile struct {
	wal.File
	full *atomic.Bool
}

func (f fillableFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		return 0, &fs.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	return f.File.Write(p)
}

// fillable gives each replica of c a disk that the returned flag of its name fills.
func fillable(c *cluster) map[string]*atomic.Bool {
	full := map[string]*atomic.Bool{}
	for _, r := range c.replicas {
		full[r.Name] = &atomic.Bool{}
	}
	c.fs = func(name string) wal.FS { return fillableFS{wal.OS(), full[name]} }
	return full
}

// Guards against a replica that ends because its disk is full, and at each later start:
// it must wait for space, while the others go on, and follow them again afterwards.
func TestReplicaWaitsForSpace(t *testing.T) {
	c := newCluster(t, 3)
	full := fillable(c)
	c.startAll()
	c.mustPropose(c.client(c.leader()), orderCommand("o1", 1, true))
	name := c.leader()
	full[name].Store(true)
	c.mustPropose(c.client(c.others(name)[0]), orderCommand("o2", 2, false))
	if err := c.servers[name].Err(); err != nil {
		t.Fatalf("the replica with the full disk ended: %v", err)
	}
	if c.servers[name].Fresh() {
		t.Fatal("the replica with the full disk holds its configuration for the newest")
	}
	// A restart needs no space.
	c.stop(name)
	s := c.start(name)
	c.mustPropose(c.client(c.others(name)[0]), orderCommand("o3", 3, true))
	if err := s.Err(); err != nil {
		t.Fatalf("the replica with the full disk ended after its restart: %v", err)
	}
	newest := c.servers[c.others(name)[0]].Config().GetIndex()
	full[name].Store(false)
	c.await("the replica to follow again", func() bool { return s.Config().GetIndex() >= newest && s.Fresh() })
}

// Guards against changes that are acknowledged although no majority has stored them, and
// against replicas that end, while all disks are full.
func TestAllDisksAreFull(t *testing.T) {
	c := newCluster(t, 3)
	full := fillable(c)
	c.proposeTimeout = 300 * time.Millisecond
	c.startAll()
	c.mustPropose(c.client(c.leader()), orderCommand("o1", 1, true))
	for _, f := range full {
		f.Store(true)
	}
	for name := range c.servers {
		if r, code := propose(c.client(name), orderCommand("o2", 2, false)); r != nil || code == "" {
			t.Fatalf("%s acknowledged %v (%s) without a durable majority", name, r, code)
		}
	}
	for name, s := range c.servers {
		if err := s.Err(); err != nil {
			t.Fatalf("%s ended: %v", name, err)
		}
		full[name].Store(false)
	}
	c.mustPropose(c.client(c.leader()), orderCommand("o2", 2, false))
}

// Guards against a replica that is installed with a snapshot of the leader while its disk
// fills, and ends or keeps its old log.
func TestSnapshotWaitsForSpace(t *testing.T) {
	c := newCluster(t, 3)
	full := fillable(c)
	c.snapshotEntries = 10
	c.startAll()
	name := c.others(c.leader())[0]
	c.stop(name)
	client := c.client(c.leader())
	for i := range uint64(60) {
		c.mustPropose(client, orderCommand(string(rune('A'+i)), i+1, i%2 == 0))
	}
	full[name].Store(true)
	s := c.start(name)
	c.await("the wait for space", func() bool { return s.metrics.diskFull.Get() == 1 })
	full[name].Store(false)
	newest := c.servers[c.leader()].Config().GetIndex()
	c.await("the snapshot", func() bool { return s.Config().GetIndex() >= newest })
	if err := s.Err(); err != nil {
		t.Fatalf("the replica ended: %v", err)
	}
}

// Guards against a process that ends at each start because a full disk has no space for
// an empty log; a stop ends the wait.
func TestEmptyReplicaWaitsForSpace(t *testing.T) {
	full := &atomic.Bool{}
	full.Store(true)
	address := freeport.Address("127.0.0.1")
	set := Settings{
		ID: "state-a", FailureDomain: "d", Listen: address, AdminListen: "127.0.0.1:0", DataDir: filepath.Join(t.TempDir(), "data"),
		Replicas: []ReplicaConfig{{Name: "state-a", Address: address, FailureDomain: "d"}}, LogLevel: "info", SnapshotEntries: 100,
	}
	opts := Options{FS: fillableFS{wal.OS(), full}}
	ctx, cancel := context.WithTimeout(t.Context(), 4*diskFullRetryInterval)
	defer cancel()
	if _, err := StartWithSpace(ctx, set, opts, zap.NewNop()); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("start on a full disk: %v", err)
	}
	time.AfterFunc(2*diskFullRetryInterval, func() { full.Store(false) })
	s, err := StartWithSpace(t.Context(), set, opts, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
}
