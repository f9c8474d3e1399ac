// Package stateserver runs one replica of the replicated state: the consensus
// core, the durable log and the state machine, and serves subscriptions,
// proposals and queries.
//
// One goroutine, the loop, owns the consensus core and the state machine.
// Traffic goroutines send it messages and read published immutable values.
// Another goroutine makes the log durable; proposals that arrive during a sync
// become durable together in the next one.
//
// # Formation of the first replica set
//
// A replica is identified by its name and the identity of its disk. A replica
// whose data folder is empty has no vote. It asks all configured replicas to
// let it join, until one of three things ends this state:
//
//   - A replica that belongs to a cluster and lists the asking identity as a
//     voter answers with its latest snapshot, which is committed state.
//   - The leader, on a request of an identity that is not a member, adds it as
//     a learner, in place of the identity of the same name if there is one. The
//     leader then replicates to it, and promotes it once it has caught up.
//   - The coordinator, which is the replica with the lowest name, finds that
//     all other configured replicas answer and are empty too. It makes the
//     first snapshot, with all these identities as voters, and the others
//     receive it in the first way.
//
// A single replica decides, so that there are never two first replica sets. A
// disk that was lost comes back with a new identity and finds the cluster at
// the other replicas; while these cannot be reached, it waits. Answering the
// coordinator with "no cluster" binds the answering replica to this identity of
// the coordinator, so that a set that an earlier identity of it has formed is
// not taken over afterwards. When a majority of disks is lost, the cluster stays
// without quorum instead of starting again with an empty state.
package stateserver

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/wal"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// Timing of the consensus core. An election starts one to two election
// timeouts after the last contact, so that a lost leader is replaced within
// about a second. Three heartbeat rounds fit into a lease. Shorter intervals
// bring an idle replica above the target of 1.5% of a core.
const (
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	// maxClockDrift is 2% of two election timeouts, far above what clocks of
	// VMs show.
	maxClockDrift = 20 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	// leaseDuration is how long the contact with a leader proves its lease.
	leaseDuration = electionTimeout - maxClockDrift
)

// Bounds of the consensus core.
const (
	maxInflightEntries = 4096
	maxMessageBytes    = 1 << 20
	// inboxMessages bounds the messages that wait for the loop.
	inboxMessages = 1024
)

// Options are the parts of a server that tests replace.
type Options struct {
	// Dial replaces the dialler of connections to other replicas.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// FS replaces the file system of the data folder.
	FS wal.FS
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
	// Handle answers calls that the state server does not know; nil refuses them.
	Handle wire.Handler
	// ProposeTimeout bounds a proposal or query; zero means the default.
	ProposeTimeout time.Duration
}

// Server is a running replica.
type Server struct {
	settings Settings
	opts     Options
	log      *zap.Logger
	id       string
	wal      *wal.WAL
	wireOpts wire.Options
	server   *wire.Server
	admin    *observe.Admin
	clients  *wire.Pool
	peers    *transport
	metrics  *serverMetrics

	inbox     chan message
	published atomic.Pointer[publication]
	freshness freshness
	// leader is the id of the known leader, or empty.
	leader atomic.Pointer[string]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// failed is closed after a failure that ends the process; failure holds it.
	failed   chan struct{}
	failOnce sync.Once
	failure  error
}

// Start opens the data folder and starts to serve.
func Start(set Settings, opts Options, log *zap.Logger) (*Server, error) {
	if opts.Now == nil {
		start := time.Now()
		opts.Now = func() time.Duration { return time.Since(start) }
	}
	if opts.ProposeTimeout == 0 {
		opts.ProposeTimeout = proposeTimeout
	}
	tlsConfig, err := loadTLS(set)
	if err != nil {
		return nil, errors.Trace(err)
	}
	w, rec, err := wal.Open(set.DataDir, wal.Options{FS: opts.FS, SegmentBytes: set.SegmentBytes})
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: set, opts: opts, log: log, id: replicaID(set.ID, rec.Identity), wal: w,
		inbox: make(chan message, inboxMessages), ctx: ctx, cancel: cancel, failed: make(chan struct{}),
		metrics: newServerMetrics(set.ID),
	}
	s.wireOpts = wire.Options{
		Self: wire.Identity{
			Kind: wire.KindState, ID: s.id, Incarnation: rand.Uint64(), FailureDomain: set.FailureDomain,
		},
		TLS: tlsConfig, Dial: opts.Dial,
	}
	s.clients = wire.NewPool(s.wireOpts)
	s.peers = newTransport(s)
	if err := s.start(rec); err != nil {
		_ = s.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *Server) start(rec *wal.Recovered) error {
	l, err := newLoop(s, rec)
	if err != nil {
		return errors.Trace(err)
	}
	s.log.Info("data folder opened", zap.String("replica", s.id), zap.Bool("new", rec.New),
		zap.Uint64("snapshot", rec.Snapshot.GetIndex()), zap.Int("entries", len(rec.Entries)),
		zap.Int64("torn_bytes", rec.TornBytes))
	s.admin = observe.NewAdmin(s.dump)
	if err := s.admin.Serve(s.settings.AdminListen); err != nil {
		return errors.Trace(err)
	}
	s.server, err = wire.Serve(s.settings.Listen, s.wireOpts, s.handle, s.log)
	if err != nil {
		return errors.Trace(err)
	}
	s.wg.Go(func() { s.fail(l.run(s.ctx)) })
	s.wg.Go(func() { s.confirmFromLeader(s.ctx) })
	s.wg.Go(func() { s.askForMembership(s.ctx) })
	return nil
}

