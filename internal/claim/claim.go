// Package claim is the client side, in the entry process, of at-most-once
// execution.
//
// Before a non-idempotent request with an idempotency key is dispatched, its key
// is claimed in the replicated log under a random claim id. Only the call of
// Claim that generated the id and received the grant may dispatch the request,
// and the grant is returned at most once. A claim whose reply did not arrive in
// time is reported as not run and never dispatched. The client then abandons it
// in the background, retrying until the log has freed the key or voided the
// claim id, because the claim may have been committed although its reply was
// lost, or may be committed later.
//
// The package does not dispatch requests and does not store claims or recorded
// outcomes; the replicated state machine (package statemachine) does.
package claim

import (
	"context"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// attemptTimeout bounds one proposal to one state process: a leader commits
	// within milliseconds, and an election takes up to a second.
	attemptTimeout = time.Second
	// attemptDelay is the pause after each state process has failed once.
	attemptDelay = 50 * time.Millisecond
	// retryAfter is the retry hint for callers: the time after which a quorum may
	// be reachable again.
	retryAfter = time.Second
)

// Options configure a Client.
type Options struct {
	EntryID string
	// StateAddresses lists the addresses of the state processes.
	StateAddresses []string
	Wire           wire.Options
	// Log is a no-op logger by default.
	Log *zap.Logger
}

// Client claims keys and records outcomes. It is safe for concurrent use.
type Client struct {
	opts  Options
	queue *queue
	// calls tracks the RPCs in flight, including those that outlived their
	// attempt and whose result is discarded.
	calls sync.WaitGroup

	mu sync.Mutex
	// states are the state processes, and former those that SetStates has removed last, which may
	// still serve calls.
	states, former []*wire.Client
	// next is the index in states of the state process to try first.
	next int
}

// Result is the result of a claim.
type Result struct {
	// Held is set when the caller has the right to dispatch the request, once.
	Held bool
	// ClaimID is the claim id that holds the key.
	ClaimID string
	// Recorded is the recorded outcome of an earlier request with this key, when
	// Held is false. It is nil while that request runs, or if its outcome was lost.
	Recorded *wirepb.ClaimOutcome
}

// New returns a client and starts its background workers, which run until Close.
func New(o Options) *Client {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	c := &Client{opts: o}
	c.SetStates(o.StateAddresses)
	c.queue = newQueue(c.propose, o.Log)
	return c
}

// SetStates replaces the state processes. Calls in progress at those that are removed go on until
// the next call of SetStates.
func (c *Client) SetStates(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.former {
		_ = s.Close()
	}
	c.former = nil
	var states []*wire.Client
	for _, s := range c.states {
		if slices.Contains(addresses, s.Address()) {
			states = append(states, s)
		} else {
			c.former = append(c.former, s)
		}
	}
	for _, a := range addresses {
		if !slices.ContainsFunc(states, func(s *wire.Client) bool { return s.Address() == a }) {
			states = append(states, wire.NewClient(a, c.opts.Wire))
		}
	}
	preferred := ""
	if len(c.states) > 0 {
		preferred = c.states[c.next].Address()
	}
	c.states = states
	c.next = slices.IndexFunc(states, func(s *wire.Client) bool { return s.Address() == preferred })
	if c.next < 0 && len(states) > 0 {
		// The hash of the entry id spreads the entry processes over the state processes.
		c.next = int(xxhash.Sum64String(c.opts.EntryID) % uint64(len(states)))
	}
}

// Close waits up to one second for the queued outcomes, then stops the
// background workers and closes the connections.
func (c *Client) Close() {
	c.queue.close()
	c.mu.Lock()
	for _, s := range slices.Concat(c.states, c.former) {
		_ = s.Close()
	}
	c.mu.Unlock()
	c.calls.Wait()
}

// Claim claims the key for one dispatch of the request with the given body hash.
// The error is a *refusal.Error. After an error, and when Held is false, the
// caller must not dispatch. A claim that failed doesn't affect later claims of
// this key once a quorum is reachable, because it is abandoned in the background.
func (c *Client) Claim(ctx context.Context, account, key string, bodyHash []byte) (Result, error) {
	claimID := uuid.NewString()
	cmd := &wirepb.Command{Id: uuid.NewString(), Body: &wirepb.Command_Claim{Claim: &wirepb.Claim{
		Account: account, Key: key, BodyHash: bodyHash, ClaimId: claimID, Entry: c.opts.EntryID,
	}}}
	if r := statemachine.Check(cmd); r != nil {
		return Result{}, refusal.New(refusal.BadRequest, r.GetMessage())
	}
	// A queue slot for the abandon command is reserved before anything is sent.
	if !c.queue.reserve() {
		return Result{}, refusal.New(refusal.NoQuorum, "too many claims wait for a quorum").WithRetryAfter(retryAfter)
	}
	result, err := c.propose(ctx, cmd)
	if wire.IsEncodeError(err) {
		// No state process got the command, and none can.
		c.queue.release()
		return Result{}, refusal.New(refusal.BadRequest, "the idempotency key can't be recorded: it is not UTF-8")
	}
	if err != nil {
		c.queue.addReserved(abandonCommand(account, key, claimID))
		// The error names the state process, which is no concern of the caller.
		c.opts.Log.Info("claim not confirmed", zap.String("claim_id", claimID), observe.Error(err))
		return Result{}, refusal.New(refusal.NoQuorum, "the claim was not confirmed by the state processes in time").WithRetryAfter(retryAfter)
	}
	c.queue.release()
	return interpret(result, claimID)
}

