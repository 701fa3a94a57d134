package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

const completionsPath = "/kiritani/draft/v1/completions"

func engineError(kind upstream.ErrorKind) error {
	return &upstream.Error{Kind: kind, Err: errors.New("injected")}
}

// blockUntilCancelled waits until the call is cancelled and returns an error with
// unknown outcome.
func blockUntilCancelled(ctx context.Context, reached chan<- struct{}) error {
	reached <- struct{}{}
	<-ctx.Done()
	return engineError(upstream.KindOutcomeUnknown)
}

// Guards against a hold or engine memory that stays occupied after the caller has
// disconnected, in every stage of the request.
func TestCallerDisconnectsAtEachStage(t *testing.T) {
	for _, stage := range []string{"queued", "prefill", "transfer", "decode start", "decode middle"} {
		for _, body := range []string{`{"prompt":"hello"}`, `{"prompt":"hello","stream":true}`} {
			// The default limits keep a stage from timing out on a slow machine.
			f := newFixture(t, func(o *Options) { o.StageLimits = request.DefaultLimits() })
			reached := make(chan struct{}, 10)
			switch stage {
			case "queued":
				f.schedulers.submit = func(ctx context.Context, r *pb.SubmitRequest) (*pb.SubmitResponse, error) {
					// The grant arrives after the submission was withdrawn.
					_ = blockUntilCancelled(ctx, reached)
					time.Sleep(20 * time.Millisecond)
					return f.schedulers.grant(r), nil
				}
			case "prefill":
				f.engine.prefill = func(ctx context.Context, _ *upstream.PrefillRequest) error { return blockUntilCancelled(ctx, reached) }
			case "transfer":
				f.engine.transfer = func(ctx context.Context, _ *upstream.ImportRequest) error { return blockUntilCancelled(ctx, reached) }
			default:
				f.engine.beforeToken = func(ctx context.Context, _ *upstream.DecodeRequest, offset int) error {
					if stage == "decode middle" && offset < 2 {
						return nil
					}
					return blockUntilCancelled(ctx, reached)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "POST", f.url+completionsPath, strings.NewReader(body))
			require.NoError(t, err)
			go func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}()
			<-reached
			cancel()
			require.Eventually(t, func() bool { return len(f.InFlight()) == 0 }, 5*time.Second, time.Millisecond)
			require.NoError(t, f.Drain(context.Background()))
			require.Zero(t, f.schedulers.openHolds(), "the drain ended before the hold was released")
			f.requireFreed(t)
			require.Len(t, f.schedulers.released, 1, stage)
		}
	}
}

// Guards against a hold that is not released while an engine is unreachable, and
// against a cancel that is not retried after a failure.
func TestCancelRetryDoesNotDelayRelease(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.StageLimits.MaxAttempts = 1 })
	f.engine.unreachable.Store(true)
	f.engine.transfer = func(context.Context, *upstream.ImportRequest) error { return engineError(upstream.KindStalled) }
	resp, _ := f.post(t, completionsPath, `{"prompt":"hello"}`)
	require.Equal(t, 502, resp.StatusCode)
	require.Eventually(t, func() bool { return f.schedulers.openHolds() == 0 }, 3*time.Second, time.Millisecond)
	require.Equal(t, 1, f.engine.occupiedCount())
	f.engine.unreachable.Store(false)
	f.requireFreed(t)
}

// Guards against a stalled decode stream that ends the answer: the entry opens a
// new connection and continues at the next token.
func TestStalledStreamResumesOnTheSameEngine(t *testing.T) {
	f := newFixture(t, nil)
	var stalled atomic.Bool
	f.engine.beforeToken = func(ctx context.Context, _ *upstream.DecodeRequest, offset int) error {
		if offset == 2 && !stalled.Swap(true) {
			<-ctx.Done()
			return engineError(upstream.KindOutcomeUnknown)
		}
		return nil
	}
	_, body := f.post(t, completionsPath, `{"prompt":"hello"}`)
	require.Contains(t, body, `"text":"t0 t1 t2 t3 "`)
	require.Equal(t, []int{0, 2}, f.engine.offsets)
	require.Len(t, f.engine.prompts, 1, "the prompt was prefilled again")
	f.requireFreed(t)
}

