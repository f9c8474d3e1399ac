// Package claim is the entry side of at-most-once execution.
//
// Before a non-idempotent request with a key is dispatched, its key is claimed
// in the replicated log under a random claim id. Only the call of Claim that
// made the id and received the grant may dispatch, and it learns of the grant
// at most once. A claim whose answer did not arrive in time is reported as not
// run, never dispatched, and abandoned in the background until the log has
// freed the key or voided the claim id, because the claim may have been
// committed although its answer was lost, or may still be.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// attemptTimeout bounds one proposal at one state process: a leader commits
	// within milliseconds, and an election takes up to a second.
	attemptTimeout = time.Second
	// attemptDelay is the pause after all state processes have failed.
	attemptDelay = 50 * time.Millisecond
	// retryAfter tells callers when a quorum may be back.
	retryAfter = time.Second
)

// Options configure a Client.
type Options struct {
	EntryID string
	// States are the addresses of the state processes.
	States []string
	Wire   wire.Options
	Log    *zap.Logger
}

// Client claims keys and records outcomes. It is safe for concurrent use.
type Client struct {
	opts   Options
	states []*wire.Client
	queue  *queue
	// calls counts the calls in progress, some of which nobody waits for.
	calls sync.WaitGroup

	mu sync.Mutex
	// next is the state process that is asked first.
	next int
}

// Outcome is the answer to a claim.
type Outcome struct {
	// Held is the right to dispatch the request, once.
	Held    bool
	ClaimID string
	// Recorded is the outcome of an earlier request with this key, when Held is
	// false. It is nil while that request runs, or if its outcome was lost.
	Recorded *wirepb.ClaimOutcome
}

// New returns a client and starts its background work, which ends with Close.
func New(o Options) *Client {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	c := &Client{opts: o}
	for _, address := range o.States {
		c.states = append(c.states, wire.NewClient(address, o.Wire))
	}
	if n := uint64(len(c.states)); n > 0 {
		// Entry processes start at different state processes, to spread the load.
		c.next = int(xxhash.Sum64String(o.EntryID) % n)
	}
	c.queue = newQueue(c.propose, o.Log)
	return c
}

// Close gives the background work one second to finish and ends it.
func (c *Client) Close() {
	c.queue.close()
	for _, s := range c.states {
		_ = s.Close()
	}
	c.calls.Wait()
}

// Claim claims the key for one dispatch of the request with the given hash.
// The error is a *refusal.Error. After an error, and when Held is false, the
// caller must not dispatch; every other caller of this key is answered as if
// the failed claim had never been made, as soon as a quorum is reachable.
func (c *Client) Claim(ctx context.Context, account, key string, bodyHash []byte) (Outcome, error) {
	claimID := uuid.NewString()
	cmd := &wirepb.Command{Id: uuid.NewString(), Body: &wirepb.Command_Claim{Claim: &wirepb.Claim{
		Account: account, Key: key, BodyHash: bodyHash, ClaimId: claimID, Entry: c.opts.EntryID,
	}}}
	if r := statemachine.Check(cmd); r != nil {
		return Outcome{}, refusal.New(refusal.BadRequest, r.GetMessage())
	}
	// The room for the abandonment is taken before anything is sent.
	if !c.queue.reserve() {
		return Outcome{}, refusal.New(refusal.NoQuorum, "too many claims wait for a quorum").After(retryAfter)
	}
	result, err := c.propose(ctx, cmd)
	if err != nil {
		c.queue.addReserved(abandonment(account, key, claimID))
		return Outcome{}, refusal.New(refusal.NoQuorum, "the claim was not confirmed: "+err.Error()).After(retryAfter)
	}
	c.queue.release()
	return interpret(result, claimID)
}

