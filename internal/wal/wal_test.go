package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

func mustOpen(t testing.TB, dir string) (*WAL, *Recovered) {
	t.Helper()
	w, rec, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return w, rec
}

// TestIdentityOfLostDisk guards against a replica that lost its disk and comes
// back with the identity under which it had voted.
func TestIdentityOfLostDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	w, first := mustOpen(t, dir)
	if err := w.Append(Batch{HardState: &wirepb.HardState{Term: 3, Vote: "a"}}); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	w, again := mustOpen(t, dir)
	_ = w.Close()
	if again.New || again.Identity != first.Identity {
		t.Fatalf("identity changed from %s to %s on a disk that was kept", first.Identity, again.Identity)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	w, wiped := mustOpen(t, dir)
	_ = w.Close()
	if !wiped.New || wiped.Identity == first.Identity {
		t.Fatalf("a wiped disk has the identity %s of the lost one", wiped.Identity)
	}
}

// TestSecondProcessIsRefused guards against two processes that write to the same
// log.
func TestSecondProcessIsRefused(t *testing.T) {
	dir := t.TempDir()
	w, _ := mustOpen(t, dir)
	defer w.Close()
	if _, _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a second open of the same directory succeeded")
	}
}

// FuzzReader guards recovery against panics and against accepting content that
// was not written, for any content of the last segment.
func FuzzReader(f *testing.F) {
	fs := newMemFS()
	w, _, err := Open("data", Options{FS: fs})
	if err != nil {
		f.Fatal(err)
	}
	for i := range uint64(4) {
		b := Batch{HardState: &wirepb.HardState{Term: i + 1, Vote: "v"}, Entries: entries(i+1, i+1, i+2)}
		if err := w.Append(b); err != nil {
			f.Fatal(err)
		}
	}
	name := filepath.Join("data", segmentName(1))
	valid := fs.names[name].data
	f.Add(valid)
	f.Add(valid[:len(valid)-3])
	f.Add(append(append([]byte{}, valid...), 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := newMemFS()
		w, _, err := Open("data", Options{FS: fs})
		if err != nil {
			t.Fatal(err)
		}
		_ = w.Close()
		fs.names[name].data = data
		w, rec, err := Open("data", Options{FS: fs})
		if err != nil {
			return
		}
		for i, e := range rec.Entries {
			if e.GetIndex() != uint64(i)+1 {
				t.Fatalf("entry %d recovered at position %d", e.GetIndex(), i+1)
			}
		}
		// Content that was recovered once must be recovered again, unchanged.
		if err := w.Append(Batch{Entries: entries(1<<40, uint64(len(rec.Entries))+1, uint64(len(rec.Entries))+1)}); err != nil {
			t.Fatal(err)
		}
		_, again, err := Open("data", Options{FS: fs})
		if err != nil || len(again.Entries) != len(rec.Entries)+1 {
			t.Fatalf("second recovery: %v, %d entries after %d", err, len(again.Entries), len(rec.Entries))
		}
	})
}

// FuzzPayload guards the decoder of frame payloads against panics.
func FuzzPayload(f *testing.F) {
	b, err := appendMessage(nil, fieldEntry, entries(1, 1, 1)[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(appendTruncate(b, 1))
	f.Fuzz(func(_ *testing.T, payload []byte) {
		_ = visitPayload(payload, &replay{hs: &wirepb.HardState{}})
	})
}

// BenchmarkAppend measures synced appends of batches on the disk that holds the
// test directory.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			w, _ := mustOpen(b, b.TempDir())
			defer w.Close()
			next := uint64(1)
			for b.Loop() {
				if err := w.Append(Batch{Entries: entries(1, next, next+uint64(size)-1)}); err != nil {
					b.Fatal(err)
				}
				next += uint64(size)
			}
			b.ReportMetric(float64(b.N*size)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkRestart measures recovery with one million existing entries of 200
// bytes, without a snapshot and with one that covers all but the last 1,000.
func BenchmarkRestart(b *testing.B) {
	const total = 1_000_000
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			dir := b.TempDir()
			w, _ := mustOpen(b, dir)
			data := make([]byte, 200)
			for from := uint64(1); from <= total; from += 1000 {
				var batch Batch
				for i := from; i < from+1000; i++ {
					batch.Entries = append(batch.Entries, &wirepb.LogEntry{Index: i, Term: 1, Data: data})
				}
				if from+1000 > total && snapshot {
					if err := w.SaveSnapshot(&wirepb.Snapshot{Index: from - 1, Term: 1, Data: data}, false); err != nil {
						b.Fatal(err)
					}
				}
				if err := w.Append(batch); err != nil {
					b.Fatal(err)
				}
			}
			_ = w.Close()
			for b.Loop() {
				w, rec := mustOpen(b, dir)
				if len(rec.Entries) == 0 {
					b.Fatal(errors.New("nothing recovered"))
				}
				_ = w.Close()
			}
		})
	}
}
