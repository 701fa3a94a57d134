package standin

import (
	"context"
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

func inject(t *testing.T, instance Instance, f Fault) {
	t.Helper()
	body, err := json.Marshal(f)
	require.NoError(t, err)
	resp, err := http.Post(instance.URL()+"/fault", "application/json", strings.NewReader(string(body)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

// Guards against a cancel, at any stage, that does not free the memory or does
// not count the prefill as discarded.
func TestCancelFreesMemoryAtEveryStage(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	target, decode := startEngine(t, RoleDecode, nil)
	prompt := strings.Repeat("abcd", 2_500)

	inject(t, source, Fault{Kind: FaultStallPrefill})
	stalled := make(chan error, 1)
	go func() {
		_, err := prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: "stalled", Prompt: prompt})
		stalled <- err
	}()
	require.Eventually(t, func() bool { return stats(t, source).Running == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, prefill.Cancel(ctx, &upstream.CancelRequest{RequestID: "stalled"}))
	require.Equal(t, upstream.KindGone, upstream.KindOf(<-stalled))

	prefillAndImport(t, source, prefill, decode, "imported", prompt, 1_000)
	require.Equal(t, 4, stats(t, target).HeldPieces)
	list, err := decode.Running(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, "imported", list[0].Stage)
	require.Equal(t, 4, list[0].Pieces)
	require.NoError(t, decode.Cancel(ctx, &upstream.CancelRequest{RequestID: "imported"}))
	require.Zero(t, stats(t, target).HeldPieces)
	require.EqualValues(t, 2_500, stats(t, target).PrefillTokensDiscarded)

	prefillAndImport(t, source, prefill, decode, "decoding", prompt+"x", 1_000)
	s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "decoding", MaxOutputTokens: 1_000})
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)
	require.NoError(t, decode.Cancel(ctx, &upstream.CancelRequest{RequestID: "decoding"}))
	for err == nil {
		_, err = s.Next()
	}
	require.Equal(t, upstream.KindGone, upstream.KindOf(err))
	require.Zero(t, stats(t, target).HeldPieces)
	require.EqualValues(t, 2_500, stats(t, target).PrefillTokensDiscarded, "its prefill had produced output")

	// A call that arrives after its cancel is rejected.
	_, err = prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: "decoding", Prompt: prompt})
	require.NoError(t, err, "cancel is per engine")
	err = decode.Import(ctx, &upstream.ImportRequest{RequestID: "decoding", SourceURL: source.URL(), Handle: "h", MaxOutputTokens: 1})
	require.Equal(t, upstream.KindGone, upstream.KindOf(err))
}

// Guards against a result that is kept beyond its TTL or not counted as
// discarded when it expires, and against a cached prefix that is computed again.
func TestResultExpiryAndPrefixCache(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, func(s *Settings) { s.ResultTTL = 50 * time.Millisecond })
	_, decode := startEngine(t, RoleDecode, nil)
	prompt := strings.Repeat("abcd", 2_000) + "tail"
	result, err := prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: "r", Prompt: prompt})
	require.NoError(t, err)
	require.Zero(t, result.CachedTokens)
	require.Eventually(t, func() bool { return stats(t, source).PrefillTokensDiscarded == 2_001 }, testTimeout, time.Millisecond)
	err = decode.Import(ctx, &upstream.ImportRequest{RequestID: "r", SourceURL: source.URL(), Handle: result.Handle, MaxOutputTokens: 1})
	require.Equal(t, upstream.KindGone, upstream.KindOf(err))

	result, err = prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: "r2", Prompt: prompt})
	require.NoError(t, err)
	require.Equal(t, 2_000, result.CachedTokens)
	require.EqualValues(t, 2_002, stats(t, source).PrefillTokensRun)
}

