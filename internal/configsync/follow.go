package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// subscription is the stream to one state process.
type subscription struct {
	syncer *Syncer
	stream *wire.Stream
	// peer is the address of the state process, for errors.
	peer string

	probes Probes[time.Time]

	// unusableReason states why the state process has not been usable since
	// unusableSince; it is empty while it is usable.
	unusableReason string
	unusableSince  time.Time
	// confirmed is set if the state process has confirmed the configuration.
	confirmed bool
	// hasAlternative is set if another state process was not tried since the last
	// confirmation.
	hasAlternative bool
}

// runSubscription subscribes to the state process at address and processes its
// messages. It returns an error when the stream breaks or the state process has not
// been usable for unusableTimeout, and whether the configuration was confirmed. With
// an alternative, it returns an error as soon as the state process says that it is not
// usable.
func (s *Syncer) runSubscription(ctx context.Context, address string, hasAlternative bool) (confirmed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	client, closeClient := s.client(address)
	defer closeClient()
	// The watchdog ends a subscription that receives nothing, and one that blocks in
	// Send because the state process does not read.
	watchdog := time.AfterFunc(subscribeTimeout, cancel)
	defer watchdog.Stop()
	sub := &subscription{syncer: s, peer: address, hasAlternative: hasAlternative}
	first := sub.nextProbe()
	stream, err := client.Open(ctx, first)
	if err != nil {
		cancel()
		return false, errors.Annotatef(err, "subscribe to %s", address)
	}
	sub.stream = stream
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stream.Close()
	defer cancel()
	wg.Go(func() { sub.sendProbes(ctx) })
	for {
		env, err := stream.Recv()
		if err != nil {
			return sub.confirmed, errors.Annotatef(err, "subscription to %s", address)
		}
		// If the watchdog has fired already, the stream is closed and the next Recv fails.
		watchdog.Reset(unusableTimeout)
		if err := sub.receive(env); err != nil {
			return sub.confirmed, errors.Trace(err)
		}
	}
}

// client returns a client for a state process, and a function that releases it.
func (s *Syncer) client(address string) (*wire.Client, func()) {
	if s.opts.Clients != nil {
		return s.opts.Clients.Get(address), func() {}
	}
	client := wire.NewClient(address, s.opts.Wire)
	return client, func() { _ = client.Close() }
}

// nextProbe returns a Subscribe message with a new probe. The time recorded for the
// probe is before the time at which it is sent.
func (sub *subscription) nextProbe() *wirepb.Envelope {
	now := sub.syncer.opts.Now()
	received := sub.syncer.lastReceived()
	return &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: &wirepb.Subscribe{
		KnownIndex: received.index, KnownDigest: received.digest, Probe: sub.probes.Next(now),
	}}}
}

// sendProbes sends probes until ctx ends or the stream breaks.
func (sub *subscription) sendProbes(ctx context.Context) {
	for {
		interval := probeInterval
		if s := sub.syncer; s.Age(s.opts.Now()) > 2*probeInterval {
			interval = urgentProbeInterval
		}
		if !sleep(ctx, interval) {
			return
		}
		if err := sub.stream.Send(sub.nextProbe()); err != nil {
			_ = sub.stream.Close()
			return
		}
	}
}

// receive processes one message of the state process. An error ends the
// subscription.
func (sub *subscription) receive(env *wirepb.Envelope) error {
	switch body := env.GetBody().(type) {
	case *wirepb.Envelope_ConfigSnapshot:
		if err := sub.syncer.publish(body.ConfigSnapshot, sub.peer, true); err != nil {
			// The subscription goes on, because a state process that is behind may
			// catch up; the heartbeats decide when it ends.
			sub.syncer.recordError(err)
		}
		return nil
	case *wirepb.Envelope_ConfigHeartbeat:
		return sub.heartbeat(body.ConfigHeartbeat)
	case *wirepb.Envelope_Failure:
		f := body.Failure
		return &wire.RemoteError{Peer: sub.peer, Step: f.GetStep(), Code: f.GetCode(), Message: f.GetMessage()}
	}
	return errors.Errorf("%s sent an unexpected message of type %T", sub.peer, env.GetBody())
}

// heartbeat processes one heartbeat. Only a fresh heartbeat with the index and
// digest in force resets the age of the configuration. It returns an error when the
// state process has not been usable for unusableTimeout.
func (sub *subscription) heartbeat(hb *wirepb.ConfigHeartbeat) error {
	s := sub.syncer
	current, floor := s.currentID(), s.Floor()
	s.recordState(sub.peer, hb)
	switch {
	case hb.GetIndex() < floor:
		return sub.markOutdated("is behind the known index")
	case !hb.GetFresh():
		return sub.markOutdated("has no contact with a leader")
	case hb.GetIndex() > current.index:
		s.raiseFloor(hb.GetIndex())
		return sub.markUnusable("has not sent its configuration")
	case hb.GetDigest() != current.digest:
		return sub.markUnusable("has another configuration at this index")
	}
	sentAt, ok := sub.probes.SentAt(hb.GetProbe())
	if !ok {
		return sub.markUnusable("does not echo probes")
	}
	sub.unusableReason, sub.confirmed = "", true
	s.markConfirmed(sentAt)
	return nil
}

// markOutdated records why the state process can't know the configuration in force. It
// returns an error like markUnusable, and at once if there is an alternative.
func (sub *subscription) markOutdated(reason string) error {
	if sub.hasAlternative && !sub.confirmed {
		return errors.Errorf("%s %s", sub.peer, reason)
	}
	return sub.markUnusable(reason)
}

// markUnusable records why the state process is not usable. It returns an error
// when the state process has not been usable for unusableTimeout, whatever the
// reasons in between.
func (sub *subscription) markUnusable(reason string) error {
	now := sub.syncer.opts.Now()
	if sub.unusableReason == "" {
		sub.unusableSince = now
	}
	sub.unusableReason = reason
	if now.Sub(sub.unusableSince) < unusableTimeout {
		return nil
	}
	return errors.Errorf("%s %s for %s", sub.peer, reason, unusableTimeout)
}

func (s *Syncer) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastError = err.Error()
}

func (s *Syncer) recordState(address string, hb *wirepb.ConfigHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = stateStatus{address: address, index: hb.GetIndex(), fresh: hb.GetFresh(), connected: true}
}
