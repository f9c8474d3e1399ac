package stateserver

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// maxQueuedMessages bounds the messages queued for one replica. Messages beyond
	// it are dropped; the consensus core sends them again.
	maxQueuedMessages = 256
	// The pause between two attempts to connect to a replica doubles from
	// minReconnectDelay to maxReconnectDelay.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
)

// transport sends messages of the consensus core to other replicas.
type transport struct {
	s  *Server
	wg sync.WaitGroup

	mu sync.Mutex
	// peers holds the senders that were started, by replica id.
	peers map[string]*peer
	// addresses holds the addresses of the members, by replica id.
	addresses map[string]string
	// inbound holds the queues of messages to send back on the streams that other
	// replicas opened, by replica id. It is used for replicas whose address is not
	// known: the leader may be a replica that joined while this one was down, or
	// before this one has any state.
	inbound map[string]chan *wirepb.RaftMessage
}

// peer sends messages and snapshots to one replica.
type peer struct {
	t       *transport
	id      string
	address string
	queue   chan *wirepb.RaftMessage
	// snapshots has capacity for one, because the core sends one at a time.
	snapshots chan *wirepb.RaftMessage
	cancel    context.CancelFunc
}

// newTransport returns the transport of s, without any senders.
func newTransport(s *Server) *transport {
	return &transport{
		s: s, peers: map[string]*peer{}, addresses: map[string]string{}, inbound: map[string]chan *wirepb.RaftMessage{},
	}
}

// send queues messages to their receivers. It never blocks; a message is dropped if
// the queue is full or the receiver can't be reached.
func (t *transport) send(messages []*wirepb.RaftMessage) {
	for _, m := range messages {
		select {
		case t.queueFor(m) <- m:
		default:
			t.s.metrics.dropped.Inc()
		}
	}
}

// queueFor returns the queue of a message, or nil if there is neither an address of
// its receiver nor a stream from it.
func (t *transport) queueFor(m *wirepb.RaftMessage) chan<- *wirepb.RaftMessage {
	p := t.peer(m.GetTo())
	switch {
	case p == nil:
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.inbound[m.GetTo()]
	case m.GetKind() == wirepb.RaftMessage_KIND_SNAPSHOT:
		return p.snapshots
	}
	return p.queue
}

// sendOnInbound sends messages to a replica on the stream that the replica opened,
// until ctx ends; see transport.inbound.
func (t *transport) sendOnInbound(ctx context.Context, id string, st *wire.Stream) {
	queue := make(chan *wirepb.RaftMessage, maxQueuedMessages)
	t.mu.Lock()
	t.inbound[id] = queue
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.inbound[id] == queue {
			delete(t.inbound, id)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if err := st.Send(raftEnvelope(m)); err != nil {
				// The stream is broken, so the goroutine that receives on it ends too.
				return
			}
		}
	}
}

// peer returns the sender to a replica and starts it if necessary. It returns nil
// when the address of the replica is not known or the server is stopping.
func (t *transport) peer(id string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[id]; p != nil {
		return p
	}
	address, ok := t.addressLocked(id)
	if !ok || t.s.ctx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(t.s.ctx)
	p := &peer{
		t: t, id: id, address: address, queue: make(chan *wirepb.RaftMessage, maxQueuedMessages),
		snapshots: make(chan *wirepb.RaftMessage, 1), cancel: cancel,
	}
	t.peers[id] = p
	t.wg.Go(func() { p.sendMessages(ctx) })
	t.wg.Go(func() { p.sendSnapshots(ctx) })
	return p
}

// address returns the address of a replica. The settings take precedence over the
// membership, because operators change the settings when a replica moves.
func (t *transport) address(id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addressLocked(id)
}

// addressLocked is address for callers that hold mu.
func (t *transport) addressLocked(id string) (string, bool) {
	if r, ok := t.s.settings.replica(replicaName(id)); ok {
		return r.Address, true
	}
	a, ok := t.addresses[id]
	return a, ok
}

// setMembers replaces the addresses of the members by those of some memberships, and stops the
// senders to replicas that are members of none.
func (t *transport) setMembers(memberships ...*wirepb.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses = map[string]string{}
	for _, m := range memberships {
		for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
			t.addresses[r.GetId()] = r.GetAddress()
		}
	}
	for id, p := range t.peers {
		if t.addresses[id] == "" {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// knownAddresses returns the sorted addresses of the members, or those of the
// configured replicas and of JoinAddresses while no member is known.
func (t *transport) knownAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]string, 0, len(t.addresses)+len(t.s.settings.Replicas))
	for _, a := range t.addresses {
		all = append(all, a)
	}
	if len(all) == 0 {
		all = append(all, t.s.settings.JoinAddresses...)
		for _, r := range t.s.settings.Replicas {
			all = append(all, r.Address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// isPeer reports whether an IP address is that of a member or a configured replica.
func (t *transport) isPeer(ip string) bool {
	return slices.ContainsFunc(t.knownAddresses(), func(a string) bool {
		host, _, err := net.SplitHostPort(a)
		return err == nil && host == ip
	})
}

// wait waits until all senders have ended.
func (t *transport) wait() { t.wg.Wait() }

// peerDump is one sender in the state dump.
type peerDump struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Queued  int    `json:"queued"`
}

// dump returns the senders for the state dump, sorted by replica id.
func (t *transport) dump() []peerDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]peerDump, 0, len(t.peers))
	for id, p := range t.peers {
		out = append(out, peerDump{ID: id, Address: p.address, Queued: len(p.queue)})
	}
	slices.SortFunc(out, func(a, b peerDump) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// raftEnvelope returns the envelope of a message of the consensus core.
func raftEnvelope(m *wirepb.RaftMessage) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_RaftMessage{RaftMessage: m}}
}

// sendMessages sends the queued messages over one stream, which it opens again after
// a failure, until ctx ends. The message with which opening fails is dropped.
func (p *peer) sendMessages(ctx context.Context) {
	client := p.t.s.clients.Get(p.address)
	delay := minReconnectDelay
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			st, err := client.Open(ctx, raftEnvelope(m))
			if err != nil {
				if !sleep(ctx, delay) {
					return
				}
				delay = min(2*delay, maxReconnectDelay)
				continue
			}
			delay = minReconnectDelay
			p.stream(ctx, st)
		}
	}
}

// stream sends messages on st until the stream fails or ctx ends.
func (p *peer) stream(ctx context.Context, st *wire.Stream) {
	defer st.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.t.receiveOnOutbound(ctx, st)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case m := <-p.queue:
			if err := st.Send(raftEnvelope(m)); err != nil {
				return
			}
		}
	}
}

// receiveOnOutbound passes the messages that a replica sends back on a stream opened
// by this replica to the loop; see transport.inbound. It returns when the stream
// ends.
func (t *transport) receiveOnOutbound(ctx context.Context, st *wire.Stream) {
	for {
		env, err := st.Recv()
		if err != nil {
			return
		}
		m := env.GetRaftMessage()
		if m == nil || !t.s.enqueue(ctx, receivedMessage{m: m}) {
			return
		}
	}
}