// Guards against an answer that is truncated or starts again when the decode engine
// is lost in the middle of it.
func TestEngineLostInMidAnswer(t *testing.T) {
	f := newFixture(t, nil)
	f.engine.beforeToken = func(_ context.Context, r *upstream.DecodeRequest, offset int) error {
		if r.Attempt == 1 && offset == 2 {
			return engineError(upstream.KindGone)
		}
		return nil
	}
	_, body := f.post(t, completionsPath, `{"prompt":"hello","max_tokens":9}`)
	require.Contains(t, body, `"text":"t0 t1 t0 t1 t2 t3 "`)
	require.Contains(t, body, `"completion_tokens":6`)
	require.Equal(t, []string{"hello", "hellot0 t1 "}, f.engine.prompts)
	second := f.schedulers.submits[1]
	require.Equal(t, []string{"d1"}, second.Exclude)
	require.Equal(t, uint32(7), second.MaxOutputTokens)
	f.requireFreed(t)
}

// Guards against a token that reaches the caller twice, or that belongs to an
// earlier attempt.
func TestLateDuplicateTokens(t *testing.T) {
	f := newFixture(t, nil)
	f.engine.extraTokens = func(tok upstream.Token) []upstream.Token {
		old := upstream.Token{Attempt: tok.Attempt - 1, Offset: tok.Offset + 1, Text: "old"}
		return []upstream.Token{tok, old, {Attempt: tok.Attempt, Text: "t0 "}}
	}
	_, body := f.post(t, completionsPath, `{"prompt":"hello"}`)
	require.Contains(t, body, `"text":"t0 t1 t2 t3 "`)
	f.requireFreed(t)
}

// Guards against an error in the middle of a stream that the caller takes for a
// complete answer.
func TestErrorInMidStreamIsAnEvent(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.StageLimits.MaxAttempts = 1 })
	f.engine.beforeToken = func(_ context.Context, _ *upstream.DecodeRequest, offset int) error {
		if offset == 2 {
			return engineError(upstream.KindGone)
		}
		return nil
	}
	resp, body := f.post(t, completionsPath, `{"prompt":"hello","stream":true}`)
	require.Equal(t, 200, resp.StatusCode)
	require.Contains(t, body, "event: error\ndata: {\"error\":{\"code\":\"upstream_failed\"")
	require.Contains(t, body, `"request_id":"`+resp.Header.Get("X-Request-Id")+`","ran":"yes"`)
	require.NotContains(t, body, "[DONE]")
	f.requireFreed(t)
}

