// Package configsync distributes configurations from the state processes to entry
// processes and gateways. It transports and publishes them; what they mean is left
// to package config.
//
// A Syncer subscribes to one state process at a time and receives full
// configurations, never deltas, so that it is up to date after any gap. If no
// state process is usable, it pulls configurations from its peers.
//
// The following bounds hold. A change is published one network delay after the
// state process has applied it. A subscription to a state process that is silent,
// behind or not fresh ends after 1.5 s. The state process that was tried least recently
// is the next, within 0.2 s; if it says that it is behind or not fresh, the others follow
// at once, each one round trip later. A state process that does not answer at all costs
// 4 s. A configuration that differs from that of the state process at the same index is
// detected by its digest and replaced within 1.5 s. Without a usable state process,
// a newer configuration of a peer arrives within 1 s of the peer's heartbeat. A
// configuration is never replaced by one with a lower index, and never published if
// its index is lower than any that this process has received, even in a heartbeat.
package configsync

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/backoff"
	"bilberryhub/internal/config"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// probeInterval is the time between two probes of a state process, each of which
	// requests a heartbeat.
	probeInterval = 500 * time.Millisecond
	// urgentProbeInterval replaces probeInterval while the configuration is
	// unconfirmed, so that requests are served as soon as a leader is known.
	urgentProbeInterval = 100 * time.Millisecond
	// unusableTimeout is how long a state process may be silent, behind or not fresh
	// before its subscription ends. If the configuration is up to 0.5 s old when the
	// state process fails, one failover ends before the 3 s after which a
	// configuration counts as stale.
	unusableTimeout = 1500 * time.Millisecond
	// subscribeTimeout replaces unusableTimeout until the first message: a state
	// process may take as long for the handshakes of many processes.
	subscribeTimeout = 4 * time.Second
	// alternativePause is the pause before the next state process is tried if there is
	// one that was not tried since the last confirmation.
	alternativePause = 20 * time.Millisecond
	// retryBase and retryMax bound the pause before the next state process is tried;
	// see backoff.Backoff.
	retryBase = 200 * time.Millisecond
	retryMax  = 2 * time.Second
	// peerPullAge is the age of the configuration from which on peers are asked as
	// well.
	peerPullAge = 1500 * time.Millisecond
	// pullInterval is the pause between two pulls, and pullTimeout limits each of
	// them: the transfer of 4 MiB within a failure domain takes well below a second.
	pullInterval = 500 * time.Millisecond
	pullTimeout  = 2 * time.Second
	// peerExpiry is how long after its last heartbeat a peer may be asked.
	peerExpiry = 10 * time.Second
	// maxPeers limits the peers kept; a failure domain has about 32 entry processes.
	maxPeers = 256
)

var (
	decodeSeconds = metrics.GetOrCreateHistogram(`bilberry_configuration_decode_seconds`)
	inForce       = metrics.GetOrCreateCounter(`bilberry_configurations_in_force_total`)
)

// NeverFresh is the age of the configuration before the first fresh heartbeat.
const NeverFresh = time.Duration(math.MaxInt64)

// Options configures a Syncer.
type Options struct {
	// EntryID is the id of this process. It decides in which order the state processes
	// are tried first.
	EntryID string
	// States are the addresses of the state processes.
	States []string
	// StatesNow, if set, replaces States and returns the current addresses.
	StatesNow func() []string
	Wire      wire.Options
	// Clients, if set, holds the sessions with the state processes. Otherwise each
	// subscription opens one of its own, with Wire.
	Clients *wire.Pool
	Log     *zap.Logger
	// OnChange is called after each publication, one call at a time. It must
	// not block.
	OnChange func(*config.Version)
	// Now is time.Now by default.
	Now func() time.Time
}

// Syncer keeps the configuration in force at one entry process or gateway up to
// date. It is safe for concurrent use.
type Syncer struct {
	opts    Options
	current atomic.Pointer[config.Version]

	// applyMu serializes publications.
	applyMu sync.Mutex

	mu sync.Mutex
	// floor is the highest index received so far; configurations below it are not
	// published.
	floor uint64
	// confirmedAt is when the probe was sent that the last fresh heartbeat echoed.
	confirmedAt time.Time
	state       stateStatus
	// peers are the peers with a recent heartbeat, by address.
	peers map[string]*peer
	// rejected is the last configuration that could not be decoded.
	rejected  configID
	lastError string
	// pulls is the number of configurations received from peers.
	pulls uint64
}

