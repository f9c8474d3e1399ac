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

	// The steps of a change of the configuration at this process.
	translateSeconds = metrics.GetOrCreateHistogram(`bilberry_control_change_seconds{step="translate"}`)
	checkSeconds     = metrics.GetOrCreateHistogram(`bilberry_control_change_seconds{step="check"}`)
	proposeSeconds   = metrics.GetOrCreateHistogram(`bilberry_control_change_seconds{step="propose"}`)
)

// Translate makes a manifest from the document of an operator. An error says
// what makes the document invalid.
type Translate func(document []byte) (number uint64, content []byte, err error)

// Apply makes a document the desired state. One whose number is not higher than
// the one in force changes nothing and is no error. Errors are *InvalidError,
// ErrUnavailable or ErrUnknownOutcome.
//
// A change is carried out to its end even when ctx ends: its sender asks another
// process after a time that may be shorter than the work, and would never get an
// acknowledgement if the work was lost each time. A document that is in force or
// being applied here is not worked on again.
func (s *Service) Apply(ctx context.Context, document []byte, translate Translate) error {
	if s.holds(document) {
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

func (s *Service) apply(ctx context.Context, document []byte, translate Translate) error {
	began := bootclock.Now()
	number, content, err := translate(document)
	translated := bootclock.Now()
	translateSeconds.Update((translated - began).Seconds())
	log := s.log.With(zap.Uint64("number", number), zap.Int("bytes", len(content)),
		observe.Milliseconds("translate_ms", translated-began))
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

// numberInForce returns the number of the manifest applied here. What is lower was
// overtaken for good.
func (s *Service) numberInForce() uint64 {
	if state := s.current(); state != nil {
		return state.Config().GetManifestNumber()
	}
	return 0
}

// Source returns the document that the manifest in force was translated from.
// The error is ErrUnavailable when this process cannot be sure that it is the
// newest, or knows none.
func (s *Service) Source() (string, error) {
	state := s.current()
	if state == nil || !state.Fresh() {
		return "", errors.Annotate(ErrUnavailable, "no proof that the configuration here is the newest")
	}
	return s.sourceOf(state.Config())
}

// holds reports whether the configuration applied here, which a quorum holds,
// was made from this document.
func (s *Service) holds(document []byte) bool {
	state := s.current()
	if state == nil {
		return false
	}
	source, err := s.sourceOf(state.Config())
	return err == nil && source == string(document)
}

// sourceOf returns the document that a configuration was translated from.
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
