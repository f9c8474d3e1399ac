package statemachine

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// arguments holds the key=value pairs of one line of a testdata table.
type arguments map[string]string

func (a arguments) number(key string) uint64 {
	n, _ := strconv.ParseUint(a[key], 10, 64)
	return n
}

func parseLine(line string) (cmd string, args arguments) {
	words := strings.Fields(line)
	args = arguments{}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		args[key] = value
	}
	return words[0], args
}

func manifestCommand(id string, number uint64, content string) *wirepb.Command {
	doc := fmt.Sprintf(`{"number":%d,"content":%q}`, number, content)
	return &wirepb.Command{Id: id, Body: &wirepb.Command_ApplyManifest{
		ApplyManifest: &wirepb.ApplyManifest{Number: number, Content: []byte(doc)},
	}}
}

func claimCommand(id, key, body, claimID string) *wirepb.Command {
	hash := sha256.Sum256([]byte(body))
	return &wirepb.Command{Id: id, Body: &wirepb.Command_Claim{Claim: &wirepb.Claim{
		Account: "office", Key: key, BodyHash: hash[:], ClaimId: claimID, Entry: "e1",
	}}}
}

func outcomeCommand(id, key, claimID, kind, body string) *wirepb.Command {
	return &wirepb.Command{Id: id, Body: &wirepb.Command_Outcome{Outcome: &wirepb.ClaimOutcome{
		Account: "office", Key: key, ClaimId: claimID, Body: []byte(body), Status: 200,
		Kind: wirepb.ClaimOutcome_Kind(wirepb.ClaimOutcome_Kind_value["KIND_"+strings.ToUpper(kind)]),
	}}}
}

func command(cmd string, a arguments) *wirepb.Command {
	switch cmd {
	case "manifest":
		return manifestCommand(a["id"], a.number("number"), a["content"])
	case "order":
		return &wirepb.Command{Id: a["id"], Body: &wirepb.Command_Order{Order: &wirepb.Order{
			Kind: a["kind"], Target: a["target"], Out: a["out"] == "true", Number: a.number("number"),
		}}}
	case "claim":
		return claimCommand(a["id"], a["key"], a["body"], a["claim"])
	case "outcome":
		return outcomeCommand(a["id"], a["key"], a["claim"], a["kind"], a["body"])
	case "fence":
		return &wirepb.Command{Id: a["id"], Body: &wirepb.Command_AcquireFence{
			AcquireFence: &wirepb.AcquireFence{Resource: a["resource"], Holder: a["holder"]},
		}}
	case "clock":
		return &wirepb.Command{Id: a["id"], Body: &wirepb.Command_AdvanceClock{
			AdvanceClock: &wirepb.AdvanceClock{ElapsedMs: a.number("ms")},
		}}
	}
	panic("unknown command " + cmd)
}

func describe(r *wirepb.Result) string {
	parts := []string{fmt.Sprintf("index=%d", r.GetIndex())}
	if r.GetCode() != "" {
		parts = append(parts, r.GetCode()+": "+r.GetMessage())
	}
	if r.GetAlready() {
		parts = append(parts, "already")
	}
	if n := r.GetNumberInForce(); n > 0 {
		parts = append(parts, fmt.Sprintf("in force %d", n))
	}
	if f := r.GetFence(); f > 0 {
		parts = append(parts, fmt.Sprintf("fence %d", f))
	}
	if c := r.GetClaim(); c != nil {
		parts = append(parts, fmt.Sprintf("holder=%s held=%t", c.GetClaimId(), c.GetHeld()))
		if o := c.GetOutcome(); o != nil {
			parts = append(parts, fmt.Sprintf("%s body=%q dropped=%t", o.GetKind(), o.GetBody(), o.GetBodyDropped()))
		}
	}
	return strings.Join(parts, " ")
}

// TestRules guards against a change that is accepted twice, reverted or lost, and
// against two claim ids with the right to dispatch.
func TestRules(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m := New()
		index := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "new":
				l := DefaultLimits
				for _, a := range d.CmdArgs {
					n, _ := strconv.Atoi(a.Vals[0])
					switch a.Key {
					case "claims":
						l.Claims = n
					case "bodies":
						l.BodyBytes = n
					case "orders":
						l.Orders = n
					case "fences":
						l.Fences = n
					}
				}
				m, index = NewWithLimits(l), 0
			case "apply":
				for line := range strings.Lines(d.Input) {
					index++
					cmd, args := parseLine(line)
					fmt.Fprintln(&out, describe(m.Apply(index, command(cmd, args))))
				}
			case "config":
				c := m.Config()
				fmt.Fprintf(&out, "index=%d manifest=%d %s\n", c.GetIndex(), c.GetManifestNumber(), c.GetManifest())
				for _, o := range c.GetOrders() {
					fmt.Fprintf(&out, "%s %s out=%t number=%d\n", o.GetKind(), o.GetTarget(), o.GetOut(), o.GetNumber())
				}
			case "dump":
				b, err := json.Marshal(m.Dump())
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintln(&out, string(b))
			}
			return out.String()
		})
	})
}

