package openai

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken converts prompt text to tokens.
	BytesPerToken = 4
	// BlockTokens is the size of one block of the prefix cache. With 512
	// tokens a prompt of a million tokens has 1,954 blocks, whose hashes fit
	// into one message.
	BlockTokens = 512
)

// Tokens estimates the number of tokens of a prompt text.
func Tokens(text string) int { return max(1, len(text)/BytesPerToken) }

// PrefixHashes returns one hash for each full block of the prompt. Hash i covers
// blocks 0 to i, so that equal hashes mean equal prefixes.
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

const checksumMark = "sum:"

// Checksum returns the last token of a simulated answer. It proves that text,
// the answer before it, is complete and belongs to the request.
func Checksum(requestID, prompt, text string) string {
	d := xxhash.New()
	for _, s := range []string{requestID, prompt, text} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return fmt.Sprintf("%s%s:%016x", checksumMark, requestID, d.Sum64())
}

// CheckAnswer tells whether answer ends with the checksum of the prompt and of
// its own text. It returns the request id under which the engine ran it.
func CheckAnswer(prompt, answer string) (requestID string, ok bool) {
	at := strings.LastIndex(answer, checksumMark)
	if at < 0 {
		return "", false
	}
	sum := answer[at:]
	end := strings.LastIndexByte(sum, ':')
	if end < len(checksumMark) {
		return "", false
	}
	requestID = sum[len(checksumMark):end]
	return requestID, sum == Checksum(requestID, prompt, answer[:at])
}
