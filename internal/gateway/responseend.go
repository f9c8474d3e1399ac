package gateway

import (
	"io"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/exchange"
)

// An attempt ends by itself responseMargin before the deadline of its request, and a backend
// server stops work at that deadline, so that an end that was read in time can't be due to
// the deadline.

// stopTolerance is by how much earlier than stated a backend server may stop work, which may
// round times to milliseconds. It must be less than responseMargin.
const stopTolerance = 5 * time.Millisecond

// errEndAtDeadline means that the body of a response has ended when the backend server had
// to stop work. It may have ended the response in an orderly way without being done.
var errEndAtDeadline = errors.New("the response ended when its time was over")

// allowedTime returns the time that a backend server is given if left is the time until the
// deadline of a request: as long in whole milliseconds, rounded up.
func allowedTime(left time.Duration) time.Duration {
	return (left + time.Millisecond - 1).Truncate(time.Millisecond)
}

// mayEndAtDeadline reports whether a body whose end was read at now may have ended because the
// backend server has stopped work. A body that is as long as its head says is complete at
// any time.
func (a *attempt) mayEndAtDeadline(framing exchange.Framing, now time.Duration) bool {
	return framing != exchange.FramedByLength && now >= a.sent+a.allowed-stopTolerance
}

// errProcessEnded means that the body of a response has ended with its connection because the
// process of the backend server has ended.
var errProcessEnded = errors.New("the response ended with the process of the backend server")

// processExitTime is how long after the connections of a process that was killed its listener
// may still be open: the kernel closes them one after the other.
const processExitTime = 5 * time.Millisecond

// processEnded reports whether the process of the backend server has ended without an
// announcement. The kernel closes its connections like an orderly end then.
func (a *attempt) processEnded() bool {
	time.Sleep(processExitTime)
	return a.backendCrashed()
}

// checkEnd returns nil if the body of a response is complete, and otherwise why it isn't. err
// is that of reading it: nil or io.EOF at an orderly end. It records the end.
func (a *attempt) checkEnd(response *exchange.Response, err error, now time.Duration) error {
	if err == io.EOF {
		err = nil
	}
	switch {
	case err != nil:
	case !response.Complete():
		err = io.ErrUnexpectedEOF
	case a.mayEndAtDeadline(response.Framing(), now):
		err = errEndAtDeadline
	case response.Framing() == exchange.FramedByConnection && a.processEnded():
		err = errProcessEnded
	}
	a.recordEnd(err, now)
	return err
}
