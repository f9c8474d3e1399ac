package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"bilberryhub/internal/refusal"
)

// bytesPerToken estimates tokens from text. Engines count exactly; the
// estimate only has to rank requests and bound memory.
const bytesPerToken = 4

// promptTokensHeader states the prompt length; see
// Settings.AcceptPromptTokensHeader.
const promptTokensHeader = "X-Prompt-Tokens"

// modelCall is what the entry process reads of a completion request.
type modelCall struct {
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	maxTokens uint64
	// prompt is the JSON text of the messages or the prompt.
	prompt       []byte
	promptTokens uint64
}

// parseModelCall checks body as a completion request for path.
func parseModelCall(path string, body []byte) (*modelCall, *refusal.Error) {
	c := &modelCall{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, refusal.New(refusal.BadRequest, "body is not a JSON object: "+err.Error())
	}
	if ref := c.decode("model", &c.model); ref != nil {
		return nil, ref
	}
	if c.model == "" {
		return nil, refusal.New(refusal.BadRequest, "field model is missing")
	}
	if ref := c.decode("stream", &c.stream); ref != nil {
		return nil, ref
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if ref := c.decode(name, &c.maxTokens); ref != nil {
			return nil, ref
		}
	}
	return c, c.readPrompt(path)
}

func (c *modelCall) decode(name string, into any) *refusal.Error {
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return refusal.New(refusal.BadRequest, "field "+name+": "+err.Error())
	}
	return nil
}

func (c *modelCall) readPrompt(path string) *refusal.Error {
	name := "prompt"
	if path == chatPath {
		name = "messages"
		var messages []json.RawMessage
		if ref := c.decode(name, &messages); ref != nil {
			return ref
		}
		if len(messages) == 0 {
			return refusal.New(refusal.BadRequest, "field messages is missing or empty")
		}
	}
	raw, ok := c.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return refusal.New(refusal.BadRequest, "field "+name+" is missing")
	}
	c.prompt = raw
	c.promptTokens = uint64(max(len(raw)/bytesPerToken, 1))
	return nil
}

// overridePromptTokens reads the prompt length from the request header.
func (c *modelCall) overridePromptTokens(h http.Header) *refusal.Error {
	text := h.Get(promptTokensHeader)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return refusal.New(refusal.BadHeader, promptTokensHeader+" is not a positive number of tokens: "+text)
	}
	c.promptTokens = n
	return nil
}

// body returns the request for the engine, with the priority set.
func (c *modelCall) body(priority uint32, extra map[string]any) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+2)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	fields["priority"] = priority
	for name, value := range extra {
		fields[name] = value
	}
	return json.Marshal(fields)
}
