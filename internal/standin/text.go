package standin

import (
	"strings"

	"godwitward.example/godwitward/internal/upstream"
)

const (
	wordAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
	wordLetters  = upstream.TokenBytes - 1
)

// word returns the output token that follows a text with hash state h: a space
// and three letters, so that each token is exactly TokenBytes long.
func word(h upstream.PrefixHash) string {
	w := [1 + wordLetters]byte{' '}
	for i := 1; i <= wordLetters; i++ {
		w[i] = wordAlphabet[h%upstream.PrefixHash(len(wordAlphabet))]
		h /= upstream.PrefixHash(len(wordAlphabet))
	}
	return string(w[:])
}

// ExpectedText predicts the whole output of a stand-in engine for a prompt:
// always exactly maxOutputTokens tokens. Decoding a prompt followed by the
// first tokens of its output continues with the remaining ones.
func ExpectedText(prompt string, maxOutputTokens int) string {
	var b strings.Builder
	h := upstream.NewPrefixHash().Add(prompt)
	for range maxOutputTokens {
		w := word(h)
		h = h.Add(w)
		b.WriteString(w)
	}
	return b.String()
}
