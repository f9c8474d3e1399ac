package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// subscription is one stream to a state process.
type subscription struct {
	syncer *Syncer
	stream *wire.Stream
	// name is the address, for errors.
	name string

	probes Probes[time.Time]

	// bad says why the state process is not usable, since badSince.
	bad      string
	badSince time.Time
}

// follow subscribes to one state process and returns when it is not usable.
func (s *Syncer) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	client := wire.NewClient(address, s.opts.Wire)
	defer client.Close()
	// The watch ends a subscription that is silent, and one that is stuck in
	// sending to a peer that does not read.
	watch := time.AfterFunc(patience, cancel)
	defer watch.Stop()
	sub := &subscription{syncer: s, name: address}
	first := sub.nextProbe()
	stream, err := client.Open(ctx, first)
	if err != nil {
		cancel()
		return errors.Annotatef(err, "subscribe to %s", address)
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
			return errors.Annotatef(err, "subscription to %s", address)
		}
		// A timer that has fired has closed the stream; the next Recv fails.
		watch.Reset(patience)
		if err := sub.receive(env); err != nil {
			return errors.Trace(err)
		}
	}
}

// nextProbe returns a Subscribe message and records when it was made, which is
// before it is sent.
func (sub *subscription) nextProbe() *wirepb.Envelope {
	at := sub.syncer.opts.Now()
	have := sub.syncer.offered()
	return &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: &wirepb.Subscribe{
		KnownIndex: have.index, KnownDigest: have.digest, Probe: sub.probes.Next(at),
	}}}
}

func (sub *subscription) sendProbes(ctx context.Context) {
	for {
		pause := probeInterval
		if s := sub.syncer; s.Age(s.opts.Now()) > 2*probeInterval {
			pause = urgentProbeInterval
		}
		if !sleep(ctx, pause) {
			return
		}
		if err := sub.stream.Send(sub.nextProbe()); err != nil {
			_ = sub.stream.Close()
			return
		}
	}
}

func (sub *subscription) receive(env *wirepb.Envelope) error {
	switch body := env.GetBody().(type) {
	case *wirepb.Envelope_ConfigSnapshot:
		if err := sub.syncer.offer(body.ConfigSnapshot, sub.name, true); err != nil {
			// Heartbeats decide whether to stay: a state process that is
			// behind may catch up.
			sub.syncer.noteError(err)
		}
		return nil
	case *wirepb.Envelope_ConfigHeartbeat:
		return sub.heartbeat(body.ConfigHeartbeat)
	case *wirepb.Envelope_Failure:
		f := body.Failure
		return &wire.RemoteError{Peer: sub.name, Step: f.GetStep(), Code: f.GetCode(), Message: f.GetMessage()}
	}
	return errors.Errorf("%s sent an unexpected message of type %T", sub.name, env.GetBody())
}

// heartbeat judges one heartbeat. Only one that is fresh and confirms the
// configuration in force lowers its age.
func (sub *subscription) heartbeat(hb *wirepb.ConfigHeartbeat) error {
	s := sub.syncer
	have, floor := s.currentKnown(), s.Floor()
	s.noteState(sub.name, hb)
	switch {
	case hb.GetIndex() < floor:
		return sub.judge("is behind the known index")
	case !hb.GetFresh():
		return sub.judge("has no contact with a leader")
	case hb.GetIndex() > have.index:
		s.raiseFloor(hb.GetIndex())
		return sub.judge("has not sent its configuration")
	case hb.GetDigest() != have.digest:
		return sub.judge("has another configuration at this index")
	}
	at, ok := sub.probes.SentAt(hb.GetProbe())
	if !ok {
		return sub.judge("does not echo probes")
	}
	sub.bad = ""
	s.markFresh(at)
	return nil
}

// judge returns an error when the state process was not usable for too long.
func (sub *subscription) judge(what string) error {
	now := sub.syncer.opts.Now()
	if sub.bad == "" {
		sub.badSince = now
	}
	sub.bad = what
	if now.Sub(sub.badSince) < patience {
		return nil
	}
	return errors.Errorf("%s %s for %s", sub.name, what, patience)
}

func (s *Syncer) noteError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastError = err.Error()
}

func (s *Syncer) noteState(address string, hb *wirepb.ConfigHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = stateStatus{address: address, index: hb.GetIndex(), fresh: hb.GetFresh(), connected: true}
}
