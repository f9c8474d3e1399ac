package claim

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var hash = sha256.Sum256([]byte("request"))

// quorum is a state machine behind unreliable state processes.
type quorum struct {
	t         *testing.T
	addresses []string
	// fate decides what happens to one proposal.
	fate func() string

	mu      sync.Mutex
	machine *statemachine.Machine
	index   uint64
	late    sync.WaitGroup
}

func newQuorum(t *testing.T, replicas int, fate func() string) *quorum {
	q := &quorum{t: t, fate: fate, machine: statemachine.New()}
	for range replicas {
		s, err := wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindState, ID: "s"}}, q.serve, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close(); q.late.Wait() })
		q.addresses = append(q.addresses, s.Address())
	}
	return q
}

func (q *quorum) serve(_ context.Context, st *wire.Stream, req *wirepb.Envelope) error {
	cmd := req.GetPropose().GetCommand()
	var result *wirepb.Result
	switch q.fate() {
	case "ok":
		result = q.apply(cmd)
	case "no leader":
		return errors.New("no leader")
	case "lose answer":
		q.apply(cmd)
		return errors.New("connection lost")
	case "late":
		q.applyLater(cmd)
		return errors.New("leader changed")
	case "twice":
		result = q.apply(cmd)
		q.applyLater(cmd)
	}
	return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ProposeReply{ProposeReply: &wirepb.ProposeReply{Result: result}}})
}

func (q *quorum) apply(cmd *wirepb.Command) *wirepb.Result {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.index++
	return q.machine.Apply(q.index, cmd)
}

func (q *quorum) applyLater(cmd *wirepb.Command) {
	q.late.Go(func() {
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		q.apply(cmd)
	})
}

func (q *quorum) claim(key string) *wirepb.ClaimState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.machine.Claim("office", key)
}

func (q *quorum) client(id string) *Client {
	c := New(Options{EntryID: id, States: q.addresses, Wire: wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: id}}})
	q.t.Cleanup(c.Close)
	return c
}

func (c *Client) settled(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); c.Status().Pending > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("claims still pending: %+v", c.Status())
		}
	}
}

// Guards against a claim that was committed although its caller was told that
// it was not: it must not block the key, whenever it was committed.
func TestLostAnswerIsAbandoned(t *testing.T) {
	for _, fault := range []string{"lose answer", "late", "no leader"} {
		t.Run(fault, func(t *testing.T) {
			var broken atomic.Bool
			broken.Store(true)
			q := newQuorum(t, 3, func() string {
				if broken.Load() {
					return fault
				}
				return "ok"
			})
			c := q.client("e1")
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			got, err := c.Claim(ctx, "office", "k", hash[:])
			ref := refusal.From(err)
			if err == nil || ref.Code != refusal.NoQuorum || ref.Run != refusal.RunNo || got.Held {
				t.Fatalf("got %+v, %v, want no_quorum, not run", got, err)
			}
			broken.Store(false)
			c.settled(t)
			q.late.Wait()
			if state := q.claim("k"); state != nil {
				t.Errorf("the key is held by %s after the abandonment", state.GetClaimId())
			}
			if got, err := c.Claim(t.Context(), "office", "k", hash[:]); err != nil || !got.Held {
				t.Errorf("next claim: %+v, %v, want the grant", got, err)
			}
		})
	}
}

// Guards against a frozen state process, whose kernel still accepts
// connections, that uses up the time of a claim: it may cost one attempt. A
// handshake alone takes 2 s to fail.
func TestFrozenStateProcess(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	q := newQuorum(t, 1, func() string { return "ok" })
	good := q.addresses[0]
	for _, addresses := range [][]string{{frozen.Addr().String(), good}, {good, frozen.Addr().String()}} {
		q.addresses = addresses
		c := q.client("e1")
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout+800*time.Millisecond)
				defer cancel()
				if got, err := c.Claim(ctx, "office", fmt.Sprint(addresses, i), hash[:]); err != nil || !got.Held {
					t.Errorf("claim %d: %+v, %v", i, got, err)
				}
			})
		}
		wg.Wait()
	}
}

