package statemachine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// sizeClaim returns the n-th claim of a fleet: keys and claim ids are uuids, as
// the entry processes make them, for 2,200 accounts and 380 entry processes. It
// is decoded from bytes, because commands come from the log.
func sizeClaim(b *testing.B, n int) *wirepb.Command {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(n))
	hash := sha256.Sum256(seed[:])
	id, err := uuid.FromBytes(hash[:16])
	if err != nil {
		b.Fatal(err)
	}
	key, _ := uuid.FromBytes(hash[16:])
	data, err := proto.Marshal(&wirepb.Command{Id: id.String(), Body: &wirepb.Command_Claim{Claim: &wirepb.Claim{
		Account: fmt.Sprintf("account-%04d", n%2200), Key: key.String(), BodyHash: hash[:],
		ClaimId: id.String(), Entry: fmt.Sprintf("entry-%03d", n%380),
	}}})
	if err != nil {
		b.Fatal(err)
	}
	var cmd wirepb.Command
	if err := proto.Unmarshal(data, &cmd); err != nil {
		b.Fatal(err)
	}
	return &cmd
}

func sizeOutcome(cmd *wirepb.Command) *wirepb.Command {
	c := cmd.GetClaim()
	return &wirepb.Command{Id: c.GetClaimId() + "o", Body: &wirepb.Command_Outcome{Outcome: &wirepb.ClaimOutcome{
		Account: c.GetAccount(), Key: c.GetKey(), ClaimId: c.GetClaimId(), Kind: wirepb.ClaimOutcome_KIND_DONE,
		Status: 200, ContentType: "application/json",
	}}}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkClaimMemory measures the heap per claim and the size of a snapshot
// by the number of claims, with and without outcomes without body.
func BenchmarkClaimMemory(b *testing.B) {
	for _, done := range []bool{false, true} {
		for _, claims := range []int{100_000, 300_000, 1_000_000} {
			b.Run(fmt.Sprintf("done=%v/claims=%d", done, claims), func(b *testing.B) {
				for range b.N {
					before := heapInUse()
					m := New()
					index := uint64(0)
					for n := range claims {
						cmd := sizeClaim(b, n)
						index++
						if r := m.Apply(index, cmd); !r.GetClaim().GetHeld() {
							b.Fatalf("claim %d: %v", n, r)
						}
						if done {
							index++
							if r := m.Apply(index, sizeOutcome(cmd)); r.GetCode() != "" {
								b.Fatalf("outcome %d: %v", n, r)
							}
						}
					}
					heap := heapInUse() - before
					b.ReportMetric(float64(heap)/1e6, "heap-MB")
					b.ReportMetric(float64(heap)/float64(claims), "heap-B/claim")
					// The message of a snapshot counts against the process while it is encoded.
					snap := m.Snapshot()
					withSnapshot := heapInUse() - before
					b.ReportMetric(float64(withSnapshot-heap)/1e6, "snapshot-message-MB")
					data, err := snap.Encode()
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(float64(len(data))/float64(claims), "snapshot-B/claim")
					runtime.KeepAlive(m)
				}
			})
		}
	}
}
