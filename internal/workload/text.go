package workload

import (
	"fmt"
	"strings"
)

// bytesPerToken is the estimate of the serving layer.
const bytesPerToken = 4

// filler is repeated up to the length of a prompt. Equal filler in different
// prompts makes no equal prefixes, because the nonce comes before it.
var filler = strings.Repeat("the cowl turns with the wind and the sign warns of ice ahead. ", 64)

// Text returns the prompt: the shared prefix, the nonce and filler, of exactly
// PromptTokens tokens.
func (r *Request) Text() string {
	var b strings.Builder
	b.Grow(r.PromptTokens * bytesPerToken)
	if r.PrefixTokens > 0 {
		fmt.Fprintf(&b, "account %d prefix %d salt %d: ", r.Account, r.Prefix, r.Salt)
		fill(&b, r.PrefixTokens*bytesPerToken)
	}
	fmt.Fprintf(&b, "request %016x salt %d: ", r.Nonce, r.Salt)
	fill(&b, r.PromptTokens*bytesPerToken)
	return b.String()[:r.PromptTokens*bytesPerToken]
}

// fill appends filler up to size bytes.
func fill(b *strings.Builder, size int) {
	for b.Len() < size {
		b.WriteString(filler[:min(len(filler), size-b.Len())])
	}
}
