package standin

import (
	"strings"

	"godwitward.example/godwitward/internal/upstream"
)

const (
	tokenAlphabet   = "abcdefghijklmnopqrstuvwxyz0123456789"
	lettersPerToken = upstream.TokenBytes - 1
)

// nextToken returns the output token that follows a text with hash state h: a
// space and three letters or digits, so that each token is exactly TokenBytes
// long.
func nextToken(h upstream.PrefixHash) string {
	token := [1 + lettersPerToken]byte{' '}
	for i := 1; i <= lettersPerToken; i++ {
		token[i] = tokenAlphabet[h%upstream.PrefixHash(len(tokenAlphabet))]
		h /= upstream.PrefixHash(len(tokenAlphabet))
	}
	return string(token[:])
}

// ExpectedText returns the whole output of a stand-in engine for a prompt. It
// always has exactly maxOutputTokens tokens. The output for a prompt followed by
// the first n output tokens is the rest of the output for the prompt alone.
func ExpectedText(prompt string, maxOutputTokens int) string {
	var b strings.Builder
	h := upstream.NewPrefixHash().Add(prompt)
	for range maxOutputTokens {
		token := nextToken(h)
		h = h.Add(token)
		b.WriteString(token)
	}
	return b.String()
}
