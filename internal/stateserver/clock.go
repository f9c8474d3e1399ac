package stateserver

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// clockInterval is the time between two steps of the state machine's clock.
const clockInterval = time.Second

// leaderClock measures the time that a leader has not yet put into the log.
// Time between two leaders is not counted, so that the clock of the state
// machine is slow rather than fast and no claim expires early.
type leaderClock struct {
	running bool
	last    time.Duration
}

// advanceClock proposes the elapsed time. What cannot be proposed is part of
// the next step.
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
