package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/upstream"
)

// fakeControl is a control store. It grants every claim unless claim is set.
type fakeControl struct {
	config     atomic.Pointer[pb.Config]
	notServing atomic.Bool

	mu      sync.Mutex
	claim   func(*pb.ClaimRequest) (*pb.ClaimResponse, error)
	records []*pb.RecordRequest
	// recordErr makes RecordOutcome fail.
	recordErr error
}

func (c *fakeControl) Config() *pb.Config { return c.config.Load() }
func (c *fakeControl) Serving() bool      { return !c.notServing.Load() }

func (c *fakeControl) Claim(_ context.Context, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim == nil {
		return &pb.ClaimResponse{Result: pb.ClaimResponse_CLAIMED}, nil
	}
	return c.claim(r)
}

func (c *fakeControl) RecordOutcome(_ context.Context, r *pb.RecordRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recordErr != nil {
		return c.recordErr
	}
	c.records = append(c.records, r)
	return nil
}

func (c *fakeControl) recorded() []*pb.RecordRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*pb.RecordRequest(nil), c.records...)
}

// fakeSchedulers grants every submission unless submit is set, and tracks the holds
// that are not released.
type fakeSchedulers struct {
	mu            sync.Mutex
	grantCount    int
	holds         map[string]bool
	released      []*pb.ReleaseRequest
	submits       []*pb.SubmitRequest
	announcements []*pb.AnnounceRequest
	upstreams     []*pb.UpstreamStatus
	submit        func(ctx context.Context, r *pb.SubmitRequest) (*pb.SubmitResponse, error)
}

func (f *fakeSchedulers) SetPools([]string) {}

func (f *fakeSchedulers) Submit(ctx context.Context, r *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	f.mu.Lock()
	f.submits = append(f.submits, r)
	submit := f.submit
	f.mu.Unlock()
	if submit != nil {
		return submit(ctx, r)
	}
	return f.grant(r), nil
}

// grant creates a hold on the engines p<n> and d<n>, where n is the attempt.
func (f *fakeSchedulers) grant(r *pb.SubmitRequest) *pb.SubmitResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grantCount++
	id := "h" + string(rune('0'+f.grantCount%10)) + r.RequestId
	f.holds[id] = true
	n := string(rune('0' + r.Attempt))
	return &pb.SubmitResponse{Result: &pb.SubmitResponse_Grant{Grant: &pb.Grant{
		HoldId:  id,
		Prefill: &pb.UpstreamAddress{Id: "p" + n, Url: "p" + n},
		Decode:  &pb.UpstreamAddress{Id: "d" + n, Url: "d" + n},
	}}}
}

func (f *fakeSchedulers) Progress(string, *pb.ProgressRequest) {}

func (f *fakeSchedulers) Release(_ string, r *pb.ReleaseRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.holds, r.HoldId)
	f.released = append(f.released, r)
}

func (f *fakeSchedulers) Announce(_ context.Context, _ string, r *pb.AnnounceRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcements = append(f.announcements, r)
	return nil
}

func (f *fakeSchedulers) Upstreams(string) []*pb.UpstreamStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams
}

func (f *fakeSchedulers) Pending() int { return 0 }

func (f *fakeSchedulers) openHolds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.holds)
}

// fakeEngine generates "t0 t1 ..." and tracks the requests that occupy its memory.
// The hooks change its behaviour.
type fakeEngine struct {
	upstream.Engine
	tokens   int
	prefill  func(ctx context.Context, r *upstream.PrefillRequest) error
	transfer func(ctx context.Context, r *upstream.ImportRequest) error
	// beforeToken runs before each token. An error ends the stream.
	beforeToken func(ctx context.Context, r *upstream.DecodeRequest, offset int) error
	// extraTokens returns the tokens that the engine sends after a token.
	extraTokens func(upstream.Token) []upstream.Token
	// unreachable makes Cancel fail.
	unreachable atomic.Bool

	mu       sync.Mutex
	occupied map[string]bool
	prompts  []string
	offsets  []int
}

func newFakeEngine(tokens int) *fakeEngine {
	return &fakeEngine{tokens: tokens, occupied: map[string]bool{}}
}

func (e *fakeEngine) Prefill(ctx context.Context, r *upstream.PrefillRequest) (*upstream.PrefillResult, error) {
	e.mu.Lock()
	e.prompts = append(e.prompts, r.Prompt)
	e.mu.Unlock()
	if e.prefill != nil {
		if err := e.prefill(ctx, r); err != nil {
			return nil, err
		}
	}
	return &upstream.PrefillResult{Handle: "kv", PromptTokens: upstream.EstimateTokens(len(r.Prompt))}, nil
}

func (e *fakeEngine) Import(ctx context.Context, r *upstream.ImportRequest) error {
	e.mu.Lock()
	e.occupied[r.RequestID] = true
	e.mu.Unlock()
	if e.transfer != nil {
		return e.transfer(ctx, r)
	}
	return nil
}

