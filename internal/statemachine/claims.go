package statemachine

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

type claimKey struct{ account, key string }

// Claim returns the state of a claim, or nil when the key is free.
func (m *Machine) Claim(account, key string) *wirepb.ClaimState {
	rec := m.record(claimKey{account, key})
	if rec == nil {
		return nil
	}
	return claimState(rec, "")
}

func (m *Machine) record(k claimKey) *wirepb.ClaimRecord {
	if e, ok := m.claims[k]; ok {
		return e.Value.(*wirepb.ClaimRecord)
	}
	return nil
}

// claimState describes rec to the claimant with the given claim id. Held is
// the right to dispatch, which ends when an outcome is recorded.
func claimState(rec *wirepb.ClaimRecord, claimID string) *wirepb.ClaimState {
	c := rec.GetClaim()
	return &wirepb.ClaimState{
		Held:    rec.GetOutcome() == nil && c.GetClaimId() == claimID,
		Outcome: rec.GetOutcome(), ClaimId: c.GetClaimId(), BodyHash: c.GetBodyHash(), Entry: c.GetEntry(),
	}
}

// applyClaim grants the key to at most one claim id. A resent claim is
// recognised by its claim id, and its refusals by the proposal id: a claim
// that was refused must not be granted when it is resent, because its claimant
// has given up.
func (m *Machine) applyClaim(index uint64, proposal string, c *wirepb.Claim) *wirepb.Result {
	if r := checkClaim(c); r != nil {
		r.Index = m.configIndex
		return r
	}
	k := claimKey{c.GetAccount(), c.GetKey()}
	rec := m.record(k)
	if rec != nil && rec.GetClaim().GetClaimId() == c.GetClaimId() && bytes.Equal(rec.GetClaim().GetBodyHash(), c.GetBodyHash()) {
		return &wirepb.Result{Index: rec.GetIndex(), Claim: claimState(rec, c.GetClaimId())}
	}
	if _, void := m.voidIDs.get(c.GetClaimId()); void {
		return &wirepb.Result{Index: index, Code: CodeClaimVoid, Message: "the claim was abandoned"}
	}
	if r, ok := m.proposals.get(proposal); ok {
		return r
	}
	if rec == nil && len(m.claims) < m.limits.Claims {
		return m.grantClaim(index, k, c)
	}
	r := m.refuseClaim(rec, c)
	r.Index = index
	// Bodies of outcomes are not kept a second time.
	if r.GetClaim().GetOutcome() == nil {
		m.proposals.add(proposal, r)
	}
	return r
}

func (m *Machine) grantClaim(index uint64, k claimKey, c *wirepb.Claim) *wirepb.Result {
	_, exists := m.claims[k]
	invariant.Must(!exists, "statemachine_one_claim_per_key",
		"account %s key %s granted to %s while it is claimed", k.account, k.key, c.GetClaimId())
	rec := &wirepb.ClaimRecord{Claim: c, ClaimedAtMs: m.clockMs, Index: index}
	m.claims[k] = m.claimOrder.PushBack(rec)
	return &wirepb.Result{Index: index, Claim: claimState(rec, c.GetClaimId())}
}

func (m *Machine) refuseClaim(rec *wirepb.ClaimRecord, c *wirepb.Claim) *wirepb.Result {
	switch {
	case rec == nil:
		return &wirepb.Result{Code: CodeClaimsFull, Message: fmt.Sprintf("%d claims are kept", len(m.claims))}
	case !bytes.Equal(rec.GetClaim().GetBodyHash(), c.GetBodyHash()):
		return &wirepb.Result{Code: CodeKeyReused, Message: "the key was used for another request"}
	case rec.GetOutcome().GetKind() == wirepb.ClaimOutcome_KIND_DONE:
		return &wirepb.Result{Claim: claimState(rec, c.GetClaimId())}
	}
	return &wirepb.Result{
		Code: CodeInProgress, Message: "the request is running or its outcome was lost",
		Claim: claimState(rec, c.GetClaimId()),
	}
}