// Guards against urgent prefills that wait behind drafts in the engine's queue.
func TestUrgentPrefillOvertakesDrafts(t *testing.T) {
	ctx := testContext(t)
	_, prefill := startEngine(t, RolePrefill, func(s *Settings) { s.PrefillTokensPerSecond = 10_000 })
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		wg.Go(func() {
			prompt := id + strings.Repeat("abcd", 5_000)
			_, _ = prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: id, Prompt: prompt, Priority: 10})
		})
	}
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	_, err := prefill.Prefill(ctx, &upstream.PrefillRequest{RequestID: "urgent", Prompt: "desk"})
	require.NoError(t, err)
	// A chunk of 1,000 tokens takes 100 ms, a whole draft 500 ms.
	require.Less(t, time.Since(start), 300*time.Millisecond)
	wg.Wait()
}

// Guards against concurrent transfers that together exceed the rate of the
// link, and against an urgent transfer that waits behind drafts.
func TestLinkIsSharedUrgentFirst(t *testing.T) {
	l := newLink(1_000_000, newFaults())
	start := time.Now()
	ends := make([]time.Duration, 3)
	var wg sync.WaitGroup
	for i, priority := range []int32{5, 5, 0} {
		wg.Go(func() {
			for range 20 {
				_ = l.move(context.Background(), priority, l.sliceBytes())
			}
			ends[i] = time.Since(start)
		})
	}
	wg.Wait()
	total := 3 * 20 * linkSlice
	require.GreaterOrEqual(t, max(ends[0], ends[1]), total-2*linkSlice)
	require.Less(t, ends[2], min(ends[0], ends[1]))
	require.Empty(t, l.waiting.items)
}

// Guards against duplicate and late faults that omit a token or have no effect.
// Without an effect the end-to-end checks would test nothing.
func TestTokenFaults(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	target, decode := startEngine(t, RoleDecode, nil)
	prefillAndImport(t, source, prefill, decode, "r", "prompt", 20)
	inject(t, target, Fault{Kind: FaultDuplicate, Count: 2})
	inject(t, target, Fault{Kind: FaultLate, Count: 2})
	s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", MaxOutputTokens: 20})
	require.NoError(t, err)
	defer s.Close()
	tokens, backward := 0, 0
	for last, finished := -1, false; !finished; tokens++ {
		token, err := s.Next()
		require.NoError(t, err)
		if token.Offset < last {
			backward++
		}
		last, finished = token.Offset, token.Finish != ""
	}
	require.Equal(t, 24, tokens)
	require.Equal(t, 2, backward)
}

// Guards against a FaultSilence that closes connections or also affects new
// ones: a reader must detect it by a timeout and be able to resume on a new
// connection.
func TestSilenceAndResume(t *testing.T) {
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	target, _ := startEngine(t, RoleDecode, func(s *Settings) { s.DecodePerToken = 5 * time.Millisecond })
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	decode := upstream.NewHTTPEngine(target.URL(), client, upstream.StallTimeout(200*time.Millisecond))
	prefillAndImport(t, source, prefill, decode, "r", "prompt", 100)
	s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", MaxOutputTokens: 100})
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)
	target.Inject(Fault{Kind: FaultSilence})
	for err == nil {
		_, err = s.Next()
	}
	require.Equal(t, upstream.KindStalled, upstream.KindOf(err))
	resumed, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", Offset: 1, MaxOutputTokens: 100})
	require.NoError(t, err)
	require.Equal(t, ExpectedText("prompt", 100)[4:], readTokens(t, resumed, 1))
}

