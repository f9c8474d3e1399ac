package wal

import (
	"fmt"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%s%016x-%016x%s", snapshotPrefix, index, term, snapshotSuffix)
}

// readSnapshot returns the newest snapshot, or nil when there is none. A
// snapshot is renamed into place after its sync, so an invalid one is corrupt;
// falling back to an older one could undo acknowledged changes.
func readSnapshot(fs FS, dir string, names []string) (*wirepb.Snapshot, error) {
	if len(names) == 0 {
		return nil, nil
	}
	name := names[len(names)-1]
	data, err := fs.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", name)
	}
	_, payload, err := readSingleFrame(name, data, magicSnapshot)
	if err != nil {
		return nil, errors.Trace(err)
	}
	snap := &wirepb.Snapshot{}
	if err := proto.Unmarshal(payload, snap); err != nil {
		return nil, &CorruptError{File: name, Offset: fileHeaderBytes, Reason: err.Error()}
	}
	if snapshotName(snap.GetIndex(), snap.GetTerm()) != name {
		return nil, &CorruptError{File: name, Offset: fileHeaderBytes, Reason: "name and content differ"}
	}
	return snap, nil
}

// readIdentity returns the identity of the disk, a UUID.
func readIdentity(fs FS, dir string) (string, error) {
	data, err := fs.ReadFile(filepath.Join(dir, identityName))
	if err != nil {
		return "", errors.Annotate(err, "read identity")
	}
	_, payload, err := readSingleFrame(identityName, data, magicIdentity)
	if err != nil {
		return "", errors.Trace(err)
	}
	id, err := uuid.ParseBytes(payload)
	if err != nil {
		return "", &CorruptError{File: identityName, Offset: fileHeaderBytes, Reason: err.Error()}
	}
	return id.String(), nil
}

// writeIdentity creates a random identity and makes it durable.
func (w *WAL) writeIdentity() (string, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return "", errors.Annotate(err, "create disk identity")
	}
	b := appendFileHeader(nil, magicIdentity, 0)
	b = appendFrame(b, 0, int64(len(b)), []byte(id.String()))
	return id.String(), w.writeFile(identityName, b)
}

// writeFile writes a file atomically: after a crash it is either complete or
// absent. An error after the write, such as a failed sync, makes the log
// unusable.
func (w *WAL) writeFile(name string, content []byte) error {
	target := filepath.Join(w.dir, name)
	tmp := target + temporarySuffix
	f, err := w.fs.Create(tmp)
	if err != nil {
		return w.writeError(err, name, len(content))
	}
	if _, err := f.Write(content); err != nil {
		_ = f.Close()
		_ = w.fs.Remove(tmp)
		return w.writeError(err, name, len(content))
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return w.markUnusable(errors.Annotatef(err, "sync %s", name))
	}
	if err := f.Close(); err != nil {
		return w.markUnusable(errors.Annotatef(err, "close %s", name))
	}
	if err := w.fs.Rename(tmp, target); err != nil {
		return w.markUnusable(errors.Annotatef(err, "rename %s into place", name))
	}
	if err := w.fs.SyncDir(w.dir); err != nil {
		return w.markUnusable(errors.Annotatef(err, "sync folder after creation of %s", name))
	}
	return nil
}

// SaveSnapshot makes snap durable, and then removes the segments and snapshots
// that it replaces. Append may run at the same time. The caller sets install if
// snap is not a prefix of the log, as with a snapshot that was received from the
// leader: the log is then discarded, and the caller must not append entries that
// follow the snapshot before SaveSnapshot has returned. It returns
// ErrSnapshotOutdated if snap is not newer than the durable snapshot, and a
// *DiskFullError if the disk has no space left; the call may then be repeated.
func (w *WAL) SaveSnapshot(snap *wirepb.Snapshot, install bool) error {
	w.snapMu.Lock()
	defer w.snapMu.Unlock()
	if err := w.Err(); err != nil {
		return err
	}
	if snap.GetIndex() <= w.snapIndex {
		return errors.Annotatef(ErrSnapshotOutdated, "entry %d, durable is entry %d", snap.GetIndex(), w.snapIndex)
	}
	if last := w.lastIndex(); !install && snap.GetIndex() > last {
		return errors.Errorf("snapshot at entry %d is not a prefix of the log, which ends at entry %d", snap.GetIndex(), last)
	}
	payload, err := proto.Marshal(snap)
	if err != nil {
		return errors.Annotate(err, "encode snapshot")
	}
	if len(payload) > maxFrameBytes {
		return errors.Errorf("snapshot of %d bytes exceeds %d bytes", len(payload), maxFrameBytes)
	}
	b := appendFileHeader(make([]byte, 0, len(payload)+fileHeaderBytes+frameHeaderBytes), magicSnapshot, snap.GetIndex())
	b = appendFrame(b, snap.GetIndex(), int64(len(b)), payload)
	if err := w.writeFile(snapshotName(snap.GetIndex(), snap.GetTerm()), b); err != nil {
		return errors.Trace(err)
	}
	snapshotBytes.Set(float64(len(b)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if install {
		err = w.resetLocked(snap.GetIndex(), snap.GetTerm())
	} else if err = w.rotateLocked(); isDiskFull(err) {
		// The current segment stays in use, and the removal of obsolete files frees
		// space.
		err = nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	w.snapIndex = snap.GetIndex()
	return w.removeObsoleteLocked()
}

// removeObsoleteLocked deletes the oldest segments, as long as all their entries
// are covered by the snapshot, and older snapshots. A crash between deletions
// leaves files that the next call deletes.
func (w *WAL) removeObsoleteLocked() error {
	for len(w.sealed) > 0 && w.sealed[0].maxIndex <= w.snapIndex {
		name := segmentName(w.sealed[0].sequence)
		if err := w.fs.Remove(filepath.Join(w.dir, name)); err != nil {
			return errors.Annotatef(err, "remove %s", name)
		}
		w.sealed = w.sealed[1:]
		// A sync after each removal prevents a crash from leaving a gap in the
		// sequence of segments.
		if err := w.fs.SyncDir(w.dir); err != nil {
			return w.markUnusable(errors.Annotatef(err, "sync folder after removal of %s", name))
		}
	}
	names, err := w.fs.List(w.dir)
	if err != nil {
		return errors.Annotate(err, "list data folder")
	}
	_, snapshots, _, _ := classify(names)
	for i := 0; i+1 < len(snapshots); i++ {
		if err := w.fs.Remove(filepath.Join(w.dir, snapshots[i])); err != nil {
			return errors.Annotatef(err, "remove %s", snapshots[i])
		}
	}
	return nil
}
