package raft

import (
	"time"
)

// peerState determines how the leader sends entries to a replica.
type peerState string

const (
	// probing means that one message at a time is sent until the position where
	// the logs match is known.
	probing peerState = "probing"
	// replicating means that entries are pipelined within the flow control
	// window.
	replicating peerState = "replicating"
	// installing means that no entries are sent until the replica has installed
	// a snapshot.
	installing peerState = "installing"
)

// windowMessages is the size in bytes of the flow control window, as a multiple
// of Config.MaxMessageBytes. Four messages cover the round trip between regions.
const windowMessages = 4

// progress is the leader's view of the replication to another replica.
type progress struct {
	state peerState
	// match is the last index known to be durable on the replica.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// paused is set while a probing replica has a message outstanding.
	paused bool
	// inflight lists the unacknowledged messages to a replicating replica, and
	// inflightBytes is the total size of their entries.
	inflight      []inflightMessage
	inflightBytes int
	// snapshotIndex and snapshotSent are the index and the send time of the last
	// snapshot sent.
	snapshotIndex uint64
	snapshotSent  time.Duration
	// lastContact is the send time of the last heartbeat round that the replica
	// answered. It is valid if hasContact is set.
	lastContact time.Duration
	hasContact  bool
}

// inflightMessage is an unacknowledged message with entries up to index last.
type inflightMessage struct {
	last  uint64
	bytes int
}

// becomeProbe enters the probing state at index next, or at the first index that
// is not known to match if that is higher.
func (p *progress) becomeProbe(next uint64) {
	p.state, p.paused = probing, false
	p.next = max(next, p.match+1)
	p.inflight, p.inflightBytes = nil, 0
}

// becomeReplicate enters the replicating state after the last index known to
// match.
func (p *progress) becomeReplicate() {
	p.state, p.paused = replicating, false
	p.next = p.match + 1
	p.inflight, p.inflightBytes = nil, 0
}

// recordSent records that a message with entries up to index last was sent.
func (p *progress) recordSent(last uint64, bytes int) {
	if p.state == probing {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, inflightMessage{last, bytes})
	p.inflightBytes += bytes
}

// recordAck records that the replica holds the log up to index durably, and
// reports whether match advanced.
func (p *progress) recordAck(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// inflightEntries returns the number of entries sent and not yet acknowledged.
func (p *progress) inflightEntries() uint64 {
	if p.state != replicating {
		return 0
	}
	return p.next - 1 - p.match
}
