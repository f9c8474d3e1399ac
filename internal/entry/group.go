package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"bilberryhub/internal/membudget"
	"bilberryhub/internal/openai"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

// kvField is the field of a completion request and its response that controls the
// transfer of the KV cache between engines.
const kvField = "kv_transfer_params"

// maxPartResponseBytes bounds the response to the prefill of one part.
const maxPartResponseBytes = 1 << 20

// prefillParts prefills all but the last part of a prompt that no single engine can
// hold. Each engine exports its KV cache to the next one. The last member generates
// the response; the returned fields are to be set in the request to it. If the grant
// has a single member, there are none.
//
// If a member fails, the attempt ends; the context of the whole request bounds all
// parts together. No cleanup at the other members is needed: engines release exports
// that are not imported within their lifetime, and the dispatcher frees the
// reservations of all members together.
func (a *attempt) prefillParts(ctx context.Context) (map[string]any, outcome) {
	members := a.res.grant.GetMembers()
	if len(members) < 2 {
		return nil, outcome{}
	}
	var kv *openai.KVTransfer
	for _, m := range members[:len(members)-1] {
		a.member = m
		next, out := a.prefillPart(ctx, kv)
		if out.err != nil {
			return nil, out
		}
		kv, a.firstPartSent = next, true
	}
	a.member = members[len(members)-1]
	kv.PartTokens = int(a.member.GetPartTokens())
	return map[string]any{kvField: kv}, outcome{}
}

// prefillPart lets a.member import the KV cache that from describes, if it is not nil,
// and prefill its part. It returns the parameters of the export for the next member.
func (a *attempt) prefillPart(ctx context.Context, from *openai.KVTransfer) (*openai.KVTransfer, outcome) {
	kv := openai.KVTransfer{}
	if from != nil {
		kv = *from
	}
	kv.DoRemoteDecode, kv.PartTokens = true, int(a.member.GetPartTokens())
	resp, out := a.send(ctx, map[string]any{kvField: kv, "stream": false, "max_tokens": 1})
	if out.err != nil {
		return nil, out
	}
	defer resp.Body.Close()
	next, err := a.readExport(resp)
	if err == nil {
		return next, outcome{}
	}
	out = outcome{sent: true, step: wirepb.Progress_STEP_BROKEN, excluded: a.member.GetBackend()}
	out.err = refusal.NewUnknown(refusal.BackendFailed, "prefill of a part failed")
	if ctx.Err() != nil {
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, cancelError(ctx, true)
	}
	return nil, out
}

// readExport returns the export parameters in the response of an engine.
func (a *attempt) readExport(resp *http.Response) (*openai.KVTransfer, error) {
	defer a.req.held.ShrinkTo(a.req.held.Size())
	body, err := membudget.Read(a.req.held, resp.Body, unknownLength, maxPartResponseBytes)
	if err != nil {
		return nil, errors.Annotate(err, "read answer of a part")
	}
	response := openai.Response{}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Annotate(err, "decode answer of a part")
	}
	if response.KVTransferParams == nil {
		return nil, errors.Errorf("answer of a part carries no %s", kvField)
	}
	return response.KVTransferParams, nil
}
