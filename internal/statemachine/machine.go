// Package statemachine implements the deterministic state machine that applies
// the committed commands of the replicated log. Its state consists of the
// configuration (the manifest and the orders), the claims of idempotency keys,
// and the fencing numbers. The package does no I/O and doesn't replicate
// anything itself; package raft does the replication.
//
// Every replica applies the same commands in the same order and must reach the
// same state and return the same results. Therefore nothing here depends on the
// system clock, random numbers, the iteration order of maps or checks that may
// differ between builds. The clock is part of the state and is advanced only by
// commands.
package statemachine

import (
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// Limits of the state.
const (
	// RetentionMs is the time in ms for which a claim is kept after it was
	// granted: 24 h.
	RetentionMs = 24 * 60 * 60 * 1000
	// MaxClaims is the maximum number of claims kept.
	MaxClaims = 1_000_000
	// MaxBodyBytes is the maximum total size of the outcome bodies kept: 64 MB.
	MaxBodyBytes = 64_000_000
	// MaxProposals is the maximum number of results kept for deduplication of
	// proposals. A proposal is resent within seconds; at 500 proposals/s this
	// many cover half a minute.
	MaxProposals = 16_384
	// MaxVoidClaimIDs is the maximum number of abandoned claim ids kept, which
	// must never be granted a claim. They are needed while a delayed claim may
	// still be committed.
	MaxVoidClaimIDs = 65_536
	// MaxOrders is the maximum number of targets that have an order. Orders are
	// kept indefinitely, so that an old one that is resent is recognised.
	MaxOrders = 65_536
	// MaxFences is the maximum number of resources with a fencing number.
	MaxFences = 65_536
	// maxAdvanceMs limits one step of the clock, in ms: 1 h. A leader sends about
	// one step a second, so a longer step is a fault, which must not end the
	// retention of claims early.
	maxAdvanceMs = 60 * 60 * 1000
)

// Limits holds the limits of the state that tests lower. BodyBytes is in bytes,
// the others are numbers of items.
type Limits struct {
	Claims, BodyBytes, Proposals, VoidClaimIDs, Orders, Fences int
}

// DefaultLimits are the limits of a production replica. All replicas must have
// equal limits.
var DefaultLimits = Limits{
	Claims: MaxClaims, BodyBytes: MaxBodyBytes, Proposals: MaxProposals,
	VoidClaimIDs: MaxVoidClaimIDs, Orders: MaxOrders, Fences: MaxFences,
}

// Result codes, in addition to those of package refusal.
const (
	CodeBadCommand       = "bad_command"
	CodeManifestOutdated = "manifest_outdated"
	CodeManifestConflict = "manifest_conflict"
	CodeOrderOutdated    = "order_outdated"
	CodeOrderConflict    = "order_conflict"
	CodeOrdersFull       = "orders_full"
	CodeKeyReused        = "idempotency_key_reused"
	CodeInProgress       = "idempotency_in_progress"
	CodeClaimsFull       = "claims_full"
	// CodeClaimVoid is the result of a claim whose id was abandoned.
	CodeClaimVoid = "claim_void"
	// CodeClaimNotHeld is the result of an outcome from a claim id that does not
	// hold the key.
	CodeClaimNotHeld = "claim_not_held"
	// CodeOutcomeConflict is the result of an outcome that differs from the
	// recorded one.
	CodeOutcomeConflict = "outcome_conflict"
)

// Machine is the replicated state. It is not safe for concurrent use. Messages
// that it takes and returns are shared and must not be modified.
type Machine struct {
	limits  Limits
	applied uint64
	clockMs uint64

	// configIndex is the log index of the last change of the configuration.
	configIndex    uint64
	manifestNumber uint64
	manifest       []byte
	// contentHash is the content hash of manifest. It is nil until it is needed.
	contentHash *manifest.Hash
	orders      map[orderKey]*wirepb.Order
	// config is rebuilt on each change of the configuration.
	config *wirepb.ConfigSnapshot

	claims claimTable
	// bodyBytes is the total size of the outcome bodies kept.
	bodyBytes int

	// fences holds the latest fencing number of each resource.
	fences    map[string]*wirepb.FenceRecord
	nextFence uint64

	// proposals holds the results of the latest proposals by proposal id.
	proposals *fifoMap[*wirepb.Result]
	// voidIDs holds the claim ids that were abandoned.
	voidIDs *fifoMap[struct{}]
}

// New returns an empty machine with the default limits.
func New() *Machine { return NewWithLimits(DefaultLimits) }

// NewWithLimits returns an empty machine with the given limits.
func NewWithLimits(l Limits) *Machine {
	m := &Machine{
		limits:    l,
		orders:    map[orderKey]*wirepb.Order{},
		claims:    newClaimTable(),
		fences:    map[string]*wirepb.FenceRecord{},
		nextFence: 1,
		proposals: newFIFOMap[*wirepb.Result](l.Proposals),
		voidIDs:   newFIFOMap[struct{}](l.VoidClaimIDs),
	}
	m.rebuildConfig()
	return m
}

// Applied returns the log index of the last applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// Apply applies the command at the given log index and returns its result.
// Indexes must increase. A command whose proposal id was applied before changes
// nothing and returns the result of the first application. Refusals are returned
// as the code of the result.
func (m *Machine) Apply(index uint64, cmd *wirepb.Command) *wirepb.Result {
	invariant.Must(index > m.applied, "statemachine_index_grows", "index %d after %d", index, m.applied)
	m.applied = index
	// Claims are deduplicated by claim id before proposal id: a resent claim that
	// was abandoned since must not return the recorded grant.
	if body, ok := cmd.GetBody().(*wirepb.Command_Claim); ok {
		return m.applyClaim(index, cmd.GetId(), body.Claim)
	}
	if r, ok := m.proposals.get(cmd.GetId()); ok {
		return r
	}
	r := m.applyNew(index, cmd)
	m.proposals.add(cmd.GetId(), r)
	return r
}

// applyNew applies a command, other than a claim, whose proposal id is not yet
// recorded.
func (m *Machine) applyNew(index uint64, cmd *wirepb.Command) *wirepb.Result {
	if r := Check(cmd); r != nil {
		r.Index = m.configIndex
		return r
	}
	switch body := cmd.GetBody().(type) {
	case *wirepb.Command_ApplyManifest:
		return m.applyManifest(index, body.ApplyManifest)
	case *wirepb.Command_Order:
		return m.applyOrder(index, body.Order)
	case *wirepb.Command_Outcome:
		return m.applyOutcome(index, body.Outcome)
	case *wirepb.Command_AcquireFence:
		return m.acquireFence(index, body.AcquireFence)
	case *wirepb.Command_AdvanceClock:
		return m.advanceClock(index, body.AdvanceClock)
	}
	return &wirepb.Result{Code: CodeBadCommand, Message: "unknown command", Index: m.configIndex}
}

// advanceClock advances the clock, by at most maxAdvanceMs, and drops the claims
// that have expired then.
func (m *Machine) advanceClock(index uint64, a *wirepb.AdvanceClock) *wirepb.Result {
	m.clockMs += min(a.GetElapsedMs(), maxAdvanceMs)
	m.expireClaims()
	return &wirepb.Result{Index: index}
}
