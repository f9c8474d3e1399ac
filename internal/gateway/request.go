package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/config"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/suspicion"
)

const (
	// Callers of a stream disconnect after a gap of the longest of these:
	// minAbandonTime, abandonObjectiveFactor times the objective,
	// abandonGapFactor times the objective for the gap between two events.
	minAbandonTime         = 2 * time.Second
	abandonObjectiveFactor = 4
	abandonGapFactor       = 8
	// maxConfirmationAge is the maximum time since the configuration was confirmed
	// for a final refusal of what the configuration doesn't allow.
	maxConfirmationAge = 2 * time.Second
	// defaultMaxBodyBytes limits a body if the manifest states no limit.
	defaultMaxBodyBytes = 4 << 20
)

var requestSeconds = metrics.GetOrCreateHistogram(`bilberry_gateway_request_seconds`)

// request is one request of a caller.
type request struct {
	http    *http.Request
	w       http.ResponseWriter
	caller  CallerRequest
	version *config.Version
	route   *manifest.Route
	account *manifest.RoutingAccount
	service *manifest.RoutedService
	body    []byte
	// bodyHeld is what is reserved for the body, nil before it is read.
	bodyHeld *membudget.Reservation
	arrived  time.Duration
	// deadline is when the final response is due.
	deadline time.Duration
	// configAge is the time since the configuration was confirmed, at the
	// admission.
	configAge time.Duration

	// waited is the time for which the choice of a backend server was
	// deferred.
	waited   time.Duration
	attempts int
	// ran is set once an attempt may have run.
	ran bool
	// features is what the request has in common with others that may crash backend
	// servers.
	features suspicion.Request
	// tried holds the ids of the backend servers that were tried, backend the
	// id of the last one that responded without stating that it has not run
	// the request.
	tried   []string
	outcome string
	status  int
	backend string
	// contentType is that of the response whose head the caller got.
	contentType string
	// events is the number of events sent to the caller, firstMs the time in ms
	// from the arrival to the first event.
	events  int
	firstMs float64
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Duration
}

// abandonMs returns how long the caller waits for the first event, in ms.
func (r *request) abandonMs() float64 {
	limit := ms(r.deadline - r.arrived)
	if r.route.Repeat != manifest.RepeatStream {
		return limit
	}
	return min(limit, max(ms(minAbandonTime), abandonObjectiveFactor*r.route.ObjectiveMs, abandonGapFactor*r.route.GapObjectiveMs))
}

// refusal is a final response by the gateway itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// leavesBody is set if the body wasn't read to its end, and won't be.
	leavesBody bool
}

func (r *refusal) Error() string { return r.reason }

// refuse returns a refusal without a Retry-After.
func refuse(status int, format string, args ...any) *refusal {
	return &refusal{status: status, reason: fmt.Sprintf(format, args...)}
}

// unavailable returns a refusal of a request that hasn't run and won't run.
func unavailable(retryAfter time.Duration, format string, args ...any) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r := &request{http: hr, w: w, arrived: bootclock.Now()}
	g.open.Add(1)
	defer g.open.Add(-1)
	defer g.finish(r)
	defer r.releaseBody()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := g.admit(r); err != nil {
		g.writeError(r, err)
		return
	}
	ctx, cancel := context.WithTimeout(hr.Context(), r.deadline-bootclock.Now())
	defer cancel()
	defer context.AfterFunc(g.serving, cancel)()
	if err := g.run(ctx, r); err != nil {
		g.writeError(r, err)
	}
}

// finish logs the end of a request and updates the metrics.
func (g *Gateway) finish(r *request) {
	took := bootclock.Now() - r.arrived
	requestSeconds.Update(took.Seconds())
	outcomes(r.status, r.outcome).Inc()
	routeName, account := "", ""
	if r.route != nil {
		routeName = r.route.Name
	}
	if r.account != nil {
		account = r.account.Name
	}
	g.log.Info("request ended", zap.String("request_id", r.caller.ID), zap.String("route", routeName),
		zap.String("account", account), zap.Int("status", r.status), zap.String("outcome", r.outcome),
		zap.Int("attempts", r.attempts), zap.Float64("waited_ms", ms(r.waited)), zap.String("backend_server", r.backend), zap.Int("events", r.events),
		zap.Float64("first_event_ms", r.firstMs), zap.Float64("took_ms", ms(took)))
}

