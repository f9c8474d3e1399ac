// Package control is what a state process offers to operators and backend
// servers beside the replicated state: announcements of backend servers, and
// the stream of them to the gateways.
//
// Announcements are soft state. Each state process keeps those that it has
// received itself and passes them on to every gateway at once; a gateway that
// subscribes to all state processes so knows them all, and no agreement is
// needed. After a restart the table fills within one announcement interval.
package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/config"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/stateserver"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

var (
	announcements = metrics.GetOrCreateCounter(`bilberry_control_announcements_total`)
	changesSent   = metrics.GetOrCreateCounter(`bilberry_control_fleet_changes_total`)
)

// Errors of the service.
var (
	// ErrUnavailable says that nothing was decided and that another process, or a
	// later attempt, may succeed.
	ErrUnavailable = errors.New("not available now")
	// ErrUnknownOutcome says that the change may or may not be in force.
	ErrUnknownOutcome = errors.New("outcome unknown")
)

// InvalidError says why a change was refused for good.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return e.Reason }

// State is the replicated state that the service rests on.
type State interface {
	Propose(ctx context.Context, cmd *wirepb.Command) (result *wirepb.Result, code, message string)
	Config() *wirepb.ConfigSnapshot
	Fresh() bool
	Addresses() []string
}

// Service is the control side of one state process. It is safe for concurrent
// use.
type Service struct {
	log     *zap.Logger
	started time.Duration

	mu          sync.Mutex
	state       State
	table       *fleet.Table
	subscribers map[*subscriber]struct{}

	// changes are those in progress, by the digest of their document.
	changes singleflight.Group

	sourceMu    sync.Mutex
	sourceIndex uint64
	source      string
}

// New returns a service without state; see SetState.
func New(log *zap.Logger) *Service {
	return &Service{
		log: log, started: bootclock.Now(), table: fleet.NewTable(),
		subscribers: map[*subscriber]struct{}{},
	}
}

// SetState replaces the replicated state, at the start and after the replica
// has been given a new identity.
func (s *Service) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *Service) current() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Announce takes an announcement over and tells all gateways.
func (s *Service) Announce(b fleet.BackendServer) error {
	announcements.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.subscribers) == 0 {
		// What no gateway learns must not be acknowledged: the sender would rely
		// on it when it leaves.
		return errors.Annotate(ErrUnavailable, "no gateway listens here")
	}
	b.SeenAt = bootclock.Now()
	s.publish(s.table.Merge(b))
	s.touched(b.ID)
	return nil
}

// Leave records the end of a backend server. BornMs is 0 when it is not stated.
func (s *Service) Leave(id string, bornMs uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.subscribers) == 0 {
		return errors.Annotate(ErrUnavailable, "no gateway listens here")
	}
	if s.table.Get(id) == nil {
		// Another process may know it; the gateways merge what they hear.
		s.publish(s.table.Merge(fleet.BackendServer{ID: id, Gone: true, BornMs: bornMs, SeenAt: bootclock.Now()}))
		return nil
	}
	s.publish(s.table.Leave(id, bornMs))
	return nil
}

// publish marks rows for all gateways. The caller holds the mutex.
func (s *Service) publish(rows []*fleet.BackendServer) {
	for _, b := range rows {
		changesSent.Inc()
		s.log.Info("backend server changed", zap.String("backend_server", b.ID), zap.String("service", b.Service),
			zap.String("address", b.Address), zap.String("failure_domain", b.FailureDomain), zap.Bool("draining", b.Draining),
			zap.Bool("gone", b.Gone), zap.Uint64("born_ms", b.BornMs), zap.Uint64("sequence", b.Sequence))
		for sub := range s.subscribers {
			sub.changed[b.ID] = struct{}{}
			sub.wake()
		}
	}
}

// touched marks a row as announced again; the next heartbeat carries it.
func (s *Service) touched(id string) {
	for sub := range s.subscribers {
		sub.refreshed[id] = struct{}{}
	}
}

// SetDomain takes a failure domain in or out of service. Sending the same again
// changes nothing. Unlike a manifest, an order ends with ctx: it has no number of
// its own, so that it could undo a newer one when it is carried out late.
func (s *Service) SetDomain(ctx context.Context, domain string, out bool) error {
	result, err := s.propose(ctx, &wirepb.Command{Body: &wirepb.Command_Order{
		Order: &wirepb.Order{Kind: config.TargetFailureDomain, Target: domain, Out: out, Next: true},
	}})
	if err != nil {
		return errors.Trace(err)
	}
	if result.GetCode() != "" {
		return &InvalidError{result.GetMessage()}
	}
	s.log.Info("failure domain ordered", zap.String("failure_domain", domain), zap.Bool("out", out),
		zap.Uint64("number", result.GetNumberInForce()), zap.Uint64("index", result.GetIndex()))
	return nil
}

func (s *Service) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.Result, error) {
	state := s.current()
	if state == nil {
		return nil, errors.Annotate(ErrUnavailable, "the replica is starting")
	}
	var id [16]byte
	_, _ = rand.Read(id[:])
	cmd.Id = hex.EncodeToString(id[:])
	result, code, message := state.Propose(ctx, cmd)
	switch code {
	case "":
		return result, nil
	case stateserver.CodeOutcomeUnknown:
		return nil, errors.Annotate(ErrUnknownOutcome, message)
	}
	return nil, errors.Annotatef(ErrUnavailable, "%s: %s", code, message)
}

// Handle answers the calls of gateways; see stateserver.Options.
func (s *Service) Handle(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
	sub := req.GetFleetSubscribe()
	if sub == nil {
		return errors.Errorf("call %T is not served by a state process", req.GetBody())
	}
	return s.serve(ctx, st, sub)
}

// Dump describes the service in the state dump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	gateways := []string{}
	for sub := range s.subscribers {
		gateways = append(gateways, sub.info.GetId())
	}
	return map[string]any{"backend_servers": s.table.All(), "gateways": gateways}
}
