package ctl

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"bilberryhub/internal/config"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// attemptTimeout is the timeout of one call to one state process, which
	// itself waits up to 2 s for a leader.
	attemptTimeout = 3 * time.Second
	// roundDelay is the delay before the next round after all state processes have
	// failed.
	roundDelay = 200 * time.Millisecond
)

// notAppliedCodes is the set of failure codes which guarantee that a command has not
// taken effect and will not.
var notAppliedCodes = map[string]bool{"no_leader": true, "no_quorum": true, "busy": true, "no_cluster": true, "refused": true}

// cluster has a client for each state process.
type cluster struct {
	clients []*wire.Client
}

func newCluster(addresses []string, opts wire.Options) *cluster {
	c := &cluster{}
	for _, a := range addresses {
		c.clients = append(c.clients, wire.NewClient(a, opts))
	}
	return c
}

// close closes the clients.
func (c *cluster) close() {
	for _, client := range c.clients {
		_ = client.Close()
	}
}

// stateView is the configuration that one state process reports, or the error of the
// request. fresh is set if the state process reports its configuration as fresh.
type stateView struct {
	address  string
	snapshot *wirepb.ConfigSnapshot
	fresh    bool
	err      error
}

// stateView subscribes to one state process, until its first heartbeat, and returns its
// view. If no snapshot precedes the heartbeat, the snapshot of the view has just the
// index and digest of the heartbeat.
func (c *cluster) stateView(ctx context.Context, client *wire.Client) stateView {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	v := stateView{address: client.Address()}
	st, err := client.Open(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: &wirepb.Subscribe{Probe: 1}}})
	if err != nil {
		v.err = errors.Annotatef(err, "subscribe to %s", client.Address())
		return v
	}
	defer st.Close()
	for {
		env, err := st.Recv()
		if err != nil {
			v.err = errors.Annotatef(err, "subscription to %s", client.Address())
			return v
		}
		switch body := env.GetBody().(type) {
		case *wirepb.Envelope_ConfigSnapshot:
			v.snapshot = body.ConfigSnapshot
		case *wirepb.Envelope_ConfigHeartbeat:
			v.fresh = body.ConfigHeartbeat.GetFresh()
			if v.snapshot == nil {
				v.snapshot = &wirepb.ConfigSnapshot{Index: body.ConfigHeartbeat.GetIndex(), Digest: body.ConfigHeartbeat.GetDigest()}
			}
			return v
		case *wirepb.Envelope_Failure:
			v.err = errors.Errorf("subscription to %s: %s", client.Address(), body.Failure.GetMessage())
			return v
		}
	}
}

// stateViews returns the views of all state processes, requested concurrently.
func (c *cluster) stateViews(ctx context.Context) []stateView {
	out := make([]stateView, len(c.clients))
	var wg sync.WaitGroup
	for i, client := range c.clients {
		wg.Go(func() { out[i] = c.stateView(ctx, client) })
	}
	wg.Wait()
	return out
}

// newest returns the configuration with the highest index among the state processes.
// It returns an error with ExitUnreachable if none can be reached.
func (c *cluster) newest(ctx context.Context) (*config.Version, error) {
	var best *wirepb.ConfigSnapshot
	err := errors.New("no state process is configured")
	for _, v := range c.stateViews(ctx) {
		switch {
		case v.err != nil:
			err = v.err
		case best == nil || v.snapshot.GetIndex() > best.GetIndex():
			best = v.snapshot
		}
	}
	if best == nil {
		return nil, withExitCode(ExitUnreachable, errors.Annotate(err, "no state process is reachable"))
	}
	v, err := config.FromSnapshot(best)
	return v, errors.Trace(err)
}

// propose proposes the command to the state processes in turn until one answers or
// ctx ends. The exit code of an error is ExitUnknown if the command may still take
// effect, and ExitUnreachable if it cannot.
func (c *cluster) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.Result, error) {
	cmd.Id = uuid.NewString()
	mayApply := false
	lastErrs := make([]error, len(c.clients))
	for {
		for i, client := range c.clients {
			// The subscription verifies that the state process answers, so that a
			// failure to connect does not make the outcome unknown.
			if v := c.stateView(ctx, client); v.err != nil {
				lastErrs[i] = v.err
				continue
			}
			result, err := c.proposeTo(ctx, client, cmd)
			if err == nil {
				return result, nil
			}
			if wire.IsEncodeError(err) {
				return nil, withExitCode(ExitUsage, errors.Annotate(err, "nothing was changed"))
			}
			lastErrs[i] = err
			var remote *wire.RemoteError
			mayApply = mayApply || !errors.As(err, &remote) || !notAppliedCodes[remote.Code]
		}
		if !sleep(ctx, roundDelay) {
			break
		}
	}
	if mayApply {
		return nil, withExitCode(ExitUnknown, errors.Annotate(joinErrors(lastErrs), "the outcome is unknown"))
	}
	return nil, withExitCode(ExitUnreachable, errors.Annotate(joinErrors(lastErrs), "nothing was changed"))
}

// joinErrors combines errors into one with a single-line text.
func joinErrors(errs []error) error {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

// proposeTo proposes the command to one state process.
func (c *cluster) proposeTo(ctx context.Context, client *wire.Client, cmd *wirepb.Command) (*wirepb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	env, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{Command: cmd}}})
	if err != nil {
		return nil, errors.Annotatef(err, "propose to %s", client.Address())
	}
	result := env.GetProposeReply().GetResult()
	if result == nil {
		return nil, errors.Errorf("propose to %s: answer has no result", client.Address())
	}
	return result, nil
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}
