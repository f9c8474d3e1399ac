// Package fleetclient keeps a subscription to the feed of a control process open; see
// package fleetfeed. It connects and comes back after failures, and leaves the updates
// to its user.
package fleetclient

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/backoff"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// Silence is the time without an update after which a control process counts as
	// silent and its session is closed: three intervals of the feed.
	Silence = 3 * time.Second
	// subscribeTimeout bounds the time until the first update. It is longer than a
	// control process may take for the handshake, so that none works for subscribers
	// that have given up.
	subscribeTimeout = 4 * time.Second
	// retryBase and retryMax bound the pause between two attempts; see
	// backoff.Backoff.
	retryBase = 200 * time.Millisecond
	retryMax  = 3 * time.Second
)

// Follower subscribes to one control process.
type Follower struct {
	Address string
	// Clients holds the session with the control process. The Follower closes the
	// session when it ends, because nothing works on one that is silent.
	Clients *wire.Pool
	// Self is what the control process tells the other gateways. It is nil for a
	// subscriber that isn't a gateway.
	Self *wirepb.GatewayInfo
	// Updated is called with each update, one call at a time.
	Updated func(*wirepb.FleetUpdate)
	// Lost, if set, is called when a subscription has ended.
	Lost func()
	Log  *zap.Logger
}

// Run keeps the subscription open until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := backoff.Backoff{Base: retryBase, Max: retryMax}
	for ctx.Err() == nil {
		subscribed, err := f.subscribe(ctx)
		f.Clients.Drop(f.Address)
		if subscribed {
			pause.Reset()
			if f.Lost != nil {
				f.Lost()
			}
			if ctx.Err() == nil {
				f.Log.Warn("subscription to state process lost", zap.String("address", f.Address), observe.Error(err))
			}
		}
		wait(ctx, pause.Next())
	}
}

// subscribe receives from one stream until it fails. It reports whether anything was
// received.
func (f *Follower) subscribe(ctx context.Context) (subscribed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(subscribeTimeout, cancel)
	defer watchdog.Stop()
	st, err := f.Clients.Get(f.Address).Open(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_FleetSubscribe{
		FleetSubscribe: &wirepb.FleetSubscribe{Self: f.Self},
	}})
	if err != nil {
		return false, err
	}
	defer st.Close()
	for {
		env, err := st.Recv()
		if err != nil {
			return subscribed, err
		}
		watchdog.Reset(Silence)
		u := env.GetFleetUpdate()
		if u == nil {
			continue
		}
		if !subscribed {
			subscribed = true
			f.Log.Info("subscribed to state process", zap.String("address", f.Address),
				zap.Int("backend_servers", len(u.GetBackendServers())), zap.Int("gateways", len(u.GetGateways())))
		}
		f.Updated(u)
	}
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
