package statemachine

import (
	"github.com/juju/errors"

	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// snapshotFormat is the version of StateSnapshot that this build writes.
const snapshotFormat = 1

// Snapshot returns the whole state. Equal states give equal messages. The
// message shares records with the machine, which never changes a record, so
// it may be encoded while the machine goes on.
func (m *Machine) Snapshot() *wirepb.StateSnapshot {
	s := &wirepb.StateSnapshot{
		Format: snapshotFormat, ClockMs: m.clockMs, AppliedIndex: m.applied,
		ConfigIndex: m.configIndex, ManifestNumber: m.manifestNumber, Manifest: m.manifest,
		Orders: m.sortedOrders(), NextFence: m.nextFence, VoidClaimIds: m.voidIDs.ids(),
		Fences: m.sortedFences(),
		Claims: make([]*wirepb.ClaimRecord, 0, m.claimOrder.Len()),
	}
	for e := m.claimOrder.Front(); e != nil; e = e.Next() {
		s.Claims = append(s.Claims, e.Value.(*wirepb.ClaimRecord))
	}
	for _, id := range m.proposals.ids() {
		r, _ := m.proposals.get(id)
		s.Proposals = append(s.Proposals, &wirepb.ProposalRecord{Id: id, Result: r})
	}
	return s
}

// Restore replaces the state by that of s. After an error the machine is
// unchanged.
func (m *Machine) Restore(s *wirepb.StateSnapshot) error {
	if s.GetFormat() != snapshotFormat {
		return errors.Errorf("restore state: snapshot has format %d, expected %d", s.GetFormat(), snapshotFormat)
	}
	n := NewWithLimits(m.limits)
	n.clockMs, n.applied, n.nextFence = s.GetClockMs(), s.GetAppliedIndex(), s.GetNextFence()
	n.configIndex, n.manifestNumber, n.manifest = s.GetConfigIndex(), s.GetManifestNumber(), s.GetManifest()
	if len(n.manifest) > 0 {
		hash, err := manifest.ContentHash(n.manifest)
		if err != nil {
			return errors.Annotate(err, "restore state: manifest")
		}
		n.manifestSHA256 = hash.SHA256
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

func (m *Machine) restoreClaims(records []*wirepb.ClaimRecord) error {
	last := uint64(0)
	for _, rec := range records {
		k := claimKey{rec.GetClaim().GetAccount(), rec.GetClaim().GetKey()}
		if _, ok := m.claims[k]; ok {
			return errors.Errorf("two claims of account %s for key %s", k.account, k.key)
		}
		if rec.GetClaimedAtMs() < last || rec.GetClaimedAtMs() > m.clockMs {
			return errors.Errorf("claim of account %s for key %s has time %d ms out of order", k.account, k.key, rec.GetClaimedAtMs())
		}
		last = rec.GetClaimedAtMs()
		m.claims[k] = m.claimOrder.PushBack(rec)
		m.bodyBytes += len(rec.GetOutcome().GetBody())
	}
	return nil
}
