package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"bilberryhub/internal/openai"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

const kvField = "kv_transfer_params"

// maxPartAnswer bounds the answer to the prefill of one part.
const maxPartAnswer = 1 << 20

// prefillParts prefills all but the last part of a prompt that no single
// engine can hold. Each engine exports its KV cache to the next one. The last
// member answers; it gets the returned fields.
//
// When a member fails, the context of the whole request ends the chain: the
// engines release exports that nobody imports within their lifetime, and the
// dispatcher frees the reservations of all members together.
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
		kv, a.started = next, true
	}
	a.member = members[len(members)-1]
	kv.PartTokens = int(a.member.GetPartTokens())
	return map[string]any{kvField: kv}, outcome{}
}

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
	next, err := readExport(resp)
	if err == nil {
		return next, outcome{}
	}
	out = outcome{sent: true, step: wirepb.Progress_STEP_BROKEN, excluded: a.member.GetBackend()}
	out.err = refusal.Unknown(refusal.BackendFailed, "prefill of a part failed")
	if ctx.Err() != nil {
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, cancelled(ctx, true)
	}
	return nil, out
}

func readExport(resp *http.Response) (*openai.KVTransfer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPartAnswer))
	if err != nil {
		return nil, errors.Annotate(err, "read answer of a part")
	}
	answer := openai.Response{}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, errors.Annotate(err, "decode answer of a part")
	}
	if answer.KVTransferParams == nil {
		return nil, errors.Errorf("answer of a part carries no %s", kvField)
	}
	return answer.KVTransferParams, nil
}
