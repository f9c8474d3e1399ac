package raft

import (
	"time"
)

// peerState is the way the leader sends entries to one replica.
type peerState string

const (
	// probing sends one message at a time until the logs are known to match.
	probing peerState = "probing"
	// replicating sends without waiting, within the flow control window.
	replicating peerState = "replicating"
	// installing waits until the replica has installed a snapshot.
	installing peerState = "installing"
)

// windowMessages is the flow control window in bytes, as a multiple of the
// largest message. Four messages cover the round trip between regions.
const windowMessages = 4

// progress is what the leader knows of one other replica.
type progress struct {
	state peerState
	// match is the last index known to be durable on the replica.
	match uint64
	// next is the next index to send.
	next uint64
	// paused is set on a probing replica that has a message outstanding.
	paused bool
	// inflight lists the unacknowledged messages of a replicating replica.
	inflight      []inflightMessage
	inflightBytes int
	// snapshotIndex and snapshotSent describe the last snapshot sent.
	snapshotIndex uint64
	snapshotSent  time.Duration
	// contact is the send time of the last heartbeat round that the replica
	// answered, if answered is set.
	contact  time.Duration
	answered bool
}

type inflightMessage struct {
	last  uint64
	bytes int
}

func (p *progress) probe(next uint64) {
	p.state, p.paused = probing, false
	p.next = max(next, p.match+1)
	p.inflight, p.inflightBytes = nil, 0
}

func (p *progress) replicate() {
	p.state, p.paused = replicating, false
	p.next = p.match + 1
	p.inflight, p.inflightBytes = nil, 0
}

// sent records a message with entries up to last.
func (p *progress) sent(last uint64, bytes int) {
	if p.state == probing {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, inflightMessage{last, bytes})
	p.inflightBytes += bytes
}

// acknowledged records that the replica holds the log up to index, and reports
// whether that is news.
func (p *progress) acknowledged(index uint64) bool {
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

// inflightEntries is the number of entries sent and not yet acknowledged.
func (p *progress) inflightEntries() uint64 {
	if p.state != replicating {
		return 0
	}
	return p.next - 1 - p.match
}