// interpret maps the result of a claim. Only an explicit grant to this claim
// id is a right to dispatch.
func interpret(r *wirepb.Result, claimID string) (Outcome, error) {
	state := r.GetClaim()
	switch r.GetCode() {
	case "":
		if state.GetHeld() && state.GetClaimId() == claimID {
			return Outcome{Held: true, ClaimID: claimID}, nil
		}
		return Outcome{ClaimID: state.GetClaimId(), Recorded: state.GetOutcome()}, nil
	case statemachine.CodeInProgress:
		return Outcome{ClaimID: state.GetClaimId(), Recorded: state.GetOutcome()}, nil
	case statemachine.CodeKeyReused:
		return Outcome{}, refusal.New(refusal.IdempotencyKeyReused, r.GetMessage())
	case statemachine.CodeClaimsFull:
		return Outcome{}, refusal.New(refusal.ClaimsFull, r.GetMessage()).After(time.Minute)
	}
	return Outcome{}, refusal.New(refusal.NoQuorum, "the claim was refused: "+r.GetCode()+": "+r.GetMessage()).After(retryAfter)
}

func abandonment(account, key, claimID string) *wirepb.Command {
	return outcomeCommand(&wirepb.ClaimOutcome{
		Account: account, Key: key, ClaimId: claimID, Kind: wirepb.ClaimOutcome_KIND_NOT_RUN,
	})
}

func outcomeCommand(o *wirepb.ClaimOutcome) *wirepb.Command {
	return &wirepb.Command{Id: uuid.NewString(), Body: &wirepb.Command_Outcome{Outcome: o}}
}

// Record records what became of a claim that this client holds. It tries for at
// most a second, or until ctx ends, and then goes on in the background; the
// error says that the outcome is not recorded yet. Only KIND_NOT_RUN frees the
// key, so it must be used only when nothing was sent.
func (c *Client) Record(ctx context.Context, o *wirepb.ClaimOutcome) error {
	cmd := outcomeCommand(o)
	if r := statemachine.Check(cmd); r != nil {
		return errors.Errorf("record outcome: %s", r.GetMessage())
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := c.propose(ctx, cmd)
	if err == nil {
		return recordError(result)
	}
	if !c.queue.add(cmd) {
		return errors.Annotate(err, "record outcome: too many outcomes wait for a quorum; this one stays unknown")
	}
	return errors.Annotate(err, "record outcome: continued in the background")
}

func recordError(r *wirepb.Result) error {
	if r.GetCode() == "" {
		return nil
	}
	return errors.Errorf("record outcome: %s: %s", r.GetCode(), r.GetMessage())
}

// propose offers cmd to one state process after the other until one answers or
// ctx ends. It is always the same command with the same proposal id, so that
// the log applies it once however often it arrives. After an error the command
// may have been applied, or may be later.
func (c *Client) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.Result, error) {
	last := errors.New("no state process is configured")
	start := c.preferred()
	for i := 0; len(c.states) > 0; i++ {
		at := (start + i) % len(c.states)
		result, err := c.attempt(ctx, c.states[at], cmd)
		if err == nil {
			return result, nil
		}
		last = err
		c.avoid(at)
		if i%len(c.states) == len(c.states)-1 {
			pause(ctx, attemptDelay)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Trace(last)
}

func (c *Client) preferred() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// avoid makes other calls start at the state process after a failed one.
func (c *Client) avoid(at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == at {
		c.next = (at + 1) % len(c.states)
	}
}

type answer struct {
	result *wirepb.Result
	err    error
}

// attempt proposes cmd to one state process. It does not wait for a call that
// outlives its time, such as a handshake with a frozen process, so that the
// next state process is asked in time.
func (c *Client) attempt(ctx context.Context, s *wire.Client, cmd *wirepb.Command) (*wirepb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	answers := make(chan answer, 1)
	c.calls.Go(func() {
		defer cancel()
		result, err := callPropose(ctx, s, cmd)
		answers <- answer{result, err}
	})
	select {
	case a := <-answers:
		return a.result, a.err
	case <-ctx.Done():
		return nil, errors.Annotatef(ctx.Err(), "propose to %s", s.Address())
	}
}

func callPropose(ctx context.Context, s *wire.Client, cmd *wirepb.Command) (*wirepb.Result, error) {
	env, err := s.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{Command: cmd}}})
	if err != nil {
		return nil, errors.Annotatef(err, "propose to %s", s.Address())
	}
	result := env.GetProposeReply().GetResult()
	if result == nil {
		return nil, errors.Errorf("propose to %s: answer has no result", s.Address())
	}
	return result, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
