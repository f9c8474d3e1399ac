// Package configsync keeps the configuration of an entry process in force.
//
// The entry process subscribes to one state process at a time and receives
// whole configurations, never changes, so that it is up to date after any gap.
// When no state process can be used it pulls from its peers.
//
// Bounds. A change is published one network delay after the state process has
// applied it. A state process that is silent, behind or not fresh is left
// after 1.5 s, and the next one is tried 0.2 s later, so with n state processes
// of which one works, a new subscription takes at most (n-1) * 3.2 s including
// the wait for its first heartbeat. A configuration that differs from the state process's is
// repaired by the digest within 1.5 s. With no usable state process, a peer's
// newer configuration arrives within 1 s of the peer's heartbeat. A
// configuration is never replaced by one with a lower index, nor by one with a
// lower index than any that this process has heard of.
package configsync

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/config"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// probeInterval is how often a state process is asked for a heartbeat.
	probeInterval = 500 * time.Millisecond
	// urgentProbeInterval is used while the configuration is unconfirmed, so that
	// requests are served as soon as a leader is known.
	urgentProbeInterval = 100 * time.Millisecond
	// patience is how long a state process may be silent, behind or not fresh.
	// With an age of up to 0.5 s at the failure, one failover ends before the 3 s
	// after which a configuration counts as stale.
	patience = 1500 * time.Millisecond
	// retryDelay is the pause between two state processes.
	retryDelay = 200 * time.Millisecond
	// peerAfter is the age above which peers are asked as well.
	peerAfter = 1500 * time.Millisecond
	// pullInterval is the pause between two pulls, and pullTimeout the bound of
	// one: a configuration of 4 MiB takes well below a second inside a domain.
	pullInterval = 500 * time.Millisecond
	pullTimeout  = 2 * time.Second
	// peerMemory is how long an address is asked after its last heartbeat.
	peerMemory = 10 * time.Second
	// maxPeers bounds the addresses kept; a domain has about 32 entry processes.
	maxPeers = 256
)

var (
	decodeSeconds = metrics.GetOrCreateHistogram(`bilberry_configuration_decode_seconds`)
	inForce       = metrics.GetOrCreateCounter(`bilberry_configurations_in_force_total`)
)

// NeverFresh is the age before the first fresh heartbeat.
const NeverFresh = time.Duration(math.MaxInt64)

// Options configure a Syncer.
type Options struct {
	EntryID string
	// States are the addresses of the state processes.
	States []string
	// StatesNow, when set, returns the addresses known at the moment instead.
	StatesNow func() []string
	Wire      wire.Options
	Log       *zap.Logger
	// OnChange is called after each publication, one call at a time. It must
	// not block.
	OnChange func(*config.Version)
	// Now is time.Now by default.
	Now func() time.Time
}

// Syncer keeps the configuration of one entry process. It is safe for
// concurrent use.
type Syncer struct {
	opts    Options
	current atomic.Pointer[config.Version]

	// applyMu serialises publications.
	applyMu sync.Mutex

	mu    sync.Mutex
	floor uint64
	// freshAt is when the probe was sent that the last fresh heartbeat echoed.
	freshAt time.Time
	state   stateStatus
	peers   map[string]*peer
	// rejected is the last configuration that could not be read.
	rejected  known
	lastError string
	pulls     uint64
}

type known struct{ index, digest uint64 }

type peer struct {
	known
	at time.Time
}

type stateStatus struct {
	address   string
	index     uint64
	fresh     bool
	connected bool
}

// New returns a Syncer that has no configuration yet.
func New(o Options) *Syncer {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Syncer{opts: o, peers: map[string]*peer{}}
}

// Current returns the configuration in force, or nil before the first one.
func (s *Syncer) Current() *config.Version { return s.current.Load() }

// Age returns how long the configuration in force is unconfirmed: the time
// since this process sent the last probe that a state process with contact to
// the leader answered with the index in force. It counts time in which the
// process was frozen, because now is read afterwards and an answer that waited
// in a buffer is counted from its probe.
func (s *Syncer) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshAt.IsZero() {
		return NeverFresh
	}
	return max(0, now.Sub(s.freshAt))
}

