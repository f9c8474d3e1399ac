package dispatch

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// Find returns the dispatch of a request of the client account, for resuming its
// stream, or nil if there is none or the request belongs to another account.
//
// A dispatch whose start was not reported is found as well, because the report may
// have been lost with the entry process; the backend server refuses to resume a
// request that it doesn't run. A dispatch that was interrupted or whose permit has
// expired is found for about endedRetention after that, because the backend server may
// still run the request or keep its output. Groups are left out: their streams
// cannot be resumed.
func (c *Core) Find(now time.Duration, requestID, account string) *wirepb.FoundDispatch {
	c.advance(now)
	for _, d := range c.dispatches {
		if d.state >= stateGranted && c.isResumable(d, requestID, account) {
			return c.found(d)
		}
	}
	for _, e := range c.ended {
		for _, d := range []*dispatch{e.interrupted, e.expired} {
			if d != nil && c.isResumable(d, requestID, account) {
				return c.found(d)
			}
		}
	}
	return nil
}

// isResumable reports whether a dispatch belongs to the request and the account, runs
// on a single backend server that has not restarted since the grant, and is within its
// deadline.
func (c *Core) isResumable(d *dispatch, requestID, account string) bool {
	return d.req.RequestId == requestID && d.req.Account == account && len(d.members) == 1 &&
		d.members[0].backend.boot == d.members[0].boot && c.now < d.deadline
}

// found returns the description of a dispatch that Find returns.
func (c *Core) found(d *dispatch) *wirepb.FoundDispatch {
	m := d.members[0]
	return &wirepb.FoundDispatch{
		DispatchId: d.id, Backend: m.backend.id, Address: m.backend.last.Address, Boot: m.boot,
		Service: d.req.Service, FailureDomain: d.req.FailureDomain,
		DeadlineMs: uint32((d.deadline - c.now) / time.Millisecond),
	}
}
