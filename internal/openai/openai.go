// Package openai defines the part of the OpenAI completions API that engines, entry
// processes and the load tool share: request and response bodies, the estimate of
// token counts, the prefix hashes and the checksum of simulated responses.
//
// The estimate and the hashes must be the same in all processes. A dispatcher whose
// token count differs from that of the engine reserves the wrong amount of memory,
// and one that hashes other blocks never finds a cached prefix.
//
// The package performs no I/O and does not validate requests.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// URL paths of the engine API.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	StreamsPath    = "/v1/streams/"
)

// HTTP headers of the engine API.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPromptTokens = "X-Prompt-Tokens"
	HeaderResumable    = "X-Resumable"
	HeaderLastEventID  = "Last-Event-ID"
)

// Done is the data of the terminal event of a complete stream.
const Done = "[DONE]"

// DefaultMaxTokens is the limit on output tokens of requests that state neither
// max_completion_tokens nor max_tokens.
const DefaultMaxTokens = 128

// KVTransfer is the kv_transfer_params object of engines that export and import
// their KV cache.
type KVTransfer struct {
	DoRemoteDecode  bool    `json:"do_remote_decode"`
	DoRemotePrefill bool    `json:"do_remote_prefill"`
	RemoteEngineID  string  `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int64 `json:"remote_block_ids,omitempty"`
	RemoteHost      string  `json:"remote_host,omitempty"`
	RemotePort      int     `json:"remote_port,omitempty"`
	// PartTokens is set for prompts that do not fit into one engine: the
	// receiver prefills that many tokens after the imported ones, and the
	// imported ones stay in the memory of the exporter for as long as the
	// receiver needs them.
	PartTokens int `json:"part_tokens,omitempty"`
}

// Message is one chat message.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message, which was sent as a string or as a list of text
// parts.
type Content string

// UnmarshalJSON decodes a string, or concatenates the text fields of a list of
// objects.
func (c *Content) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '[' {
		var parts []struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(b, &parts); err != nil {
			return errors.Annotate(err, "decode content parts")
		}
		var s strings.Builder
		for _, p := range parts {
			s.WriteString(p.Text)
		}
		*c = Content(s.String())
		return nil
	}
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Annotate(err, "decode content")
	}
	*c = Content(s)
	return nil
}

// Request is the body of a chat or text completion request.
type Request struct {
	Model               string      `json:"model"`
	Prompt              string      `json:"prompt,omitempty"`
	Messages            []Message   `json:"messages,omitempty"`
	Stream              bool        `json:"stream,omitempty"`
	MaxTokens           int         `json:"max_tokens,omitempty"`
	MaxCompletionTokens int         `json:"max_completion_tokens,omitempty"`
	Priority            int         `json:"priority,omitempty"`
	KVTransferParams    *KVTransfer `json:"kv_transfer_params,omitempty"`
}

// OutputTokens returns the maximum number of tokens that the request may generate.
func (r *Request) OutputTokens() int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// Text returns the prompt text: the prompt, or the role and the content of each
// message, each followed by a newline.
func (r *Request) Text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var s strings.Builder
	for _, m := range r.Messages {
		s.WriteString(m.Role)
		s.WriteByte('\n')
		s.WriteString(string(m.Content))
		s.WriteByte('\n')
	}
	return s.String()
}

// Usage counts the tokens of a finished request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of a chat response that one chunk carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one of the alternatives in a response. Chunks of a chat response use
// Delta, complete chat responses Message, and text completions Text.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content returns the text of the choice from the field that is used.
func (c *Choice) Content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return string(c.Message.Content)
	}
	return c.Text
}

// Response is one chunk of a stream, or a complete response.
type Response struct {
	ID               string      `json:"id"`
	Object           string      `json:"object"`
	Created          int64       `json:"created"`
	Model            string      `json:"model"`
	Choices          []Choice    `json:"choices"`
	Usage            *Usage      `json:"usage,omitempty"`
	KVTransferParams *KVTransfer `json:"kv_transfer_params,omitempty"`
}
