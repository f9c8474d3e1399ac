package statemachine

import (
	"bytes"
	"fmt"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// Claim returns the state of the claim of a key, or nil if the key is not claimed.
func (m *Machine) Claim(account, key string) *wirepb.ClaimState {
	rec := m.claims.byKey[newClaimKey(account, key)]
	if rec == nil {
		return nil
	}
	return claimState(rec, "")
}

// claimState returns the state of a claim for the claimant with the given claim
// id. Held is the right to dispatch, which ends when an outcome is recorded.
func claimState(rec *claimRecord, claimID string) *wirepb.ClaimState {
	id := rec.id()
	return &wirepb.ClaimState{
		Held:    rec.outcome == nil && id == claimID,
		Outcome: rec.outcomeMessage(rec.outcome), ClaimId: id, BodyHash: rec.bodyHash[:], Entry: rec.entry.Value(),
	}
}

// applyClaim grants the key to at most one claim id. A resent claim that was
// granted is recognised by its claim id, and one that was refused by its proposal
// id: a refused claim must not be granted when it is resent, because its claimant
// no longer waits for it.
func (m *Machine) applyClaim(index uint64, proposal string, c *wirepb.Claim) *wirepb.Result {
	if r := checkClaim(c); r != nil {
		r.Index = m.configIndex
		return r
	}
	k := newClaimKey(c.GetAccount(), c.GetKey())
	rec := m.claims.byKey[k]
	if rec != nil && rec.id() == c.GetClaimId() && rec.hasBodyHash(c.GetBodyHash()) {
		return &wirepb.Result{Index: rec.index, Claim: claimState(rec, c.GetClaimId())}
	}
	if _, void := m.voidIDs.get(c.GetClaimId()); void {
		return &wirepb.Result{Index: index, Code: CodeClaimVoid, Message: "the claim was abandoned"}
	}
	if r, ok := m.proposals.get(proposal); ok {
		return r
	}
	if rec == nil && len(m.claims.byKey) < m.limits.Claims {
		return m.grantClaim(index, k, c)
	}
	r := m.refuseClaim(rec, c)
	r.Index = index
	// Results with an outcome are not recorded, so that its body is not kept a
	// second time.
	if r.GetClaim().GetOutcome() == nil {
		m.proposals.add(proposal, r)
	}
	return r
}

// grantClaim records a claim. Its key must not be claimed.
func (m *Machine) grantClaim(index uint64, k claimKey, c *wirepb.Claim) *wirepb.Result {
	_, exists := m.claims.byKey[k]
	invariant.Must(!exists, "statemachine_one_claim_per_key",
		"account %s key %s granted to %s while it is claimed", c.GetAccount(), c.GetKey(), c.GetClaimId())
	rec := newClaimRecord(c, m.clockMs, index)
	m.claims.add(k, rec)
	return &wirepb.Result{Index: index, Claim: claimState(rec, c.GetClaimId())}
}

// refuseClaim returns the result of a claim that is not granted: an error code, or
// the recorded outcome of the same request. rec is the claim of the key, or nil if
// the limit on claims is reached.
func (m *Machine) refuseClaim(rec *claimRecord, c *wirepb.Claim) *wirepb.Result {
	switch {
	case rec == nil:
		return &wirepb.Result{Code: CodeClaimsFull, Message: fmt.Sprintf("%d claims are kept", len(m.claims.byKey))}
	case !rec.hasBodyHash(c.GetBodyHash()):
		return &wirepb.Result{Code: CodeKeyReused, Message: "the key was used for another request"}
	case rec.outcome.kindOrUnspecified() == wirepb.ClaimOutcome_KIND_DONE:
		return &wirepb.Result{Claim: claimState(rec, c.GetClaimId())}
	}
	return &wirepb.Result{
		Code: CodeInProgress, Message: "the request is running or its outcome was lost",
		Claim: claimState(rec, c.GetClaimId()),
	}
}

// applyOutcome records the outcome of a claim. Only the claim id that holds the
// key may record one. A recorded outcome is final, except that an unknown one may
// later become done.
func (m *Machine) applyOutcome(index uint64, o *wirepb.ClaimOutcome) *wirepb.Result {
	k := newClaimKey(o.GetAccount(), o.GetKey())
	rec := m.claims.byKey[k]
	held := rec != nil && rec.id() == o.GetClaimId()
	if o.GetKind() == wirepb.ClaimOutcome_KIND_NOT_RUN {
		return m.abandon(index, k, rec, held, o)
	}
	if !held {
		return &wirepb.Result{Index: index, Code: CodeClaimNotHeld, Message: "another claim id holds the key, or none"}
	}
	old := rec.outcome
	if old != nil && old.kind != wirepb.ClaimOutcome_KIND_UNKNOWN {
		return resolveRepeatedOutcome(index, old, o)
	}
	rec.outcome = m.newStoredOutcome(o)
	m.bodyBytes += rec.outcome.bodyBytes() - old.bodyBytes()
	return &wirepb.Result{Index: index, Already: old.kindOrUnspecified() == rec.outcome.kind}
}

// resolveRepeatedOutcome returns the result of an outcome for a claim that already
// has a final one: success if both are equal, and otherwise a conflict.
func resolveRepeatedOutcome(index uint64, old *claimOutcome, o *wirepb.ClaimOutcome) *wirepb.Result {
	same := old.kind == o.GetKind() && old.status == o.GetStatus() &&
		old.contentType.Value() == o.GetContentType() && (old.bodyDropped || bytes.Equal(old.body, o.GetBody()))
	if !same {
		return &wirepb.Result{Index: index, Code: CodeOutcomeConflict, Message: "another outcome is recorded"}
	}
	return &wirepb.Result{Index: index, Already: true}
}

// newStoredOutcome returns the outcome to store. Its body is dropped if it is
// above the limit for one body or would exceed the limit for all bodies.
func (m *Machine) newStoredOutcome(o *wirepb.ClaimOutcome) *claimOutcome {
	stored := newClaimOutcome(o)
	size := len(o.GetBody())
	if size > maxOutcomeBodyBytes || m.bodyBytes+size > m.limits.BodyBytes {
		stored.body, stored.bodyDropped = nil, true
	}
	return stored
}

// abandon applies the outcome that the request was not run. It frees the key if
// the claim id holds it. The claim id becomes void, unless another outcome is
// recorded for it: its claim may be committed after this command and must not be
// granted then.
func (m *Machine) abandon(index uint64, k claimKey, rec *claimRecord, held bool, o *wirepb.ClaimOutcome) *wirepb.Result {
	if held && rec.outcome != nil {
		return &wirepb.Result{Index: index, Code: CodeOutcomeConflict, Message: "another outcome is recorded"}
	}
	if held {
		m.dropClaim(k)
	}
	m.voidIDs.add(o.GetClaimId(), struct{}{})
	return &wirepb.Result{Index: index, Already: !held}
}

// dropClaim removes a claim and its outcome.
func (m *Machine) dropClaim(k claimKey) {
	m.bodyBytes -= m.claims.byKey[k].outcome.bodyBytes()
	m.claims.remove(k)
}

// expireClaims drops the claims whose retention time has passed.
func (m *Machine) expireClaims() {
	for rec := m.claims.first; rec != nil; rec = m.claims.first {
		if m.clockMs-rec.claimedAtMs < RetentionMs {
			return
		}
		m.dropClaim(newClaimKey(rec.account.Value(), rec.key()))
	}
}
