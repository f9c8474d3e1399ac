package raft

import (
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// Config holds the fixed parameters of one replica.
type Config struct {
	// ID is the identity of the replica, created together with its disk.
	ID string
	// ElectionTimeout is the minimum election timeout: a voter doesn't vote for
	// another replica until this long after the last message of a leader. The
	// lease of a leader is shorter by MaxClockDrift. Each replica draws its
	// election timeouts at random from one to two times this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// MaxClockDrift bounds the difference that the monotonic clocks of two
	// replicas accumulate in two election timeouts.
	MaxClockDrift time.Duration
	// MaxInflightEntries limits the number of entries sent to one follower and
	// not yet acknowledged, and of entries proposed and not yet committed.
	MaxInflightEntries int
	// MaxMessageBytes limits the total size of the entries of one message, in
	// bytes. A single entry above the limit is sent alone.
	MaxMessageBytes int
	// Seed seeds the random election timeouts, together with ID.
	Seed uint64
}

// minHeartbeatsPerLease is the minimum number of heartbeat rounds in a lease, so
// that the loss of one round doesn't end the lease.
const minHeartbeatsPerLease = 3

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("empty replica id")
	case c.HeartbeatInterval <= 0:
		return errors.NotValidf("heartbeat interval %v", c.HeartbeatInterval)
	case c.MaxClockDrift < 0:
		return errors.NotValidf("clock drift %v", c.MaxClockDrift)
	case c.ElectionTimeout-c.MaxClockDrift < minHeartbeatsPerLease*c.HeartbeatInterval:
		return errors.NotValidf("election timeout %v with clock drift %v and heartbeat interval %v",
			c.ElectionTimeout, c.MaxClockDrift, c.HeartbeatInterval)
	case c.MaxInflightEntries <= 0:
		return errors.NotValidf("limit of %d entries in flight", c.MaxInflightEntries)
	case c.MaxMessageBytes <= 0:
		return errors.NotValidf("limit of %d bytes per message", c.MaxMessageBytes)
	}
	return nil
}

// InitialState is the durable state that a replica starts from.
//
// The initial replicas of a cluster start with equal snapshots of the empty
// state, at index 1 and term 1, that hold the initial membership. A replica that
// joins later starts without any state. It always receives a snapshot, which
// includes the membership, before any entry.
type InitialState struct {
	// HardState may be nil.
	HardState *wirepb.HardState
	// Snapshot may be nil.
	Snapshot *wirepb.Snapshot
	// Entries are the log entries that follow the snapshot without a gap.
	Entries []*wirepb.LogEntry
}
