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

// reservation is a grant and the way to report on it.
type reservation struct {
	reserve    *wirepb.Reserve
	dispatcher string
	grant      *wirepb.Grant
	// expires is when the permit ends, by the clock of this process.
	expires time.Time
	// send reports progress; it does not wait.
	send func(*wirepb.Progress)
	// confirm waits until the dispatcher has taken all reports.
	confirm func()
	close   func()
}

// report sends one step on member m with the time since the dispatch.
func (r *reservation) report(m *wirepb.GrantMember, step wirepb.Progress_Step, elapsed time.Duration, tokens uint64) {
	r.send(&wirepb.Progress{
		DispatchId: r.grant.GetDispatchId(), Service: r.reserve.GetService(),
		FailureDomain: r.reserve.GetFailureDomain(), Step: step,
		ElapsedMs: uint32(elapsed.Milliseconds()), OutputTokens: tokens,
		Backend: m.GetBackend(), Boot: m.GetBoot(),
	})
}

// permitError says why a grant may not be used any more. A permit that has been
// used for the first member of a group does not expire for the others.
func (s *Server) permitError(r *reservation, used bool) error {
	if !used && !time.Now().Before(r.expires) {
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

// refusedError is a Refuse of a dispatcher.
type refusedError struct {
	*wirepb.Refuse
	dispatcher string
}

func (e *refusedError) Error() string {
	return "reserve at dispatcher " + e.dispatcher + ": " + e.GetCode() + ": " + e.GetMessage()
}

// refusal returns what the caller is told.
func (e *refusedError) refusal() *refusal.Error {
	ref := refusal.New(refusal.Code(e.GetCode()), e.GetMessage())
	return ref.After(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
}

// reserveAt asks one dispatcher, which may be this process.
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
	// Reserve was sent before it was received, so this end is never later than
	// the one the dispatcher counts with.
	res.expires = sent.Add(time.Duration(g.GetPermitMs()) * time.Millisecond)
	res.reserve, res.dispatcher = m, dispatcher.id
	return res, nil
}

// readDecision turns the answer of a dispatcher into a grant or an error.
func readDecision(env *wirepb.Envelope, dispatcher string) (*wirepb.Grant, error) {
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

func cancelOf(m *wirepb.Reserve) *wirepb.CancelReserve {
	return &wirepb.CancelReserve{DispatchId: m.GetDispatchId(), Service: m.GetService(), FailureDomain: m.GetFailureDomain()}
}

func (s *Server) reserveLocal(ctx context.Context, m *wirepb.Reserve) (*reservation, error) {
	ch := make(chan *wirepb.Envelope, 1)
	if !s.loop.post(func(c *control) { c.reserve(m, ch) }) {
		return nil, errStopped
	}
	withdraw := func() { s.loop.post(func(c *control) { c.cancel(cancelOf(m)) }) }
	select {
	case env := <-ch:
		grant, err := readDecision(env, s.settings.ID)
		if err != nil {
			return nil, err
		}
		return &reservation{
			grant: grant,
			send: func(p *wirepb.Progress) {
				s.loop.post(func(c *control) { c.core.Progress(c.now(), p) })
			},
			confirm: func() { _ = s.loop.do(context.Background(), func(*control) {}) },
			close:   func() {},
		}, nil
	case <-ctx.Done():
		withdraw()
		return nil, errors.Annotate(context.Cause(ctx), "wait for a grant")
	case <-s.loop.done:
		return nil, errStopped
	}
}

// reserveRemote keeps the call open for the progress of the dispatch, so that
// the dispatcher notices when this process is gone.
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
	grant, err := readDecision(env, dispatcher.id)
	if err != nil {
		cancel()
		_ = st.Close()
		return nil, err
	}
	// From here on the call outlives the request's context: the end of the
	// dispatch must be reported even when the caller is gone.
	stop()
	return s.remoteReservation(st, grant, cancel), nil
}

func (s *Server) remoteReservation(st *wire.Stream, grant *wirepb.Grant, cancel context.CancelFunc) *reservation {
	return &reservation{
		grant: grant,
		send: func(p *wirepb.Progress) {
			if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Progress{Progress: p}}); err != nil {
				s.log.Debug("progress not sent", zap.String("dispatch", p.GetDispatchId()), observe.Error(err))
			}
		},
		confirm: func() {
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

// serveReserve answers a Reserve of another entry process and takes its
// progress until the dispatch ends.
func (s *Server) serveReserve(ctx context.Context, st *wire.Stream, m *wirepb.Reserve) error {
	ch := make(chan *wirepb.Envelope, 1)
	if !s.loop.post(func(c *control) { c.reserve(m, ch) }) {
		return errStopped
	}
	msgs := make(chan *wirepb.Envelope)
	go func() {
		defer close(msgs)
		for {
			env, err := st.Recv()
			if err != nil {
				return
			}
			select {
			case msgs <- env:
			case <-ctx.Done():
				return
			}
		}
	}()
	select {
	case env := <-ch:
		if err := st.Send(env); err != nil {
			s.loop.post(func(c *control) { c.cancel(cancelOf(m)) })
			return nil
		}
	case <-msgs:
		// The entry process withdrew the request or is gone.
		s.loop.post(func(c *control) { c.cancel(cancelOf(m)) })
		return nil
	case <-ctx.Done():
		s.loop.post(func(c *control) { c.cancel(cancelOf(m)) })
		return nil
	}
	for env := range msgs {
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