func loadTLS(set Settings) (*tls.Config, error) {
	if set.TLS == nil {
		return nil, nil
	}
	cfg, err := set.TLS.Config()
	return cfg, errors.Trace(err)
}

func (s *Server) raftConfig() raft.Config {
	return raft.Config{
		ID: s.id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxClockDrift: maxClockDrift, MaxInflightEntries: maxInflightEntries,
		MaxMessageBytes: maxMessageBytes, Seed: rand.Uint64(),
	}
}

// RetiredError ends a replica whose place another disk has taken.
type RetiredError struct{ ID string }

func (e *RetiredError) Error() string {
	return "identity " + e.ID + " is retired; move the data folder away to join with a new identity"
}

// ID returns the replica id.
func (s *Server) ID() string { return s.id }

// Config returns the newest configuration that this replica has applied.
func (s *Server) Config() *wirepb.ConfigSnapshot { return s.published.Load().config }

// Fresh reports whether Config is proven to be the newest accepted one.
func (s *Server) Fresh() bool { return s.fresh() }

// Addresses returns the addresses of all replicas that are known.
func (s *Server) Addresses() []string { return s.peers.known() }

// Propose proposes a command, here or at the leader. A manifest in it must have
// passed manifest.Parse. The code is empty when the result is that of the state
// machine; see the codes in propose.go.
func (s *Server) Propose(ctx context.Context, cmd *wirepb.Command) (result *wirepb.Result, code, message string) {
	o := s.proposeCommand(ctx, cmd, true)
	return o.result, o.code, o.message
}

// Failed is closed when the server cannot continue; see Err.
func (s *Server) Failed() <-chan struct{} { return s.failed }

// Err returns the failure after Failed was closed.
func (s *Server) Err() error {
	select {
	case <-s.failed:
		return s.failure
	default:
		return nil
	}
}

func (s *Server) fail(err error) {
	if err == nil {
		return
	}
	s.failOnce.Do(func() {
		s.log.Error("replica stopped", observe.Error(err))
		s.failure = err
		close(s.failed)
		s.cancel()
	})
}

// Drain hands over the leadership, so that a planned stop interrupts proposals
// for less than an election. It returns when the replica no longer leads
// and has answered its proposals, or after the time limit of ctx.
func (s *Server) Drain(ctx context.Context) {
	if s.admin != nil {
		s.admin.SetDraining()
	}
	for {
		reply := make(chan bool, 1)
		if !s.tell(ctx, handover{reply: reply}) {
			return
		}
		select {
		case leads := <-reply:
			if !leads {
				return
			}
		case <-ctx.Done():
			return
		case <-s.ctx.Done():
			return
		}
		if !sleep(ctx, tickInterval) {
			return
		}
	}
}

// Close stops the server.
func (s *Server) Close() error {
	s.cancel()
	var err error
	if s.server != nil {
		err = s.server.Close()
	}
	s.wg.Wait()
	s.peers.wait()
	s.clients.Close()
	if s.admin != nil {
		_ = s.admin.Close()
	}
	if werr := s.wal.Close(); err == nil {
		err = werr
	}
	return errors.Trace(err)
}

// tell sends a message to the loop. It reports false when ctx or the server
// ended before.
func (s *Server) tell(ctx context.Context, m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// sleep reports false when ctx ended before d.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