func (e *fakeEngine) Decode(ctx context.Context, r *upstream.DecodeRequest) (upstream.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offsets = append(e.offsets, r.Offset)
	return &fakeStream{engine: e, ctx: ctx, req: r, offset: r.Offset}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, r *upstream.CancelRequest) error {
	if e.unreachable.Load() {
		return &upstream.Error{Kind: upstream.KindNotSent, Err: io.ErrUnexpectedEOF}
	}
	e.release(r.RequestID)
	return nil
}

func (e *fakeEngine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.occupied, id)
}

func (e *fakeEngine) occupiedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.occupied)
}

type fakeStream struct {
	engine *fakeEngine
	ctx    context.Context
	req    *upstream.DecodeRequest
	offset int
	queue  []upstream.Token
}

var fakeTexts = [...]string{"t0 ", "t1 ", "t2 ", "t3 ", "t4 ", "t5 ", "t6 ", "t7 ", "t8 ", "t9 "}

func (s *fakeStream) Next() (upstream.Token, error) {
	if len(s.queue) > 0 {
		t := s.queue[0]
		s.queue = s.queue[1:]
		return t, nil
	}
	if s.engine.beforeToken != nil {
		if err := s.engine.beforeToken(s.ctx, s.req, s.offset); err != nil {
			return upstream.Token{}, err
		}
	}
	if s.ctx.Err() != nil {
		return upstream.Token{}, &upstream.Error{Kind: upstream.KindOutcomeUnknown, Err: s.ctx.Err()}
	}
	if s.offset >= s.engine.tokens {
		return upstream.Token{}, io.EOF
	}
	t := upstream.Token{Attempt: s.req.Attempt, Offset: s.offset, Text: fakeTexts[s.offset%10]}
	s.offset++
	if s.offset == s.engine.tokens {
		t.Finish = "stop"
		s.engine.release(s.req.RequestID)
	}
	if s.engine.extraTokens != nil {
		s.queue = s.engine.extraTokens(t)
	}
	return t, nil
}

func (s *fakeStream) Close() error { return nil }

// fixture is a server with a fake control store, fake schedulers and a fake engine.
type fixture struct {
	*Server
	url        string
	control    *fakeControl
	schedulers *fakeSchedulers
	engine     *fakeEngine
	recorder   *timeline.Recorder
}

func newFixture(t testing.TB, configure func(*Options), routes ...*pb.Route) *fixture {
	f := &fixture{
		control: &fakeControl{}, schedulers: &fakeSchedulers{holds: map[string]bool{}}, engine: newFakeEngine(4),
		recorder: timeline.NewRecorder(timeline.NewClock(nil), "vm", "entry", nil, 0),
	}
	f.control.config.Store(&pb.Config{Version: 1, Routes: append(routes,
		&pb.Route{Name: "draft", Path: "/kiritani/draft", Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Service: "draftwell", Region: "dohoku", Models: []string{"m1", "m2"}},
	)})
	stages := request.DefaultLimits()
	stages.QueueTimeout, stages.StallTimeout, stages.TransferTimeout, stages.PrefillTimeout = time.Second, 200*time.Millisecond, 200*time.Millisecond, 500*time.Millisecond
	opts := Options{
		ID: "e1", Control: f.control, Schedulers: f.schedulers, Recorder: f.recorder, StageLimits: stages,
		Engine: func(string) upstream.Engine { return f.engine },
	}
	if configure != nil {
		configure(&opts)
	}
	s, err := New(opts)
	require.NoError(t, err)
	f.Server = s
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	f.url = srv.URL
	return f
}

func (f *fixture) post(t testing.TB, path, body string) (*http.Response, string) {
	resp, err := http.Post(f.url+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("X-Request-Id"))
	return resp, string(b)
}

// requireFreed waits until no hold, engine memory, request or quota is in use.
func (f *fixture) requireFreed(t testing.TB) {
	require.Eventually(t, func() bool {
		return f.schedulers.openHolds() == 0 && f.engine.occupiedCount() == 0 && len(f.InFlight()) == 0 &&
			f.requestQuota.used.Load() == 0 && f.bodyQuota.used.Load() == 0 && f.responseQuota.used.Load() == 0
	}, 5*time.Second, 2*time.Millisecond, "a hold, engine memory, a request or a quota was not released")
}

// Guards against a response that clients of the completions APIs cannot parse.
func TestCompletionResponses(t *testing.T) {
	f := newFixture(t, nil)
	resp, body := f.post(t, "/kiritani/draft/v1/completions", `{"prompt":"hello","max_tokens":8}`)
	require.Equal(t, 200, resp.StatusCode, body)
	require.Contains(t, body, `"object":"text_completion"`)
	require.Contains(t, body, `"text":"t0 t1 t2 t3 "`)
	require.Contains(t, body, `"finish_reason":"stop"`)
	require.Contains(t, body, `"usage":{"prompt_tokens":2,"completion_tokens":4,"total_tokens":6}`)

	resp, body = f.post(t, "/kiritani/draft/v1/chat/completions", `{"model":"m2","stream":true,"messages":[{"role":"user","content":"hi"}]}`)
	require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
	require.Equal(t, 4, strings.Count(body, `"delta":{"content":"t`))
	require.True(t, strings.HasSuffix(body, "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"), body)
	f.requireFreed(t)
}