// applyOutcome records what became of a claim. Only the claim id that holds
// the key may do so. A recorded outcome stays, except that an unknown one may
// become done.
func (m *Machine) applyOutcome(index uint64, o *wirepb.ClaimOutcome) *wirepb.Result {
	k := claimKey{o.GetAccount(), o.GetKey()}
	rec := m.record(k)
	held := rec != nil && rec.GetClaim().GetClaimId() == o.GetClaimId()
	if o.GetKind() == wirepb.ClaimOutcome_KIND_NOT_RUN {
		return m.abandon(index, k, rec, held, o)
	}
	if !held {
		return &wirepb.Result{Index: index, Code: CodeClaimNotHeld, Message: "another claim id holds the key, or none"}
	}
	old := rec.GetOutcome()
	if old != nil && old.GetKind() != wirepb.ClaimOutcome_KIND_UNKNOWN {
		return repeatedOutcome(index, old, o)
	}
	stored := m.storable(o)
	next := &wirepb.ClaimRecord{Claim: rec.GetClaim(), Outcome: stored, ClaimedAtMs: rec.GetClaimedAtMs(), Index: rec.GetIndex()}
	m.claims[k].Value = next
	m.bodyBytes += len(stored.GetBody()) - len(old.GetBody())
	return &wirepb.Result{Index: index, Already: old.GetKind() == stored.GetKind()}
}

func repeatedOutcome(index uint64, old, o *wirepb.ClaimOutcome) *wirepb.Result {
	same := old.GetKind() == o.GetKind() && old.GetStatus() == o.GetStatus() &&
		old.GetContentType() == o.GetContentType() && (old.GetBodyDropped() || bytes.Equal(old.GetBody(), o.GetBody()))
	if !same {
		return &wirepb.Result{Index: index, Code: CodeOutcomeConflict, Message: "another outcome is recorded"}
	}
	return &wirepb.Result{Index: index, Already: true}
}

// storable returns o, without its body when there is no room for it.
func (m *Machine) storable(o *wirepb.ClaimOutcome) *wirepb.ClaimOutcome {
	size := len(o.GetBody())
	if size <= maxOutcomeBodyBytes && m.bodyBytes+size <= m.limits.BodyBytes {
		return o
	}
	short := proto.CloneOf(o)
	short.Body, short.BodyDropped = nil, true
	return short
}

// abandon frees the key if the claim id holds it. The claim id becomes void in
// any case: its claim may be committed after this entry and must not be
// granted then.
func (m *Machine) abandon(index uint64, k claimKey, rec *wirepb.ClaimRecord, held bool, o *wirepb.ClaimOutcome) *wirepb.Result {
	if held && rec.GetOutcome() != nil {
		return &wirepb.Result{Index: index, Code: CodeOutcomeConflict, Message: "another outcome is recorded"}
	}
	if held {
		m.dropClaim(k)
	}
	m.voidIDs.add(o.GetClaimId(), struct{}{})
	return &wirepb.Result{Index: index, Already: !held}
}

func (m *Machine) dropClaim(k claimKey) {
	e := m.claims[k]
	m.bodyBytes -= len(e.Value.(*wirepb.ClaimRecord).GetOutcome().GetBody())
	m.claimOrder.Remove(e)
	delete(m.claims, k)
}

// expireClaims drops the claims whose retention has ended.
func (m *Machine) expireClaims() {
	for e := m.claimOrder.Front(); e != nil; e = m.claimOrder.Front() {
		rec := e.Value.(*wirepb.ClaimRecord)
		if m.clockMs-rec.GetClaimedAtMs() < RetentionMs {
			return
		}
		m.dropClaim(claimKey{rec.GetClaim().GetAccount(), rec.GetClaim().GetKey()})
	}
}
