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

const startLimit = 20 * time.Second

func startSystem(t *testing.T, cfg Config) *System {
	t.Helper()
	cfg.DataDir = t.TempDir()
	if cfg.Routes == nil {
		cfg.Routes = DefaultRoutes()
	}
	if cfg.Upstreams == nil {
		cfg.Upstreams = DefaultUpstreams(1, 2, 2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
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
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// complete returns the text of a whole answer.
func complete(ctx context.Context, s *System, route string, c completion) (string, error) {
	status, body, err := post(ctx, "http://"+s.Entry.Addr+route+"/v1/completions", c, nil)
	if err != nil {
		return "", err
	}
	var answer struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(body, &answer); err != nil || status != http.StatusOK || len(answer.Choices) != 1 {
		return "", fmt.Errorf("status %d: %s", status, body)
	}
	return answer.Choices[0].Text, nil
}

// heldByEngine returns the pieces that an engine occupies; a dead one has none.
func heldByEngine(u standin.Instance) int {
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

// heldPieces sums what engines occupy and what the schedulers hold. While a
// lease moves, the store cannot reach the holder and answers with an error.
func heldPieces(s *System) (engines, holds int, err error) {
	for _, u := range s.Upstreams {
		if _, ok := u.(*standin.Engine); ok {
			engines += heldByEngine(u)
		}
	}
	resp, err := s.Operator.ListRequests(context.Background(), connect.NewRequest(&pb.ListRequestsRequest{}))
	if err != nil {
		return engines, 0, err
	}
	return engines, len(resp.Msg.Holds), nil
}

func requireNothingHeld(t *testing.T, s *System) {
	t.Helper()
	require.Eventually(t, func() bool {
		engines, holds, err := heldPieces(s)
		return err == nil && engines == 0 && holds == 0
	}, 10*time.Second, 50*time.Millisecond, "engine memory or holds are still occupied")
}

// Guards against any break of the whole path: an answer that is not whole, a
// plain call that does not pass, a claimed call that runs twice.
func TestWholePath(t *testing.T) {
	s := startSystem(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
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
	requireNothingHeld(t, s)
}

// Guards against a caller losing its answer when the decode engine dies in the
// middle of it.
func TestEngineKilledInMidAnswer(t *testing.T) {
	s := startSystem(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := completion{Prompt: "a long haze plan", MaxTokens: 300}
	result := make(chan error, 1)
	go func() {
		text, err := complete(ctx, s, "/draft", c)
		if err == nil && text != standin.ExpectedText(c.Prompt, c.MaxTokens) {
			err = fmt.Errorf("the answer is not whole: %d bytes", len(text))
		}
		result <- err
	}()
	var victim standin.Instance
	require.Eventually(t, func() bool {
		for _, u := range s.Upstreams {
			if _, ok := u.(*standin.Engine); ok && heldByEngine(u) > 0 {
				victim = u
				return true
			}
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	victim.Kill()
	require.NoError(t, <-result)
}

// Guards against engine memory that stays occupied after callers left at any
// stage of their requests.
func TestCallersWhoLeaveFreeAllMemory(t *testing.T) {
	const callers = 200
	s := startSystem(t, Config{Upstreams: DefaultUpstreams(2, 3, 1)})
	rng := rand.New(rand.NewPCG(7, 7))
	var wg sync.WaitGroup
	for i := range callers {
		stay := time.Duration(rng.IntN(1500)) * time.Millisecond
		start := time.Duration(rng.IntN(1000)) * time.Millisecond
		prompt := strings.Repeat("log ", 10+rng.IntN(3000)) + fmt.Sprint(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(context.Background(), stay)
			defer cancel()
			_, _ = complete(ctx, s, "/draft", completion{Prompt: prompt, MaxTokens: 200, Stream: i%2 == 0})
		}()
	}
	wg.Wait()
	requireNothingHeld(t, s)
}

// Guards against a stop that cuts off requests in flight.
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
				err = fmt.Errorf("the answer is not whole: %d bytes", len(text))
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

// Guards against running streams that depend on the scheduler, and against
// requests that are lost while another one takes over.
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
				err = fmt.Errorf("the answer is not whole: %d bytes", len(text))
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
	requireNothingHeld(t, s)
}
