package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"bilberryhub/internal/openai"

	"github.com/cespare/xxhash/v2"
)

// vocabulary has the words of generated completions; they carry no meaning.
var vocabulary = strings.Fields(`cowl roof ridge slate tile flue draught gust frost ice road sign bridge
	north south east west early late clear dense light strong weak open shut high low near far`)

// completion generates the text of one request, one token at a time, and encodes it
// as chunks of a stream or as one response.
type completion struct {
	id, model   string
	prompt      string
	chat        bool
	created     int64
	seed        uint64
	text        strings.Builder
	nextEventID int
	usage       openai.Usage
}

// newCompletion returns the completion of a prompt of promptTokens tokens. The same
// id and prompt give the same text.
func newCompletion(id, prompt string, promptTokens int, req *openai.Request, chat bool) *completion {
	return &completion{
		id: id, model: req.Model, prompt: prompt, chat: chat,
		created: time.Now().Unix(),
		seed:    xxhash.Sum64String(id + "\x00" + prompt),
		usage:   openai.Usage{PromptTokens: promptTokens},
	}
}

// token returns the text of the token at index. The last token is the checksum of
// the request id, the prompt and the text before it.
func (c *completion) token(index int, last bool) string {
	if last {
		return openai.Checksum(c.id, c.prompt, c.text.String())
	}
	// The odd multiplier spreads consecutive indices over the vocabulary.
	hash := (c.seed + uint64(index)) * 0x9E3779B97F4A7C15
	return vocabulary[(hash>>32)%uint64(len(vocabulary))] + " "
}

// appendToken generates the token at index and returns its events: its chunk and,
// after the last token, the finish chunk and the terminal event. kv goes into the
// finish chunk.
func (c *completion) appendToken(index int, last bool, kv *openai.KVTransfer) []event {
	text := c.token(index, last)
	c.text.WriteString(text)
	c.usage.CompletionTokens++
	out := []event{c.chunk(text, index == 0, nil, nil)}
	if last {
		c.usage.TotalTokens = c.usage.PromptTokens + c.usage.CompletionTokens
		out = append(out, c.chunk("", false, &finishStop, kv), c.event(openai.Done, ""))
	}
	return out
}

var finishStop = "stop"

// object returns the object type of a document.
func (c *completion) object(suffix string) string {
	if c.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

// chunk encodes text as one chunk of a stream; first marks the chunk that carries
// the role of a chat message.
func (c *completion) chunk(text string, first bool, finish *string, kv *openai.KVTransfer) event {
	choice := openai.Choice{FinishReason: finish}
	if c.chat {
		choice.Delta = &openai.Delta{Content: text}
		if first {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = text
	}
	r := openai.Response{
		ID: c.id, Object: c.object(".chunk"), Created: c.created, Model: c.model,
		Choices: []openai.Choice{choice}, KVTransferParams: kv,
	}
	if finish != nil {
		r.Usage = &c.usage
	}
	doc, err := json.Marshal(&r)
	if err != nil {
		// The document has only strings and numbers, so it can be encoded.
		panic(err)
	}
	return c.event(string(doc), text)
}

// event wraps data in a server-sent event with the next event id.
func (c *completion) event(data, text string) event {
	e := event{data: fmt.Appendf(nil, "id: %d\ndata: %s\n\n", c.nextEventID, data), text: text}
	c.nextEventID++
	return e
}

// response returns the whole completion as one document.
func (c *completion) response(text string, kv *openai.KVTransfer) *openai.Response {
	choice := openai.Choice{FinishReason: &finishStop}
	if c.chat {
		choice.Message = &openai.Message{Role: "assistant", Content: openai.Content(text)}
	} else {
		choice.Text = text
	}
	return &openai.Response{
		ID: c.id, Object: c.object(""), Created: c.created, Model: c.model,
		Choices: []openai.Choice{choice}, Usage: &c.usage, KVTransferParams: kv,
	}
}
