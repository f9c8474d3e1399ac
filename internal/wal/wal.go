// Package wal is the write-ahead log of one replica. It stores the log entries,
// the hard state (term, vote and commit index), snapshots, and the identity of
// the disk.
//
// Entries and votes go to segment files, each append as one checksummed frame
// that is synced before the call returns. A frame is never written before the
// previous one is durable, so an invalid frame at the end is the remainder of
// an unacknowledged write and is truncated, while an invalid frame anywhere else
// is corruption, and opening the log fails. Replaced entries are removed by an
// explicit truncation record. A snapshot and the identity are written to a
// temporary file, synced and renamed.
//
// The package does not run the consensus protocol and does not interpret entries
// or snapshot data.
//
// The package uses its own files rather than an embedded key-value library. The
// access pattern is append, read everything once at start, and remove a prefix;
// an ordered index has no use for it. A B+ tree store writes and syncs two
// pages and a meta page per commit where the log writes one frame, and a
// log-structured store rewrites each entry during compaction. The failure
// handling required here also differs from that of such libraries: a failed sync
// is final, a torn tail is distinguished from corruption, and corruption is
// reported with file and offset instead of being repaired. The cost is about 800
// lines of code, which the tests run against crashes and injected faults.
package wal

import (
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// defaultSegmentBytes is the default of Options.SegmentBytes. The size of a
// segment also bounds how much data already covered by the snapshot is read at
// start, because a segment is only removed as a whole.
const defaultSegmentBytes = 64 << 20

var (
	syncSeconds   = metrics.GetOrCreateHistogram(`bilberry_wal_sync_seconds`)
	bytesWritten  = metrics.GetOrCreateCounter(`bilberry_wal_written_bytes_total`)
	truncations   = metrics.GetOrCreateCounter(`bilberry_wal_truncations_total`)
	snapshotBytes = metrics.GetOrCreateGauge(`bilberry_wal_snapshot_bytes`, nil)
)

// Options configure a WAL.
type Options struct {
	// FS defaults to the file system of the operating system.
	FS FS
	// SegmentBytes is the size at which a new segment is started; zero means
	// 64 MiB.
	SegmentBytes int64
}

// Batch is the content of one append, which becomes durable as a whole or not at
// all.
type Batch struct {
	// HardState is nil when it has not changed.
	HardState *wirepb.HardState
	// Entries continue the log without a gap. If the index of the first one is
	// already in the log, the entries from that index on are replaced.
	Entries []*wirepb.LogEntry
}

// WAL is an open data directory. Append and SaveSnapshot may run concurrently.
// Once Open has returned, methods with the suffix Locked require mu.
type WAL struct {
	fs   FS
	dir  string
	opts Options
	lock io.Closer

	// snapMu serialises SaveSnapshot; snapIndex is written under both mutexes.
	snapMu    sync.Mutex
	snapIndex uint64

	mu sync.Mutex
	// file is the open file of the current segment. The next frame is written
	// at offset; frames counts those already written.
	file    File
	current segment
	offset  int64
	frames  int
	// sealed are the earlier segments, oldest first.
	sealed []segment
	hs     *wirepb.HardState
	// last and lastTerm are the index and term of the last entry of the log.
	last     uint64
	lastTerm uint64
	// buf is reused for the payload of each append.
	buf []byte

	// err is the first failure that made the log unusable, or nil.
	err atomic.Pointer[error]
}

// Open recovers the content of dir and prepares it for appends. It creates the
// directory and a new disk identity if there are none. It returns an error if
// another process holds the lock of the directory, or if files are corrupt or
// missing.
func Open(dir string, opts Options) (*WAL, *Recovered, error) {
	if opts.FS == nil {
		opts.FS = OS()
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	w := &WAL{fs: opts.FS, dir: dir, opts: opts}
	if err := w.fs.MkdirAll(dir); err != nil {
		return nil, nil, errors.Annotatef(err, "create data folder %s", dir)
	}
	lock, err := w.fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	w.lock = lock
	rec, err := w.recover()
	if err != nil {
		_ = w.Close()
		return nil, nil, errors.Annotatef(err, "recover data folder %s", dir)
	}
	return w, rec, nil
}

// recover reads the data directory, checks it for lost files, makes durable what it
// has read, and starts a new segment. It truncates a torn tail.
func (w *WAL) recover() (*Recovered, error) {
	if err := completeErase(w.dir, w.fs); err != nil {
		return nil, errors.Annotate(err, "complete an erasure")
	}
	names, err := w.fs.List(w.dir)
	if err != nil {
		return nil, errors.Annotate(err, "list")
	}
	segments, snapshots, temporaryFiles, hasIdentity := classify(names)
	for _, n := range temporaryFiles {
		if err := w.fs.Remove(filepath.Join(w.dir, n)); err != nil {
			return nil, errors.Annotatef(err, "remove %s", n)
		}
	}
	// The previous process may have ended between the change of a name and its sync.
	if err := w.fs.SyncDir(w.dir); err != nil {
		return nil, w.markUnusable(errors.Annotate(err, "sync folder"))
	}
	rec := &Recovered{HardState: &wirepb.HardState{}}
	if rec.Snapshot, err = readSnapshot(w.fs, w.dir, snapshots); err != nil {
		return nil, errors.Trace(err)
	}
	r := &recovery{fs: w.fs, dir: w.dir, replay: replay{hs: &wirepb.HardState{}}}
	if err := r.readSegments(segments); err != nil {
		return nil, errors.Trace(err)
	}
	entries, discardLog, err := r.join(rec.Snapshot)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rec.Entries, rec.HardState, rec.TornBytes = entries, r.replay.hs, r.tornBytes
	if err := w.checkIdentity(rec, hasIdentity, len(segments)); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.prepareAppend(r, rec, discardLog); err != nil {
		return nil, errors.Trace(err)
	}
	if !hasIdentity {
		rec.New = true
		rec.Identity, err = w.writeIdentity()
	}
	return rec, errors.Trace(err)
}

// checkIdentity reads the identity if there is one and returns an error if files
// were lost, and with them possibly votes. The first segment is created before
// the identity, so files were lost if there is an identity without a segment, or
// a log that has been used without an identity.
func (w *WAL) checkIdentity(rec *Recovered, hasIdentity bool, segments int) (err error) {
	if hasIdentity {
		if segments == 0 {
			return errors.New("disk identity exists, but the log is missing; move the folder away to join with a new identity")
		}
		rec.Identity, err = readIdentity(w.fs, w.dir)
		return errors.Trace(err)
	}
	if rec.Snapshot != nil || len(rec.Entries) > 0 || rec.HardState.GetTerm() > 0 {
		return errors.New("log exists, but the disk identity is missing; move the folder away to join with a new identity")
	}
	return nil
}

// prepareAppend truncates a torn tail, syncs the last segment and prepares the log for
// appends. A segment with more than its first frame is sealed if there is space for the
// next one, so that later corruption of it cannot be mistaken for a torn tail.
//
// The sync is necessary even without a torn tail: a process that was killed between a
// write and its sync leaves a valid frame that a loss of power would remove, together
// with everything that follows it.
func (w *WAL) prepareAppend(r *recovery, rec *Recovered, discardLog bool) error {
	w.hs, w.snapIndex = proto.CloneOf(rec.HardState), rec.Snapshot.GetIndex()
	w.last, w.lastTerm = r.replay.last()
	if n := len(r.segments); n > 0 {
		w.current, w.sealed = r.segments[n-1], r.segments[:n-1]
		w.offset, w.frames = r.tailOffset, r.tailFrames
		f, err := w.fs.Append(filepath.Join(w.dir, segmentName(w.current.sequence)))
		if err != nil {
			return errors.Annotate(err, "open last segment")
		}
		w.file = f
		if r.tornBytes > 0 {
			if err := f.Truncate(r.tailOffset); err != nil {
				return errors.Annotate(err, "truncate torn tail")
			}
		}
		if err := f.Sync(); err != nil {
			return w.markUnusable(errors.Annotatef(err, "sync %s", segmentName(w.current.sequence)))
		}
	}
	if discardLog {
		return w.resetLocked(rec.Snapshot.GetIndex(), rec.Snapshot.GetTerm())
	}
	// On a full disk the last segment stays in use.
	if err := w.rotateLocked(); err != nil && (w.file == nil || !isDiskFull(err)) {
		return errors.Trace(err)
	}
	return nil
}

// Err returns the failure that made the log unusable, or nil.
func (w *WAL) Err() error {
	if p := w.err.Load(); p != nil {
		return *p
	}
	return nil
}

// markUnusable marks the log as unusable and returns the first error for which this
// was done. After a failed sync the operating system may have dropped the written
// pages and report success for the next sync, so the content of the file is
// unknown until it is read again.
func (w *WAL) markUnusable(err error) error {
	err = errors.Annotate(err, "log is unusable until restart")
	w.err.CompareAndSwap(nil, &err)
	return *w.err.Load()
}

// writeError returns the error for a failed write of a number of bytes to the file
// name: a *DiskFullError if the disk has no space left.
func (w *WAL) writeError(err error, name string, bytes int) error {
	if isDiskFull(err) {
		return &DiskFullError{File: filepath.Join(w.dir, name), Bytes: bytes, Cause: err}
	}
	return errors.Annotatef(err, "write %s", name)
}

// Append writes b to the log and syncs it. It returns ErrConflictCommitted for
// entries that would replace committed ones, and a *DiskFullError if the disk has
// no space left; the log stays usable after both.
func (w *WAL) Append(b Batch) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.Err(); err != nil {
		return err
	}
	payload, err := w.encode(b)
	if err != nil {
		return errors.Trace(err)
	}
	if w.frames > 0 && w.offset+int64(len(payload)) > w.opts.SegmentBytes {
		if err := w.rotateLocked(); err != nil {
			return errors.Trace(err)
		}
	}
	if err := w.write(payload); err != nil {
		return errors.Trace(err)
	}
	if b.HardState != nil {
		w.hs = proto.CloneOf(b.HardState)
	}
	if n := len(b.Entries); n > 0 {
		w.last, w.lastTerm = b.Entries[n-1].GetIndex(), b.Entries[n-1].GetTerm()
		w.current.maxIndex = max(w.current.maxIndex, w.last)
	}
	return nil
}

// lastIndex returns the index of the last entry of the log.
func (w *WAL) lastIndex() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// encode validates b against the log and returns the payload of its frame, which
// is valid until the next call.
func (w *WAL) encode(b Batch) ([]byte, error) {
	payload := w.buf[:0]
	var err error
	if b.HardState != nil {
		if b.HardState.GetTerm() < w.hs.GetTerm() {
			return nil, errors.Errorf("term falls from %d to %d", w.hs.GetTerm(), b.HardState.GetTerm())
		}
		if payload, err = appendMessage(payload, fieldHardState, b.HardState); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i, e := range b.Entries {
		if i == 0 && e.GetIndex() <= w.last {
			if e.GetIndex() <= max(w.hs.GetCommit(), w.snapIndex) {
				return nil, errors.Annotatef(ErrConflictCommitted, "entry %d, commit index %d, snapshot at entry %d",
					e.GetIndex(), w.hs.GetCommit(), w.snapIndex)
			}
			payload = appendTruncate(payload, e.GetIndex())
			truncations.Inc()
		} else if i == 0 && e.GetIndex() != w.last+1 {
			return nil, errors.Errorf("entry %d leaves a gap behind entry %d", e.GetIndex(), w.last)
		} else if i > 0 && e.GetIndex() != b.Entries[i-1].GetIndex()+1 {
			return nil, errors.Errorf("entry %d follows entry %d", e.GetIndex(), b.Entries[i-1].GetIndex())
		}
		if payload, err = appendMessage(payload, fieldEntry, e); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if len(payload) > maxFrameBytes {
		return nil, errors.Errorf("batch of %d bytes exceeds %d bytes", len(payload), maxFrameBytes)
	}
	w.buf = payload
	return payload, nil
}

// write appends one frame to the current segment and syncs it.
func (w *WAL) write(payload []byte) error {
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), w.current.sequence, w.offset, payload)
	name := segmentName(w.current.sequence)
	if _, err := w.file.Write(frame); err != nil {
		// Remove the incomplete frame: it must not precede the next one, or come back
		// after a loss of power when the segment has been sealed.
		if truncateErr := w.file.Truncate(w.offset); truncateErr != nil {
			return w.markUnusable(errors.Annotatef(err, "write %s, and truncation of the incomplete frame failed: %v", name, truncateErr))
		}
		if syncErr := w.file.Sync(); syncErr != nil {
			return w.markUnusable(errors.Annotatef(err, "write %s, and sync of the truncation failed: %v", name, syncErr))
		}
		return w.writeError(err, name, len(frame))
	}
	start := time.Now()
	if err := w.file.Sync(); err != nil {
		return w.markUnusable(errors.Annotatef(err, "sync %s", name))
	}
	syncSeconds.UpdateDuration(start)
	bytesWritten.Add(len(frame))
	w.offset += int64(len(frame))
	w.frames++
	return nil
}

// rotateLocked starts a new segment, unless the current one holds no more than
// its first frame.
func (w *WAL) rotateLocked() error {
	if w.file != nil && w.frames <= 1 {
		return nil
	}
	return w.startSegment(fieldPosition)
}

// resetLocked starts a new segment that discards the log before it in favour of a
// snapshot at index and term.
func (w *WAL) resetLocked(index, term uint64) error {
	last, lastTerm := w.last, w.lastTerm
	w.last, w.lastTerm = index, term
	if err := w.startSegment(fieldReset); err != nil {
		w.last, w.lastTerm = last, lastTerm
		return errors.Trace(err)
	}
	// The discarded entries need not be kept for a later truncation.
	for i := range w.sealed {
		w.sealed[i].maxIndex = min(w.sealed[i].maxIndex, index)
	}
	return nil
}

// startSegment creates the next segment. Its first frame repeats the hard state
// and states the index and term of the last entry before it in the field
// position, so that earlier segments can be removed.
func (w *WAL) startSegment(position protowire.Number) error {
	sequence := w.current.sequence + 1
	payload, err := appendMessage(nil, fieldHardState, w.hs)
	if err != nil {
		return errors.Trace(err)
	}
	payload, err = appendMessage(payload, position, &wirepb.LogEntry{Index: w.last, Term: w.lastTerm})
	if err != nil {
		return errors.Trace(err)
	}
	b := appendFileHeader(nil, magicSegment, sequence)
	b = appendFrame(b, sequence, int64(len(b)), payload)
	name := segmentName(sequence)
	if err := w.writeFile(name, b); err != nil {
		return errors.Trace(err)
	}
	f, err := w.fs.Append(filepath.Join(w.dir, name))
	if err != nil {
		return w.markUnusable(errors.Annotatef(err, "open %s", name))
	}
	if w.file != nil {
		_ = w.file.Close()
		w.sealed = append(w.sealed, w.current)
	}
	w.file, w.current, w.offset, w.frames = f, segment{sequence: sequence}, int64(len(b)), 1
	return nil
}

// Close closes the log and releases the lock of its directory. Appended content is
// already durable.
func (w *WAL) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := errors.New("log is closed")
	w.err.CompareAndSwap(nil, &err)
	var closeErr error
	if w.file != nil {
		closeErr = w.file.Close()
		w.file = nil
	}
	if w.lock != nil {
		if err := w.lock.Close(); closeErr == nil {
			closeErr = err
		}
		w.lock = nil
	}
	return errors.Trace(closeErr)
}
