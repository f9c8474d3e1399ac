// Package openai holds the part of the OpenAI completion protocol that engines,
// entry processes and the load tool share: the request and chunk documents, the
// token estimate, the prefix hashes and the checksum of simulated answers.
//
// The estimate and the hashes must be the same on every side. A dispatcher that
// counts other tokens than the engine reserves the wrong memory, and one that
// hashes other blocks never finds a cached prefix.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// Paths of the engine protocol.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
	StreamsPath    = "/v1/streams/"
)

// Headers of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPromptTokens = "X-Prompt-Tokens"
	HeaderResumable    = "X-Resumable"
	HeaderLastEventID  = "Last-Event-ID"
)

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// DefaultMaxTokens is used for requests that state no max_tokens.
const DefaultMaxTokens = 128

// KVTransfer is the kv_transfer_params object of engines that export and import
// KV cache. PartTokens is set for prompts larger than one engine: the receiver
// prefills that many tokens behind the imported ones and leaves the imported
// ones in the memory of the exporter for as long as it needs them.
type KVTransfer struct {
	DoRemoteDecode  bool    `json:"do_remote_decode"`
	DoRemotePrefill bool    `json:"do_remote_prefill"`
	RemoteEngineID  string  `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int64 `json:"remote_block_ids,omitempty"`
	RemoteHost      string  `json:"remote_host,omitempty"`
	RemotePort      int     `json:"remote_port,omitempty"`
	PartTokens      int     `json:"part_tokens,omitempty"`
}

// Message is one chat message. Content is a string or a list of text parts.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message, whichever form it was sent in.
type Content string

// UnmarshalJSON accepts a string or a list of objects with a text field.
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

// OutputTokens returns the largest number of tokens that the request may
// produce.
func (r *Request) OutputTokens() int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// Text returns the prompt text: the prompt, or role and content of each message
// on lines of their own.
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

// Delta is the part of a chat answer that one chunk carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one alternative of an answer. Chat chunks use Delta, complete chat
// answers Message, and text completions Text.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content returns the text of the choice in whichever form it was sent.
func (c *Choice) Content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return string(c.Message.Content)
	}
	return c.Text
}

// Response is one chunk of a stream, or a complete answer.
type Response struct {
	ID               string      `json:"id"`
	Object           string      `json:"object"`
	Created          int64       `json:"created"`
	Model            string      `json:"model"`
	Choices          []Choice    `json:"choices"`
	Usage            *Usage      `json:"usage,omitempty"`
	KVTransferParams *KVTransfer `json:"kv_transfer_params,omitempty"`
}
