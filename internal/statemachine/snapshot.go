package statemachine

import (
	"encoding/json"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// snapshotFormat is the version of StateSnapshot that this build writes.
const snapshotFormat = 1

// Snapshot is the complete state at one log index. It may be encoded while the
// machine applies further commands. It shares immutable data with the machine, and
// the claims are converted to messages one at a time: the messages of a million
// claims at once would take more memory than the claims themselves.
type Snapshot struct {
	// withoutClaims is the state except for the claims.
	withoutClaims *wirepb.StateSnapshot
	claims        []snapshotClaim
}

// snapshotClaim is a claim with its outcome at the time of the snapshot.
type snapshotClaim struct {
	rec     *claimRecord
	outcome *claimOutcome
}

// Snapshot returns a snapshot of the complete state.
func (m *Machine) Snapshot() *Snapshot {
	s := &wirepb.StateSnapshot{
		Format: snapshotFormat, ClockMs: m.clockMs, AppliedIndex: m.applied,
		ConfigIndex: m.configIndex, ManifestNumber: m.manifestNumber, Manifest: m.manifest,
		Orders: m.sortedOrders(), NextFence: m.nextFence, VoidClaimIds: m.voidIDs.ids(),
		Fences: m.sortedFences(),
	}
	for _, id := range m.proposals.ids() {
		r, _ := m.proposals.get(id)
		s.Proposals = append(s.Proposals, &wirepb.ProposalRecord{Id: id, Result: r})
	}
	claims := make([]snapshotClaim, 0, len(m.claims.byKey))
	for rec := m.claims.first; rec != nil; rec = rec.next {
		claims = append(claims, snapshotClaim{rec, rec.outcome})
	}
	return &Snapshot{withoutClaims: s, claims: claims}
}

// Encode returns the state as an encoded StateSnapshot. Equal states give equal
// bytes. The claims are appended one at a time to the encoding of the other
// fields, which is valid because the elements of a repeated protobuf field may
// follow the rest of the message. If a claim can't be encoded, the error names its
// account and key.
func (s *Snapshot) Encode() ([]byte, error) {
	options := proto.MarshalOptions{Deterministic: true}
	data, err := options.Marshal(s.withoutClaims)
	if err != nil {
		return nil, errors.Annotate(err, "encode state")
	}
	chunk := &wirepb.StateSnapshot{Claims: make([]*wirepb.ClaimRecord, 1)}
	for _, c := range s.claims {
		chunk.Claims[0] = c.rec.message(c.outcome)
		if data, err = options.MarshalAppend(data, chunk); err != nil {
			return nil, errors.Annotatef(err, "encode claim of account %s for key %s", c.rec.account.Value(), c.rec.key())
		}
	}
	return data, nil
}

// Restore replaces the state with that of s. It returns an error if s has another
// format version or is inconsistent; the machine is then unchanged.
func (m *Machine) Restore(s *wirepb.StateSnapshot) error {
	if s.GetFormat() != snapshotFormat {
		return errors.Errorf("restore state: snapshot has format %d, expected %d", s.GetFormat(), snapshotFormat)
	}
	n := NewWithLimits(m.limits)
	n.clockMs, n.applied, n.nextFence = s.GetClockMs(), s.GetAppliedIndex(), s.GetNextFence()
	n.configIndex, n.manifestNumber, n.manifest = s.GetConfigIndex(), s.GetManifestNumber(), s.GetManifest()
	if len(n.manifest) > 0 && !json.Valid(n.manifest) {
		return errors.Errorf("restore state: manifest %d is not valid JSON", n.manifestNumber)
	}
	for _, o := range s.GetOrders() {
		n.orders[orderKey{o.GetKind(), o.GetTarget()}] = o
	}
	if err := n.restoreClaims(s.GetClaims()); err != nil {
		return errors.Annotate(err, "restore state")
	}
	for _, f := range s.GetFences() {
		if f.GetNumber() >= n.nextFence {
			return errors.Errorf("restore state: fencing number %d of %s is not below the next one, %d",
				f.GetNumber(), f.GetResource(), n.nextFence)
		}
		n.fences[f.GetResource()] = f
	}
	for _, p := range s.GetProposals() {
		n.proposals.add(p.GetId(), p.GetResult())
	}
	for _, id := range s.GetVoidClaimIds() {
		n.voidIDs.add(id, struct{}{})
	}
	n.rebuildConfig()
	// A snapshot of an older state must never replace a newer one.
	checkSuccession(m.config, n.config)
	*m = *n
	return nil
}

// restoreClaims adds the claims of a snapshot to an empty machine.
func (m *Machine) restoreClaims(records []*wirepb.ClaimRecord) error {
	lastClaimedAtMs := uint64(0)
	for _, rec := range records {
		c := rec.GetClaim()
		k := newClaimKey(c.GetAccount(), c.GetKey())
		if _, ok := m.claims.byKey[k]; ok {
			return errors.Errorf("two claims of account %s for key %s", c.GetAccount(), c.GetKey())
		}
		if rec.GetClaimedAtMs() < lastClaimedAtMs || rec.GetClaimedAtMs() > m.clockMs {
			return errors.Errorf("claim of account %s for key %s has time %d ms out of order", c.GetAccount(), c.GetKey(), rec.GetClaimedAtMs())
		}
		if r := checkClaim(c); r != nil {
			return errors.Errorf("claim of account %s for key %s: %s", c.GetAccount(), c.GetKey(), r.GetMessage())
		}
		lastClaimedAtMs = rec.GetClaimedAtMs()
		stored := newClaimRecord(c, rec.GetClaimedAtMs(), rec.GetIndex())
		stored.outcome = newClaimOutcome(rec.GetOutcome())
		m.claims.add(k, stored)
		m.bodyBytes += stored.outcome.bodyBytes()
	}
	return nil
}
