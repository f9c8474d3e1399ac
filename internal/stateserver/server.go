// Package stateserver runs one replica of the replicated state. It connects the
// consensus core (package raft), the durable log (package wal) and the state
// machine (package statemachine), transports messages and snapshots between
// replicas, and serves subscriptions, proposals and queries. It doesn't implement
// the consensus algorithm, the log format or the commands.
//
// One goroutine, the loop, owns the consensus core and the state machine.
// Connection goroutines send it messages and read the immutable values that it
// publishes. Another goroutine makes the log durable; proposals that arrive during
// a sync become durable together in the next one.
//
// # Formation of the first replica set
//
// A replica is identified by its name and the identity of its disk. A replica
// whose data directory is empty has no vote. It sends join requests to all
// configured replicas until one of three events ends this state:
//
//   - A replica that belongs to a cluster and lists the joining identity as a
//     voter replies with its latest snapshot, which is committed state.
//   - The leader, on a join request of an identity that is not a member, adds it
//     as a learner, in place of the identity of the same name if there is one.
//     The leader then replicates to it, and promotes it once it has caught up.
//   - The coordinator, which is the replica with the lowest name, finds that all
//     other configured replicas reply and are empty too. It creates the first
//     snapshot, with all these identities as voters, and the others receive it as
//     in the first case.
//
// A single replica decides, so that there are never two first replica sets. A
// replica whose disk was lost comes back with a new identity and finds the cluster
// through the other replicas; while these can't be reached, it waits. A replica
// that replied "no cluster" to the coordinator is bound to that identity of the
// coordinator, so that it doesn't later adopt a replica set that an earlier
// identity of the coordinator formed. When a majority of disks is lost, the cluster
// stays without quorum instead of starting again with an empty state.
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
// bring an idle replica above the target of 1.5% of a CPU core.
const (
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	// maxClockDrift is 2% of two election timeouts, far above what clocks of
	// VMs show.
	maxClockDrift = 20 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	// leaseDuration is how long after a contact with a leader its lease is still
	// proven.
	leaseDuration = electionTimeout - maxClockDrift
)

// Bounds of the consensus core.
const (
	maxInflightEntries = 4096
	maxMessageBytes    = 1 << 20
	// maxInboxMessages bounds the messages that wait for the loop.
	maxInboxMessages = 1024
)

// Options are the dependencies of a server that tests and embedding processes
// replace. The zero value uses the defaults.
type Options struct {
	// Dial replaces the dialer of connections to other replicas.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// FS replaces the file system of the data directory.
	FS wal.FS
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
	// Handle serves the calls that the state server doesn't serve itself; if nil,
	// they are refused.
	Handle wire.Handler
	// ProposeTimeout bounds a proposal or query; zero means the default.
	ProposeTimeout time.Duration
	// MaxReplicas bounds the number of voters and learners together; zero means the default.
	MaxReplicas int
	// Missing, if set, returns the addresses of other processes that have lost their way to the
	// state processes; they are told where members are. It must not block.
	Missing func() []string
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
	// leader is the replica id of the current leader, or empty when none is known.
	leader atomic.Pointer[string]
	// isForming is set while the replica belongs to no cluster.
	isForming atomic.Bool
	// cluster is the id of the cluster of the membership, or nil when none is known.
	cluster atomic.Pointer[string]
	notices notices

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// failed is closed after a fatal failure, which failure then holds.
	failed   chan struct{}
	failOnce sync.Once
	failure  error
}

