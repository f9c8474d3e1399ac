package control

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/config"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wirepb"
)

var (
	overtakenOrders = metrics.GetOrCreateCounter(`bilberry_control_orders_overtaken_total`)
	abandonedOrders = metrics.GetOrCreateCounter(`bilberry_control_orders_abandoned_total`)
)

// SetDomain puts a failure domain in or out of service. Errors are *InvalidError,
// ErrUnavailable or ErrUnknownOutcome.
//
// An operator's order has no number of its own, and after a second without a response it
// is sent again to another process. A copy that was held up, in a process that didn't run
// or on its way to the leader, must not undo an order that the operator gave later:
//
//   - The order takes the number after the one in force, which is read first, and keeps
//     it. If another order was applied in between, a copy is outdated, whenever it is
//     applied. So that this holds for an order that changes nothing as well, it takes a
//     number too.
//   - After the number was read, the caller must still wait. A copy that reads the number
//     of a later order began before its caller gave up, and is abandoned here. The age of
//     a call counts from the start of its connection, so that the connections of
//     operators should serve one call each.
//
// An order that another one has overtaken begins again, so that orders in progress at the
// same time don't refuse each other.
func (s *Service) SetDomain(ctx context.Context, domain string, out bool) error {
	c := s.newCall(ctx)
	target := config.Target{Kind: config.TargetFailureDomain, Name: domain}
	log := s.log.With(zap.String("failure_domain", domain), zap.Bool("out", out))
	for {
		inForce, err := s.orderNumber(ctx, target)
		if err != nil {
			return errors.Trace(err)
		}
		if err := c.mustWait(bootclock.Now()); err != nil {
			abandonedOrders.Inc()
			log.Info("order abandoned", zap.Uint64("number_in_force", inForce), observe.Error(err))
			return errors.Annotatef(ErrUnavailable, "%v", err)
		}
		result, err := s.propose(ctx, &wirepb.Command{Body: &wirepb.Command_Order{
			Order: &wirepb.Order{Kind: target.Kind, Target: target.Name, Out: out, Number: inForce + 1},
		}})
		if err != nil {
			return errors.Trace(err)
		}
		switch result.GetCode() {
		case "":
			log.Info("order for failure domain accepted", zap.Uint64("number", result.GetNumberInForce()),
				zap.Uint64("index", result.GetIndex()))
			return nil
		case statemachine.CodeOrderOutdated, statemachine.CodeOrderConflict:
			overtakenOrders.Inc()
			log.Info("order overtaken by another one", zap.Uint64("number", inForce+1),
				zap.Uint64("number_in_force", result.GetNumberInForce()))
		default:
			return &InvalidError{result.GetMessage()}
		}
	}
}

// orderNumber returns the number of the order in force for a target, or 0 if there is
// none. It is not older than the call.
func (s *Service) orderNumber(ctx context.Context, target config.Target) (uint64, error) {
	state := s.currentState()
	if state == nil {
		return 0, errors.Annotate(ErrUnavailable, "the replica is starting")
	}
	newest, code, reason := state.NewestConfig(ctx)
	if code != "" {
		return 0, errors.Annotatef(ErrUnavailable, "read the order in force: %s: %s", code, reason)
	}
	for _, o := range newest.GetOrders() {
		if o.GetKind() == target.Kind && o.GetTarget() == target.Name {
			return o.GetNumber(), nil
		}
	}
	return 0, nil
}
