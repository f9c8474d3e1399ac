// Package control implements the control process: a state process that also accepts
// configuration changes of operators and announcements of backend servers, and that
// streams these announcements to the gateways. Package platform translates the calls
// of operators and backend servers; replication is left to package stateserver.
//
// Announcements are soft state and are not replicated. Each state process keeps
// those that it has received itself and forwards them to every gateway at once. A
// gateway subscribes to all state processes and so receives all announcements
// without consensus. After a restart the table is complete again within one
// announcement interval.
package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/fleetfeed"
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
	// ErrUnavailable means that the call had no effect and that it may succeed at
	// another process or at a later attempt.
	ErrUnavailable = errors.New("not available now")
	// ErrUnknownOutcome means that the change may or may not be in force.
	ErrUnknownOutcome = errors.New("outcome unknown")
)

// InvalidError states why a change was refused permanently, so that a retry cannot
// succeed.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return e.Reason }

// State is the replicated state behind a Service. Package stateserver implements it.
type State interface {
	// Propose proposes cmd and returns its result. If there is none, code is the
	// failure code and message describes the failure; otherwise code is empty.
	Propose(ctx context.Context, cmd *wirepb.Command) (result *wirepb.Result, code, message string)
	// NewestConfig returns a configuration that is at least as new as each one that was
	// in force when the call began. If there is none, code is the failure code and reason
	// describes the failure.
	NewestConfig(ctx context.Context) (newest *wirepb.ConfigSnapshot, code, reason string)
	// Config returns the configuration applied at this process.
	Config() *wirepb.ConfigSnapshot
	// Fresh reports whether Config is proven to be the newest accepted configuration.
	Fresh() bool
	// Addresses returns the sorted addresses of the state processes.
	Addresses() []string
	// Cluster returns the id of the cluster of the state processes, or an empty string if it has
	// none or is not known.
	Cluster() string
}

// Service handles changes of operators, announcements of backend servers and
// subscriptions of gateways at one state process. It is safe for concurrent use.
type Service struct {
	log *zap.Logger

	mu    sync.Mutex
	state State
	feed  *fleetfeed.Feed
	// subscribers are the subscribed gateways.
	subscribers map[*subscriber]struct{}
	// departed holds the gateways whose last subscription has ended, by address.
	departed map[string]departedGateway
	// changed is closed, and replaced, when subscribers have to look for updates.
	// updateAt is when a timer does so, or 0.
	changed  chan struct{}
	updateAt time.Duration

	// changes are the changes in progress, by the digest of their document.
	changes singleflight.Group
	// checking is held while a document is translated and validated, which takes a multiple
	// of its size in memory.
	checking sync.Mutex
	// checked is the last manifest that was valid.
	checked atomic.Pointer[checkedManifest]

	// stalls are the times in which the process didn't run.
	stalls stalls

	// source caches the document of the manifest at log index sourceIndex. Both are
	// guarded by sourceMu.
	sourceMu    sync.Mutex
	sourceIndex uint64
	source      string
}

// New returns a service without replicated state. Until SetState is called, changes
// fail with ErrUnavailable.
func New(log *zap.Logger) *Service {
	return &Service{
		log: log, feed: fleetfeed.New(bootclock.Now()), changed: make(chan struct{}), subscribers: map[*subscriber]struct{}{},
		departed: map[string]departedGateway{},
	}
}

// SetState sets the replicated state. It is called at the start and again after the
// replica has been given a new identity.
func (s *Service) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// currentState returns the replicated state, or nil before SetState.
func (s *Service) currentState() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Announce records an announcement and forwards it to all gateways: a change at once,
// a repetition with a later update. That a backend server drains was sent to the
// gateways when Announce returns. It returns ErrUnavailable if no gateway is subscribed, and
// an *InvalidError if a text of the announcement can't be sent to gateways.
func (s *Service) Announce(ctx context.Context, b fleet.BackendServer) error {
	announcements.Inc()
	for field, text := range map[string]string{
		"id": b.ID, "service": b.Service, "address": b.Address, "failure domain": b.FailureDomain, "version": b.Build,
	} {
		if err := checkText(field, text); err != nil {
			return errors.Trace(err)
		}
	}
	recordLifetime(ctx, b.ID, b.BornMs)
	return s.change(func(now time.Duration) []*fleet.BackendServer {
		b.SeenAt = now
		return s.feed.Announce(b)
	})
}

