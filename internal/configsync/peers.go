package configsync

import (
	"cmp"
	"context"
	"slices"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// NotePeer records what a peer's heartbeat says about its configuration. The
// index raises the floor: once a newer configuration is known to exist, an
// older one is never published.
func (s *Syncer) NotePeer(address string, index, digest uint64) {
	s.raiseFloor(index)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[address]; !ok && len(s.peers) >= maxPeers {
		s.forgetOldestPeer()
	}
	s.peers[address] = &peer{known{index, digest}, s.opts.Now()}
}

func (s *Syncer) forgetOldestPeer() {
	oldest := ""
	for address, p := range s.peers {
		if oldest == "" || p.at.Before(s.peers[oldest].at) {
			oldest = address
		}
	}
	delete(s.peers, oldest)
}

// ServePull answers a peer's ConfigPull with the configuration in force, or
// with an Ack when it is not newer than the peer's.
func (s *Syncer) ServePull(st *wire.Stream, req *wirepb.ConfigPull) error {
	v := s.current.Load()
	if v == nil || v.Index <= req.GetKnownIndex() {
		return st.Send(wire.AckEnvelope())
	}
	return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigSnapshot{ConfigSnapshot: v.Snapshot}})
}

func (s *Syncer) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		address := s.peerToAsk()
		if address == "" || ctx.Err() != nil {
			continue
		}
		if err := s.pull(ctx, address); err != nil {
			s.noteError(err)
			s.forgetPeer(address)
		}
	}
}

// peerToAsk returns the peer with the newest configuration, if it is newer
// than the one in force and the state processes do not deliver it.
func (s *Syncer) peerToAsk() string {
	now := s.opts.Now()
	if s.Age(now) < peerAfter {
		return ""
	}
	have := s.currentKnown()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, index := "", have.index
	for address, p := range s.peers {
		switch {
		case now.Sub(p.at) > peerMemory:
			delete(s.peers, address)
		case p.index > index || p.index == index && best != "" && address < best:
			best, index = address, p.index
		}
	}
	return best
}

// forgetPeer leaves a peer that did not answer until its next heartbeat, so
// that the next pull asks another one.
func (s *Syncer) forgetPeer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, address)
}

func (s *Syncer) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := wire.NewClient(address, s.opts.Wire)
	defer client.Close()
	env, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_ConfigPull{
		ConfigPull: &wirepb.ConfigPull{KnownIndex: s.currentKnown().index},
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
	return s.offer(snap, address, false)
}

// Status is the part of the state dump about the configuration.
type Status struct {
	Index          uint64 `json:"index"`
	Digest         uint64 `json:"digest"`
	ManifestNumber uint64 `json:"manifest_number"`
	// Floor is the highest index that this process has heard of.
	Floor uint64 `json:"floor"`
	// AgeMs is -1 before the first confirmation.
	AgeMs          int64        `json:"age_ms"`
	StateProcess   string       `json:"state_process"`
	StateConnected bool         `json:"state_connected"`
	StateIndex     uint64       `json:"state_index"`
	StateFresh     bool         `json:"state_fresh"`
	Peers          []PeerStatus `json:"peers"`
	// Pulls counts the configurations received from peers.
	Pulls         uint64 `json:"pulls"`
	RejectedIndex uint64 `json:"rejected_index,omitempty"`
	LastError     string `json:"last_error,omitempty"`
}

// PeerStatus is what a peer's last heartbeat said.
type PeerStatus struct {
	Address string `json:"address"`
	Index   uint64 `json:"index"`
	Digest  uint64 `json:"digest"`
	AgeMs   int64  `json:"age_ms"`
}

// Status returns the state for the state dump.
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
		out.Peers = append(out.Peers, PeerStatus{address, p.index, p.digest, now.Sub(p.at).Milliseconds()})
	}
	slices.SortFunc(out.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
