package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"bilberryhub/internal/openai"
	"bilberryhub/internal/refusal"
)

// maxPrefixHashes bounds the prefix hashes of one Reserve: 64 blocks, or
// 32,768 tokens, hold the shared instructions and documents that prefix
// caching is for.
const maxPrefixHashes = 64

// modelCall is what the entry process reads of a completion request.
type modelCall struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	maxTokens    uint64
	promptTokens uint64
	prefix       []uint64
}

// parseModelCall checks body as a completion request for path.
func parseModelCall(path string, body []byte) (*modelCall, *refusal.Error) {
	c := &modelCall{}
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
	c.model, c.stream = req.Model, req.Stream
	c.maxTokens = uint64(max(req.MaxTokens, req.MaxCompletionTokens))
	c.promptTokens = uint64(openai.Tokens(text))
	c.prefix = openai.PrefixHashes(text[:min(len(text), maxPrefixHashes*openai.BlockTokens*openai.BytesPerToken)])
	return c, nil
}

// overridePromptTokens reads the prompt length from the request header; see
// Settings.AcceptPromptTokensHeader.
func (c *modelCall) overridePromptTokens(h http.Header) *refusal.Error {
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

// body returns the request for an engine. Fields that this process does not
// know are passed on. The output limit is the one that memory was reserved for.
func (c *modelCall) body(priority uint32, override map[string]any) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+2)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = c.maxTokens
	fields["priority"] = priority
	for name, value := range override {
		fields[name] = value
	}
	return json.Marshal(fields)
}
