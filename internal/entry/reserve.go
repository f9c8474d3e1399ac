package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// reservation is the grant of a dispatcher, with the functions to report the progress
// of the dispatch to it.
type reservation struct {
	reserve    *wirepb.Reserve
	dispatcher string
	// dispatcherAddress is the wire address of the dispatcher, or empty if that is this
	// process.
	dispatcherAddress string
	grant             *wirepb.Grant
	// permitExpiry is the time at which the permit expires, by the clock of this
	// process.
	permitExpiry time.Time
	// send reports progress without waiting for the dispatcher.
	send func(*wirepb.Progress)
	// flush waits until the dispatcher has processed all reports or, if it is
	// another process, for at most broadcastTimeout.
	flush func()
	// close ends the reporting. The reservation must not be used afterwards.
	close func()
}

// report reports a step of the dispatch at member m. elapsed is the time since the
// start of the dispatch.
func (r *reservation) report(m *wirepb.GrantMember, step wirepb.Progress_Step, elapsed time.Duration, tokens uint64) {
	r.send(&wirepb.Progress{
		DispatchId: r.grant.GetDispatchId(), Service: r.reserve.GetService(),
		FailureDomain: r.reserve.GetFailureDomain(), Step: step,
		ElapsedMs: uint32(elapsed.Milliseconds()), OutputTokens: tokens,
		Backend: m.GetBackend(), Boot: m.GetBoot(),
	})
}

// permitError returns the reason why a grant may no longer be used, or nil: its
// permit has expired or one of its members is excluded from service. A permit that
// has been used for the first member of a group does not expire for the others.
func (s *Server) permitError(r *reservation, used bool) error {
	if !used && !time.Now().Before(r.permitExpiry) {
		return errors.Errorf("permit for backend server %s has expired", r.grant.GetMembers()[0].GetBackend())
	}
	v := s.sync.Current()
	for _, m := range r.grant.GetMembers() {
		if out, reason := v.Excluded(r.reserve.GetFailureDomain(), m.GetBackend()); out {
			return errors.New(reason)
		}
	}
	return nil
}

// refusedError is the Refuse message of a dispatcher as an error.
type refusedError struct {
	*wirepb.Refuse
	dispatcher string
}

func (e *refusedError) Error() string {
	return "reserve at dispatcher " + e.dispatcher + ": " + e.GetCode() + ": " + e.GetMessage()
}