// interpret maps the state machine's result of a claim command. Only an explicit
// grant to this claim id is a right to dispatch.
func interpret(r *wirepb.Result, claimID string) (Result, error) {
	state := r.GetClaim()
	switch r.GetCode() {
	case "":
		if state.GetHeld() && state.GetClaimId() == claimID {
			return Result{Held: true, ClaimID: claimID}, nil
		}
		return Result{ClaimID: state.GetClaimId(), Recorded: state.GetOutcome()}, nil
	case statemachine.CodeInProgress:
		return Result{ClaimID: state.GetClaimId(), Recorded: state.GetOutcome()}, nil
	case statemachine.CodeKeyReused:
		return Result{}, refusal.New(refusal.IdempotencyKeyReused, r.GetMessage())
	case statemachine.CodeClaimsFull:
		return Result{}, refusal.New(refusal.ClaimsFull, r.GetMessage()).WithRetryAfter(time.Minute)
	}
	return Result{}, refusal.New(refusal.NoQuorum, "the claim was refused: "+r.GetCode()+": "+r.GetMessage()).WithRetryAfter(retryAfter)
}

// abandonCommand returns the command that frees the key or voids the claim id.
func abandonCommand(account, key, claimID string) *wirepb.Command {
	return outcomeCommand(&wirepb.ClaimOutcome{
		Account: account, Key: key, ClaimId: claimID, Kind: wirepb.ClaimOutcome_KIND_NOT_RUN,
	})
}

// outcomeCommand returns a command under a new proposal id that records o.
func outcomeCommand(o *wirepb.ClaimOutcome) *wirepb.Command {
	return &wirepb.Command{Id: uuid.NewString(), Body: &wirepb.Command_Outcome{Outcome: o}}
}

// Record records the outcome of a claim that this client holds. It retries for
// at most one second, or until ctx ends, and then continues in the background;
// the error means that the outcome is invalid, was rejected, is not recorded yet,
// or, when the background queue is full, will not be. Only KIND_NOT_RUN frees the
// key, so it must be used only when nothing was sent.
func (c *Client) Record(ctx context.Context, o *wirepb.ClaimOutcome) error {
	o.ContentType = recordableContentType(o.GetContentType())
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

// unknownContentType replaces a content type that can't be recorded.
const unknownContentType = "application/octet-stream"

// recordableContentType returns the content type of a response as it is recorded. A backend
// server may name any bytes as its content type, and the request has run: its outcome must not
// be lost for them.
func recordableContentType(contentType string) string {
	if !utf8.ValidString(contentType) || len(contentType) > statemachine.MaxNameBytes {
		return unknownContentType
	}
	return contentType
}

// recordError returns the rejection in the result of an outcome command, or nil.
func recordError(r *wirepb.Result) error {
	if r.GetCode() == "" {
		return nil
	}
	return errors.Errorf("record outcome: %s: %s", r.GetCode(), r.GetMessage())
}

// propose sends cmd to one state process after the other until one returns a
// result or ctx ends. Each attempt sends the same command with the same proposal
// id, so that the log applies it once however often it arrives. After an error
// the command may have been applied, or may be applied later, but for a
// *wire.EncodeError: then it wasn't sent at all.
func (c *Client) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.Result, error) {
	lastErr := errors.New("no state process is configured")
	states, start := c.preferred()
	for i := 0; len(states) > 0; i++ {
		state := states[(start+i)%len(states)]
		result, err := c.attempt(ctx, state, cmd)
		if err == nil {
			return result, nil
		}
		lastErr = err
		if wire.IsEncodeError(err) {
			break
		}
		c.markFailed(state)
		if i%len(states) == len(states)-1 {
			sleep(ctx, attemptDelay)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Trace(lastErr)
}

// preferred returns the state processes, and the index of the one to try first.
func (c *Client) preferred() (states []*wire.Client, first int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states, c.next
}

// markFailed makes later calls start at the state process after the failed one.
func (c *Client) markFailed(state *wire.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next >= 0 && c.next < len(c.states) && c.states[c.next] == state {
		c.next = (c.next + 1) % len(c.states)
	}
}

// callResult is the result of one RPC.
type callResult struct {
	result *wirepb.Result
	err    error
}

// attempt proposes cmd to one state process. It returns after attemptTimeout even
// if the RPC is still blocked, for example in the handshake with a frozen process,
// so that the next state process is tried in time.
func (c *Client) attempt(ctx context.Context, s *wire.Client, cmd *wirepb.Command) (*wirepb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	results := make(chan callResult, 1)
	c.calls.Go(func() {
		defer cancel()
		result, err := callPropose(ctx, s, cmd)
		results <- callResult{result, err}
	})
	select {
	case r := <-results:
		return r.result, r.err
	case <-ctx.Done():
	}
	// The context also ends with the call, after its result was sent.
	select {
	case r := <-results:
		return r.result, r.err
	default:
		return nil, errors.Annotatef(ctx.Err(), "propose to %s", s.Address())
	}
}

// callPropose performs the RPC that proposes cmd.
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
