package standin

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"net/http"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitward.example/godwitward/internal/upstream"
)

// Guards against a predicted text that changes when a request is continued on
// another engine after any number of tokens, whatever the prompt.
func TestContinuationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		n := rapid.IntRange(1, 50).Draw(t, "tokens")
		prefixTokens := rapid.IntRange(0, n).Draw(t, "done")
		text := ExpectedText(prompt, n)
		prefixBytes := prefixTokens * upstream.TokenBytes
		require.Equal(t, text[prefixBytes:], ExpectedText(prompt+text[:prefixBytes], n-prefixTokens))
	})
}

// Guards against a combination of duplicate and late tokens from which a reader
// that accepts only the next expected offset cannot restore the text.
func TestTokenFaultsKeepEveryToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "tokens")
		f := newFaults()
		f.pending[FaultDuplicate] = rapid.IntRange(0, 30).Draw(t, "duplicate")
		f.pending[FaultLate] = rapid.IntRange(0, 30).Draw(t, "late")
		recorder := httptest.NewRecorder()
		out := &tokenWriter{w: recorder, flusher: http.NewResponseController(recorder), faults: f}
		text := ExpectedText("p", n)
		for i := range n {
			out.writeToken(i, text[i*upstream.TokenBytes:(i+1)*upstream.TokenBytes], i == n-1)
		}
		require.NoError(t, out.err)
		var got strings.Builder
		next := 0
		for _, line := range bytes.Split(recorder.Body.Bytes(), []byte("\n\n")) {
			data, ok := bytes.CutPrefix(line, []byte("data: "))
			if !ok {
				continue
			}
			var token upstream.Token
			require.NoError(t, json.Unmarshal(data, &token))
			require.LessOrEqual(t, token.Offset, next, "a token was omitted")
			require.Equal(t, token.Finish != "", token.Offset == n-1)
			if token.Offset == next {
				got.WriteString(token.Text)
				next++
			}
		}
		require.Equal(t, text, got.String())
	})
}

// Guards against a cache that exceeds its limit, and against cache events that,
// when none is lost, do not add up to the content of the cache.
func TestPrefixCacheProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Settings{CachePieces: 4, CacheEventLossRate: -1}
		c := newPrefixCache(s)
		announced := map[uint64]bool{}
		for range rapid.IntRange(1, 20).Draw(t, "inserts") {
			hashes := rapid.SliceOfN(rapid.Uint64Range(1, 10), 0, 3).Draw(t, "hashes")
			c.insert(hashes, testStart)
			require.LessOrEqual(t, len(c.pieces), s.CachePieces)
			for _, e := range c.takeDue(testStart) {
				if e.Removed {
					delete(announced, e.PrefixHash)
				} else {
					announced[e.PrefixHash] = true
				}
			}
			require.Len(t, announced, len(c.pieces))
			for h := range c.pieces {
				require.True(t, announced[h])
			}
		}
	})
}
