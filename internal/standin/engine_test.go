package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/upstream"
)

const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// startEngine starts an engine that is faster than the default.
func startEngine(t *testing.T, role string, change func(*Settings)) (*Engine, upstream.Engine) {
	t.Helper()
	s := Settings{ID: role, Service: "draftwell", Role: role, DecodePerToken: time.Millisecond, PrefillTokensPerSecond: 100_000}
	if change != nil {
		change(&s)
	}
	e, err := StartEngine(context.Background(), s)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return e, upstream.NewHTTPEngine(e.URL(), client)
}

func stats(t *testing.T, instance Instance) EngineStats {
	t.Helper()
	resp, err := http.Get(instance.URL() + "/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	var s EngineStats
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// prefillAndImport prefills and imports one request.
func prefillAndImport(t *testing.T, source Instance, prefill, decode upstream.Engine, id, prompt string, maxTokens int) {
	t.Helper()
	ctx := testContext(t)
	result, err := prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: id, Prompt: prompt})
	require.NoError(t, err)
	require.Equal(t, upstream.EstimateTokens(len(prompt)), result.PromptTokens)
	require.NoError(t, decode.Import(ctx, &upstream.ImportRequest{RequestID: id, SourceURL: source.URL(),
		Handle: result.Handle, MaxOutputTokens: maxTokens}))
}

// readTokens reads a stream to its end and returns the text from offset on
// without repeated tokens.
func readTokens(t *testing.T, s upstream.TokenStream, offset int) string {
	t.Helper()
	defer s.Close()
	var text strings.Builder
	for {
		token, err := s.Next()
		if err == io.EOF {
			return text.String()
		}
		require.NoError(t, err)
		if token.Offset == offset {
			text.WriteString(token.Text)
			offset++
		}
	}
}

// Guards against a resumed or continued decode whose text differs from that of
// an uninterrupted one. The end-to-end checks rely on the text being the same.
func TestTextIsIndependentOfResumeAndContinuation(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	target, decode := startEngine(t, RoleDecode, nil)
	const prompt = "tank report for brno-depot, week 48"
	expected := ExpectedText(prompt, 40)
	require.Len(t, expected, 40*upstream.TokenBytes)

	prefillAndImport(t, source, prefill, decode, "r1", prompt, 40)
	s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r1", MaxOutputTokens: 40})
	require.NoError(t, err)
	token, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, expected[:4], token.Text)
	require.NoError(t, s.Close())

	s, err = decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r1", Offset: 1, MaxOutputTokens: 40})
	require.NoError(t, err)
	require.Equal(t, expected[4:], readTokens(t, s, 1))

	prefillAndImport(t, source, prefill, decode, "r2", prompt+expected[:40], 30)
	s, err = decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r2", MaxOutputTokens: 30})
	require.NoError(t, err)
	require.Equal(t, expected[40:], readTokens(t, s, 0))
	require.Zero(t, stats(t, target).HeldPieces)
	require.Zero(t, stats(t, target).Running)
}