// Leave records that a backend server has left, which was sent to the gateways when
// Leave returns. BornMs is the start of its lifetime in Unix milliseconds, or 0 if the
// sender does not state it. It returns ErrUnavailable if no gateway is subscribed, or if
// the call may have waited and the sender has left, and an *InvalidError if the id can't be
// sent to gateways.
func (s *Service) Leave(ctx context.Context, id string, bornMs uint64) error {
	if err := checkText("id", id); err != nil {
		return errors.Trace(err)
	}
	if bornMs == 0 {
		var err error
		if bornMs, err = s.lifetimeOf(ctx, id); err != nil {
			return errors.Trace(err)
		}
	}
	return s.change(func(now time.Duration) []*fleet.BackendServer { return s.feed.Leave(id, bornMs, now) })
}

// checkText returns an *InvalidError if a field of an announcement isn't UTF-8, which messages
// between processes can't hold, or has control characters, which headers can't.
func checkText(field, text string) error {
	switch {
	case !utf8.ValidString(text):
		return &InvalidError{Reason: fmt.Sprintf("%s %q is not UTF-8", field, text)}
	case strings.ContainsFunc(text, unicode.IsControl):
		return &InvalidError{Reason: fmt.Sprintf("%s %q has control characters", field, text)}
	}
	return nil
}

// change changes the feed. It returns ErrUnavailable if no gateway is subscribed.
func (s *Service) change(merge func(now time.Duration) []*fleet.BackendServer) error {
	s.mu.Lock()
	if s.feed.Subscribed() == 0 {
		s.mu.Unlock()
		// An announcement that reaches no gateway must not be acknowledged: the
		// sender would rely on it when it leaves.
		return errors.Annotate(ErrUnavailable, "no gateway listens here")
	}
	changed := merge(bootclock.Now())
	s.publish(changed)
	s.mu.Unlock()
	if slices.ContainsFunc(changed, func(b *fleet.BackendServer) bool { return !b.Usable() }) {
		s.waitSent()
	}
	return nil
}

// publish logs changed backend servers and makes the subscribers receive them. The
// caller holds mu.
func (s *Service) publish(servers []*fleet.BackendServer) {
	for _, b := range servers {
		changesSent.Inc()
		s.log.Info("backend server changed", zap.String("backend_server", b.ID), zap.String("service", b.Service),
			zap.String("address", b.Address), zap.String("failure_domain", b.FailureDomain), zap.Bool("draining", b.Draining),
			zap.Bool("gone", b.Gone), zap.Uint64("born_ms", b.BornMs), zap.Uint64("sequence", b.Sequence))
	}
	if len(servers) > 0 {
		s.scheduleUpdate()
	}
}

// propose submits a command with a new random id to the replicated state. Errors are
// ErrUnavailable or ErrUnknownOutcome.
func (s *Service) propose(ctx context.Context, cmd *wirepb.Command) (*wirepb.Result, error) {
	state := s.currentState()
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

// Handle serves the subscription of a gateway; see stateserver.Options. It returns
// an error for any other call.
func (s *Service) Handle(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
	sub := req.GetFleetSubscribe()
	if sub == nil {
		return errors.Errorf("call %T is not served by a state process", req.GetBody())
	}
	return s.serve(ctx, st, sub)
}

// Dump returns the section of the state dump about the service.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"backend_servers": s.feed.Servers(), "gateways": s.feed.Gateways()}
}