// Start opens the data directory and starts the replica. Close or Shutdown must
// be called unless it returns an error.
func Start(set Settings, opts Options, log *zap.Logger) (*Server, error) {
	if opts.Now == nil {
		start := time.Now()
		opts.Now = func() time.Duration { return time.Since(start) }
	}
	if opts.ProposeTimeout == 0 {
		opts.ProposeTimeout = proposeTimeout
	}
	if opts.MaxReplicas == 0 {
		opts.MaxReplicas = maxReplicas
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
		inbox: make(chan message, maxInboxMessages), ctx: ctx, cancel: cancel, failed: make(chan struct{}),
		metrics: newServerMetrics(set.ID),
	}
	s.wireOpts = wire.Options{
		Self: wire.Identity{
			Kind: wire.KindState, ID: s.id, Incarnation: rand.Uint64(), FailureDomain: set.FailureDomain,
		},
		TLS: tlsConfig, Dial: opts.Dial,
	}
	s.clients = wire.NewPool(s.wireOpts)
	s.notices.began = opts.Now()
	s.peers = newTransport(s)
	if err := s.start(rec); err != nil {
		_ = s.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// start creates the loop, listens for calls and starts the background goroutines.
func (s *Server) start(rec *wal.Recovered) error {
	l, err := newLoop(s, rec)
	if err != nil {
		return errors.Trace(err)
	}
	s.log.Info("data directory opened", zap.String("replica", s.id), zap.Bool("new", rec.New),
		zap.Uint64("snapshot", rec.Snapshot.GetIndex()), zap.Int("entries", len(rec.Entries)),
		zap.Int64("torn_bytes", rec.TornBytes))
	s.admin = observe.NewAdmin(s.dump)
	s.admin.Handle("GET /ready", s.serveReady)
	if err := s.admin.Serve(s.settings.AdminListen); err != nil {
		return errors.Trace(err)
	}
	serverOpts := s.wireOpts
	serverOpts.IsPeer = s.peers.isPeer
	s.server, err = wire.Serve(s.settings.Listen, serverOpts, s.handle, s.log)
	if err != nil {
		return errors.Trace(err)
	}
	s.wg.Go(func() { s.fail(l.run(s.ctx)) })
	s.wg.Go(func() { s.subscribeToLeader(s.ctx) })
	s.wg.Go(func() { s.pollMembership(s.ctx) })
	s.wg.Go(func() { s.locateMissing(s.ctx) })
	return nil
}

// loadTLS returns the TLS configuration of set, or nil without TLS.
func loadTLS(set Settings) (*tls.Config, error) {
	if set.TLS == nil {
		return nil, nil
	}
	cfg, err := set.TLS.Config()
	return cfg, errors.Trace(err)
}

// raftConfig returns the configuration of the consensus core, with a random seed.
func (s *Server) raftConfig() raft.Config {
	return raft.Config{
		ID: s.id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxClockDrift: maxClockDrift, MaxInflightEntries: maxInflightEntries,
		MaxMessageBytes: maxMessageBytes, Seed: rand.Uint64(),
	}
}

// RetiredError is the failure of a replica whose identity was removed from the
// membership, because a replica with another disk has replaced it. ID is the
// retired replica id. Members are the addresses of the members that are known to have
// remained: those of the settings may all have been replaced as well.
type RetiredError struct {
	ID      string
	Members []string
}

func (e *RetiredError) Error() string {
	return "identity " + e.ID + " is retired; move the data folder away to join with a new identity"
}

// ID returns the replica id.
func (s *Server) ID() string { return s.id }

// Config returns the newest configuration that this replica has applied.
func (s *Server) Config() *wirepb.ConfigSnapshot { return s.published.Load().config }

// Fresh reports whether Config is proven to be the newest accepted configuration.
func (s *Server) Fresh() bool { return s.fresh() }

// Addresses returns the sorted addresses of the members, or those of the configured
// replicas while no member is known.
func (s *Server) Addresses() []string { return s.peers.knownAddresses() }

// Cluster returns the id of the cluster that this replica belongs to, or an empty string if it
// belongs to none or to one that was formed by a version without ids.
func (s *Server) Cluster() string {
	if id := s.cluster.Load(); id != nil {
		return *id
	}
	return ""
}

// Propose proposes a command, at this replica or at the leader. A manifest in it
// must have passed manifest.Parse. The code is empty when result is that of the
// state machine; otherwise it is a failure code, see propose.go, and message
// explains it.
func (s *Server) Propose(ctx context.Context, cmd *wirepb.Command) (result *wirepb.Result, code, message string) {
	o := s.proposeCommand(ctx, cmd, true)
	return o.result, o.code, o.message
}

// Failed returns a channel that is closed when the server can't continue; see Err.
func (s *Server) Failed() <-chan struct{} { return s.failed }

// Err returns the failure after the channel of Failed was closed, and nil before.
func (s *Server) Err() error {
	select {
	case <-s.failed:
		return s.failure
	default:
		return nil
	}
}

// fail stops the replica with err as its failure. A nil err is ignored.
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

// Drain transfers the leadership, so that a planned stop interrupts proposals for
// less than the duration of an election. It returns when the replica no longer
// leads and has answered its proposals, when there is no other voter, or when ctx
// ends.
func (s *Server) Drain(ctx context.Context) {
	if s.admin != nil {
		s.admin.SetDraining()
	}
	for {
		reply := make(chan bool, 1)
		if !s.enqueue(ctx, leadershipTransfer{reply: reply}) {
			return
		}
		select {
		case pending := <-reply:
			if !pending {
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

// Close stops the server without a leadership transfer; see Shutdown.
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

// enqueue sends a message to the loop, and waits while the inbox is full. It
// reports false when ctx or the server ended before.
func (s *Server) enqueue(ctx context.Context, m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// sleep waits for d. It reports false when ctx ended before.
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
