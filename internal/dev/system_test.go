package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/standin"
)

const startTimeout = 20 * time.Second

func startSystem(t *testing.T, cfg Config) *System {
	t.Helper()
	cfg.DataDir = t.TempDir()
	if cfg.Routes == nil {
		cfg.Routes = DefaultRoutes()
	}
	if cfg.Upstreams == nil {
		cfg.Upstreams = DefaultUpstreams(1, 2, 2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	s, err := Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func post(ctx context.Context, url string, body any, header http.Header) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp.StatusCode, respBody, err
}

type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// complete sends a completion request and returns the text of its response.
func complete(ctx context.Context, s *System, route string, c completion) (string, error) {
	status, body, err := post(ctx, "http://"+s.Entry.Addr+route+"/v1/completions", c, nil)
	if err != nil {
		return "", err
	}
	var parsed struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(body, &parsed); err != nil || status != http.StatusOK || len(parsed.Choices) != 1 {
		return "", fmt.Errorf("status %d: %s", status, body)
	}
	return parsed.Choices[0].Text, nil
}

// enginePieces returns the number of KV cache blocks (pieces) in use on an engine,
// 0 if the engine has stopped.
func enginePieces(u standin.Instance) int {
	resp, err := http.Get(u.URL() + "/stats")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var stats standin.EngineStats
	if json.NewDecoder(resp.Body).Decode(&stats) != nil {
		return 0
	}
	return stats.HeldPieces
}

// piecesAndHolds returns the number of pieces in use on all engines and the number
// of holds of all schedulers. While a lease changes its holder, the control store
// cannot reach the holder and returns an error.
func piecesAndHolds(s *System) (engines, holds int, err error) {
	for _, u := range s.Upstreams {
		if _, ok := u.(*standin.Engine); ok {
			engines += enginePieces(u)
		}
	}
	resp, err := s.Operator.ListRequests(context.Background(), connect.NewRequest(&pb.ListRequestsRequest{}))
	if err != nil {
		return engines, 0, err
	}
	return engines, len(resp.Msg.Holds), nil
}

func requireAllReleased(t *testing.T, s *System) {
	t.Helper()
	require.Eventually(t, func() bool {
		engines, holds, err := piecesAndHolds(s)
		return err == nil && engines == 0 && holds == 0
	}, 10*time.Second, 50*time.Millisecond, "engines still occupy memory or the scheduler still has holds")
}

// Guards against failures of the basic paths: an incomplete completion, a failed
// plain call, a non-repeatable call that runs twice or is accepted with another
// body under the same idempotency key.
func TestEndToEnd(t *testing.T) {
	s := startSystem(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	text, err := complete(ctx, s, "/draft", completion{Prompt: "digest of sheet 7", MaxTokens: 40})
	require.NoError(t, err)
	require.Equal(t, standin.ExpectedText("digest of sheet 7", 40), text)

	url := "http://" + s.Entry.Addr + "/orders/commits"
	key := http.Header{"Idempotency-Key": {"commit-1"}}
	status, first, err := post(ctx, url, map[string]int{"drums": 1}, key)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	_, second, err := post(ctx, url, map[string]int{"drums": 1}, key)
	require.NoError(t, err)
	require.Equal(t, string(first), string(second))
	status, _, err = post(ctx, url, map[string]int{"drums": 2}, key)
	require.NoError(t, err)
	require.GreaterOrEqual(t, status, 400)
	require.Less(t, status, 500)
	requireAllReleased(t, s)
}

// Guards against a lost response when the decode engine is killed during the
// generation.
func TestDecodeEngineKilledDuringGeneration(t *testing.T) {
	s := startSystem(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := completion{Prompt: "a long haze plan", MaxTokens: 300}
	result := make(chan error, 1)
	go func() {
		text, err := complete(ctx, s, "/draft", c)
		if err == nil && text != standin.ExpectedText(c.Prompt, c.MaxTokens) {
			err = fmt.Errorf("the response is incomplete or wrong: %d bytes", len(text))
		}
		result <- err
	}()
	var killedEngine standin.Instance
	require.Eventually(t, func() bool {
		for _, u := range s.Upstreams {
			if _, ok := u.(*standin.Engine); ok && enginePieces(u) > 0 {
				killedEngine = u
				return true
			}
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	killedEngine.Kill()
	require.NoError(t, <-result)
}

// Guards against engine memory that stays occupied after callers disconnected at
// any stage of their requests.
func TestDisconnectedCallersFreeAllMemory(t *testing.T) {
	const callers = 200
	s := startSystem(t, Config{Upstreams: DefaultUpstreams(2, 3, 1)})
	rng := rand.New(rand.NewPCG(7, 7))
	var wg sync.WaitGroup
	for i := range callers {
		timeout := time.Duration(rng.IntN(1500)) * time.Millisecond
		startDelay := time.Duration(rng.IntN(1000)) * time.Millisecond
		prompt := strings.Repeat("log ", 10+rng.IntN(3000)) + fmt.Sprint(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(startDelay)
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, _ = complete(ctx, s, "/draft", completion{Prompt: prompt, MaxTokens: 200, Stream: i%2 == 0})
		}()
	}
	wg.Wait()
	requireAllReleased(t, s)
}

// Guards against a graceful shutdown that cuts off requests in flight.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	s := startSystem(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const requests = 8
	results := make(chan error, requests)
	for i := range requests {
		go func() {
			c := completion{Prompt: fmt.Sprintf("report %d", i), MaxTokens: 150}
			text, err := complete(ctx, s, "/draft", c)
			if err == nil && text != standin.ExpectedText(c.Prompt, c.MaxTokens) {
				err = fmt.Errorf("the response is incomplete or wrong: %d bytes", len(text))
			}
			results <- err
		}()
	}
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, s.Shutdown(ctx))
	for range requests {
		require.NoError(t, <-results)
	}
}

// Guards against callers that find their connections closed without a word, as if their
// calls had not been read, because the time to drain is over.
func TestDrainThatIsCutOffTellsCallersWhetherTheirCallsRan(t *testing.T) {
	upstreams := DefaultUpstreams(1, 2, 2)
	for i := range upstreams {
		if upstreams[i].Role == standin.RolePlain {
			upstreams[i].ServiceDelay = 5 * time.Second
		}
	}
	s := startSystem(t, Config{Upstreams: upstreams})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	url := "http://" + s.Entry.Addr
	var wg sync.WaitGroup
	call := func(url string, body any, key string) {
		wg.Go(func() {
			header := http.Header{}
			if key != "" {
				header.Set("Idempotency-Key", key)
			}
			status, answer, err := post(ctx, url, body, header)
			for strings.Contains(string(answer), `"no_upstream"`) {
				// The entry has no list of the plain services yet.
				time.Sleep(20 * time.Millisecond)
				status, answer, err = post(ctx, url, body, header)
			}
			if err != nil || status != http.StatusBadGateway || strings.Contains(string(answer), `"ran":"no"`) {
				t.Errorf("%s %q: status %d, %s, %v", url, key, status, answer, err)
			}
		})
	}
	call(url+"/orders/commits", "b", "")
	call(url+"/orders/commits", "b", "k")
	call(url+"/draft/v1/completions", completion{Prompt: "report", MaxTokens: 4000}, "")
	time.Sleep(time.Second)
	drainCtx, cancelDrain := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancelDrain()
	require.ErrorIs(t, s.Shutdown(drainCtx), context.DeadlineExceeded)
	wg.Wait()
}

// Guards against running requests that fail because the scheduler was killed, and
// against new requests that are lost while its successor takes over.
func TestSchedulerKilledUnderLoad(t *testing.T) {
	s := startSystem(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	results := make(chan error, 20)
	for i := range cap(results) {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := completion{Prompt: fmt.Sprintf("summary %d", i), MaxTokens: 60}
			text, err := complete(ctx, s, "/draft", c)
			if err == nil && text != standin.ExpectedText(c.Prompt, c.MaxTokens) {
				err = fmt.Errorf("the response is incomplete or wrong: %d bytes", len(text))
			}
			results <- err
		}()
	}
	time.Sleep(time.Second)
	s.Scheduler.Kill()
	require.NoError(t, s.StartScheduler())
	for range cap(results) {
		require.NoError(t, <-results)
	}
	requireAllReleased(t, s)
}