// outcomes returns the counter of requests with a status and a kind of outcome,
// which is the part of outcome before the first colon.
func outcomes(status int, outcome string) *metrics.Counter {
	kind, _, _ := strings.Cut(outcome, ":")
	return metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_gateway_requests_total{status="%d",outcome=%q}`, status, kind))
}

// admit reads a request and decides whether it may be served. Its errors are
// final responses.
func (g *Gateway) admit(r *request) error {
	caller, err := g.dialect.DecodeCaller(r.http)
	if err != nil {
		return refuse(http.StatusBadRequest, "bad request: %v", err)
	}
	r.caller = caller
	g.waitForConfig(r)
	r.version = g.sync.Current()
	r.configAge = g.sync.Age(bootclock.Time())
	if r.version == nil || r.version.Manifest == nil || r.version.Manifest.Routing == nil {
		return unavailable(retryAfterStartup, "no configuration is known yet")
	}
	if err := g.route(r); err != nil {
		return err
	}
	r.deadline = r.arrived + milliseconds(r.route.TimeoutMs)
	if caller.WaitFor > 0 {
		r.deadline = min(r.deadline, r.arrived+caller.WaitFor)
	}
	if err := g.checkStop(r); err != nil {
		return err
	}
	return g.readBody(r)
}

const (
	// startupPeriod is the time after the start in which the process may still
	// be without a configuration, maxStartupWait how long a request waits for
	// it. An election and a subscription take about two seconds after a power
	// failure.
	startupPeriod  = 5 * time.Second
	maxStartupWait = 2500 * time.Millisecond
	// maxStartupWaitShare limits the wait to a share of the time that the
	// caller waits.
	maxStartupWaitShare = 0.4
	// startupPollInterval is the interval of the readiness checks meanwhile.
	startupPollInterval = 20 * time.Millisecond
)

// waitForConfig lets a request wait for the configuration shortly after the
// start of the process: it is about to arrive, and callers that are refused now
// would come back later than that.
func (g *Gateway) waitForConfig(r *request) {
	until := min(r.arrived+maxStartupWait, g.started+startupPeriod)
	if r.caller.WaitFor > 0 {
		until = min(until, r.arrived+time.Duration(maxStartupWaitShare*float64(r.caller.WaitFor)))
	}
	for g.notReadyReason() != "" && !g.stopping.Load() && bootclock.Now() < until {
		if !sleep(r.http.Context(), startupPollInterval) {
			return
		}
	}
}

// retryAfterStartup is the Retry-After of a process that has no configuration
// yet: an election and a subscription take about a second.
const retryAfterStartup = 1200 * time.Millisecond

// retryAfterPartition is the Retry-After of a process that can't reach the
// state processes: partitions last some seconds, of which the key lease has
// covered the first ones.
const retryAfterPartition = 2500 * time.Millisecond

// route finds the route, the client account and the service of a request.
func (g *Gateway) route(r *request) error {
	routing := r.version.Manifest.Routing
	path, _, _ := strings.Cut(r.http.RequestURI, "?")
	isConfirmed := r.configAge <= maxConfirmationAge
	r.route = routing.Match(hostOnly(r.http.Host), path)
	if r.route == nil {
		if !isConfirmed {
			return unavailable(retryAfterStartup, "no route matches in a configuration that is %s old", r.configAge)
		}
		return refuse(http.StatusNotFound, "no route matches")
	}
	lease := g.settings.keyLease()
	needsKey := len(routing.Accounts) > 0 && !r.route.Anonymous
	if lease > 0 && r.configAge > lease && (needsKey || r.caller.Key != "") {
		return unavailable(retryAfterPartition, "keys cannot be checked: the configuration is %s old", r.configAge)
	}
	if r.caller.Key != "" {
		r.account = routing.AccountByKey(r.caller.Key)
	}
	if r.account == nil && needsKey {
		if !isConfirmed {
			return unavailable(retryAfterStartup, "the key is unknown in a configuration that is %s old", r.configAge)
		}
		return refuse(http.StatusUnauthorized, "unknown key")
	}
	r.service = g.drawService(routing, r.route)
	if r.service == nil {
		return unavailable(retryAfterStartup, "the route has no service")
	}
	return nil
}

// drawService draws one of the services of a route at random by weight. It
// returns nil if there is none.
func (g *Gateway) drawService(routing *manifest.Routing, route *manifest.Route) *manifest.RoutedService {
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	remaining := g.random() * sum
	for _, t := range route.Targets {
		if remaining -= t.Weight; remaining < 0 && t.Weight > 0 {
			return routing.Service(t.Service)
		}
	}
	return nil
}

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// writeError sends the final response of a request that wasn't served. A response
// that has begun is aborted by a panic with http.ErrAbortHandler, so that it
// doesn't look complete.
func (g *Gateway) writeError(r *request, err error) {
	if r.events > 0 || r.status != 0 {
		r.outcome = "broken off: " + err.Error()
		r.abort()
	}
	var f *refusal
	if !errors.As(err, &f) {
		f = refuse(http.StatusBadGateway, "%v", err)
	}
	r.status, r.outcome = f.status, "refused: "+f.reason
	h := r.w.Header()
	h.Set("Content-Type", "application/json")
	g.dialect.EncodeRefusal(h, r.caller.ID)
	run := "unknown"
	switch f.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound,
		http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		run = "no"
	}
	if f.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", fmt.Sprintf("%.3f", max(f.retryAfter, 10*time.Millisecond).Seconds()))
	}
	if f.leavesBody {
		h.Set("Connection", "close")
	}
	r.limitUnreadBody(f)
	r.w.WriteHeader(f.status)
	if _, werr := fmt.Fprintf(r.w, "{\"error\":{\"message\":%q,\"run\":%q}}\n", f.reason, run); werr != nil {
		g.log.Debug("write refusal failed", zap.String("request_id", r.caller.ID), observe.Error(werr))
	}
}

// connKey is the key of the connection of a caller in the context of a request.
type connKey struct{}

// withConn is the ConnContext function of the server for callers.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abort breaks off a response that has begun, by a panic with http.ErrAbortHandler. To a caller
// of HTTP/1.0, which gets no chunks, only a reset shows that the response isn't whole.
func (r *request) abort() {
	if c, ok := r.http.Context().Value(connKey{}).(interface{ SetLinger(int) error }); ok && !r.http.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}
