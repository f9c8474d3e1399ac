package statemachine

import (
	"encoding/json"
	"fmt"

	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// Bounds of the fields of commands, in bytes.
const (
	bodyHashBytes  = 32
	maxNameBytes   = 256
	maxReasonBytes = 1024
	// maxOutcomeBodyBytes keeps one response from using up the room of many.
	maxOutcomeBodyBytes = 1 << 20
)

// Check returns the refusal of a command that no state can accept, or nil. It
// covers what all builds agree on; a replica that proposes a manifest checks
// it with manifest.Parse as well, whose rules may differ between builds and so
// cannot be part of the state machine.
func Check(cmd *wirepb.Command) *wirepb.Result {
	switch body := cmd.GetBody().(type) {
	case *wirepb.Command_ApplyManifest:
		return checkManifest(body.ApplyManifest)
	case *wirepb.Command_Order:
		return checkOrder(body.Order)
	case *wirepb.Command_Claim:
		return checkClaim(body.Claim)
	case *wirepb.Command_Outcome:
		return checkOutcome(body.Outcome)
	case *wirepb.Command_AcquireFence:
		return firstBad(
			name("resource", body.AcquireFence.GetResource()),
			name("holder", body.AcquireFence.GetHolder()))
	case *wirepb.Command_AdvanceClock:
		return nil
	}
	return bad("unknown command")
}

func bad(format string, args ...any) *wirepb.Result {
	return &wirepb.Result{Code: CodeBadCommand, Message: fmt.Sprintf(format, args...)}
}

func name(field, value string) *wirepb.Result {
	if value == "" || len(value) > maxNameBytes {
		return bad("%s has %d bytes, allowed are 1 to %d", field, len(value), maxNameBytes)
	}
	return nil
}

func firstBad(results ...*wirepb.Result) *wirepb.Result {
	for _, r := range results {
		if r != nil {
			return r
		}
	}
	return nil
}

func checkManifest(a *wirepb.ApplyManifest) *wirepb.Result {
	if a.GetNumber() == 0 {
		return bad("manifest number is 0")
	}
	if len(a.GetContent()) > manifest.MaxBytes {
		return bad("manifest has %d bytes, allowed are %d", len(a.GetContent()), manifest.MaxBytes)
	}
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(a.GetContent(), &doc); err != nil {
		return bad("manifest is not a JSON object: %v", err)
	}
	var number uint64
	if err := json.Unmarshal(doc["number"], &number); err != nil || number != a.GetNumber() {
		return bad("manifest has number %s, proposed as %d", doc["number"], a.GetNumber())
	}
	return nil
}

func checkOrder(o *wirepb.Order) *wirepb.Result {
	if k := o.GetKind(); k != "failure_domain" && k != "backend_server" {
		return bad("unknown target kind %q", k)
	}
	if o.GetNumber() == 0 && !o.GetNext() {
		return bad("order number is 0")
	}
	if len(o.GetReason()) > maxReasonBytes {
		return bad("reason has %d bytes, allowed are %d", len(o.GetReason()), maxReasonBytes)
	}
	return name("target", o.GetTarget())
}

func checkClaim(c *wirepb.Claim) *wirepb.Result {
	if len(c.GetBodyHash()) != bodyHashBytes {
		return bad("body hash has %d bytes, expected %d", len(c.GetBodyHash()), bodyHashBytes)
	}
	return firstBad(
		name("account", c.GetAccount()), name("key", c.GetKey()),
		name("claim id", c.GetClaimId()), name("entry", c.GetEntry()))
}

func checkOutcome(o *wirepb.ClaimOutcome) *wirepb.Result {
	switch o.GetKind() {
	case wirepb.ClaimOutcome_KIND_DONE, wirepb.ClaimOutcome_KIND_NOT_RUN, wirepb.ClaimOutcome_KIND_UNKNOWN:
	default:
		return bad("unknown outcome kind %d", o.GetKind())
	}
	if len(o.GetContentType()) > maxNameBytes {
		return bad("content type has %d bytes, allowed are %d", len(o.GetContentType()), maxNameBytes)
	}
	return firstBad(
		name("account", o.GetAccount()), name("key", o.GetKey()), name("claim id", o.GetClaimId()))
}
