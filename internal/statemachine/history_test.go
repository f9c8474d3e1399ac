package statemachine

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"bilberryhub/internal/wirepb"
)

// network is an unreliable connection to one machine, and records the history of
// calls. A command that was sent may be applied at once, later, or more than once,
// and its result may be lost.
type network struct {
	machine *Machine
	index   uint64
	// delayed holds copies of commands that may still be delivered.
	delayed []*wirepb.Command
	now     int64
	history []porcupine.Operation
}

// tick advances the logical time of the history and returns it.
func (n *network) tick() int64 {
	n.now++
	return n.now
}

func (n *network) apply(cmd *wirepb.Command) *wirepb.Result {
	n.index++
	return n.machine.Apply(n.index, cmd)
}

// deliver applies some delayed copies.
func (n *network) deliver(t *rapid.T) {
	for len(n.delayed) > 0 && rapid.Bool().Draw(t, "deliver") {
		i := rapid.IntRange(0, len(n.delayed)-1).Draw(t, "which")
		n.apply(n.delayed[i])
		n.delayed = append(n.delayed[:i], n.delayed[i+1:]...)
	}
}

// call is a command of one client and its attempts. The field sent is the number
// of attempts.
type call struct {
	client  int
	input   any
	cmd     *wirepb.Command
	started int64
	sent    int
}

// step sends the command once. It returns the result, or nil if it was lost.
func (n *network) step(t *rapid.T, c *call) *wirepb.Result {
	c.sent++
	n.deliver(t)
	switch rapid.SampledFrom([]string{"answer", "answer", "lose answer", "delay", "duplicate"}).Draw(t, "fate") {
	case "answer":
		return n.apply(c.cmd)
	case "duplicate":
		n.delayed = append(n.delayed, c.cmd)
		return n.apply(c.cmd)
	case "lose answer":
		n.apply(c.cmd)
	case "delay":
		n.delayed = append(n.delayed, c.cmd)
	}
	return nil
}

// recordEnd adds the call to the history. A nil output means that its outcome is
// unknown, so that it may take effect at any later time.
func (n *network) recordEnd(c *call, output any) {
	at := n.tick()
	if output == nil {
		at = math.MaxInt64
	}
	n.history = append(n.history, porcupine.Operation{ClientId: c.client, Input: c.input, Output: output, Call: c.started, Return: at})
}

// run interleaves the calls of the clients until the given number of calls was
// started. Each call is attempted up to three times. The function next returns the
// next call of a client, and done maps a result, or nil, to the output in the
// history.
func (n *network) run(t *rapid.T, clients, calls int, next func(client, serial int) *call, done func(c *call, r *wirepb.Result) any) {
	open := make([]*call, clients)
	for serial := 0; serial < calls; {
		client := rapid.IntRange(0, clients-1).Draw(t, "client")
		if open[client] == nil {
			serial++
			open[client] = next(client, serial)
			open[client].client, open[client].started = client, n.tick()
		}
		c := open[client]
		if r := n.step(t, c); r != nil {
			n.recordEnd(c, done(c, r))
			open[client] = nil
		} else if c.sent == 3 {
			n.recordEnd(c, done(c, nil))
			open[client] = nil
		}
	}
	for _, c := range open {
		if c != nil {
			n.recordEnd(c, done(c, nil))
		}
	}
}

// check fails the test unless the history is linearizable under the model.
func (n *network) check(t *rapid.T, model porcupine.Model) {
	if result := porcupine.CheckOperationsTimeout(model, n.history, 5*time.Second); result != porcupine.Ok {
		for _, op := range n.history {
			t.Logf("%d to %d: client %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output)
		}
		t.Fatalf("history check: %s", result)
	}
}

type manifestInput struct {
	read    bool
	number  uint64
	content string
}

type manifestOutput struct {
	code    string
	already bool
	number  uint64
	content string
}

type manifestState struct {
	number  uint64
	content string
}

// manifestModel is the sequential specification of manifest changes and reads: a
// register that accepts only higher numbers.
var manifestModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{manifestState{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(manifestState), input.(manifestInput)
		next, want := s, manifestOutput{number: s.number}
		switch {
		case in.read:
			want.content = s.content
		case in.number > s.number:
			next = manifestState{in.number, in.content}
			want.number = in.number
		case in.number == s.number && in.content == s.content:
			want.already = true
		case in.number == s.number:
			want.code = CodeManifestConflict
		default:
			want.code = CodeManifestOutdated
		}
		if output == nil {
			return []any{s, next}
		}
		if output != want {
			return nil
		}
		return []any{next}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestManifestHistories guards against a manifest that reverts, or is accepted
// twice with different content, when operators propose concurrently, results are
// lost and proposals are resent.
func TestManifestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{machine: New()}
		next := func(_, serial int) *call {
			in := manifestInput{
				read:    rapid.IntRange(0, 3).Draw(t, "read") == 0,
				number:  uint64(rapid.IntRange(1, 4).Draw(t, "number")),
				content: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"),
			}
			if in.read {
				// A read is a committed command without effect.
				return &call{input: in, cmd: command("clock", arguments{})}
			}
			return &call{input: in, cmd: manifestCommand(fmt.Sprint("p", serial), in.number, in.content)}
		}
		done := func(c *call, r *wirepb.Result) any {
			switch {
			case r == nil:
				return nil
			case c.input.(manifestInput).read:
				return n.read()
			}
			return manifestOutput{code: r.GetCode(), already: r.GetAlready(), number: r.GetNumberInForce()}
		}
		n.run(t, 4, 20, next, done)
		n.check(t, manifestModel.ToModel())
	})
}

