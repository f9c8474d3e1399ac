package stateserver

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// queueMessages bounds the messages that wait for one replica. The
	// consensus core sends again what is dropped.
	queueMessages = 256
	// Pauses between attempts to reach a replica.
	reconnectMin = 20 * time.Millisecond
	reconnectMax = 500 * time.Millisecond
)

// transport sends messages of the consensus core to other replicas.
type transport struct {
	s  *Server
	wg sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
	// addresses of the members, by replica id.
	addresses map[string]string
	// inbound holds the queues of the streams on which replicas send, by replica id.
	// Messages to a replica whose address is not known go back on its stream: the
	// leader may be a replica that joined while this one was away, or before it has
	// any state.
	inbound map[string]chan *wirepb.RaftMessage
}

// peer is the sending side to one replica.
type peer struct {
	t       *transport
	id      string
	address string
	queue   chan *wirepb.RaftMessage
	// snapshots has room for one, because the core sends one at a time.
	snapshots chan *wirepb.RaftMessage
	cancel    context.CancelFunc
}

func newTransport(s *Server) *transport {
	return &transport{
		s: s, peers: map[string]*peer{}, addresses: map[string]string{}, inbound: map[string]chan *wirepb.RaftMessage{},
	}
}

// send queues messages. It never blocks; a full queue drops the message.
func (t *transport) send(messages []*wirepb.RaftMessage) {
	for _, m := range messages {
		select {
		case t.queueFor(m) <- m:
		default:
			t.s.metrics.dropped.Inc()
		}
	}
}

// queueFor returns the queue of a message, or nil where nothing leads to its
// receiver.
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

// answerOn sends messages for a replica back on the stream on which it sends,
// until ctx ends.
func (t *transport) answerOn(ctx context.Context, id string, st *wire.Stream) {
	queue := make(chan *wirepb.RaftMessage, queueMessages)
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
				// The stream is broken; its receiving side ends as well.
				return
			}
		}
	}
}

// peer returns the sender to a replica, or nil when its address is not known.
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
		t: t, id: id, address: address, queue: make(chan *wirepb.RaftMessage, queueMessages),
		snapshots: make(chan *wirepb.RaftMessage, 1), cancel: cancel,
	}
	t.peers[id] = p
	t.wg.Go(func() { p.sendMessages(ctx) })
	t.wg.Go(func() { p.sendSnapshots(ctx) })
	return p
}

// address returns the address of a replica. The settings come first: they are
// what operators change when a replica moves.
func (t *transport) address(id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addressLocked(id)
}

func (t *transport) addressLocked(id string) (string, bool) {
	if r, ok := t.s.settings.replica(nameOf(id)); ok {
		return r.Address, true
	}
	a, ok := t.addresses[id]
	return a, ok
}

// retain learns the addresses of the members and ends the senders to replicas
// that are no members any more.
func (t *transport) retain(m *wirepb.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses = map[string]string{}
	for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		t.addresses[r.GetId()] = r.GetAddress()
	}
	for id, p := range t.peers {
		if t.addresses[id] == "" {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// known returns the addresses of the members and of the configured replicas.
func (t *transport) known() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]string, 0, len(t.addresses)+len(t.s.settings.Replicas))
	for _, a := range t.addresses {
		all = append(all, a)
	}
	if len(all) == 0 {
		for _, r := range t.s.settings.Replicas {
			all = append(all, r.Address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (t *transport) wait() { t.wg.Wait() }

type peerDump struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Queued  int    `json:"queued"`
}

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

func raftEnvelope(m *wirepb.RaftMessage) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_RaftMessage{RaftMessage: m}}
}

// sendMessages keeps one stream open and sends the queue over it.
func (p *peer) sendMessages(ctx context.Context) {
	client := p.t.s.clients.Get(p.address)
	pause := reconnectMin
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			st, err := client.Open(ctx, raftEnvelope(m))
			if err != nil {
				if !sleep(ctx, pause) {
					return
				}
				pause = min(2*pause, reconnectMax)
				continue
			}
			pause = reconnectMin
			p.stream(ctx, st)
		}
	}
}

// stream sends messages until the stream fails.
func (p *peer) stream(ctx context.Context, st *wire.Stream) {
	defer st.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.t.receiveAnswers(ctx, st)
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

// receiveAnswers takes the messages that a replica sends back on the stream; see
// transport.inbound. It returns at the end of the stream.
func (t *transport) receiveAnswers(ctx context.Context, st *wire.Stream) {
	for {
		env, err := st.Recv()
		if err != nil {
			return
		}
		m := env.GetRaftMessage()
		if m == nil || !t.s.tell(ctx, received{m: m}) {
			return
		}
	}
}
