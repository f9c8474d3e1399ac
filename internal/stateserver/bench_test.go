package stateserver

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wal"
	"bilberryhub/internal/wirepb"
)

// BenchmarkCommit measures the throughput and latency of claims by the number of
// concurrent callers at the leader. Three replicas run on loopback, each with its own
// synced log.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newCluster(b, 3)
			c.startAll()
			client := c.client(c.leader())
			latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var mu sync.Mutex
			var next atomic.Int64
			b.ResetTimer()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						start := time.Now()
						if _, code := propose(client, claimCommand(fmt.Sprintf("key-%d", n), fmt.Sprintf("id-%d", n))); code != "" {
							b.Errorf("claim %d failed with %q", n, code)
							return
						}
						mu.Lock()
						_ = latency.RecordValue(time.Since(start).Microseconds())
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// BenchmarkRestart measures the time from the start of a replica until it has applied
// one million claims from its log, without a snapshot and with a snapshot of all but
// the last 1,000.
func BenchmarkRestart(b *testing.B) {
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			const entries = 1_000_000
			c := newCluster(b, 1)
			writeLog(b, c, entries, snapshot)
			b.ResetTimer()
			for range b.N {
				name := c.replicas[0].Name
				c.start(name)
				c.await("all claims to be applied", func() bool { return c.status(name).Raft.Applied >= entries })
				b.StopTimer()
				c.stop(name)
				b.StartTimer()
			}
		})
	}
}

// writeLog fills the data directory of the only replica with claims up to the index
// entries.
func writeLog(b *testing.B, c *cluster, entries uint64, snapshot bool) {
	r := c.replicas[0]
	w, rec, err := wal.Open(filepath.Join(c.dir, r.Name), wal.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	machine := statemachine.New()
	save := func(index uint64, install bool) {
		s := &wirepb.Snapshot{Index: index, Term: firstTerm, Membership: &wirepb.Membership{
			Voters: []*wirepb.Replica{r.withID(replicaID(r.Name, rec.Identity))},
		}}
		if s.Data, err = machine.Snapshot().Encode(); err != nil {
			b.Fatal(err)
		}
		if err := w.SaveSnapshot(s, install); err != nil {
			b.Fatal(err)
		}
	}
	save(firstIndex, true)
	const batchSize = 1000
	for from := uint64(firstIndex + 1); from <= entries; from += batchSize {
		batch := wal.Batch{HardState: &wirepb.HardState{Term: firstTerm, Commit: from - 1}}
		for i := from; i < from+batchSize; i++ {
			cmd := claimCommand(fmt.Sprintf("key-%d", i), fmt.Sprintf("id-%d", i))
			data, err := proto.Marshal(cmd)
			if err != nil {
				b.Fatal(err)
			}
			batch.Entries = append(batch.Entries, &wirepb.LogEntry{
				Index: i, Term: firstTerm, Kind: wirepb.LogEntry_KIND_COMMAND, Data: data,
			})
			machine.Apply(i, cmd)
		}
		if err := w.Append(batch); err != nil {
			b.Fatal(err)
		}
		if snapshot && from+2*batchSize > entries && from+batchSize <= entries {
			save(from+batchSize-1, false)
		}
	}
}
