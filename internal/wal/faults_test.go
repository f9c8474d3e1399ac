package wal

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/wirepb"
)

// faultRun executes the commands of one file in testdata/faults.
type faultRun struct {
	t  *testing.T
	fs *memFS
	w  *WAL
}

// entries returns entries of one term with the indexes from to to, inclusive.
func entries(term, from, to uint64) []*wirepb.LogEntry {
	var out []*wirepb.LogEntry
	for i := from; i <= to; i++ {
		out = append(out, &wirepb.LogEntry{
			Index: i, Term: term, Kind: wirepb.LogEntry_KIND_COMMAND,
			Data: fmt.Appendf(nil, "command %d of term %d", i, term),
		})
	}
	return out
}

// describe returns rec in the form that the files in testdata/faults expect.
func describe(rec *Recovered) string {
	var b strings.Builder
	fmt.Fprintf(&b, "new=%v term=%d vote=%q commit=%d snapshot=%d torn=%v entries=[", rec.New, rec.HardState.GetTerm(),
		rec.HardState.GetVote(), rec.HardState.GetCommit(), rec.Snapshot.GetIndex(), rec.TornBytes > 0)
	for i, e := range rec.Entries {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%d.%d", e.GetIndex(), e.GetTerm())
	}
	b.WriteByte(']')
	return b.String()
}

func (r *faultRun) open() string {
	w, rec, err := Open("data", Options{FS: r.fs, SegmentBytes: 400})
	if err != nil {
		return "error: " + err.Error()
	}
	r.w = w
	return describe(rec)
}

func (r *faultRun) run(d *datadriven.TestData) string {
	var term, from, to, commit, index, offset, bytes, seed uint64
	var vote, file, kind string
	for key, p := range map[string]any{
		"term": &term, "from": &from, "to": &to, "commit": &commit, "vote": &vote, "index": &index,
		"file": &file, "offset": &offset, "kind": &kind, "bytes": &bytes, "seed": &seed,
	} {
		d.MaybeScanArgs(r.t, key, p)
	}
	var err error
	switch d.Cmd {
	case "open":
		return r.open() + "\n"
	case "append":
		b := Batch{}
		if from > 0 {
			b.Entries = entries(term, from, to)
		}
		if vote != "" || commit > 0 {
			b.HardState = &wirepb.HardState{Term: term, Vote: vote, Commit: commit}
		}
		err = r.w.Append(b)
	case "snapshot", "install":
		err = r.w.SaveSnapshot(&wirepb.Snapshot{Index: index, Term: term, Data: []byte("state")}, d.Cmd == "install")
	case "fault":
		r.inject(kind, file, int(bytes))
	case "kill":
		r.fs.restart()
		return r.open() + "\n"
	case "lose-power":
		r.fs.losePower(rand.New(rand.NewPCG(seed, 0)))
		return r.open() + "\n"
	case "flip":
		ino := r.fs.names[filepath.Join("data", file)]
		ino.data[offset] ^= 0xff
	case "version":
		ino := r.fs.names[filepath.Join("data", file)]
		binary.LittleEndian.PutUint32(ino.data[8:], 99)
		rewriteHeaderChecksum(ino.data)
	case "remove":
		delete(r.fs.names, filepath.Join("data", file))
	case "files":
		names, _ := r.fs.List("data")
		return strings.Join(names, "\n") + "\n"
	default:
		d.Fatalf(r.t, "unknown command %s", d.Cmd)
	}
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return "ok\n"
}

// inject makes a later operation of the file system fail.
func (r *faultRun) inject(kind, file string, bytes int) {
	switch kind {
	case "sync":
		r.fs.failSync = file
	case "syncdir":
		r.fs.failSyncDir = true
	case "short":
		r.fs.shortWrite = bytes
	case "space":
		r.fs.space = bytes
	case "nospace-over":
		r.fs.space = -1
	default:
		r.t.Fatalf("unknown fault %q", kind)
	}
}

// TestFaults guards the durability rules of the log against failing syncs,
// short writes, a full disk, crashes and corrupt files.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/faults", func(t *testing.T, path string) {
		r := &faultRun{t: t, fs: newMemFS()}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return r.run(d) })
	})
}

func rewriteHeaderChecksum(data []byte) {
	binary.LittleEndian.PutUint64(data[24:], xxhash.Sum64(data[:24]))
}
