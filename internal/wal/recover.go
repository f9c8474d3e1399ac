package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// Recovered is the content of a data directory at the time of Open.
type Recovered struct {
	// Identity is the identity of the disk.
	Identity string
	// New is set when the directory was empty, so that the identity is new.
	New       bool
	HardState *wirepb.HardState
	// Snapshot is nil when there is none.
	Snapshot *wirepb.Snapshot
	// Entries are the entries after the snapshot, without gaps.
	Entries []*wirepb.LogEntry
	// TornBytes is the number of unacknowledged bytes truncated from the end of
	// the log.
	TornBytes int64
}

const (
	segmentPrefix   = "log-"
	segmentSuffix   = ".wal"
	snapshotPrefix  = "snapshot-"
	snapshotSuffix  = ".snap"
	identityName    = "identity"
	lockName        = "lock"
	temporarySuffix = ".tmp"
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

// segment describes a segment file.
type segment struct {
	sequence uint64
	// maxIndex is the highest index that was ever written to the segment.
	maxIndex uint64
}

// replay rebuilds the log from frames. It implements visitor.
type replay struct {
	// started is set once base is known: after the first position or reset.
	started bool
	// base and baseTerm are the index and term of the entry before entries.
	base     uint64
	baseTerm uint64
	entries  []*wirepb.LogEntry
	hs       *wirepb.HardState
	// maxIndex and frames are those of the segment that is being read.
	maxIndex uint64
	frames   int
}

// last returns the index and term of the last entry of the log.
func (r *replay) last() (index, term uint64) {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].GetIndex(), r.entries[n-1].GetTerm()
	}
	return r.base, r.baseTerm
}

// hardState implements visitor. It returns an error if the term decreases.
func (r *replay) hardState(hs *wirepb.HardState) error {
	if hs.GetTerm() < r.hs.GetTerm() {
		return errors.Errorf("term falls from %d to %d", r.hs.GetTerm(), hs.GetTerm())
	}
	r.hs = hs
	return nil
}

// position implements visitor. It returns an error if the segment does not
// continue the log.
func (r *replay) position(index, term uint64) error {
	if !r.started {
		r.started, r.base, r.baseTerm = true, index, term
		return nil
	}
	if i, t := r.last(); i != index || t != term {
		return errors.Errorf("segment continues entry %d of term %d, but the log ends at entry %d of term %d",
			index, term, i, t)
	}
	return nil
}

// reset implements visitor.
func (r *replay) reset(index, term uint64) error {
	r.started, r.base, r.baseTerm, r.entries = true, index, term, nil
	return nil
}

// truncate implements visitor.
func (r *replay) truncate(from uint64) error {
	last, _ := r.last()
	if from == 0 || from > last {
		return errors.Errorf("truncation from %d is outside of entries %d to %d", from, r.base+1, last)
	}
	if from <= r.base {
		// The truncated entries were in a segment that has been removed. The
		// snapshot must cover the new base, which join checks.
		r.base, r.baseTerm, r.entries = from-1, 0, nil
		return nil
	}
	// The full slice expression limits the capacity, so that a later append does
	// not overwrite the removed entries in place.
	n := from - r.base - 1
	r.entries = r.entries[:n:n]
	return nil
}

// entry implements visitor. It returns an error for an entry that does not
// follow the last one.
func (r *replay) entry(e *wirepb.LogEntry) error {
	last, term := r.last()
	if e.GetIndex() != last+1 || e.GetTerm() < term {
		return errors.Errorf("entry %d of term %d follows entry %d of term %d", e.GetIndex(), e.GetTerm(), last, term)
	}
	r.entries = append(r.entries, e)
	r.maxIndex = max(r.maxIndex, e.GetIndex())
	return nil
}

// recovery reads the segments of a data directory.
type recovery struct {
	fs       FS
	dir      string
	segments []segment
	replay   replay
	// tailOffset is the end of the last valid frame in the last segment,
	// tailFrames the number of its valid frames, and tornBytes the size of the
	// torn tail after them.
	tailOffset int64
	tailFrames int
	tornBytes  int64
}

// readSegments replays the named segments, which are in the order of their
// sequence.
func (r *recovery) readSegments(names []string) error {
	for i, name := range names {
		if err := r.readSegment(name, i == len(names)-1); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// readSegment replays one segment. The argument last states whether it is the
// newest one, whose end may be torn.
func (r *recovery) readSegment(name string, last bool) error {
	data, err := r.fs.ReadFile(filepath.Join(r.dir, name))
	if err != nil {
		return errors.Annotatef(err, "read %s", name)
	}
	sequence, err := readFileHeader(name, data, magicSegment)
	if err != nil {
		return errors.Trace(err)
	}
	if segmentName(sequence) != name {
		return &CorruptError{File: name, Reason: fmt.Sprintf("file has sequence %d", sequence)}
	}
	if n := len(r.segments); n > 0 && r.segments[n-1].sequence+1 != sequence {
		return errors.Errorf("segment %s is missing", segmentName(r.segments[n-1].sequence+1))
	}
	r.replay.maxIndex, r.replay.frames = 0, 0
	r.tailOffset, err = scanFrames(name, sequence, data, last, func(payload []byte) error {
		r.replay.frames++
		return visitPayload(payload, &r.replay)
	})
	if err != nil {
		return errors.Trace(err)
	}
	// A segment is renamed into place with its first frame already written.
	if r.replay.frames == 0 {
		return &CorruptError{File: name, Offset: fileHeaderBytes, Reason: "segment has no first frame"}
	}
	r.tailFrames, r.tornBytes = r.replay.frames, int64(len(data))-r.tailOffset
	r.segments = append(r.segments, segment{sequence: sequence, maxIndex: r.replay.maxIndex})
	return nil
}

// join combines the log with the newest snapshot and returns the entries after
// it. It reports whether the log has to be discarded in favour of the snapshot,
// which is the case if the snapshot is not a prefix of the log. It returns an
// error if entries between snapshot and log are missing.
func (r *recovery) join(snap *wirepb.Snapshot) (entries []*wirepb.LogEntry, discardLog bool, err error) {
	p := &r.replay
	if snap.GetIndex() < p.base {
		return nil, false, errors.Errorf("log starts behind entry %d, but the snapshot ends at entry %d", p.base, snap.GetIndex())
	}
	last, _ := p.last()
	if snap.GetIndex() > last {
		return nil, true, nil
	}
	keep := snap.GetIndex() - p.base
	term := p.baseTerm
	if keep > 0 {
		term = p.entries[keep-1].GetTerm()
	}
	if snap != nil && term != snap.GetTerm() {
		return nil, true, nil
	}
	return p.entries[keep:], false, nil
}

// classify groups the files of a data directory by kind and reports whether there
// is a file with the identity. Names of other kinds are ignored.
func classify(names []string) (segments, snapshots, temporaryFiles []string, hasIdentity bool) {
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, temporarySuffix):
			temporaryFiles = append(temporaryFiles, n)
		case strings.HasPrefix(n, segmentPrefix) && strings.HasSuffix(n, segmentSuffix):
			segments = append(segments, n)
		case strings.HasPrefix(n, snapshotPrefix) && strings.HasSuffix(n, snapshotSuffix):
			snapshots = append(snapshots, n)
		case n == identityName:
			hasIdentity = true
		}
	}
	return segments, snapshots, temporaryFiles, hasIdentity
}
