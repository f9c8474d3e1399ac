package statemachine

import (
	"encoding/hex"

	"bilberryhub/internal/wirepb"
)

// maxDumpedClaims is the maximum number of claims in a state dump. The dump lists
// the oldest claims without a final outcome, since these are the ones that an
// operator may have to investigate.
const maxDumpedClaims = 100

// dump is the JSON document of the state dump.
type dump struct {
	AppliedIndex    uint64      `json:"applied_index"`
	ClockMs         uint64      `json:"clock_ms"`
	ConfigIndex     uint64      `json:"config_index"`
	ConfigDigest    uint64      `json:"config_digest"`
	ManifestNumber  uint64      `json:"manifest_number"`
	ManifestSHA256  string      `json:"manifest_sha256"`
	Orders          []dumpOrder `json:"orders"`
	Claims          int         `json:"claims"`
	ClaimsLimit     int         `json:"claims_limit"`
	BodyBytes       int         `json:"body_bytes"`
	BodyBytesLimit  int         `json:"body_bytes_limit"`
	OpenClaims      []dumpClaim `json:"open_claims"`
	Fences          []dumpFence `json:"fences"`
	NextFence       uint64      `json:"next_fence"`
	RecentProposals int         `json:"recent_proposals"`
	VoidClaimIDs    int         `json:"void_claim_ids"`
}

type dumpOrder struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Out    bool   `json:"out"`
	Number uint64 `json:"number"`
	Reason string `json:"reason,omitempty"`
}

type dumpClaim struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	ClaimID string `json:"claim_id"`
	Entry   string `json:"entry"`
	AgeMs   uint64 `json:"age_ms"`
	Outcome string `json:"outcome,omitempty"`
}

type dumpFence struct {
	Resource string `json:"resource"`
	Holder   string `json:"holder"`
	Number   uint64 `json:"number"`
}

// Dump returns a summary of the state that can be encoded as JSON, for the state
// dump.
func (m *Machine) Dump() any {
	sha := m.manifestHash().SHA256
	d := dump{
		AppliedIndex: m.applied, ClockMs: m.clockMs, ConfigIndex: m.configIndex, ConfigDigest: m.config.GetDigest(),
		ManifestNumber: m.manifestNumber, ManifestSHA256: hex.EncodeToString(sha[:]),
		Claims: len(m.claims.byKey), ClaimsLimit: m.limits.Claims,
		BodyBytes: m.bodyBytes, BodyBytesLimit: m.limits.BodyBytes, OpenClaims: m.openClaims(),
		NextFence: m.nextFence, RecentProposals: len(m.proposals.values), VoidClaimIDs: len(m.voidIDs.values),
	}
	for _, o := range m.config.GetOrders() {
		d.Orders = append(d.Orders, dumpOrder{o.GetKind(), o.GetTarget(), o.GetOut(), o.GetNumber(), o.GetReason()})
	}
	for _, f := range m.sortedFences() {
		d.Fences = append(d.Fences, dumpFence{f.GetResource(), f.GetHolder(), f.GetNumber()})
	}
	return d
}

// openClaims returns the oldest claims without a final outcome, up to
// maxDumpedClaims.
func (m *Machine) openClaims() []dumpClaim {
	var out []dumpClaim
	for rec := m.claims.first; rec != nil && len(out) < maxDumpedClaims; rec = rec.next {
		if rec.outcome.kindOrUnspecified() == wirepb.ClaimOutcome_KIND_DONE {
			continue
		}
		c := dumpClaim{
			Account: rec.account.Value(), Key: rec.key(), ClaimID: rec.id(),
			Entry: rec.entry.Value(), AgeMs: m.clockMs - rec.claimedAtMs,
		}
		if rec.outcome != nil {
			c.Outcome = rec.outcome.kind.String()
		}
		out = append(out, c)
	}
	return out
}
