package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/routing"
	"bilberryhub/internal/wirepb"
)

// maxDispatchersPerAttempt bounds the dispatchers at which one attempt tries to
// reserve a backend server.
const maxDispatchersPerAttempt = 4

// promptTooLargeRetryAfter is the delay after which a prompt may fit again, because
// engines restart within minutes.
const promptTooLargeRetryAfter = time.Minute

// target is the pool of a failure domain and its dispatcher.
type target struct {
	domain     string
	dispatcher peerRef
}

// targets returns the pools that may serve r in order of preference.
func (s *Server) targets(ctx context.Context, r *request) ([]target, *refusal.Error) {
	q := routing.Request{Service: r.service.Name}
	if r.model != nil {
		q.Model, q.PromptTokens = r.model.model, r.model.promptTokens
		q.Tokens = r.model.promptTokens + r.model.maxTokens
	}
	var out []target
	var code refusal.Code
	var untilReturn time.Duration
	isExcluded := func(domain string) bool {
		excluded, _ := r.version.Excluded(domain, "")
		return excluded
	}
	err := s.loop.do(ctx, func(c *control) {
		var candidates []routing.Candidate
		if candidates, code = c.router.Candidates(c.now(), q, isExcluded); len(candidates) == 0 {
			untilReturn, _ = c.router.UntilFirstReturn(c.now(), r.service.Name, isExcluded)
		}
		for _, candidate := range candidates {
			if p, ok := c.peers.Get(candidate.Dispatcher); ok {
				out = append(out, target{candidate.FailureDomain, peerRef{p.ID, p.Address}})
			}
		}
	})
	switch {
	case err != nil:
		return nil, noCapacity("this process is stopping")
	case code == refusal.PromptTooLarge:
		// Engines may be absent temporarily, so a later retry may succeed.
		return nil, refusal.New(code, fmt.Sprintf("no engine or group of engines in service can hold %d tokens", q.Tokens)).WithRetryAfter(promptTooLargeRetryAfter)
	case len(out) == 0:
		refErr := noCapacity("no backend server of service " + r.service.Name + " is in service")
		if untilReturn > 0 {
			refErr = refErr.WithRetryAfter(untilReturn)
		}
		return nil, refErr
	}
	return out, nil
}

// reserve requests a backend server from one dispatcher after the other until one
// grants it.
func (s *Server) reserve(ctx context.Context, r *request, attempt uint32, excluded []string) (*reservation, *refusal.Error) {
	candidates, refErr := s.targets(ctx, r)
	if refErr != nil {
		return nil, refErr
	}
	var lastRefusal *refusal.Error
	for i := 0; i < len(candidates) && i < maxDispatchersPerAttempt; i++ {
		m := s.newReserve(r, candidates[i], fmt.Sprintf("%s.%d%c", r.id, attempt, 'a'+i), attempt, excluded)
		res, err := s.reserveAt(ctx, candidates[i].dispatcher, m)
		if err == nil {
			return res, nil
		}
		if ctx.Err() != nil {
			return nil, cancelError(ctx, false)
		}
		var refused *refusedError
		if !errors.As(err, &refused) {
			s.log.Warn("dispatcher not reached", zap.String("request_id", r.id), observe.Error(err))
			continue
		}
		lastRefusal = preferRefusal(lastRefusal, refused.refusal())
		if isFinal(lastRefusal.Code) {
			return nil, lastRefusal
		}
		if refused.GetRedirect() != "" {
			candidates = redirect(candidates, i, refused.GetRedirect())
		}
	}
	if lastRefusal == nil {
		lastRefusal = noCapacity("no dispatcher of service " + r.service.Name + " was reached")
	}
	return nil, lastRefusal
}

// redirect returns candidates up to position i, followed by the pool of the given
// dispatcher if it is among the later ones. The other pools are dropped, because
// they would refuse as well.
func redirect(candidates []target, i int, dispatcher string) []target {
	offset := slices.IndexFunc(candidates[i+1:], func(t target) bool { return t.dispatcher.id == dispatcher })
	if offset < 0 {
		return candidates[:i+1]
	}
	return append(candidates[:i+1:i+1], candidates[i+1+offset])
}

// isFinal reports whether all other pools would refuse for the same reason.
func isFinal(code refusal.Code) bool { return code == refusal.RequestSuspected }

// preferRefusal returns the more useful of two refusals for the caller: a final one,
// or otherwise the one with the shorter retry delay.
func preferRefusal(a, b *refusal.Error) *refusal.Error {
	if a == nil || isFinal(b.Code) || (b.RetryAfter > 0 && b.RetryAfter < a.RetryAfter) {
		return b
	}
	return a
}

// newReserve returns the Reserve message for r at pool t. It also records the
// request in the routing table and, for a first attempt, in the retry budget.
func (s *Server) newReserve(r *request, t target, id string, attempt uint32, excluded []string) *wirepb.Reserve {
	m := &wirepb.Reserve{
		DispatchId: id, RequestId: r.id, Account: r.account.Name, Service: r.service.Name, FailureDomain: t.domain,
		Urgency: r.urgency.Name, DeadlineMs: uint32(max(r.timeLeft().Milliseconds(), 0)), Fingerprint: r.fingerprint[:],
		Idempotent: r.idempotent, ConfigIndex: r.version.Index, Entry: s.settings.ID, EntryIncarnation: s.incarnation,
		Exclude: excluded, Attempt: attempt,
	}
	if r.model != nil {
		m.Model, m.PromptTokens, m.MaxOutputTokens = r.model.model, r.model.promptTokens, r.model.maxTokens
		m.PrefixHashes = r.model.prefix
	}
	s.loop.post(func(c *control) {
		c.router.RecordSent(c.now(), t.domain, m.GetService(), m.GetPromptTokens())
		if attempt == 0 {
			c.retries.Request(c.now(), m.GetAccount())
		}
	})
	return m
}

// allowRetry takes one retry from the budgets and reports whether there was one.
func (s *Server) allowRetry(ctx context.Context, r *request) bool {
	ok := false
	err := s.loop.do(ctx, func(c *control) { ok = c.retries.Retry(c.now(), r.account.Name) })
	return err == nil && ok
}

// clearSuspicion broadcasts that a suspected request has completed. It does not
// wait for the broadcast.
func (s *Server) clearSuspicion(r *request) {
	s.wg.Go(func() { s.broadcastSuspect(&wirepb.Suspect{Fingerprint: r.fingerprint[:], Cleared: true}) })
}