// smallLimits are low enough that random runs reach every limit.
var smallLimits = Limits{Claims: 4, BodyBytes: 20, Proposals: 5, VoidClaimIDs: 6, Orders: 3, Fences: 2}

// randomCommand draws names from small sets, so that commands affect the same
// items.
func randomCommand(t *rapid.T, index uint64) *wirepb.Command {
	pick := func(label string, n int) string { return strconv.Itoa(rapid.IntRange(1, n).Draw(t, label)) }
	a := arguments{
		"id": pick("id", int(index)+1), "number": pick("number", 5), "content": pick("content", 2),
		"kind": "backend_server", "target": pick("target", 4), "out": strconv.FormatBool(rapid.Bool().Draw(t, "out")),
		"key": pick("key", 6), "body": pick("body", 2), "claim": pick("claim", 8),
		"resource": pick("resource", 4), "holder": "h", "ms": pick("ms", 4) + "0000000",
	}
	cmd := rapid.SampledFrom([]string{"manifest", "order", "claim", "claim", "outcome", "outcome", "fence", "clock"}).Draw(t, "cmd")
	if cmd == "outcome" {
		a["kind"] = rapid.SampledFrom([]string{"done", "done", "not_run", "unknown"}).Draw(t, "kind")
		a["body"] = strings.Repeat("x", rapid.IntRange(0, 12).Draw(t, "size"))
	}
	return command(cmd, a)
}

func encode(t *rapid.T, m *Machine) []byte {
	b, err := m.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestSnapshotEquivalence guards against a replica that returns different results
// after it has restored a snapshot, and against results that depend on the
// iteration order of a map.
func TestSnapshotEquivalence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(name, detail string) { t.Fatalf("%s: %s", name, detail) })()
		a, b := NewWithLimits(smallLimits), NewWithLimits(smallLimits)
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for index := uint64(1); index <= uint64(steps); index++ {
			cmd := randomCommand(t, index)
			ra, rb := a.Apply(index, cmd), b.Apply(index, proto.CloneOf(cmd))
			if !proto.Equal(ra, rb) {
				t.Fatalf("index %d: results differ: %s and %s", index, describe(ra), describe(rb))
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				var s wirepb.StateSnapshot
				if err := proto.Unmarshal(encode(t, b), &s); err != nil {
					t.Fatal(err)
				}
				b = NewWithLimits(smallLimits)
				if err := b.Restore(&s); err != nil {
					t.Fatal(err)
				}
			}
			checkBounds(t, a)
		}
		if string(encode(t, a)) != string(encode(t, b)) {
			t.Fatal("states differ at the end")
		}
		if a.Config().GetDigest() != b.Config().GetDigest() {
			t.Fatal("configuration digests differ at the end")
		}
	})
}

// checkBounds fails the test if the state exceeds a limit, or if the counters, the
// list and the index of the claims disagree.
func checkBounds(t *rapid.T, m *Machine) {
	bytes, listed := 0, 0
	for r := m.claims.first; r != nil; r = r.next {
		bytes += r.outcome.bodyBytes()
		listed++
		if m.claims.byKey[newClaimKey(r.account.Value(), r.key())] != r || (r.next != nil && r.next.previous != r) {
			t.Fatalf("list and index of the claims disagree on key %s", r.key())
		}
	}
	claims := len(m.claims.byKey)
	if bytes != m.bodyBytes || bytes > m.limits.BodyBytes || claims > m.limits.Claims || claims != listed {
		t.Fatalf("%d bytes in bodies, counted %d; %d claims, %d listed", bytes, m.bodyBytes, claims, listed)
	}
	if len(m.proposals.values) > m.limits.Proposals || len(m.voidIDs.values) > m.limits.VoidClaimIDs ||
		len(m.orders) > m.limits.Orders || len(m.fences) > m.limits.Fences {
		t.Fatal("a limit of the state is exceeded")
	}
}
