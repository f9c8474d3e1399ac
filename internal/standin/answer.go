package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"bilberryhub/internal/openai"

	"github.com/cespare/xxhash/v2"
)

// vocabulary of the answers; the words carry no meaning.
var vocabulary = strings.Fields(`cowl roof ridge slate tile flue draught gust frost ice road sign bridge
	north south east west early late clear dense light strong weak open shut high low near far`)

// answer produces the text of one request, one token at a time.
type answer struct {
	id, model string
	prompt    string
	chat      bool
	created   int64
	seed      uint64
	text      strings.Builder
	events    int
	usage     openai.Usage
}

func newAnswer(id, prompt string, tokens int, req *openai.Request, chat bool) *answer {
	return &answer{
		id: id, model: req.Model, prompt: prompt, chat: chat,
		created: time.Now().Unix(),
		seed:    xxhash.Sum64String(id + "\x00" + prompt),
		usage:   openai.Usage{PromptTokens: tokens},
	}
}

// token returns the text of the token at index. The last one is the checksum.
func (a *answer) token(index int, last bool) string {
	if last {
		return openai.Checksum(a.id, a.prompt, a.text.String())
	}
	// The odd multiplier spreads consecutive indices over the vocabulary.
	mixed := (a.seed + uint64(index)) * 0x9E3779B97F4A7C15
	return vocabulary[(mixed>>32)%uint64(len(vocabulary))] + " "
}

// step returns the events of one token: its chunk, and after the last one the
// finish chunk and the end mark.
func (a *answer) step(index int, last bool, kv *openai.KVTransfer) []event {
	text := a.token(index, last)
	a.text.WriteString(text)
	a.usage.CompletionTokens++
	out := []event{a.chunk(text, index == 0, nil, nil)}
	if last {
		a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
		out = append(out, a.chunk("", false, &finishStop, kv), a.event(openai.Done, ""))
	}
	return out
}

var finishStop = "stop"

func (a *answer) object(suffix string) string {
	if a.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func (a *answer) chunk(text string, first bool, finish *string, kv *openai.KVTransfer) event {
	c := openai.Choice{FinishReason: finish}
	if a.chat {
		c.Delta = &openai.Delta{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = text
	}
	r := openai.Response{
		ID: a.id, Object: a.object(".chunk"), Created: a.created, Model: a.model,
		Choices: []openai.Choice{c}, KVTransferParams: kv,
	}
	if finish != nil {
		r.Usage = &a.usage
	}
	doc, err := json.Marshal(&r)
	if err != nil {
		// The document has only strings and numbers.
		panic(err)
	}
	return a.event(string(doc), text)
}

func (a *answer) event(data, text string) event {
	e := event{data: fmt.Appendf(nil, "id: %d\ndata: %s\n\n", a.events, data), text: text}
	a.events++
	return e
}

// complete returns the whole answer as one document.
func (a *answer) complete(text string, kv *openai.KVTransfer) *openai.Response {
	c := openai.Choice{FinishReason: &finishStop}
	if a.chat {
		c.Message = &openai.Message{Role: "assistant", Content: openai.Content(text)}
	} else {
		c.Text = text
	}
	return &openai.Response{
		ID: a.id, Object: a.object(""), Created: a.created, Model: a.model,
		Choices: []openai.Choice{c}, Usage: &a.usage, KVTransferParams: kv,
	}
}