// Guards against a crash that keeps state or leaves connections open, and
// against a restart that fails or does not use the next generation.
func TestCrashAndRestart(t *testing.T) {
	var mu sync.Mutex
	generations := map[uint64]bool{}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a upstream.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		mu.Lock()
		generations[a.Generation] = true
		mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	}))
	defer entry.Close()
	ctx := testContext(t)
	source, prefill := startEngine(t, RolePrefill, nil)
	target, decode := startEngine(t, RoleDecode, func(s *Settings) {
		s.Generation = 7
		// The first entry is down, so the second one gets the announcements.
		s.Entries = []string{"http://127.0.0.1:1", entry.URL}
	})
	// Announcements are sent in the background: a crash before the first one
	// would end generation 7 unannounced. The wait is before the decode, so that
	// the stream cannot finish during it.
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return generations[7]
	}, testTimeout, 10*time.Millisecond)
	prefillAndImport(t, source, prefill, decode, "r", "prompt", 1_000)
	s, err := decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", MaxOutputTokens: 1_000})
	require.NoError(t, err)
	defer s.Close()
	inject(t, target, Fault{Kind: FaultCrash, Seconds: 0.2})
	for err == nil {
		_, err = s.Next()
	}
	require.Equal(t, upstream.KindOutcomeUnknown, upstream.KindOf(err))
	// A call on an idle connection that is being reset may have been sent; one on a new
	// connection is refused until the restart, after which no call fails.
	for err = nil; upstream.KindOf(err) != upstream.KindNotSent; {
		_, err = decode.Running(ctx)
		require.Error(t, err, "the engine restarted without refusing a call")
	}
	require.Eventually(t, func() bool {
		list, err := decode.Running(ctx)
		return err == nil && len(list) == 0
	}, testTimeout, 10*time.Millisecond)
	_, err = decode.Decode(ctx, &upstream.DecodeRequest{RequestID: "r", MaxOutputTokens: 1_000})
	require.Equal(t, upstream.KindGone, upstream.KindOf(err))
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return generations[7] && generations[8]
	}, testTimeout, 10*time.Millisecond)
}

// Guards against an engine that checks fencing tokens but carries out an order
// with an old one, and against one that rejects orders although it does not
// check them.
func TestOrderFencing(t *testing.T) {
	ctx := testContext(t)
	_, checking := startEngine(t, RolePrefill, func(s *Settings) { s.ChecksFencing = true })
	_, ignoring := startEngine(t, RolePrefill, nil)
	order := func(e upstream.Engine, token uint64, role string) error {
		return e.Order(ctx, &upstream.Order{FencingToken: token, Kind: orderSetRole, Value: role})
	}
	require.NoError(t, order(checking, 5, RoleDecode))
	var rejected *upstream.Error
	require.ErrorAs(t, order(checking, 4, RolePrefill), &rejected)
	require.Equal(t, upstream.KindRejected, rejected.Kind)
	require.EqualValues(t, 5, rejected.FencingToken)
	_, err := checking.Prefill(ctx, &upstream.PrefillRequest{RequestID: "r", Prompt: "p"})
	require.Equal(t, upstream.KindNotRun, upstream.KindOf(err), "the role is still decode")
	require.NoError(t, order(ignoring, 5, RoleDecode))
	require.NoError(t, order(ignoring, 4, RolePrefill))
	_, err = ignoring.Prefill(ctx, &upstream.PrefillRequest{RequestID: "r", Prompt: "p"})
	require.NoError(t, err)
}

// Guards against a rejected call that runs, a call without a response that is
// not counted as run, and run counts that are lost in a crash.
func TestServiceCountsRuns(t *testing.T) {
	service, err := StartService(context.Background(), Settings{ID: "o", Service: "orders", Role: RolePlain, CrashAfterRun: 2})
	require.NoError(t, err)
	defer service.Close()
	call := func() (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, service.URL()+"/reserve", strings.NewReader("body"))
		require.NoError(t, err)
		req.GetBody = nil
		req.Header.Set("Idempotency-Key", "k")
		return http.DefaultClient.Do(req)
	}
	inject(t, service, Fault{Kind: FaultRefuse})
	resp, err := call()
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, upstream.RunStateNotRun, resp.Header.Get(upstream.HeaderRunState))
	resp, err = call()
	require.NoError(t, err)
	var response ServiceResponse
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&response))
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "k", response.Key)
	require.Equal(t, 1, response.Run)
	_, err = call()
	require.Error(t, err, "crashes before the response")
	<-service.Done()
	require.Equal(t, 2, service.Runs()["k"])
}
