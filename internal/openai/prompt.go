package openai

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the size of a token of prompt text that Tokens assumes.
	BytesPerToken = 4
	// BlockTokens is the size of one block of the prefix cache, in tokens. With
	// 512 tokens, a prompt of a million tokens has 1,954 blocks, whose hashes fit
	// into one message.
	BlockTokens = 512
)

// Tokens returns an estimate of the number of tokens in a prompt text, at least 1.
func Tokens(text string) int { return max(1, len(text)/BytesPerToken) }

// PrefixHashes returns one hash for each full block of the prompt. Hash i covers
// blocks 0 to i, so equal hashes mean equal prefixes.
func PrefixHashes(text string) []uint64 {
	const size = BlockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(text)/size)
	d := xxhash.New()
	for ; len(text) >= size; text = text[size:] {
		_, _ = d.WriteString(text[:size])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// checksumPrefix starts the last token of a simulated response.
const checksumPrefix = "sum:"

// Checksum returns the last token of a simulated response. It proves that text, the
// part of the response before it, is complete and belongs to the request.
func Checksum(requestID, prompt, text string) string {
	d := xxhash.New()
	for _, s := range []string{requestID, prompt, text} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return fmt.Sprintf("%s%s:%016x", checksumPrefix, requestID, d.Sum64())
}

// CheckResponse reports whether response ends with the checksum of its own text for
// the prompt. It returns the request id under which the engine executed the request.
func CheckResponse(prompt, response string) (requestID string, ok bool) {
	at := strings.LastIndex(response, checksumPrefix)
	if at < 0 {
		return "", false
	}
	sum := response[at:]
	end := strings.LastIndexByte(sum, ':')
	if end < len(checksumPrefix) {
		return "", false
	}
	requestID = sum[len(checksumPrefix):end]
	return requestID, sum == Checksum(requestID, prompt, response[:at])
}
