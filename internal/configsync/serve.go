package configsync

import (
	"context"
	"time"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// heartbeatInterval is the longest time between two heartbeats.
const heartbeatInterval = 500 * time.Millisecond

// resendAfter is how long an entry process may take to receive and confirm a
// configuration before it is sent again.
const resendAfter = time.Second

// Source is what a state process serves to its subscribers. Its methods are
// called from many goroutines.
type Source interface {
	// Config returns the configuration of the applied log as a message, the same
	// one until it changes.
	Config() *wire.Prepared
	// Fresh reports whether this replica has confirmed just now, or within the
	// validity of a leader lease, that it is in contact with the leader and
	// has applied what was committed then.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of Config.
	Changed() <-chan struct{}
	// Sent is called after each configuration that was sent.
	Sent()
}

// Message returns a configuration as subscribers are sent it.
func Message(c *wirepb.ConfigSnapshot) *wire.Prepared {
	return wire.Prepare(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigSnapshot{ConfigSnapshot: c}})
}

// feed is one subscription at the state process.
type feed struct {
	stream *wire.Stream
	source Source
	// known is what the entry process has, as far as this side knows.
	known  known
	sentAt time.Time
	probe  uint64
}

// ServeSubscription answers Subscribe until the stream ends: the configuration
// at once if it differs from the known one, and on each change; a heartbeat
// after each of them, after each probe and every 500 ms.
func ServeSubscription(ctx context.Context, st *wire.Stream, req *wirepb.Subscribe, source Source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probes := make(chan *wirepb.Subscribe)
	go receiveProbes(ctx, cancel, st, probes)
	f := &feed{stream: st, source: source}
	f.receive(req)
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		// The channel is taken before the configuration is read, so that a
		// change in between is not missed.
		changed := source.Changed()
		if err := f.send(); err != nil {
			// The stream is broken; there is nobody to tell.
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case probe := <-probes:
			f.receive(probe)
		case <-changed:
		case <-t.C:
		}
	}
}

func receiveProbes(ctx context.Context, cancel func(), st *wire.Stream, probes chan<- *wirepb.Subscribe) {
	defer cancel()
	for {
		env, err := st.Recv()
		if err != nil {
			return
		}
		select {
		case probes <- env.GetSubscribe():
		case <-ctx.Done():
			return
		}
	}
}

// receive takes a probe. A configuration that was sent moments ago may not
// have arrived when the probe was made, so the probe counts as a request to
// send it again only later.
func (f *feed) receive(s *wirepb.Subscribe) {
	f.probe = s.GetProbe()
	if f.sentAt.IsZero() || time.Since(f.sentAt) >= resendAfter {
		f.known = known{s.GetKnownIndex(), s.GetKnownDigest()}
	}
}

func (f *feed) send() error {
	// Fresh is read first: what is applied afterwards is at least as new.
	fresh := f.source.Fresh()
	message := f.source.Config()
	c := message.Envelope().GetConfigSnapshot()
	// A replica that is behind its subscriber has nothing to offer, and index 0
	// means that no manifest or order was accepted yet.
	if now := (known{c.GetIndex(), c.GetDigest()}); now != f.known && now.index >= f.known.index && now.index > 0 {
		if err := f.stream.SendPrepared(message); err != nil {
			return err
		}
		f.known, f.sentAt = now, time.Now()
		f.source.Sent()
	}
	return f.stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigHeartbeat{ConfigHeartbeat: &wirepb.ConfigHeartbeat{
		Index: c.GetIndex(), Digest: c.GetDigest(), Fresh: fresh, Probe: f.probe,
	}}})
}
