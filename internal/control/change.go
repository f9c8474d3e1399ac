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
// being applied at this process is not processed again.
func (s *Service) Apply(ctx context.Context, document []byte, translate Translate) error {
	if s.isInForce(document) {
		resentChanges.Inc()
		s.log.Info("manifest is in force already", zap.Int("bytes", len(document)))
		return nil
	}
	digest := sha256.Sum256(document)
	_, err, shared := s.changes.Do(string(digest[:]), func() (any, error) {
		return nil, s.apply(context.WithoutCancel(ctx), document, translate)
	})
	if shared {
		resentChanges.Inc()
	}
	return errors.Trace(err)
}

// apply translates and validates a document, and proposes its manifest.
func (s *Service) apply(ctx context.Context, document []byte, translate Translate) error {
	started := bootclock.Now()
	number, content, err := translate(document)
	translated := bootclock.Now()
	translateSeconds.Update((translated - started).Seconds())
	log := s.log.With(zap.Uint64("number", number), zap.Int("bytes", len(content)),
		observe.Milliseconds("translate_ms", translated-started))
	if err == nil {
		_, err = manifest.Parse(content)
	}
	checked := bootclock.Now()
	checkSeconds.Update((checked - translated).Seconds())
	log = log.With(observe.Milliseconds("check_ms", checked-translated))
	if err != nil {
		log.Info("manifest refused", observe.Error(err))
		return &InvalidError{err.Error()}
	}
	if inForce := s.numberInForce(); number <= inForce {
		outcome := statemachine.CodeManifestOutdated
		if number == inForce {
			outcome = statemachine.CodeManifestConflict
		}
		log.Info("manifest accepted", zap.String("outcome", outcome), zap.Uint64("number_in_force", inForce))
		return nil
	}
	result, err := s.propose(ctx, &wirepb.Command{Body: &wirepb.Command_ApplyManifest{
		ApplyManifest: &wirepb.ApplyManifest{Number: number, Content: content},
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
