package configsync

import (
	"cmp"
	"context"
	"slices"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// NotePeer records the configuration that the heartbeat of a peer names. Its index
// raises the floor: once a newer configuration is known to exist, an older one is
// never published. If maxPeers peers are recorded, a new one replaces the one with
// the oldest heartbeat.
func (s *Syncer) NotePeer(address string, index, digest uint64) {
	s.raiseFloor(index)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[address]; !ok && len(s.peers) >= maxPeers {
		s.evictOldestPeer()
	}
	s.peers[address] = &peer{configID{index, digest}, s.opts.Now()}
}

func (s *Syncer) evictOldestPeer() {
	oldest := ""
	for address, p := range s.peers {
		if oldest == "" || p.receivedAt.Before(s.peers[oldest].receivedAt) {
			oldest = address
		}
	}
	delete(s.peers, oldest)
}

// ServePull answers the ConfigPull of a peer with the configuration in force, or
// with an Ack if it is not newer than that of the peer.
func (s *Syncer) ServePull(st *wire.Stream, req *wirepb.ConfigPull) error {
	v := s.current.Load()
	if v == nil || v.Index <= req.GetKnownIndex() {
		return st.Send(wire.AckEnvelope())
	}
	return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigSnapshot{ConfigSnapshot: v.Snapshot}})
}

// pullLoop pulls newer configurations from peers until ctx ends.
func (s *Syncer) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		address := s.pullCandidate()
		if address == "" || ctx.Err() != nil {
			continue
		}
		if err := s.pull(ctx, address); err != nil {
			s.recordError(err)
			s.removePeer(address)
		}
	}
}

// pullCandidate returns the address of the peer with the newest configuration. It
// returns "" if no peer has a newer one than the one in force, or if the
// configuration is younger than peerPullAge, so that the state processes deliver
// it. It drops peers whose heartbeat has expired.
func (s *Syncer) pullCandidate() string {
	now := s.opts.Now()
	if s.Age(now) < peerPullAge {
		return ""
	}
	current := s.currentID()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, index := "", current.index
	for address, p := range s.peers {
		switch {
		case now.Sub(p.receivedAt) > peerExpiry:
			delete(s.peers, address)
		case p.index > index || p.index == index && best != "" && address < best:
			best, index = address, p.index
		}
	}
	return best
}

// removePeer drops a peer that did not answer until its next heartbeat, so that the
// next pull asks another one.
func (s *Syncer) removePeer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, address)
}

// pull requests a configuration newer than the one in force from a peer and
// publishes it.
func (s *Syncer) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := wire.NewClient(address, s.opts.Wire)
	defer client.Close()
	env, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_ConfigPull{
		ConfigPull: &wirepb.ConfigPull{KnownIndex: s.currentID().index},
	}})
	if err != nil {
		return errors.Annotatef(err, "pull configuration from %s", address)
	}
	snap := env.GetConfigSnapshot()
	if snap == nil {
		return nil
	}
	s.mu.Lock()
	s.pulls++
	s.mu.Unlock()
	return s.publish(snap, address, false)
}

// Status is the configuration section of the state dump.
type Status struct {
	Index          uint64 `json:"index"`
	Digest         uint64 `json:"digest"`
	ManifestNumber uint64 `json:"manifest_number"`
	// Floor is the highest index received in a configuration or a heartbeat.
	Floor uint64 `json:"floor"`
	// AgeMs is the time since the last confirmation, or -1 before the first one.
	AgeMs          int64        `json:"age_ms"`
	StateProcess   string       `json:"state_process"`
	StateConnected bool         `json:"state_connected"`
	StateIndex     uint64       `json:"state_index"`
	StateFresh     bool         `json:"state_fresh"`
	Peers          []PeerStatus `json:"peers"`
	// Pulls is the number of configurations received from peers.
	Pulls         uint64 `json:"pulls"`
	RejectedIndex uint64 `json:"rejected_index,omitempty"`
	LastError     string `json:"last_error,omitempty"`
}

// PeerStatus describes a peer as of its last heartbeat, received AgeMs ago.
type PeerStatus struct {
	Address string `json:"address"`
	Index   uint64 `json:"index"`
	Digest  uint64 `json:"digest"`
	AgeMs   int64  `json:"age_ms"`
}

// Status returns the current status for the state dump.
func (s *Syncer) Status() Status {
	now := s.opts.Now()
	out := Status{AgeMs: -1}
	if age := s.Age(now); age != NeverFresh {
		out.AgeMs = age.Milliseconds()
	}
	if v := s.current.Load(); v != nil {
		out.Index, out.Digest, out.ManifestNumber = v.Index, v.Digest, v.Number
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Floor, out.Pulls, out.RejectedIndex, out.LastError = s.floor, s.pulls, s.rejected.index, s.lastError
	out.StateProcess, out.StateConnected, out.StateIndex, out.StateFresh = s.state.address, s.state.connected, s.state.index, s.state.fresh
	for address, p := range s.peers {
		out.Peers = append(out.Peers, PeerStatus{address, p.index, p.digest, now.Sub(p.receivedAt).Milliseconds()})
	}
	slices.SortFunc(out.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
