package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/observe"
)

// Reservations let one prompt use the KV memory of several engines. They are
// leases: if a gateway dies, the memory is released when they expire.
const (
	// leaseShare is the length of a lease as a share of the time after which
	// unused memory must be free.
	leaseShare = 0.75
	// defaultFreeMs is assumed if the settings state no such time.
	defaultFreeMs = 4_000
	// renewalsPerLease is how often a lease is renewed within its length, and
	// renewRetryInterval the time after which a renewal that failed is tried again.
	renewalsPerLease   = 3
	renewRetryInterval = 50 * time.Millisecond
	// reserveTimeout limits one call; releaseAttempts is the maximum number of
	// calls to release a reservation.
	reserveTimeout  = 400 * time.Millisecond
	releaseAttempts = 3
	// maxReserveResponseBytes limits the response to a call.
	maxReserveResponseBytes = 4 << 10
)

var (
	reserved      = metrics.GetOrCreateCounter(`bilberry_gateway_reservations_total`)
	reserveFailed = metrics.GetOrCreateCounter(`bilberry_gateway_reservations_failed_total`)
)

// reservation is KV memory that is reserved at a helper.
type reservation struct {
	id     string
	holder *fleet.BackendServer
	tokens int64
	// heldUntil is the time in ns until which the holder keeps the memory at least: it counts
	// the lease from the arrival of the last call, which was sent before.
	heldUntil atomic.Int64
	// isFailing is set while the last call to renew it has failed.
	isFailing atomic.Bool
}

// leaseTime returns how long a reservation lasts without renewal.
func (g *Gateway) leaseTime() time.Duration {
	free := g.settings.FreeMs
	if free <= 0 {
		free = defaultFreeMs
	}
	return time.Duration(leaseShare * float64(free) * float64(time.Millisecond))
}

// reserve makes all reservations of the attempt, or none.
func (a *attempt) reserve(ctx context.Context) error {
	for i, res := range a.pick.reservations {
		if err := a.g.reserveOne(ctx, res); err != nil {
			reserveFailed.Inc()
			// The call that failed may have been carried out as well.
			a.g.release(a.r.caller.ID, a.pick.reservations[:i+1])
			return errors.Annotatef(err, "reserve %d tokens at %s", res.tokens, res.holder.ID)
		}
		reserved.Inc()
	}
	return nil
}

// renew renews a reservation until ctx ends. A call that fails is made again soon while the
// reservation may be in force: the holder may be silent for a second or so.
func (a *attempt) renew(ctx context.Context, res *reservation) {
	interval := a.g.leaseTime() / renewalsPerLease
	for wait := interval; sleep(ctx, wait); {
		wait = interval
		err := a.g.reserveOne(ctx, res)
		if ctx.Err() != nil {
			return
		}
		res.isFailing.Store(err != nil)
		if err == nil {
			continue
		}
		isHeld := !res.mayHaveExpired(bootclock.Now())
		if isHeld {
			wait = renewRetryInterval
		}
		a.g.log.Warn("renew reservation failed", zap.String("request_id", a.r.caller.ID),
			zap.String("backend_server", res.holder.ID), zap.Bool("held", isHeld), observe.Error(err))
	}
}

// mayHaveExpired reports whether the holder may have freed the memory.
func (res *reservation) mayHaveExpired(now time.Duration) bool {
	return now >= time.Duration(res.heldUntil.Load())-stopTolerance
}

// reserveOne makes or renews one reservation.
func (g *Gateway) reserveOne(ctx context.Context, res *reservation) error {
	lease, sent := g.leaseTime(), bootclock.Now()
	target, body := g.dialect.ReserveCall(res.id, res.tokens, lease)
	if err := g.callHolder(ctx, res, target, body); err != nil {
		return errors.Trace(err)
	}
	res.heldUntil.Store(int64(sent + lease))
	return nil
}

// release releases reservations in the background: the caller's response doesn't
// wait for it. Those that can't be released expire.
func (g *Gateway) release(requestID string, reservations []*reservation) {
	for _, res := range reservations {
		g.wg.Go(func() {
			var err error
			for range releaseAttempts {
				target, body := g.dialect.ReleaseCall(res.id)
				if err = g.callHolder(g.ctx, res, target, body); err == nil {
					return
				}
			}
			g.log.Warn("release reservation failed", zap.String("request_id", requestID),
				zap.String("backend_server", res.holder.ID), observe.Error(err))
		})
	}
}

// callHolder makes one call to the holder of a reservation. It succeeds if the
// call was carried out.
func (g *Gateway) callHolder(ctx context.Context, res *reservation, target string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, path, err := g.send(ctx, res.holder, true, exchange.Request{
		Method: http.MethodPost, Target: target, Host: res.holder.Address,
		Header: g.dialect.ReservationHeader(res.holder.ID), Body: body,
		// The response states no request, so that on a reused connection a late copy
		// of an earlier response would be taken for it.
		NewConnection: true,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Close()
	g.recordNotices(res.holder, path, "", g.dialect.DecodeResponse(response.Status, response.Header))
	if _, err := response.ReadAll(maxReserveResponseBytes); err != nil {
		return errors.Trace(err)
	}
	if response.Status != http.StatusOK {
		return errors.Errorf("%s answered with status %d", res.holder.ID, response.Status)
	}
	return nil
}