// configID identifies a configuration and its content.
type configID struct{ index, digest uint64 }

// peer is the configuration that a peer's last heartbeat named.
type peer struct {
	configID
	receivedAt time.Time
}

// stateStatus describes the state process of the last subscription, as of its last
// heartbeat.
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

// Current returns the configuration in force, or nil before the first
// publication.
func (s *Syncer) Current() *config.Version { return s.current.Load() }

// Age returns how long the configuration in force has been unconfirmed: the time
// since this process sent the last probe that a state process in contact with the
// leader answered with the index and digest in force. It returns NeverFresh before
// the first such answer. It includes time in which the process was suspended,
// because now is read after resumption and an answer that was buffered meanwhile
// counts from the time its probe was sent.
func (s *Syncer) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return NeverFresh
	}
	return max(0, now.Sub(s.confirmedAt))
}

// Run subscribes to state processes and pulls from peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.pullLoop(ctx) })
	r := newRotation(s.opts.EntryID)
	pause := backoff.Backoff{Base: retryBase, Max: retryMax}
	for ctx.Err() == nil {
		addresses := s.stateAddresses()
		if len(addresses) == 0 {
			break
		}
		address := r.next(addresses)
		hasAlternative := r.hasAlternative(addresses)
		confirmed, err := s.runSubscription(ctx, address, hasAlternative)
		if confirmed {
			r.confirm()
			pause.Reset()
		}
		s.mu.Lock()
		s.state.connected = false
		s.lastError = errText(err)
		s.mu.Unlock()
		if ctx.Err() == nil {
			s.opts.Log.Info("subscription to state process ended", zap.String("address", address), observe.Error(err))
		}
		if hasAlternative && !confirmed {
			sleep(ctx, alternativePause)
		} else {
			sleep(ctx, pause.Next())
		}
	}
	wg.Wait()
}

func (s *Syncer) stateAddresses() []string {
	if s.opts.StatesNow != nil {
		return s.opts.StatesNow()
	}
	return s.opts.States
}

// publish puts snap in force unless it is in force already. Source names the sender
// in errors and logs. FromState is set if snap comes from a state process and so
// from the replicated log itself; only then may it replace another content of the
// same index. It returns an error if the index of snap is below the highest index
// received, if snap cannot be decoded, or if its manifest has a lower number than
// the one in force.
func (s *Syncer) publish(snap *wirepb.ConfigSnapshot, source string, fromState bool) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.raiseFloor(s.currentID().index)
	if floor := s.Floor(); snap.GetIndex() < floor {
		return errors.Errorf("configuration from %s has index %d, below the known index %d", source, snap.GetIndex(), floor)
	}
	old := s.current.Load()
	if old != nil && old.Index == snap.GetIndex() && (old.Digest == snap.GetDigest() || !fromState) {
		return nil
	}
	start := time.Now()
	v, err := config.FromSnapshot(snap)
	took := time.Since(start)
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

// checkSuccession reports violated invariants between the configuration in force
// and the next one. It returns an error for a lower manifest number. Two different
// contents of one index are reported, but accepted, because the replicated log is
// authoritative.
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

// reject records the id of a configuration that arrived intact and cannot be
// decoded, so that the state process does not send it again after each probe.
func (s *Syncer) reject(snap *wirepb.ConfigSnapshot, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config.Digest(snap) == snap.GetDigest() {
		s.rejected = configID{snap.GetIndex(), snap.GetDigest()}
	}
	s.lastError = err.Error()
	s.opts.Log.Error("configuration rejected", zap.Uint64("index", snap.GetIndex()), observe.Error(err))
}

// Floor returns the highest index received so far in a configuration or a
// heartbeat. Configurations with a lower index are not published.
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

// currentID returns the id of the configuration in force; it is zero before the
// first publication.
func (s *Syncer) currentID() configID {
	if v := s.current.Load(); v != nil {
		return configID{v.Index, v.Digest}
	}
	return configID{}
}

// lastReceived returns the id of the latest configuration received intact, whether
// it was published or rejected.
func (s *Syncer) lastReceived() configID {
	current := s.currentID()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected.index > current.index {
		return s.rejected
	}
	return current
}

// markConfirmed records that the configuration in force was confirmed by the answer
// to a probe sent at the given time.
func (s *Syncer) markConfirmed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
