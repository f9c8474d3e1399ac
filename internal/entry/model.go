package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"bilberryhub/internal/openai"
	"bilberryhub/internal/refusal"
)

// maxPrefixHashes bounds the prefix hashes of one Reserve message: 64 blocks, which
// are 32,768 tokens, cover the shared instructions and documents for which prefix
// caching is used.
const maxPrefixHashes = 64

// maxHeldFields is the number of fields up to which they are held in decoded form, which takes
// some 100 bytes for each beyond those of the body.
const maxHeldFields = 512

// modelRequest holds the parts of a completion request that the entry process uses.
type modelRequest struct {
	// fields holds all fields of the body, to be passed on to the engine. For a body with more
	// than maxHeldFields, it is nil, and raw holds the body.
	fields map[string]json.RawMessage
	raw    []byte
	model  string
	stream bool
	// maxTokens is the output limit in tokens.
	maxTokens uint64
	// promptTokens is the length of the prompt in tokens, estimated from the text
	// or stated by the caller.
	promptTokens uint64
	// prefix holds the hashes of the prefix blocks of the prompt.
	prefix []uint64
}

// parseModelRequest decodes body and checks that it is a valid completion request
// for path.
func parseModelRequest(path string, body []byte) (*modelRequest, *refusal.Error) {
	c := &modelRequest{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, refusal.New(refusal.BadRequest, "body is not a JSON object: "+err.Error())
	}
	var req openai.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, refusal.New(refusal.BadRequest, "body is not a completion request: "+err.Error())
	}
	if req.Model == "" {
		return nil, refusal.New(refusal.BadRequest, "field model is missing")
	}
	if req.MaxTokens < 0 || req.MaxCompletionTokens < 0 {
		return nil, refusal.New(refusal.BadRequest, "field max_tokens is negative")
	}
	if path == chatPath && len(req.Messages) == 0 {
		return nil, refusal.New(refusal.BadRequest, "field messages is missing or empty")
	}
	if path == completionPath && req.Prompt == "" {
		return nil, refusal.New(refusal.BadRequest, "field prompt is missing or empty")
	}
	text := req.Text()
	if len(c.fields) > maxHeldFields {
		c.fields, c.raw = nil, body
	}
	c.model, c.stream = req.Model, req.Stream
	c.maxTokens = uint64(max(req.MaxTokens, req.MaxCompletionTokens))
	c.promptTokens = uint64(openai.Tokens(text))
	c.prefix = openai.PrefixHashes(text[:min(len(text), maxPrefixHashes*openai.BlockTokens*openai.BytesPerToken)])
	return c, nil
}

// overridePromptTokens sets the prompt length to that of the request header, if it
// is present; see Settings.AcceptPromptTokensHeader.
func (c *modelRequest) overridePromptTokens(h http.Header) *refusal.Error {
	text := h.Get(openai.HeaderPromptTokens)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return refusal.New(refusal.BadHeader, openai.HeaderPromptTokens+" is not a positive number of tokens: "+strconv.Quote(text))
	}
	c.promptTokens = n
	return nil
}

// body returns the JSON body of the request to an engine, with the given fields
// replaced. Fields that this process does not use are passed on unchanged. The output
// limit is the one for which memory has been reserved.
func (c *modelRequest) body(priority uint32, overrides map[string]any) ([]byte, error) {
	held := c.fields
	if c.raw != nil {
		if err := json.Unmarshal(c.raw, &held); err != nil {
			return nil, errors.Trace(err)
		}
	}
	fields := make(map[string]any, len(held)+2)
	for name, raw := range held {
		fields[name] = raw
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = c.maxTokens
	fields["priority"] = priority
	for name, value := range overrides {
		fields[name] = value
	}
	return json.Marshal(fields)
}
