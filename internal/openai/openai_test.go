package openai

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a checksum that accepts an incomplete response, a repeated part, or
// the response to another prompt.
func TestCheckResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,5} `), 2, 8).Draw(t, "words")
		text := strings.Join(words, "")
		whole := text + Checksum("r:1", prompt, text)
		if id, ok := CheckResponse(prompt, whole); !ok || id != "r:1" {
			t.Fatalf("whole answer: %q, %v", id, ok)
		}
		for what, answer := range map[string]string{
			"without its start": whole[len(words[0]):],
			"with a repetition": words[0] + whole,
			"without its end":   whole[:len(whole)-1],
			"without checksum":  text,
		} {
			if _, ok := CheckResponse(prompt, answer); ok {
				t.Fatalf("answer %s is accepted", what)
			}
		}
		if _, ok := CheckResponse(prompt+"x", whole); ok {
			t.Fatal("answer to another prompt is accepted")
		}
	})
}

// Guards against hashes that differ for equal prefixes or agree for different
// ones.
func TestPrefixHashes(t *testing.T) {
	block := strings.Repeat("a", BlockTokens*BytesPerToken)
	one := PrefixHashes(block + block + "tail")
	other := PrefixHashes(block + strings.Repeat("b", len(block)))
	if len(one) != 2 || one[0] != other[0] || one[1] == other[1] || one[0] == one[1] {
		t.Fatalf("hashes %x and %x", one, other)
	}
	if !slices.Equal(one[:1], PrefixHashes(block)) {
		t.Fatal("hash depends on what follows the block")
	}
}

// Guards against missing text from messages whose content is a list.
func TestTextOfContentParts(t *testing.T) {
	var r Request
	doc := `{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},{"role":"user","content":"c"}]}`
	if err := json.Unmarshal([]byte(doc), &r); err != nil {
		t.Fatal(err)
	}
	if got, want := r.Text(), "user\nab\nuser\nc\n"; got != want {
		t.Fatalf("text %q, want %q", got, want)
	}
}
