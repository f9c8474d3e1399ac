package dispatch

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// Find returns the started dispatch of a request of the account, for resuming
// its stream. A dispatch that was interrupted is found for a while after its
// end, because the backend server may keep what it produced. Find returns nil
// when there is none, also when the request belongs to another account. Groups
// are left out: their streams cannot be resumed.
func (c *Core) Find(now time.Duration, requestID, account string) *wirepb.FoundDispatch {
	c.advance(now)
	for _, d := range c.dispatches {
		if d.state >= stateStarted && c.resumable(d, requestID, account) {
			return c.found(d)
		}
	}
	for _, e := range c.ended {
		if e.interrupted != nil && c.resumable(e.interrupted, requestID, account) {
			return c.found(e.interrupted)
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