// refusal returns the refusal for the caller.
func (e *refusedError) refusal() *refusal.Error {
	refErr := refusal.New(refusal.Code(e.GetCode()), e.GetMessage())
	return refErr.WithRetryAfter(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
}

// reserveAt requests a reservation from one dispatcher, which may be this process. It
// returns a *refusedError if the dispatcher refuses.
func (s *Server) reserveAt(ctx context.Context, dispatcher peerRef, m *wirepb.Reserve) (*reservation, error) {
	sent := time.Now()
	var res *reservation
	var err error
	if dispatcher.id == s.settings.ID {
		res, err = s.reserveLocal(ctx, m)
	} else {
		res, err = s.reserveRemote(ctx, dispatcher, m)
	}
	if err != nil {
		return nil, err
	}
	g := res.grant
	if len(g.GetMembers()) == 0 {
		res.close()
		return nil, errors.Errorf("reserve at dispatcher %s: grant names no backend server", dispatcher.id)
	}
	// Counted from before the message was sent, the expiry is never later than the
	// one that the dispatcher counts from its receipt.
	res.permitExpiry = sent.Add(time.Duration(g.GetPermitMs()) * time.Millisecond)
	res.reserve, res.dispatcher = m, dispatcher.id
	if dispatcher.id != s.settings.ID {
		res.dispatcherAddress = dispatcher.address
	}
	return res, nil
}

// parseDecision returns the grant in the reply of a dispatcher, or an error.
func parseDecision(env *wirepb.Envelope, dispatcher string) (*wirepb.Grant, error) {
	switch body := env.GetBody().(type) {
	case *wirepb.Envelope_Grant:
		return body.Grant, nil
	case *wirepb.Envelope_Refuse:
		return nil, &refusedError{Refuse: body.Refuse, dispatcher: dispatcher}
	case *wirepb.Envelope_Failure:
		return nil, errors.Errorf("reserve at dispatcher %s: %s", dispatcher, body.Failure.GetMessage())
	default:
		return nil, errors.Errorf("reserve at dispatcher %s: unexpected answer %T", dispatcher, body)
	}
}

// newCancelReserve returns the message that withdraws m.
func newCancelReserve(m *wirepb.Reserve) *wirepb.CancelReserve {
	return &wirepb.CancelReserve{DispatchId: m.GetDispatchId(), Service: m.GetService(), FailureDomain: m.GetFailureDomain()}
}

// reserveLocal requests a reservation from the dispatcher core of this process.
func (s *Server) reserveLocal(ctx context.Context, m *wirepb.Reserve) (*reservation, error) {
	ch := make(chan *wirepb.Envelope, 1)
	if !s.loop.post(func(c *control) { c.reserve(m, ch) }) {
		return nil, errLoopStopped
	}
	withdraw := func() { s.loop.post(func(c *control) { c.cancel(newCancelReserve(m)) }) }
	select {
	case env := <-ch:
		grant, err := parseDecision(env, s.settings.ID)
		if err != nil {
			return nil, err
		}
		return &reservation{
			grant: grant,
			send: func(p *wirepb.Progress) {
				s.loop.post(func(c *control) { c.core.Progress(c.now(), p) })
			},
			flush: func() { _ = s.loop.do(context.Background(), func(*control) {}) },
			close: func() {},
		}, nil
	case <-ctx.Done():
		withdraw()
		return nil, errors.Annotate(context.Cause(ctx), "wait for a grant")
	case <-s.loop.done:
		return nil, errLoopStopped
	}
}

// reserveRemote requests a reservation from another process. It keeps the call open
// for the reports of progress, so that the dispatcher detects the loss of this process.
func (s *Server) reserveRemote(ctx context.Context, dispatcher peerRef, m *wirepb.Reserve) (*reservation, error) {
	callCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	st, err := s.clients.Get(dispatcher.address).Open(callCtx, &wirepb.Envelope{Body: &wirepb.Envelope_Reserve{Reserve: m}})
	if err != nil {
		cancel()
		return nil, errors.Annotatef(err, "reserve at dispatcher %s", dispatcher.id)
	}
	env, err := st.Recv()
	if err != nil {
		cancel()
		_ = st.Close()
		if ctx.Err() != nil {
			return nil, errors.Annotate(context.Cause(ctx), "wait for a grant")
		}
		return nil, errors.Annotatef(err, "reserve at dispatcher %s", dispatcher.id)
	}
	grant, err := parseDecision(env, dispatcher.id)
	if err != nil {
		cancel()
		_ = st.Close()
		return nil, err
	}
	// From here on the call does not end with the context of the request, because the
	// end of the dispatch must be reported even if the caller is gone.
	stop()
	return s.remoteReservation(st, grant, cancel), nil
}

// remoteReservation returns a reservation that reports on stream st.
func (s *Server) remoteReservation(st *wire.Stream, grant *wirepb.Grant, cancel context.CancelFunc) *reservation {
	return &reservation{
		grant: grant,
		send: func(p *wirepb.Progress) {
			if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Progress{Progress: p}}); err != nil {
				s.log.Debug("progress not sent", zap.String("dispatch", p.GetDispatchId()), observe.Error(err))
			}
		},
		flush: func() {
			timer := time.AfterFunc(broadcastTimeout, cancel)
			defer timer.Stop()
			if st.Send(wire.AckEnvelope()) == nil {
				_, _ = st.Recv()
			}
		},
		close: func() {
			_ = st.Close()
			cancel()
		},
	}
}

// serveReserve serves a Reserve call of another entry process: it sends the decision
// and then handles the reports of progress until the dispatch ends.
func (s *Server) serveReserve(ctx context.Context, st *wire.Stream, m *wirepb.Reserve) error {
	ch := make(chan *wirepb.Envelope, 1)
	if !s.loop.post(func(c *control) { c.reserve(m, ch) }) {
		return errLoopStopped
	}
	messages := make(chan *wirepb.Envelope)
	go func() {
		defer close(messages)
		for {
			env, err := st.Recv()
			if err != nil {
				return
			}
			select {
			case messages <- env:
			case <-ctx.Done():
				return
			}
		}
	}()
	select {
	case env := <-ch:
		if err := st.Send(env); err != nil {
			s.loop.post(func(c *control) { c.cancel(newCancelReserve(m)) })
			return nil
		}
	case <-messages:
		// The entry process withdrew the reservation or is gone.
		s.loop.post(func(c *control) { c.cancel(newCancelReserve(m)) })
		return nil
	case <-ctx.Done():
		s.loop.post(func(c *control) { c.cancel(newCancelReserve(m)) })
		return nil
	}
	for env := range messages {
		if p := env.GetProgress(); p != nil {
			s.loop.post(func(c *control) { c.core.Progress(c.now(), p) })
			continue
		}
		if err := s.loop.do(ctx, func(*control) {}); err != nil {
			return nil
		}
		if st.Send(wire.AckEnvelope()) != nil {
			return nil
		}
	}
	return nil
}
