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
	// attemptTimeout bounds one call to one state process, which waits up to
	// 2 s for a leader.
	attemptTimeout = 3 * time.Second
	// roundDelay is the pause after all state processes have failed.
	roundDelay = 200 * time.Millisecond
)

// notApplied are the failure codes that say that the proposal was not made and
// will not be.
var notApplied = map[string]bool{"no_leader": true, "no_quorum": true, "busy": true, "no_cluster": true, "refused": true}

// cluster is the set of state processes.
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

func (c *cluster) close() {
	for _, client := range c.clients {
		_ = client.Close()
	}
}

// view is what one state process says about the configuration.
type view struct {
	address  string
	snapshot *wirepb.ConfigSnapshot
	fresh    bool
	err      error
}

// view subscribes to one state process for its first heartbeat.
func (c *cluster) view(ctx context.Context, client *wire.Client) view {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	v := view{address: client.Address()}
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

// views asks all state processes at the same time.
func (c *cluster) views(ctx context.Context) []view {
	out := make([]view, len(c.clients))
	var wg sync.WaitGroup
	for i, client := range c.clients {
		wg.Go(func() { out[i] = c.view(ctx, client) })
	}
	wg.Wait()
	return out
}

// newest returns the newest configuration that a state process holds.
func (c *cluster) newest(ctx context.Context) (*config.Version, error) {
	var best *wirepb.ConfigSnapshot
	err := errors.New("no state process is configured")
	for _, v := range c.views(ctx) {
		switch {
		case v.err != nil:
			err = v.err
		case best == nil || v.snapshot.GetIndex() > best.GetIndex():
			best = v.snapshot
		}
	}
	if best == nil {
		return nil, failed(ExitUnreachable, errors.Annotate(err, "no state process is reachable"))
	}
	v, err := config.FromSnapshot(best)
	return v, errors.Trace(err)
}

// propose offers the command to the state processes in turn until one answers.
// An error has the exit code that says whether the command may take effect.
func (c *cluster) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.Result, error) {
	cmd.Id = uuid.NewString()
	maybe := false
	last := make([]error, len(c.clients))
	for {
		for i, client := range c.clients {
			// The subscription shows that the state process answers, so that a
			// failure to connect does not make the outcome unknown.
			if v := c.view(ctx, client); v.err != nil {
				last[i] = v.err
				continue
			}
			result, err := c.proposeTo(ctx, client, cmd)
			if err == nil {
				return result, nil
			}
			last[i] = err
			var remote *wire.RemoteError
			maybe = maybe || !errors.As(err, &remote) || !notApplied[remote.Code]
		}
		if !sleep(ctx, roundDelay) {
			break
		}
	}
	if maybe {
		return nil, failed(ExitUnknown, errors.Annotate(join(last), "the outcome is unknown"))
	}
	return nil, failed(ExitUnreachable, errors.Annotate(join(last), "nothing was changed"))
}

// join returns one error on one line.
func join(errs []error) error {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

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

// sleep returns false when ctx ends first.
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
