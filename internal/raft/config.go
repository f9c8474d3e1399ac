package raft

import (
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// Config holds the fixed parameters of one replica.
type Config struct {
	// ID is the identity of the replica, made together with its disk.
	ID string
	// ElectionTimeout is the shortest silence of a leader after which a voter
	// may help to elect another one. The lease of a leader is shorter by
	// MaxClockDrift. The timeout of one replica is drawn from one to two times
	// this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// MaxClockDrift bounds the difference that the monotonic clocks of two
	// replicas accumulate in two election timeouts.
	MaxClockDrift time.Duration
	// MaxInflightEntries bounds the entries sent to one follower and not yet
	// acknowledged, and the entries proposed and not yet committed.
	MaxInflightEntries int
	// MaxMessageBytes bounds the entries of one message, in bytes. A single
	// entry above the bound is sent alone.
	MaxMessageBytes int
	// Seed and ID determine the random election timeouts.
	Seed uint64
}

// minHeartbeatsPerElection is the number of heartbeat rounds that must fit in
// a lease, so that one lost round doesn't end the lease.
const minHeartbeatsPerElection = 3

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("empty replica id")
	case c.HeartbeatInterval <= 0:
		return errors.NotValidf("heartbeat interval %v", c.HeartbeatInterval)
	case c.MaxClockDrift < 0:
		return errors.NotValidf("clock drift %v", c.MaxClockDrift)
	case c.ElectionTimeout-c.MaxClockDrift < minHeartbeatsPerElection*c.HeartbeatInterval:
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
// The first replicas of a cluster start with equal snapshots of the empty state
// that hold the first membership, at index 1 and term 1. A replica that joins
// later starts with no state at all. It then always receives a snapshot, and
// with it the membership, before any entry.
type InitialState struct {
	// HardState may be nil.
	HardState *wirepb.HardState
	// Snapshot may be nil.
	Snapshot *wirepb.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*wirepb.LogEntry
}
