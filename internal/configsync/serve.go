package configsync

import (
	"context"
	"time"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// heartbeatInterval is the longest time between two heartbeats, but for heartbeatSlack:
// a probe that arrives a little late takes the place of the heartbeat.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatSlack    = 100 * time.Millisecond
)

// resendAfter is how long a subscriber may take to receive and confirm a
// configuration before it is sent again.
const resendAfter = time.Second

// Source provides the configuration that a state process sends to its subscribers.
// Its methods must be safe for concurrent use.
type Source interface {
	// Config returns the configuration of the applied log as a prepared message. It
	// returns the same message until the configuration changes.
	Config() *wire.Prepared
	// Fresh reports whether this replica has confirmed, just now or within the
	// validity of a leader lease, that it is in contact with the leader and has
	// applied everything that was committed at that time.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of Config.
	Changed() <-chan struct{}
	// Sent is called each time a configuration was sent.
	Sent()
}

// Message returns the prepared message by which c is sent to subscribers.
func Message(c *wirepb.ConfigSnapshot) *wire.Prepared {
	return wire.Prepare(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigSnapshot{ConfigSnapshot: c}})
}

// subscriber is the state process's side of one subscription.
type subscriber struct {
	stream *wire.Stream
	source Source
	// configID is the configuration that the subscriber was last sent or has last
	// reported.
	configID configID
	// sentAt is when a configuration was last sent; zero before the first one.
	sentAt time.Time
	// probe is the id of the last probe received.
	probe uint64
}

// ServeSubscription answers a Subscribe message until the stream or ctx ends. It
// sends the configuration at once if the subscriber has another one, and again on
// each change. It sends a heartbeat after each configuration, after each probe and
// every 500 ms.
func ServeSubscription(ctx context.Context, st *wire.Stream, req *wirepb.Subscribe, source Source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probes := make(chan *wirepb.Subscribe)
	go receiveProbes(ctx, cancel, st, probes)
	sub := &subscriber{stream: st, source: source}
	sub.receive(req)
	// Probes are answered and come about as often as heartbeats are due.
	due := time.NewTimer(heartbeatInterval)
	defer due.Stop()
	for {
		// The channel must be obtained before the configuration is read, or a change
		// in between would be missed.
		changed := source.Changed()
		if err := sub.send(); err != nil {
			// The stream is broken, so that the error cannot be sent to the
			// subscriber.
			return nil
		}
		due.Reset(heartbeatInterval + heartbeatSlack)
		select {
		case <-ctx.Done():
			return nil
		case probe := <-probes:
			sub.receive(probe)
		case <-changed:
		case <-due.C:
		}
	}
}

// receiveProbes passes received probes on to the channel. It cancels the
// subscription when the stream ends.
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

// receive processes a probe. The configuration that the probe names is ignored
// within resendAfter of the last sent one, which may not have arrived when the probe
// was made and would be sent again needlessly.
func (sub *subscriber) receive(msg *wirepb.Subscribe) {
	sub.probe = msg.GetProbe()
	if sub.sentAt.IsZero() || time.Since(sub.sentAt) >= resendAfter {
		sub.configID = configID{msg.GetKnownIndex(), msg.GetKnownDigest()}
	}
}

// send sends the configuration if the subscriber does not have it, and a heartbeat.
func (sub *subscriber) send() error {
	// Fresh must be read first: the configuration read afterwards is at least as new
	// as the one that was confirmed.
	fresh := sub.source.Fresh()
	message := sub.source.Config()
	config := message.Envelope().GetConfigSnapshot()
	// No configuration is sent if this replica is behind the subscriber, or at index 0,
	// which means that no manifest or order has been accepted yet.
	if current := (configID{config.GetIndex(), config.GetDigest()}); current != sub.configID && current.index >= sub.configID.index && current.index > 0 {
		if err := sub.stream.SendPrepared(message); err != nil {
			return err
		}
		sub.configID, sub.sentAt = current, time.Now()
		sub.source.Sent()
	}
	return sub.stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigHeartbeat{ConfigHeartbeat: &wirepb.ConfigHeartbeat{
		Index: config.GetIndex(), Digest: config.GetDigest(), Fresh: fresh, Probe: sub.probe,
	}}})
}
