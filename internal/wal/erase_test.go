package wal

import (
	"math/rand/v2"
	"testing"

	"bilberryhub/internal/wirepb"
)

// Guards against a data directory that can't be opened any more because the process
// ended, or the machine lost power, while the directory was being erased.
func TestEraseSurvivesTheEndOfTheProcess(t *testing.T) {
	const lastOperation, seeds = 20, 40
	for operation := range lastOperation {
		for seed := range uint64(seeds) {
			fs := newMemFS()
			first := mustOpenUsedLog(t, fs)
			fs.operations = operation
			if operation == 0 {
				fs.operations = -1
			}
			_ = Erase("data", fs)
			if fs.restart(); seed > 0 {
				fs.losePower(rand.New(rand.NewPCG(seed, 0)))
			}
			w, rec, err := Open("data", Options{FS: fs})
			if err != nil {
				t.Fatalf("operation %d, seed %d: %v", operation, seed, err)
			}
			switch isEmpty := rec.New && rec.Snapshot == nil && len(rec.Entries) == 0; {
			case isEmpty && rec.Identity != first.Identity:
			case rec.Identity == first.Identity && rec.Snapshot.GetIndex() == 20 && len(rec.Entries) == 20:
			default:
				t.Fatalf("operation %d, seed %d: recovered %s", operation, seed, describe(rec))
			}
			_ = w.Close()
		}
	}
}

// mustOpenUsedLog creates a log with several segments and a snapshot, and returns what
// its first Open recovered.
func mustOpenUsedLog(t *testing.T, fs FS) *Recovered {
	t.Helper()
	w, first, err := Open("data", Options{FS: fs, SegmentBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(8) {
		b := Batch{HardState: &wirepb.HardState{Term: 1, Commit: 5 * i}, Entries: entries(1, 5*i+1, 5*i+5)}
		if err := w.Append(b); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.SaveSnapshot(&wirepb.Snapshot{Index: 20, Term: 1, Data: []byte("state")}, false); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return first
}