// Guards against invalid input that reaches a scheduler or engine, and against an
// error response without a stable code.
func TestInvalidInputIsRefusedBeforeAnyUpstream(t *testing.T) {
	f := newFixture(t, nil, &pb.Route{Name: "small", Path: "/small", Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Models: []string{"m"}, MaxBodyBytes: 30})
	for _, c := range []struct {
		path, body string
		status     int
		code       Code
	}{
		{"/nowhere/v1/completions", `{}`, 404, CodeUnknownRoute},
		{"/kiritani/draft/v1/embeddings", `{}`, 404, CodeUnknownRoute},
		{completionsPath, `{"prompt":`, 400, CodeInvalidJSON},
		{completionsPath, `[]`, 400, CodeInvalidJSON},
		{completionsPath, `{"prompt":1}`, 400, CodeInvalidRequest},
		{completionsPath, `{"prompt":["a","b"]}`, 400, CodeInvalidRequest},
		{completionsPath, `{"prompt":"a","max_tokens":"x"}`, 400, CodeInvalidRequest},
		{completionsPath, `{"prompt":"a","max_tokens":0}`, 400, CodeInvalidRequest},
		{completionsPath, `{"prompt":"a","max_tokens":5000}`, 400, CodeInvalidRequest},
		{completionsPath, `{"prompt":"a","model":"other"}`, 404, CodeUnknownModel},
		{completionsPath, `{"prompt":"a","n":2}`, 400, CodeUnsupportedParameter},
		{completionsPath, `{"prompt":"a","stop":["x"]}`, 400, CodeUnsupportedParameter},
		{"/kiritani/draft/v1/chat/completions", `{"messages":[]}`, 400, CodeInvalidRequest},
		{"/kiritani/draft/v1/chat/completions", `{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, CodeInvalidRequest},
		{"/kiritani/draft/v1/chat/completions", `{"messages":[{"role":"user","content":"a"}],"tools":[{}]}`, 400, CodeUnsupportedParameter},
		{"/small/v1/completions", `{"prompt":"` + strings.Repeat("a", 40) + `"}`, 413, CodeBodyTooLarge},
	} {
		resp, body := f.post(t, c.path, c.body)
		require.Equal(t, c.status, resp.StatusCode, "%s %s: %s", c.path, c.body, body)
		require.Contains(t, body, `{"error":{"code":"`+string(c.code)+`"`, c.body)
		require.Contains(t, body, `"ran":"no"`)
	}
	resp, err := http.Get(f.url + completionsPath)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 405, resp.StatusCode)
	require.Empty(t, f.schedulers.submits)
	f.requireFreed(t)
}

// Guards against a refusal whose status, code, Retry-After or "ran" is wrong, so
// that the caller cannot decide whether and when to retry.
func TestSchedulerRefusals(t *testing.T) {
	f := newFixture(t, nil)
	for code, want := range map[pb.Refusal_Code]struct {
		status int
		code   Code
		retry  string
	}{
		pb.Refusal_OVERLOADED:  {429, CodeOverloaded, "3"},
		pb.Refusal_TOO_LATE:    {429, CodeOverloaded, "3"},
		pb.Refusal_NO_UPSTREAM: {503, CodeNoUpstream, "3"},
		pb.Refusal_TOO_LARGE:   {413, CodePromptTooLarge, ""},
	} {
		refusal := &pb.Refusal{Code: code}
		if want.retry != "" {
			refusal.RetryAfterMs = 2500
		}
		f.schedulers.submit = func(context.Context, *pb.SubmitRequest) (*pb.SubmitResponse, error) {
			return &pb.SubmitResponse{Result: &pb.SubmitResponse_Refusal{Refusal: refusal}}, nil
		}
		resp, body := f.post(t, completionsPath, `{"prompt":"a"}`)
		require.Equal(t, want.status, resp.StatusCode)
		require.Equal(t, want.retry, resp.Header.Get("Retry-After"))
		require.Contains(t, body, string(want.code))
		require.Contains(t, body, `"ran":"no"`)
	}
	require.Empty(t, f.engine.prompts)
}

// Guards against an isolated entry that accepts requests, and against one that
// rejects requests of routes that are configured to continue.
func TestEntryWithoutServingLease(t *testing.T) {
	f := newFixture(t, nil, &pb.Route{
		Name: "last", Path: "/last", Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Models: []string{"m"},
		Isolation: pb.IsolationMode_ISOLATION_MODE_CONTINUE_WITH_LAST,
	})
	f.control.notServing.Store(true)
	resp, body := f.post(t, completionsPath, `{"prompt":"a"}`)
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, `"code":"not_serving"`)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	resp, _ = f.post(t, "/last/v1/completions", `{"prompt":"a"}`)
	require.Equal(t, 200, resp.StatusCode)
	resp, err := http.Get(f.url + "/readyz")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 503, resp.StatusCode)
}

// Guards against a drain that truncates an answer, ends before a hold is released,
// or accepts new requests.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	f := newFixture(t, nil)
	reached, resume := make(chan struct{}, 1), make(chan struct{})
	f.engine.beforeToken = func(_ context.Context, _ *upstream.DecodeRequest, offset int) error {
		if offset == 2 {
			reached <- struct{}{}
			<-resume
		}
		return nil
	}
	response := make(chan string, 1)
	go func() {
		resp, err := http.Post(f.url+completionsPath, "", strings.NewReader(`{"prompt":"a","stream":true}`))
		if err != nil {
			response <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		response <- string(b)
	}()
	<-reached
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	require.Eventually(t, f.rejectingNew.Load, time.Second, time.Millisecond)
	resp, body := f.post(t, completionsPath, `{"prompt":"a"}`)
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, `"code":"shutting_down"`)
	require.Equal(t, uint32(1), f.InFlight()[0].Count)
	select {
	case <-drained:
		t.Fatal("the drain ended before the request")
	case <-time.After(20 * time.Millisecond):
	}
	close(resume)
	require.Contains(t, <-response, "t3 ")
	require.NoError(t, <-drained)
	require.Zero(t, f.schedulers.openHolds())
}

// Guards against a caller that stops reading and thereby keeps engine memory
// occupied.
func TestSlowReaderDoesNotHoldTheEngine(t *testing.T) {
	const tokens = 100_000 // about 14 MB of events, more than the socket buffers take
	f := newFixture(t, nil, &pb.Route{Name: "long", Path: "/long", Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Models: []string{"m"}, MaxOutputTokens: tokens})
	f.engine.tokens = tokens
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	body := `{"prompt":"a","stream":true,"max_tokens":100000}`
	_, err = conn.Write([]byte("POST /long/v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 48\r\n\r\n" + body))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return len(f.engine.offsetsSeen()) > 0 && f.engine.occupiedCount() == 0 && f.schedulers.openHolds() == 0
	}, 10*time.Second, time.Millisecond)
	require.Len(t, f.InFlight(), 1, "the output was not buffered for the caller")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	all, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, tokens+2, strings.Count(string(all), "data: "))
}

// Guards against memory use above Limits, and against a rejected request that is not
// reported as not run.
func TestRequestsAboveLimitsAreNotRun(t *testing.T) {
	for name, limit := range map[string]func(*Limits){
		"requests": func(l *Limits) { l.Requests = 1 },
		"bodies":   func(l *Limits) { l.BodyBytes = 20 },
		"answers":  func(l *Limits) { l.ResponseBytes = 100 },
	} {
		f := newFixture(t, func(o *Options) { limit(&o.Limits) })
		reached := make(chan struct{}, 10)
		f.engine.prefill = func(ctx context.Context, _ *upstream.PrefillRequest) error { return blockUntilCancelled(ctx, reached) }
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequestWithContext(ctx, "POST", completionsPath, strings.NewReader(`{"prompt":"a"}`))
		go f.Handler().ServeHTTP(httptest.NewRecorder(), r)
		<-reached
		resp, body := f.post(t, completionsPath, `{"prompt":"a"}`)
		require.Equal(t, 503, resp.StatusCode, name)
		require.Contains(t, body, `"code":"entry_full"`)
		require.Contains(t, body, `"ran":"no"`)
		cancel()
		f.requireFreed(t)
	}
}

// Guards against callers that can announce upstreams although announcements have a
// separate listener.
func TestSeparateAnnouncements(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.SeparateAnnouncements = true })
	body := `{"id":"u","url":"http://127.0.0.1:1","role":"plain","place":"p","region":"r","service":"s"}`
	resp, _ := f.post(t, "/upstreams/announce", body)
	require.Equal(t, 404, resp.StatusCode)
	require.Empty(t, f.schedulers.announcements)
	w := httptest.NewRecorder()
	f.AnnounceHandler().ServeHTTP(w, httptest.NewRequest("POST", "/upstreams/announce", strings.NewReader(body)))
	require.Equal(t, 204, w.Code)
}

// Guards against an invalid announcement that reaches a scheduler, and against an
// error that names only one of several invalid fields.
func TestAnnouncements(t *testing.T) {
	f := newFixture(t, nil)
	resp, body := f.post(t, "/upstreams/announce", `{"id":"u","url":"ftp://x","role":"decode","region":"r","service":"s"}`)
	require.Equal(t, 400, resp.StatusCode)
	for _, field := range []string{"place", "url", "models", "total_pieces", "piece_tokens"} {
		require.Contains(t, body, field+": ")
	}
	require.Empty(t, f.schedulers.announcements)
	resp, body = f.post(t, "/upstreams/announce", `{"id":"u","url":"http://127.0.0.1:1","role":"plain","place":"p","region":"r","service":"s","load":{"running":3}}`)
	require.Equal(t, 204, resp.StatusCode, body)
	require.Equal(t, uint32(3), f.schedulers.announcements[0].Upstreams[0].Running)
}

func (e *fakeEngine) offsetsSeen() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int(nil), e.offsets...)
}