// Guards against unbounded growth while no quorum is reachable, and against a
// claim that is sent when its abandonment could not be remembered.
func TestQueueIsBounded(t *testing.T) {
	var sent atomic.Int32
	q := newQuorum(t, 1, func() string { sent.Add(1); return "ok" })
	c := q.client("e1")
	c.queue.mu.Lock()
	c.queue.held = maxQueued
	c.queue.mu.Unlock()
	if _, err := c.Claim(t.Context(), "office", "k", hash[:]); refusal.From(err).Code != refusal.NoQuorum || sent.Load() != 0 {
		t.Errorf("claim without room: %v, %d proposals sent", err, sent.Load())
	}
	c.queue.mu.Lock()
	c.queue.held, c.queue.bodyBytes = 0, maxQueuedBodyBytes-3
	short := c.queue.bounded(outcomeCommand(&wirepb.ClaimOutcome{Body: []byte("abc")}))
	dropped := c.queue.bounded(outcomeCommand(&wirepb.ClaimOutcome{Body: []byte("abc")}))
	c.queue.mu.Unlock()
	if len(short.GetOutcome().GetBody()) != 3 || !dropped.GetOutcome().GetBodyDropped() {
		t.Errorf("bodies beyond the bound are kept: %v, %v", short, dropped)
	}
}

// step is one operation of the history of a key.
type step struct{ key, kind string }

// onceModel allows one holder at a time, and none after a recorded outcome. A
// claim that answers "in progress" is allowed until then, because an abandoned
// claim may block the key for a while.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(step).key] = append(byKey[op.Input.(step).key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "free" },
	Step: func(state, input, output any) (bool, any) {
		switch kind := input.(step).kind; {
		case kind == "claim" && output == "held":
			return state == "free", "held"
		case kind == "claim" && output == "recorded":
			return state == "done", state
		case kind == "claim" && output == "in progress":
			return state != "done", state
		case kind == "claim":
			return true, state
		case kind == "done":
			return state == "held", "done"
		}
		return state == "held", "free"
	},
}

// Guards against two dispatches of one key when entry processes race, answers
// are lost, proposals are resent and commits are late. BILBERRY_SEED selects
// the run.
func TestAtMostOnceHistories(t *testing.T) {
	defer invariant.SetHandler(func(name, detail string) { t.Errorf("%s: %s", name, detail) })()
	seed, err := strconv.ParseUint(os.Getenv("BILBERRY_SEED"), 10, 64)
	if err != nil {
		seed = rand.Uint64()
	}
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	fates := []string{"ok", "ok", "no leader", "lose answer", "late", "twice"}
	var healthy atomic.Bool
	q := newQuorum(t, 3, func() string {
		if healthy.Load() {
			return "ok"
		}
		return fates[draw(len(fates))]
	})
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in step, call time.Duration, out string) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(time.Since(start))})
	}
	var wg sync.WaitGroup
	var clients []*Client
	for id := range 6 {
		c := q.client(fmt.Sprint("e", id))
		clients = append(clients, c)
		wg.Go(func() {
			for range 30 {
				key := fmt.Sprint("k", draw(12))
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+draw(20))*time.Millisecond)
				call := time.Since(start)
				got, err := c.Claim(ctx, "office", key, hash[:])
				cancel()
				record(id, step{key, "claim"}, call, answerName(got, err))
				if !got.Held {
					continue
				}
				kind := []string{"done", "release"}[draw(2)]
				call = time.Since(start)
				o := &wirepb.ClaimOutcome{Account: "office", Key: key, ClaimId: got.ClaimID, Kind: wirepb.ClaimOutcome_KIND_DONE}
				if kind == "release" {
					o.Kind = wirepb.ClaimOutcome_KIND_NOT_RUN
				}
				_ = c.Record(t.Context(), o)
				c.settled(t)
				record(id, step{key, kind}, call, "")
			}
		})
	}
	wg.Wait()
	healthy.Store(true)
	q.late.Wait()
	for _, c := range clients {
		c.settled(t)
	}
	for i := range 12 {
		if state := q.claim(fmt.Sprint("k", i)); state != nil && state.GetOutcome() == nil {
			t.Errorf("key k%d is blocked by %s", i, state.GetClaimId())
		}
	}
	if result := porcupine.CheckOperationsTimeout(onceModel, history, 20*time.Second); result != porcupine.Ok {
		t.Errorf("history of %d operations: %s", len(history), result)
	}
}

func answerName(got Outcome, err error) string {
	switch {
	case err != nil:
		return "error"
	case got.Held:
		return "held"
	case got.Recorded.GetKind() == wirepb.ClaimOutcome_KIND_DONE:
		return "recorded"
	}
	return "in progress"
}
