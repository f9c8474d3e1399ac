// Package statemachine is the deterministic state machine over the committed
// entries of the replicated log.
//
// Every replica applies the same commands in the same order and must reach the
// same state and the same results, so nothing here depends on time, random
// numbers, the order of maps or the checks of one build. The clock is part of
// the state and moves only by commands.
package statemachine

import (
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// Bounds of the state.
const (
	// RetentionMs is how long a claim is kept after it was granted: 24 h.
	RetentionMs = 24 * 60 * 60 * 1000
	// MaxClaims bounds the number of claims kept.
	MaxClaims = 1_000_000
	// MaxBodyBytes bounds the outcome bodies kept: 64 MB.
	MaxBodyBytes = 64_000_000
	// MaxProposals bounds the remembered results. A proposal is resent within
	// seconds; at 500 proposals/s this many cover half a minute.
	MaxProposals = 16_384
	// MaxVoidClaimIDs bounds the claim ids that must never hold a claim. They
	// are needed while a delayed claim may still be committed.
	MaxVoidClaimIDs = 65_536
	// MaxOrders bounds the targets that have an order. Orders are kept for
	// ever, so that an old one sent again is recognised.
	MaxOrders = 65_536
	// MaxFences bounds the resources with a fencing number.
	MaxFences = 65_536
	// maxAdvanceMs bounds one step of the clock. A leader sends about one step
	// a second, so a longer one is a fault, which must not end the retention
	// of claims early.
	maxAdvanceMs = 60 * 60 * 1000
)

// Limits are the bounds that tests lower.
type Limits struct {
	Claims, BodyBytes, Proposals, VoidClaimIDs, Orders, Fences int
}

// DefaultLimits are the bounds of a production replica. All replicas must have
// equal limits.
var DefaultLimits = Limits{
	Claims: MaxClaims, BodyBytes: MaxBodyBytes, Proposals: MaxProposals,
	VoidClaimIDs: MaxVoidClaimIDs, Orders: MaxOrders, Fences: MaxFences,
}

// The codes of results besides those of package refusal.
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
	// CodeClaimVoid answers a claim whose id was abandoned.
	CodeClaimVoid = "claim_void"
	// CodeClaimNotHeld answers an outcome from a claim id that does not hold
	// the key.
	CodeClaimNotHeld = "claim_not_held"
	// CodeOutcomeConflict answers an outcome that differs from the recorded one.
	CodeOutcomeConflict = "outcome_conflict"
)

// Machine is the replicated state. It is not safe for concurrent use. Messages
// that it takes and returns are shared and must not be changed.
type Machine struct {
	limits  Limits
	applied uint64
	clockMs uint64

	configIndex    uint64
	manifestNumber uint64
	manifest       []byte
	// contentHash is that of the manifest, nil until it is needed.
	contentHash *manifest.Hash
	orders      map[orderKey]*wirepb.Order
	// config is rebuilt on each change of the configuration.
	config *wirepb.ConfigSnapshot

	claims    claimTable
	bodyBytes int

	fences    map[string]*wirepb.FenceRecord
	nextFence uint64

	proposals *recent[*wirepb.Result]
	voidIDs   *recent[struct{}]
}

// New returns an empty machine.
func New() *Machine { return NewWithLimits(DefaultLimits) }

// NewWithLimits returns an empty machine with other bounds.
func NewWithLimits(l Limits) *Machine {
	m := &Machine{
		limits:    l,
		orders:    map[orderKey]*wirepb.Order{},
		claims:    newClaimTable(),
		fences:    map[string]*wirepb.FenceRecord{},
		nextFence: 1,
		proposals: newRecent[*wirepb.Result](l.Proposals),
		voidIDs:   newRecent[struct{}](l.VoidClaimIDs),
	}
	m.rebuildConfig()
	return m
}

// Applied returns the index of the last applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// Apply applies the command at the given log index and returns its result.
// Indexes must grow. A command that was applied before, by its proposal id,
// changes nothing and gets the result of the first time.
func (m *Machine) Apply(index uint64, cmd *wirepb.Command) *wirepb.Result {
	invariant.Must(index > m.applied, "statemachine_index_grows", "index %d after %d", index, m.applied)
	m.applied = index
	// A claim is recognised by its claim id first: an abandoned claim must not
	// be answered with the remembered grant.
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

func (m *Machine) advanceClock(index uint64, a *wirepb.AdvanceClock) *wirepb.Result {
	m.clockMs += min(a.GetElapsedMs(), maxAdvanceMs)
	m.expireClaims()
	return &wirepb.Result{Index: index}
}
