package statemachine

import (
	"encoding/json"
	"fmt"

	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// MaxNameBytes limits the names in commands, and the content type of an outcome.
const MaxNameBytes = 256

// Size limits of the fields of commands, in bytes.
const (
	bodyHashBytes  = 32
	maxReasonBytes = 1024
	// maxOutcomeBodyBytes prevents a single response from using up a large part
	// of the space for the bodies of all outcomes.
	maxOutcomeBodyBytes = 1 << 20
)

// Check returns the refusal of a command that is invalid in any state, or nil. It
// makes only checks that are the same in all builds. A replica that proposes a
// manifest also checks it with manifest.Parse, whose rules may differ between
// builds and therefore cannot be part of the state machine.
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
		return firstRefusal(
			checkName("resource", body.AcquireFence.GetResource()),
			checkName("holder", body.AcquireFence.GetHolder()))
	case *wirepb.Command_AdvanceClock:
		return nil
	}
	return badCommand("unknown command")
}

// badCommand returns a refusal with CodeBadCommand.
func badCommand(format string, args ...any) *wirepb.Result {
	return &wirepb.Result{Code: CodeBadCommand, Message: fmt.Sprintf(format, args...)}
}

// checkName returns a refusal if the value of a name field is empty or too long.
func checkName(field, value string) *wirepb.Result {
	if value == "" || len(value) > MaxNameBytes {
		return badCommand("%s has %d bytes, allowed are 1 to %d", field, len(value), MaxNameBytes)
	}
	return nil
}

// firstRefusal returns the first refusal that is not nil, or nil.
func firstRefusal(results ...*wirepb.Result) *wirepb.Result {
	for _, r := range results {
		if r != nil {
			return r
		}
	}
	return nil
}

func checkManifest(a *wirepb.ApplyManifest) *wirepb.Result {
	if a.GetNumber() == 0 {
		return badCommand("manifest number is 0")
	}
	if len(a.GetContent()) > manifest.MaxBytes {
		return badCommand("manifest has %d bytes, allowed are %d", len(a.GetContent()), manifest.MaxBytes)
	}
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(a.GetContent(), &doc); err != nil {
		return badCommand("manifest is not a JSON object: %v", err)
	}
	var number uint64
	if err := json.Unmarshal(doc["number"], &number); err != nil || number != a.GetNumber() {
		return badCommand("manifest has number %s, proposed as %d", doc["number"], a.GetNumber())
	}
	return nil
}

func checkOrder(o *wirepb.Order) *wirepb.Result {
	if k := o.GetKind(); k != "failure_domain" && k != "backend_server" {
		return badCommand("unknown target kind %q", k)
	}
	if o.GetNumber() == 0 && !o.GetNext() {
		return badCommand("order number is 0")
	}
	if len(o.GetReason()) > maxReasonBytes {
		return badCommand("reason has %d bytes, allowed are %d", len(o.GetReason()), maxReasonBytes)
	}
	return checkName("target", o.GetTarget())
}

func checkClaim(c *wirepb.Claim) *wirepb.Result {
	if len(c.GetBodyHash()) != bodyHashBytes {
		return badCommand("body hash has %d bytes, expected %d", len(c.GetBodyHash()), bodyHashBytes)
	}
	return firstRefusal(
		checkName("account", c.GetAccount()), checkName("key", c.GetKey()),
		checkName("claim id", c.GetClaimId()), checkName("entry", c.GetEntry()))
}

func checkOutcome(o *wirepb.ClaimOutcome) *wirepb.Result {
	switch o.GetKind() {
	case wirepb.ClaimOutcome_KIND_DONE, wirepb.ClaimOutcome_KIND_NOT_RUN, wirepb.ClaimOutcome_KIND_UNKNOWN:
	default:
		return badCommand("unknown outcome kind %d", o.GetKind())
	}
	if len(o.GetContentType()) > MaxNameBytes {
		return badCommand("content type has %d bytes, allowed are %d", len(o.GetContentType()), MaxNameBytes)
	}
	return firstRefusal(
		checkName("account", o.GetAccount()), checkName("key", o.GetKey()), checkName("claim id", o.GetClaimId()))
}
