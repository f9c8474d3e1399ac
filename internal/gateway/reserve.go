package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/observe"
)

// Reservations let one prompt use the memory of several engines. They are leases:
// a gateway that dies gives the memory back when they expire.
const (
	// holdShare is the share of the time after which unused memory must be free
	// that a lease lasts.
	holdShare = 0.75
	// defaultFreeMs is assumed where the settings state no such time.
	defaultFreeMs = 4_000
	// renewals is how often a lease is renewed within its time.
	renewals = 3
	// reserveTimeout bounds one call; releaseTries calls are made to give back.
	reserveTimeout = 400 * time.Millisecond
	releaseTries   = 3
	// maxReserveAnswer bounds the answer to a call.
	maxReserveAnswer = 4 << 10
)

var (
	reserved      = metrics.GetOrCreateCounter(`bilberry_gateway_reservations_total`)
	reserveFailed = metrics.GetOrCreateCounter(`bilberry_gateway_reservations_failed_total`)
)

// ticket is memory that is set aside at a helper.
type ticket struct {
	id     string
	holder *fleet.BackendServer
	tokens int64
}

// holdTime is how long a reservation lasts without renewal.
func (g *Gateway) holdTime() time.Duration {
	free := g.settings.FreeMs
	if free <= 0 {
		free = defaultFreeMs
	}
	return time.Duration(holdShare * float64(free) * float64(time.Millisecond))
}

// reserve sets the memory of all tickets aside, or none.
func (a *attempt) reserve(ctx context.Context) error {
	for i, t := range a.pick.tickets {
		if err := a.g.reserveOne(ctx, t); err != nil {
			reserveFailed.Inc()
			// The one that failed may have been carried out as well.
			a.g.release(a.r.caller.ID, a.pick.tickets[:i+1])
			return errors.Annotatef(err, "reserve %d tokens at %s", t.tokens, t.holder.ID)
		}
		reserved.Inc()
	}
	return nil
}

// renew keeps the reservations until ctx ends.
func (a *attempt) renew(ctx context.Context) {
	for sleep(ctx, a.g.holdTime()/renewals) {
		for _, t := range a.pick.tickets {
			if err := a.g.reserveOne(ctx, t); err != nil && ctx.Err() == nil {
				a.g.log.Warn("reservation not renewed", zap.String("request_id", a.r.caller.ID),
					zap.String("backend_server", t.holder.ID), observe.Error(err))
			}
		}
	}
}

func (g *Gateway) reserveOne(ctx context.Context, t ticket) error {
	target, body := g.dialect.ReserveCall(t.id, t.tokens, g.holdTime())
	return g.order(ctx, t, target, body)
}

// release gives memory back, in the background: the caller's answer does not wait
// for it. What is not given back expires.
func (g *Gateway) release(requestID string, tickets []ticket) {
	for _, t := range tickets {
		g.wg.Go(func() {
			var err error
			for range releaseTries {
				target, body := g.dialect.ReleaseCall(t.id)
				if err = g.order(g.ctx, t, target, body); err == nil {
					return
				}
			}
			g.log.Warn("reservation not released", zap.String("request_id", requestID),
				zap.String("backend_server", t.holder.ID), observe.Error(err))
		})
	}
}

// order makes one call to a holder. It succeeds when the call was carried out.
func (g *Gateway) order(ctx context.Context, t ticket, target string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	answer, err := g.exchanges.Do(ctx, exchange.Request{
		Address: t.holder.Address, Method: http.MethodPost, Target: target, Host: t.holder.Address,
		Header: g.dialect.OrderHeader(t.holder.ID), Body: body,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Close()
	if _, err := answer.ReadAll(maxReserveAnswer); err != nil {
		return errors.Trace(err)
	}
	if answer.Status != http.StatusOK {
		return errors.Errorf("%s answered with status %d", t.holder.ID, answer.Status)
	}
	return nil
}
