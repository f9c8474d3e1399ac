package dispatch

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// Find returns the dispatch of a request of the account, for resuming its stream.
// One whose start was not reported is found as well, because the report may have
// been lost with the entry process; the backend server refuses what it does not
// run. A dispatch that was interrupted, or whose permit has expired, is found for
// a while after that, because the backend server may keep what it produced or run
// it. Find returns nil
// when there is none, also when the request belongs to another account. Groups
// are left out: their streams cannot be resumed.
func (c *Core) Find(now time.Duration, requestID, account string) *wirepb.FoundDispatch {
	c.advance(now)
	for _, d := range c.dispatches {
		if d.state >= stateGranted && c.resumable(d, requestID, account) {
			return c.found(d)
		}
	}
	for _, e := range c.ended {
		for _, d := range []*dispatch{e.interrupted, e.expired} {
			if d != nil && c.resumable(d, requestID, account) {
				return c.found(d)
			}
		}
	}
	return nil
}

func (c *Core) resumable(d *dispatch, requestID, account string) bool {
	return d.req.RequestId == requestID && d.req.Account == account && len(d.members) == 1 &&
		d.members[0].backend.boot == d.members[0].boot && c.now < d.end
}

func (c *Core) found(d *dispatch) *wirepb.FoundDispatch {
	m := d.members[0]
	return &wirepb.FoundDispatch{
		DispatchId: d.id, Backend: m.backend.id, Address: m.backend.last.Address, Boot: m.boot,
		Service: d.req.Service, FailureDomain: d.req.FailureDomain,
		DeadlineMs: uint32((d.end - c.now) / time.Millisecond),
	}
}
