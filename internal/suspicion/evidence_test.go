package suspicion

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// feature returns the feature with a name.
func feature(name string) Feature {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Feature(h.Sum64())
}

// parseRequest parses SELF+PART+PART.
func parseRequest(s string) Request {
	names := strings.Split(s, "+")
	r := Request{Self: feature(names[0])}
	for _, n := range names[1:] {
		r.Parts = append(r.Parts, feature(n))
	}
	return r
}

func (r Request) all() []Feature { return append([]Feature{r.Self}, r.Parts...) }

// Guards against quarantines of innocent requests, and against ones that come late or
// never end. Lines: crash BACKEND REQUEST..., served REQUEST, wait DURATION, ask REQUEST
// [owner]. A request is SELF+PART+PART.
func TestEvidence(t *testing.T) {
	datadriven.Walk(t, "testdata/evidence", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			e, now := NewEvidence(), time.Second
			names := map[Feature]string{}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				for _, word := range f[1:] {
					for _, n := range strings.Split(word, "+") {
						names[feature(n)] = n
					}
				}
				switch f[0] {
				case "crash":
					for _, r := range f[2:] {
						e.RecordCrash(now, uint64(feature(f[1])), parseRequest(r).all()...)
					}
				case "served":
					e.RecordServed(now, parseRequest(f[1]))
				case "wait":
					step, err := time.ParseDuration(f[1])
					if err != nil {
						t.Fatal(err)
					}
					now += step
					e.Expire(now)
				case "ask":
					left, quarantined := e.Quarantined(now, parseRequest(f[1]), func(_, _ uint64) bool { return len(f) > 2 })
					fmt.Fprintf(&out, "%s: %v", strings.TrimSpace(line), quarantined)
					if quarantined {
						fmt.Fprintf(&out, " for %v", left)
					}
					out.WriteString("\n")
				}
				for _, s := range e.NewSuspects() {
					var list []string
					for _, f := range s.Features {
						list = append(list, names[f])
					}
					fmt.Fprintf(&out, "%s: suspect %s after %d crashes\n", strings.TrimSpace(line), strings.Join(list, "+"), s.Crashes)
				}
			}
			return out.String()
		})
	})
}

// Guards against gateways with different suspects because reports arrived twice, late or
// in another order, and against a process that has just started and learns them from the
// reports of another one only in part.
func TestEvidenceDoesNotDependOnOrder(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 7))
		type fact struct {
			at      time.Duration
			backend uint64
			request Request
			served  bool
		}
		var facts []fact
		for i := range 30 {
			r := Request{Self: Feature(1000 + i), Parts: []Feature{Feature(1 + rng.IntN(3)), Feature(10 + rng.IntN(6))}}
			at := time.Duration(i) * 200 * time.Millisecond
			facts = append(facts, fact{at, uint64(i), r, r.Parts[1] != 10})
		}
		apply := func(order []int) *Evidence {
			e := NewEvidence()
			for _, i := range order {
				f := facts[i]
				if f.served {
					e.RecordServed(f.at, f.request)
				} else {
					e.RecordCrash(f.at, f.backend, f.request.all()...)
				}
			}
			return e
		}
		inOrder := make([]int, len(facts))
		for i := range inOrder {
			inOrder[i] = i
		}
		a, b := apply(inOrder), apply(append(rng.Perm(len(facts)), rng.Perm(len(facts))...))
		if !reflect.DeepEqual(a.Suspects(), b.Suspects()) {
			t.Fatalf("seed %d: suspects are %v and %v", seed, a.Suspects(), b.Suspects())
		}
		started := NewEvidence()
		for _, r := range a.Reports(time.Hour) {
			started.RecordCrash(r.At, r.Backend, r.Features...)
		}
		for _, s := range a.Suspects() {
			r := Request{Parts: s.Features}
			if _, ok := started.Quarantined(7*time.Second, r, func(_, _ uint64) bool { return false }); !ok {
				t.Fatalf("seed %d: a process that has just started doesn't suspect %v", seed, s.Features)
			}
		}
	}
}

// Guards against memory that grows with crashes, requests and parts of prompts.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	for i := range 1000 {
		for j := range 1000 {
			e.RecordCrash(time.Duration(i)*time.Second, uint64(i), Feature(i*1000+j+1))
		}
		e.RecordServed(time.Duration(i)*time.Second, Request{Self: 1, Parts: []Feature{Feature(i), Feature(-i)}})
	}
	if len(e.crashes) > maxCrashes || len(e.served) > maxServed || len(e.counts) > maxCrashes*maxCrashFeatures {
		t.Errorf("%d crashes, %d innocent and %d counted features are kept", len(e.crashes), len(e.served), len(e.counts))
	}
	for _, c := range e.crashes {
		if len(c.features) > maxCrashFeatures {
			t.Errorf("a crash has %d features", len(c.features))
		}
	}
	if n := len(e.Reports(1000 * time.Second)); n > maxReports {
		t.Errorf("%d reports", n)
	}
}

// Guards against processor time that grows with requests while no feature is suspected:
// after the loss of many backend servers, each response clears a feature, and each
// request asks for suspects.
func TestSuspectsAreComputedOnlyIfTheyMayHaveChanged(t *testing.T) {
	e := NewEvidence()
	for i := range 100 {
		for j := range 40 {
			e.RecordCrash(time.Duration(i)*time.Second, uint64(i), Feature(1+i*40+j))
		}
	}
	computed := 0
	for i := range 2000 {
		e.RecordServed(200*time.Second, Request{Parts: []Feature{Feature(i)}})
		if e.isStale {
			computed++
		}
		e.Suspects()
	}
	if computed > 0 {
		t.Errorf("suspects were computed %d times", computed)
	}
	for i := range 3 {
		e.RecordCrash(time.Duration(300+i)*time.Second, uint64(1000+i), Feature(1_000_000))
	}
	if !e.isStale || len(e.Suspects()) != 1 {
		t.Errorf("suspects are %v", e.Suspects())
	}
}
