package stateserver

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// clockInterval is the minimum time between two commands that advance the state
// machine's clock.
const clockInterval = time.Second

// leaderClock measures the time that a leader has not yet proposed to the log.
// Time without a leader is not counted, so that the clock of the state machine
// runs slow rather than fast and no claim expires early.
type leaderClock struct {
	// running is set while this replica leads with a valid lease.
	running bool
	// last is the time up to which the elapsed time was proposed.
	last time.Duration
}

// advanceClock proposes the elapsed time. Time that can't be proposed is part of
// the next command.
func (l *loop) advanceClock(now time.Duration) {
	c := &l.clock
	if !l.node.LeaseValid(now) {
		c.running = false
		return
	}
	if !c.running {
		c.running, c.last = true, now
		return
	}
	elapsed := (now - c.last).Truncate(time.Millisecond)
	if elapsed < clockInterval {
		return
	}
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_AdvanceClock{
		AdvanceClock: &wirepb.AdvanceClock{ElapsedMs: uint64(elapsed.Milliseconds())},
	}})
	if err != nil {
		return
	}
	if _, _, err := l.node.Propose(data, now); err == nil {
		c.last += elapsed
	}
}
