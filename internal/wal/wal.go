// Package wal keeps the durable state of one replica: log entries, term, vote
// and commit index, snapshots, and the identity of the disk.
//
// Entries and votes go to segment files, each append as one checksummed frame
// that is synced before the call returns. A frame is never written before the
// previous one is durable, so that an invalid frame at the end is the rest of
// an unacknowledged write and can be cut, while an invalid frame anywhere else
// is damage and is refused. Replaced entries are removed by an explicit
// truncation record. A snapshot and the identity are written to a temporary
// file, synced and renamed.
//
// The package uses its own files rather than an embedded key-value library. The
// access pattern is append, read everything once at start, and drop a prefix;
// an ordered index brings nothing to it. A B+ tree store writes and syncs two
// pages and a meta page per commit where the log writes one frame, and a
// log-structured store writes each entry again during compaction. The rules
// that matter here are also not those of such libraries: a failed sync is
// final, a torn tail is told apart from damage, and damage is reported with
// file and offset instead of being repaired. The price is about 800 lines that
// must be tested against crashes and injected faults, which the tests do.
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

// defaultSegmentBytes bounds a segment, and thereby what is read again at the
// start because a snapshot covers it only in part.
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
	// SegmentBytes is the size at which a new segment is started.
	SegmentBytes int64
}

// Batch is what one append makes durable together.
type Batch struct {
	// HardState is nil when it has not changed.
	HardState *wirepb.HardState
	// Entries follow the log without gap. When the first one is not behind the
	// end of the log, it and all later entries of the log are replaced.
	Entries []*wirepb.LogEntry
}

// WAL is an open data folder. Append and SaveSnapshot may run concurrently.
type WAL struct {
	fs   FS
	dir  string
	opts Options
	lock io.Closer

	// snapMu serialises snapshots; snapIndex is written under both mutexes.
	snapMu    sync.Mutex
	snapIndex uint64

	mu       sync.Mutex
	file     File
	current  segment
	offset   int64
	frames   int
	sealed   []segment
	hs       *wirepb.HardState
	last     uint64
	lastTerm uint64
	buf      []byte

	err atomic.Pointer[error]
}

// Open recovers the content of dir and makes it ready for appends. It creates
// the folder and a new disk identity when there is none.
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

func (w *WAL) recover() (*Recovered, error) {
	names, err := w.fs.List(w.dir)
	if err != nil {
		return nil, errors.Annotate(err, "list")
	}
	segments, snapshots, temporaries, hasIdentity := classify(names)
	for _, n := range temporaries {
		if err := w.fs.Remove(filepath.Join(w.dir, n)); err != nil {
			return nil, errors.Annotatef(err, "remove %s", n)
		}
	}
	rec := &Recovered{HardState: &wirepb.HardState{}}
	if rec.Snapshot, err = readSnapshot(w.fs, w.dir, snapshots); err != nil {
		return nil, errors.Trace(err)
	}
	r := &recovery{fs: w.fs, dir: w.dir, replay: replay{hs: &wirepb.HardState{}}}
	if err := r.readSegments(segments); err != nil {
		return nil, errors.Trace(err)
	}
	entries, discard, err := r.join(rec.Snapshot)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rec.Entries, rec.HardState, rec.TornBytes = entries, r.replay.hs, r.torn
	if err := w.identify(rec, hasIdentity, len(segments)); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.resume(r, rec, discard); err != nil {
		return nil, errors.Trace(err)
	}
	if !hasIdentity {
		rec.New = true
		rec.Identity, err = w.writeIdentity()
	}
	return rec, errors.Trace(err)
}

// identify reads the identity. The first segment is made before the identity,
// so an identity without a segment, or a used log without identity, means that
// files were lost and with them possibly votes.
func (w *WAL) identify(rec *Recovered, hasIdentity bool, segments int) (err error) {
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

// resume makes the log ready for appends. A segment with more than its first
// frame is sealed, so that later damage to it cannot be taken for a torn tail.
func (w *WAL) resume(r *recovery, rec *Recovered, discard bool) error {
	w.hs, w.snapIndex = proto.CloneOf(rec.HardState), rec.Snapshot.GetIndex()
	w.last, w.lastTerm = r.replay.last()
	if n := len(r.segments); n > 0 {
		w.current, w.sealed = r.segments[n-1], r.segments[:n-1]
		w.offset, w.frames = r.tail, r.tailFrames
		f, err := w.fs.Append(filepath.Join(w.dir, segmentName(w.current.sequence)))
		if err != nil {
			return errors.Annotate(err, "open last segment")
		}
		w.file = f
		if r.torn > 0 {
			if err := f.Truncate(r.tail); err != nil {
				return errors.Annotate(err, "cut torn tail")
			}
			if err := f.Sync(); err != nil {
				return w.poison(errors.Annotate(err, "sync after cutting torn tail"))
			}
		}
	}
	if discard {
		return w.resetLocked(rec.Snapshot.GetIndex(), rec.Snapshot.GetTerm())
	}
	return w.rotateLocked()
}

// Err returns the failure that made the log unusable, or nil.
func (w *WAL) Err() error {
	if p := w.err.Load(); p != nil {
		return *p
	}
	return nil
}

// poison makes a failure final. After a failed sync the operating system may
// have dropped the written pages and report success next time, so the content
// of the file is unknown until it is read again.
func (w *WAL) poison(err error) error {
	err = errors.Annotate(err, "log is unusable until restart")
	w.err.CompareAndSwap(nil, &err)
	return *w.err.Load()
}

// diskError turns a failed write into a DiskFullError where it is one.
func (w *WAL) diskError(err error, name string, bytes int) error {
	if isDiskFull(err) {
		return &DiskFullError{File: filepath.Join(w.dir, name), Bytes: bytes, Cause: err}
	}
	return errors.Annotatef(err, "write %s", name)
}

// Append makes b durable.
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

func (w *WAL) lastIndex() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// encode checks b against the log and returns the payload of its frame.
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
		// What was written of the frame must not precede the next one.
		if terr := w.file.Truncate(w.offset); terr != nil {
			return w.poison(errors.Annotatef(err, "write %s, and cutting the incomplete frame failed: %v", name, terr))
		}
		return w.diskError(err, name, len(frame))
	}
	start := time.Now()
	if err := w.file.Sync(); err != nil {
		return w.poison(errors.Annotatef(err, "sync %s", name))
	}
	syncSeconds.UpdateDuration(start)
	bytesWritten.Add(len(frame))
	w.offset += int64(len(frame))
	w.frames++
	return nil
}

// rotateLocked starts a new segment, unless the current one is still empty.
func (w *WAL) rotateLocked() error {
	if w.file != nil && w.frames <= 1 {
		return nil
	}
	return w.startSegment(fieldPosition)
}

// resetLocked starts a new segment that discards the log before it.
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
// and the position, so that earlier segments can be removed.
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
		return w.poison(errors.Annotatef(err, "open %s", name))
	}
	if w.file != nil {
		_ = w.file.Close()
		w.sealed = append(w.sealed, w.current)
	}
	w.file, w.current, w.offset, w.frames = f, segment{sequence: sequence}, int64(len(b)), 1
	return nil
}

// Close releases the files. The content is durable already.
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
