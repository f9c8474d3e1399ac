package gateway

import (
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
)

// Framing marks where the body of a response ends; it doesn't say that the body is whole. A
// backend server may end a response in an orderly way because it has to stop work, and the
// kernel ends the connections of a process that was killed like that.

// stopTolerance is by how much earlier than stated a backend server may stop work or free
// memory, as it may round times to milliseconds. It must be less than responseMargin.
const stopTolerance = 5 * time.Millisecond

// processExitTime is how long after the connections of a process that was killed its listener
// may still be open: the kernel closes them one after the other, on a processor that others use too.
const processExitTime = 50 * time.Millisecond

// Ends that look orderly and don't count.
var (
	// errEndAtDeadline: the backend server had to stop work, and may not have been done.
	errEndAtDeadline = errors.New("the response ended when its time was over")
	// errMemoryLost: memory that was reserved for the request may be gone. The backend server
	// cuts the request off then.
	errMemoryLost = errors.New("the response ended when reserved memory may have been lost")
	// errProcessEnded: the process of the backend server has ended.
	errProcessEnded = errors.New("the response ended with the process of the backend server")
)

// allowedTime returns the time that a backend server is given if left is the time until the
// deadline of a request: as long in whole milliseconds, rounded up. An attempt ends by itself
// responseMargin before that deadline, so that an end that was read in time can't be due to it.
func allowedTime(left time.Duration) time.Duration {
	return (left + time.Millisecond - 1).Truncate(time.Millisecond)
}

// checkEnd returns nil if the body of a response is complete, and otherwise why it isn't. err
// is that of reading it: nil or io.EOF at an orderly end. It records the end.
func (a *attempt) checkEnd(response *exchange.Response, err error, now time.Duration) error {
	switch {
	case err != nil && err != io.EOF:
	case !response.Complete():
		err = io.ErrUnexpectedEOF
	default:
		err = a.endError(response.Framing(), now)
		if err == nil {
			err = response.EndError()
		}
	}
	a.recordEnd(err, now)
	return err
}

// endError returns why a body with an orderly end, read at now, may not be whole, or nil. A
// body that is as long as its head says is whole.
func (a *attempt) endError(framing exchange.Framing, now time.Duration) error {
	switch {
	case framing == exchange.FramedByLength:
		return nil
	case now >= a.sent+a.allowed-stopTolerance:
		return errEndAtDeadline
	case a.mayLackMemory(now):
		return errMemoryLost
	case framing == exchange.FramedByConnection && a.processEnded():
		return errProcessEnded
	}
	return nil
}

// mayLackMemory reports whether memory that is reserved for the request may be gone: its lease
// may be over, its holder doesn't respond, or has ended.
func (a *attempt) mayLackMemory(now time.Duration) bool {
	return slices.ContainsFunc(a.pick.reservations, func(res *reservation) bool {
		return res.mayHaveExpired(now) || res.isFailing.Load() || a.g.hasCrashed(res.holder)
	})
}

// processEnded reports whether the process of the backend server has ended in the middle of
// the response. A refused connection is no proof if the backend server leaves, as it may close
// its listener before its last response has ended, or if the path of this gateway seems lost.
// It counts then only where another backend server can continue, so that nothing is lost.
func (a *attempt) processEnded() bool {
	time.Sleep(processExitTime)
	refuses, isSure := a.g.checkRefusal(a.g.ctx, a.pick.backend)
	if isSure && !a.g.leaves(a.pick.backend) {
		return refuses
	}
	return refuses && a.r.route.Repeat == manifest.RepeatStream && a.r.route.Idempotent()
}

// leaves reports whether a backend server leaves or has left, according to what it announces
// or says in responses.
func (g *Gateway) leaves(b *fleet.BackendServer) bool {
	known := g.members.backend(b.ID)
	return known == nil || known.Key() != b.Key() || !known.Usable() || errors.Is(g.noticeError(b.Key()), errLeaving)
}

// hasCrashed reports whether the process of a backend server has ended without an
// announcement: its VM refuses connections.
func (g *Gateway) hasCrashed(b *fleet.BackendServer) bool {
	known := g.members.backend(b.ID)
	if known == nil || known.Key() != b.Key() || !known.Usable() {
		return false
	}
	return g.refusesConnections(g.ctx, b)
}
