package control

import (
	"context"
	"crypto/sha256"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wirepb"
)

var (
	resentChanges = metrics.GetOrCreateCounter(`bilberry_control_resent_changes_total`)

	// Durations of the steps of a configuration change at this process.
	translateSeconds = metrics.GetOrCreateHistogram(`bilberry_control_change_seconds{step="translate"}`)
	checkSeconds     = metrics.GetOrCreateHistogram(`bilberry_control_change_seconds{step="check"}`)
	proposeSeconds   = metrics.GetOrCreateHistogram(`bilberry_control_change_seconds{step="propose"}`)
)

// Translate converts the document of an operator to a manifest and returns the
// number and the JSON encoding of the manifest. The error states why the document
// is invalid.
type Translate func(document []byte) (number uint64, content []byte, err error)

// Apply makes a document the desired state. A document whose number is not higher
// than the one in force changes nothing and is acknowledged without an error.
// Errors are *InvalidError, ErrUnavailable or ErrUnknownOutcome.
//
// A change is completed even if ctx ends: its sender retries at another process
// after a time that may be shorter than the change takes, and would never get an
// acknowledgement if each attempt was abandoned. A document that is in force or
// being applied at this process is not processed again, and the last one that was valid
// isn't validated again: it may have had no outcome, or not be in force here yet.
func (s *Service) Apply(ctx context.Context, document []byte, translate Translate) error {
	if s.isInForce(document) {
		resentChanges.Inc()
		s.log.Info("manifest is in force already", zap.Int("bytes", len(document)))
		return nil
	}
	digest := sha256.Sum256(document)
	_, err, shared := s.changes.Do(string(digest[:]), func() (any, error) {
		return nil, s.apply(context.WithoutCancel(ctx), digest, document, translate)
	})
	if shared {
		resentChanges.Inc()
	}
	return errors.Trace(err)
}

// checkedManifest is a manifest that was translated from a document and is valid.
type checkedManifest struct {
	// digest is that of the document.
	digest  [sha256.Size]byte
	number  uint64
	content []byte
}

// apply translates and validates a document, and proposes its manifest.
func (s *Service) apply(ctx context.Context, digest [sha256.Size]byte, document []byte, translate Translate) error {
	m, log, err := s.check(digest, document, translate)
	if err != nil {
		log.Info("manifest refused", observe.Error(err))
		return err
	}
	checked := bootclock.Now()
	if inForce := s.numberInForce(); m.number <= inForce {
		outcome := statemachine.CodeManifestOutdated
		if m.number == inForce {
			outcome = statemachine.CodeManifestConflict
		}
		log.Info("manifest accepted", zap.String("outcome", outcome), zap.Uint64("number_in_force", inForce))
		return nil
	}
	result, err := s.propose(ctx, &wirepb.Command{Body: &wirepb.Command_ApplyManifest{
		ApplyManifest: &wirepb.ApplyManifest{Number: m.number, Content: m.content},
	}})
	proposed := bootclock.Now() - checked
	proposeSeconds.Update(proposed.Seconds())
	log = log.With(observe.Milliseconds("propose_ms", proposed))
	if err != nil {
		log.Warn("manifest not acknowledged", observe.Error(err))
		return errors.Trace(err)
	}
	switch result.GetCode() {
	case "", statemachine.CodeManifestOutdated, statemachine.CodeManifestConflict:
		log.Info("manifest accepted", zap.String("outcome", result.GetCode()),
			zap.Uint64("number_in_force", result.GetNumberInForce()), zap.Uint64("index", result.GetIndex()))
		return nil
	}
	log.Info("manifest refused", zap.String("outcome", result.GetCode()))
	return &InvalidError{result.GetMessage()}
}

// check returns the valid manifest of a document, and a logger with what is known of it.
// The error is an *InvalidError.
func (s *Service) check(digest [sha256.Size]byte, document []byte, translate Translate) (*checkedManifest, *zap.Logger, error) {
	if m := s.checked.Load(); m != nil && m.digest == digest {
		return m, s.log.With(zap.Uint64("number", m.number), zap.Int("bytes", len(m.content)), zap.Bool("checked_before", true)), nil
	}
	s.checking.Lock()
	defer s.checking.Unlock()
	started := bootclock.Now()
	number, content, err := translate(document)
	translated := bootclock.Now()
	translateSeconds.Update((translated - started).Seconds())
	if err == nil {
		_, err = manifest.Parse(content)
	}
	checked := bootclock.Now()
	checkSeconds.Update((checked - translated).Seconds())
	log := s.log.With(zap.Uint64("number", number), zap.Int("bytes", len(content)),
		observe.Milliseconds("translate_ms", translated-started), observe.Milliseconds("check_ms", checked-translated))
	if err != nil {
		return nil, log, &InvalidError{err.Error()}
	}
	m := &checkedManifest{digest, number, content}
	s.checked.Store(m)
	return m, log, nil
}

// numberInForce returns the number of the manifest applied at this process, or 0 if
// there is none. Manifests with a lower number can never come into force.
func (s *Service) numberInForce() uint64 {
	if state := s.currentState(); state != nil {
		return state.Config().GetManifestNumber()
	}
	return 0
}

// Source returns the document that the manifest in force was translated from. It
// returns ErrUnavailable if this process cannot confirm that its configuration is the
// newest, or if there is no manifest yet.
func (s *Service) Source() (string, error) {
	state := s.currentState()
	if state == nil || !state.Fresh() {
		return "", errors.Annotate(ErrUnavailable, "no proof that the configuration here is the newest")
	}
	return s.sourceOf(state.Config())
}

// isInForce reports whether the configuration applied at this process, which is
// committed by a quorum, was translated from this document.
func (s *Service) isInForce(document []byte) bool {
	state := s.currentState()
	if state == nil {
		return false
	}
	source, err := s.sourceOf(state.Config())
	return err == nil && source == string(document)
}

// sourceOf returns the document that the manifest of a configuration was translated
// from. It caches the last one.
func (s *Service) sourceOf(snap *wirepb.ConfigSnapshot) (string, error) {
	if len(snap.GetManifest()) == 0 {
		return "", errors.Annotate(ErrUnavailable, "there is no manifest yet")
	}
	s.sourceMu.Lock()
	defer s.sourceMu.Unlock()
	if s.sourceIndex != snap.GetIndex() {
		m, err := manifest.Decode(snap.GetManifest())
		if err != nil || m.Routing == nil {
			return "", errors.Errorf("manifest %d in force has no source: %v", snap.GetManifestNumber(), err)
		}
		s.source, s.sourceIndex = m.Routing.Source, snap.GetIndex()
	}
	return s.source, nil
}
