package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/upstream"
)

var testStart = time.Unix(1_000_000, 0)

// Guards against a rejected or stalled import that does not free its memory, and
// against a rejection that is not reported as not run.
func TestRejectedOrStalledImportFreesMemory(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, func(s *Settings) { s.ResultTTL = 10 * time.Second })
	target, decode := startEngine(t, RoleDecode, func(s *Settings) { s.TotalPieces = 3 })
	result, err := prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: "r", Prompt: strings.Repeat("abcd", 1_500)})
	require.NoError(t, err)
	req := &upstream.ImportRequest{RequestID: "r", SourceURL: source.URL(), Handle: result.Handle, MaxOutputTokens: 1_600}
	require.Equal(t, upstream.KindNotRun, upstream.KindOf(decode.Import(ctx, req)), "needs 4 pieces, has 3")
	require.Zero(t, stats(t, target).HeldPieces)

	req.MaxOutputTokens = 500
	for i, faulty := range []Instance{source, target} {
		inject(t, faulty, Fault{Kind: FaultStallTransfer})
		req.Attempt = uint32(i)
		stalled := make(chan error, 1)
		go func(r upstream.ImportRequest) { stalled <- decode.Import(ctx, &r) }(*req)
		require.Eventually(t, func() bool { return stats(t, target).HeldPieces == 2 }, testTimeout, time.Millisecond)
		require.NoError(t, decode.Cancel(ctx, &upstream.CancelRequest{RequestID: "r", Attempt: req.Attempt}))
		require.Equal(t, upstream.KindGone, upstream.KindOf(<-stalled))
		require.Zero(t, stats(t, target).HeldPieces)
	}
	// The failed transfers must not have released the result.
	req.Attempt = 2
	require.NoError(t, decode.Import(ctx, req))
}

// Guards against a decode that stops when its reader disconnects, and against
// finished output that occupies memory or cannot be read again within ReplayTTL.
func TestDecodeContinuesAfterDisconnect(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	target, decode := startEngine(t, RoleDecode, func(s *Settings) { s.ReplayTokens, s.ReplayTTL = 20, 400*time.Millisecond })
	prefillAndImport(t, source, prefill, decode, "r", "prompt", 50)
	s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", MaxOutputTokens: 50})
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool { return stats(t, target).OutputTokens == 50 }, testTimeout, time.Millisecond)
	require.Zero(t, stats(t, target).HeldPieces)
	s, err = decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", Offset: 30, MaxOutputTokens: 50})
	require.NoError(t, err)
	require.Equal(t, ExpectedText("prompt", 50)[30*upstream.TokenBytes:], readTokens(t, s, 30))
	_, err = decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", Offset: 29, MaxOutputTokens: 50})
	require.Equal(t, upstream.KindGone, upstream.KindOf(err), "outside the replay buffer")
	_, err = decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", Offset: 50, MaxOutputTokens: 50})
	require.Equal(t, upstream.KindRejected, upstream.KindOf(err))
	require.Eventually(t, func() bool {
		_, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", Offset: 40, MaxOutputTokens: 50})
		return upstream.KindOf(err) == upstream.KindGone
	}, testTimeout, 10*time.Millisecond)
}

// Guards against decode steps whose duration does not depend on the batch, and
// against a batch that exceeds its limit.
func TestBatchLimitAndStepTime(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	_, decode := startEngine(t, RoleDecode, func(s *Settings) {
		s.DecodePerToken, s.BatchGrowth, s.MaxBatch = 4*time.Millisecond, 0.5, 2
	})
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		prefillAndImport(t, source, prefill, decode, id, "prompt "+id, 25)
	}
	start := time.Now()
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: id, MaxOutputTokens: 25})
			if err == nil {
				readTokens(t, s, 0)
			}
		})
	}
	wg.Wait()
	// Two requests together take 25 steps of 6 ms, then the third one takes 25
	// steps of 4 ms.
	require.GreaterOrEqual(t, time.Since(start), 240*time.Millisecond)
}

// Guards against announcements that lack what placement needs, load reports
// that are never out of date, and cache events out of sequence.
func TestAnnouncement(t *testing.T) {
	received := make(chan upstream.Announcement, 1_000)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a upstream.Announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil {
			received <- a
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer entry.Close()
	source, prefill := startEngine(t, RolePrefill, func(s *Settings) {
		s.Entries, s.Models, s.Place = []string{entry.URL}, []string{"m"}, "brno-lab"
		s.AnnounceInterval, s.CacheEventDelay, s.CacheEventLossRate = 20*time.Millisecond, 100*time.Millisecond, -1
	})
	first := <-received
	require.Equal(t, source.URL(), first.URL)
	require.Equal(t, RolePrefill, first.Role)
	require.Equal(t, "brno-lab", first.Place)
	require.Equal(t, []string{"m"}, first.Models)
	require.NotZero(t, first.Generation)
	require.EqualValues(t, 1_000, first.PieceTokens)
	require.EqualValues(t, 100_000, first.PrefillTokensPerSecond)

	prompt := strings.Repeat("abcd", 3_000)
	start := time.Now()
	_, err := prefill.Prefill(testContext(t), &upstream.PrefillRequest{RequestID: "r", Model: "m", Prompt: prompt})
	require.NoError(t, err)
	_, err = prefill.Prefill(testContext(t), &upstream.PrefillRequest{RequestID: "r", Attempt: 1, Model: "other", Prompt: prompt})
	require.Equal(t, upstream.KindNotRun, upstream.KindOf(err))
	var hashes []uint64
	lagged := false
	for len(hashes) < 3 {
		a := <-received
		lagged = lagged || a.Load.AgeMillis > 0
		for _, e := range a.CacheEvents {
			require.EqualValues(t, len(hashes)+1, e.Sequence)
			hashes = append(hashes, e.PrefixHash)
		}
	}
	require.Equal(t, upstream.PrefixHashes(prompt, 1_000), hashes)
	require.GreaterOrEqual(t, time.Since(start), 100*time.Millisecond)
	require.True(t, lagged)
	source.Inject(Fault{Kind: FaultLeave})
	require.Eventually(t, func() bool { return (<-received).Leaving }, testTimeout, time.Millisecond)
}
