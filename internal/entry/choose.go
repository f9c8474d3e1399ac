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

// maxPools bounds how many dispatchers one attempt asks.
const maxPools = 4

// tooLargeRetry is when a prompt may fit again: engines restart within minutes.
const tooLargeRetry = time.Minute

// target is a pool and the dispatcher to ask.
type target struct {
	domain     string
	dispatcher peerRef
}

// targets returns the pools that may serve r, best first.
func (s *Server) targets(ctx context.Context, r *request) ([]target, *refusal.Error) {
	q := routing.Request{Service: r.service.Name}
	if r.model != nil {
		q.Model, q.PromptTokens = r.model.model, r.model.promptTokens
		q.Tokens = r.model.promptTokens + r.model.maxTokens
	}
	var out []target
	var code refusal.Code
	err := s.loop.do(ctx, func(c *control) {
		var list []routing.Candidate
		list, code = c.router.Candidates(c.now(), q, func(domain string) bool {
			excluded, _ := r.version.Excluded(domain, "")
			return excluded
		})
		for _, candidate := range list {
			if p, ok := c.peers.Get(candidate.Dispatcher); ok {
				out = append(out, target{candidate.FailureDomain, peerRef{p.ID, p.Address}})
			}
		}
	})
	switch {
	case err != nil:
		return nil, noCapacity("this process is stopping")
	case code == refusal.PromptTooLarge:
		// Engines may be missing for a while, so a later try is not hopeless.
		return nil, refusal.New(code, fmt.Sprintf("no engine or group of engines in service can hold %d tokens", q.Tokens)).After(tooLargeRetry)
	case len(out) == 0:
		return nil, noCapacity("no backend server of service " + r.service.Name + " is in service")
	}
	return out, nil
}

// reserve asks dispatchers in turn for a backend server.
func (s *Server) reserve(ctx context.Context, r *request, attempt uint32, excluded []string) (*reservation, *refusal.Error) {
	list, ref := s.targets(ctx, r)
	if ref != nil {
		return nil, ref
	}
	var last *refusal.Error
	for i := 0; i < len(list) && i < maxPools; i++ {
		m := s.reserveMessage(r, list[i], fmt.Sprintf("%s.%d%c", r.id, attempt, 'a'+i), attempt, excluded)
		res, err := s.reserveAt(ctx, list[i].dispatcher, m)
		if err == nil {
			return res, nil
		}
		if ctx.Err() != nil {
			return nil, cancelled(ctx, false)
		}
		var refused *refusedError
		if !errors.As(err, &refused) {
			s.log.Warn("dispatcher not reached", zap.String("request_id", r.id), observe.Error(err))
			continue
		}
		last = preferred(last, refused.refusal())
		if final(last.Code) {
			return nil, last
		}
		if refused.GetRedirect() != "" {
			list = redirect(list, i, refused.GetRedirect())
		}
	}
	if last == nil {
		last = noCapacity("no dispatcher of service " + r.service.Name + " was reached")
	}
	return nil, last
}

// redirect moves the pool of the named dispatcher behind position i and drops
// the others, which would refuse as well.
func redirect(list []target, i int, dispatcher string) []target {
	at := slices.IndexFunc(list[i+1:], func(t target) bool { return t.dispatcher.id == dispatcher })
	if at < 0 {
		return list[:i+1]
	}
	return append(list[:i+1:i+1], list[i+1+at])
}

// final tells whether another pool would refuse for the same reason.
func final(code refusal.Code) bool { return code == refusal.RequestSuspected }

// preferred keeps the refusal that tells the caller most: the one with the
// earliest useful retry.
func preferred(a, b *refusal.Error) *refusal.Error {
	if a == nil || final(b.Code) || (b.RetryAfter > 0 && b.RetryAfter < a.RetryAfter) {
		return b
	}
	return a
}

func (s *Server) reserveMessage(r *request, t target, id string, attempt uint32, excluded []string) *wirepb.Reserve {
	m := &wirepb.Reserve{
		DispatchId: id, RequestId: r.id, Account: r.account.Name, Service: r.service.Name, FailureDomain: t.domain,
		Urgency: r.urgency.Name, DeadlineMs: uint32(max(r.left().Milliseconds(), 0)), Fingerprint: r.fingerprint[:],
		Idempotent: r.idempotent, ConfigIndex: r.version.Index, Entry: s.settings.ID, EntryIncarnation: s.incarnation,
		Exclude: excluded, Attempt: attempt,
	}
	if r.model != nil {
		m.Model, m.PromptTokens, m.MaxOutputTokens = r.model.model, r.model.promptTokens, r.model.maxTokens
		m.PrefixHashes = r.model.prefix
	}
	s.loop.post(func(c *control) {
		c.router.Sent(c.now(), t.domain, m.GetService(), m.GetPromptTokens())
		if attempt == 0 {
			c.retries.Request(c.now(), m.GetAccount())
		}
	})
	return m
}

// allowRetry takes one retry from the budgets.
func (s *Server) allowRetry(ctx context.Context, r *request) bool {
	ok := false
	err := s.loop.do(ctx, func(c *control) { ok = c.retries.Retry(c.now(), r.account.Name) })
	return err == nil && ok
}

// clearSuspicion tells the other dispatchers that a suspected request has
// completed.
func (s *Server) clearSuspicion(r *request) {
	s.wg.Go(func() { s.broadcast(&wirepb.Suspect{Fingerprint: r.fingerprint[:], Cleared: true}) })
}
