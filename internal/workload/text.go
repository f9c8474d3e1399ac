package workload

import (
	"fmt"
	"strings"
)

// bytesPerToken is the number of bytes per token that the serving layer assumes.
const bytesPerToken = 4

// filler is repeated up to the length of a prompt. Although all prompts have the
// same filler, it causes no shared prefixes, because the nonce precedes it.
var filler = strings.Repeat("the cowl turns with the wind and the sign warns of ice ahead. ", 64)

// Text returns the text of the prompt, which is the shared prefix, the nonce and
// filler, and has exactly PromptTokens tokens.
func (r *Request) Text() string {
	var b strings.Builder
	b.Grow(r.PromptTokens * bytesPerToken)
	if r.PrefixTokens > 0 {
		fmt.Fprintf(&b, "account %d prefix %d salt %d: ", r.Account, r.Prefix, r.Salt)
		fillTo(&b, r.PrefixTokens*bytesPerToken)
	}
	fmt.Fprintf(&b, "request %016x salt %d: ", r.Nonce, r.Salt)
	fillTo(&b, r.PromptTokens*bytesPerToken)
	return b.String()[:r.PromptTokens*bytesPerToken]
}

// fillTo appends filler until b holds size bytes.
func fillTo(b *strings.Builder, size int) {
	for b.Len() < size {
		b.WriteString(filler[:min(len(filler), size-b.Len())])
	}
}