// read returns the manifest in force as the output of a read.
func (n *network) read() manifestOutput {
	c := n.machine.Config()
	for _, content := range []string{"x", "y"} {
		if string(c.GetManifest()) == fmt.Sprintf(`{"number":%d,"content":%q}`, c.GetManifestNumber(), content) {
			return manifestOutput{number: c.GetManifestNumber(), content: content}
		}
	}
	return manifestOutput{number: c.GetManifestNumber()}
}

type claimInput struct {
	key, claimID, kind, body string
}

type claimOutput struct {
	held bool
	code string
	done string
}

// claimModelState is the state of one key in claimModel. voidIDs lists the
// abandoned claim ids, each between commas.
type claimModelState struct {
	claimID, body, outcome, voidIDs string
}

// claimModel is the sequential specification of at-most-once execution, for each
// key. A claim takes effect once, however often it is sent. The abandonment of a
// claim frees the key, and its claim id can never hold the key again.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{claimModelState{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(claimModelState), input.(claimInput)
		next, want := s, claimOutput{}
		held := s.claimID == in.claimID
		switch {
		case in.kind == "claim" && strings.Contains(s.voidIDs, ","+in.claimID+","):
			want.code = CodeClaimVoid
		case in.kind == "claim" && s.claimID == "":
			next.claimID, next.body = in.claimID, in.body
			want.held = true
		case in.kind == "claim" && s.body != in.body:
			want.code = CodeKeyReused
		case in.kind == "claim" && s.outcome != "":
			want.done = s.outcome
		case in.kind == "claim":
			want.code = CodeInProgress
		case in.kind == "not_run":
			if held {
				next = claimModelState{voidIDs: s.voidIDs}
			}
			next.voidIDs += "," + in.claimID + ","
		case in.kind == "done" && held:
			next.outcome = in.claimID
		case in.kind == "done":
			want.code = CodeClaimNotHeld
		}
		if output == nil {
			return []any{s, next}
		}
		if output != want {
			return nil
		}
		return []any{next}
	},
	Equal: func(a, b any) bool { return a == b },
}

// claimant follows the protocol of package claim: one claim, then one outcome if
// it holds the key, or an abandonment if the result was lost. The field next is
// the kind of its next command, or empty for a new claim.
type claimant struct {
	key, claimID string
	next         string
}

// TestClaimHistories guards against two claimants with the right to dispatch,
// against an outcome from another claimant, and against a key that remains blocked
// by an abandoned claim, when results are lost and commands arrive late and more
// than once.
func TestClaimHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{machine: New()}
		clients := make([]claimant, 4)
		next := func(client, serial int) *call {
			c := &clients[client]
			id := fmt.Sprint("p", serial)
			if c.next != "" {
				in := claimInput{key: c.key, claimID: c.claimID, kind: c.next}
				return &call{input: in, cmd: outcomeCommand(id, c.key, c.claimID, c.next, c.claimID)}
			}
			*c = claimant{key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"), claimID: fmt.Sprint("c", serial)}
			in := claimInput{key: c.key, claimID: c.claimID, kind: "claim", body: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")}
			return &call{input: in, cmd: claimCommand(id, in.key, in.body, in.claimID)}
		}
		done := func(call *call, r *wirepb.Result) any {
			c := &clients[call.client]
			in := call.input.(claimInput)
			c.next = ""
			switch {
			case in.kind == "claim" && r == nil:
				c.next = "not_run"
			case in.kind == "claim" && r.GetClaim().GetHeld():
				c.next = rapid.SampledFrom([]string{"done", "not_run"}).Draw(t, "outcome")
			case in.kind == "claim":
				// A faulty claimant sends an outcome without holding the key.
				c.next = rapid.SampledFrom([]string{"", "done"}).Draw(t, "fault")
			case in.kind == "not_run" && r == nil:
				// An abandonment is repeated until its result is received.
				c.next = "not_run"
			}
			if r == nil {
				return nil
			}
			return claimOutput{held: r.GetClaim().GetHeld(), code: r.GetCode(), done: string(r.GetClaim().GetOutcome().GetBody())}
		}
		n.run(t, len(clients), 24, next, done)
		n.check(t, claimModel.ToModel())
	})
}