// Run subscribes to state processes and pulls from peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.pullLoop(ctx) })
	// Entry processes start at different state processes, to spread the load.
	start := xxhash.Sum64String(s.opts.EntryID)
	for i := start; ctx.Err() == nil; i++ {
		states := s.states()
		if len(states) == 0 {
			break
		}
		address := states[i%uint64(len(states))]
		err := s.follow(ctx, address)
		s.mu.Lock()
		s.state.connected = false
		s.lastError = errText(err)
		s.mu.Unlock()
		if ctx.Err() == nil {
			s.opts.Log.Info("left state process", zap.String("address", address), observe.Error(err))
		}
		sleep(ctx, retryDelay)
	}
	wg.Wait()
}

func (s *Syncer) states() []string {
	if s.opts.StatesNow != nil {
		return s.opts.StatesNow()
	}
	return s.opts.States
}

// offer publishes snap unless it is older than what is known. FromState marks
// content that comes from the replicated log itself.
func (s *Syncer) offer(snap *wirepb.ConfigSnapshot, source string, fromState bool) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.raiseFloor(s.currentKnown().index)
	if floor := s.Floor(); snap.GetIndex() < floor {
		return errors.Errorf("configuration from %s has index %d, below the known index %d", source, snap.GetIndex(), floor)
	}
	old := s.current.Load()
	if old != nil && old.Index == snap.GetIndex() && (old.Digest == snap.GetDigest() || !fromState) {
		return nil
	}
	began := time.Now()
	v, err := config.FromSnapshot(snap)
	took := time.Since(began)
	decodeSeconds.Update(took.Seconds())
	if err != nil {
		s.reject(snap, err)
		return errors.Annotatef(err, "configuration from %s", source)
	}
	if err := checkSuccession(old, v, source); err != nil {
		return errors.Trace(err)
	}
	s.current.Store(v)
	s.raiseFloor(v.Index)
	inForce.Inc()
	s.opts.Log.Info("configuration in force", zap.Uint64("index", v.Index), zap.Uint64("number", v.Number),
		zap.String("from", source), zap.Int("bytes", len(snap.GetManifest())), observe.Milliseconds("decode_ms", took))
	if s.opts.OnChange != nil {
		s.opts.OnChange(v)
	}
	return nil
}

// checkSuccession reports a configuration that must not follow the one in
// force. A second content of one index is reported and accepted, because the
// replicated log decides.
func checkSuccession(old, next *config.Version, source string) error {
	if old == nil {
		return nil
	}
	invariant.Report(old.Index != next.Index, "configsync_one_content_per_index",
		"index %d has digest %016x here and %016x at %s", next.Index, old.Digest, next.Digest, source)
	if !invariant.Report(next.Number >= old.Number, "configsync_never_reverts",
		"%s has manifest %d at index %d, in force is manifest %d of index %d", source, next.Number, next.Index, old.Number, old.Index) {
		return errors.Errorf("configuration from %s has manifest %d, below %d in force", source, next.Number, old.Number)
	}
	return nil
}

// reject remembers a configuration that arrived undamaged and cannot be read,
// so that it is not sent again with each probe.
func (s *Syncer) reject(snap *wirepb.ConfigSnapshot, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config.Digest(snap) == snap.GetDigest() {
		s.rejected = known{snap.GetIndex(), snap.GetDigest()}
	}
	s.lastError = err.Error()
	s.opts.Log.Error("configuration rejected", zap.Uint64("index", snap.GetIndex()), observe.Error(err))
}

// Floor returns the highest index that this process has heard of.
func (s *Syncer) Floor() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor
}

func (s *Syncer) raiseFloor(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, index)
}

func (s *Syncer) currentKnown() known {
	if v := s.current.Load(); v != nil {
		return known{v.Index, v.Digest}
	}
	return known{}
}

// offered returns the latest configuration that was received, in force or not.
func (s *Syncer) offered() known {
	k := s.currentKnown()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected.index > k.index {
		return s.rejected
	}
	return k
}

func (s *Syncer) markFresh(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.freshAt) {
		s.freshAt = at
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sleep reports false when ctx ended before d.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
