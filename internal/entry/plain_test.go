package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

func ordersRoute() *pb.Route {
	return &pb.Route{
		Name: "orders", Path: "/orders", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, Service: "orderdesk", Region: "dohoku", DeadlineMs: 3000,
		NonRepeatable: []*pb.CallRule{{Method: "POST", PathPrefix: "/reserve"}},
	}
}

// plainFixture returns a fixture with the upstreams u0, u1, ..., one for each
// handler. A nil handler stands for an upstream that refuses connections.
func plainFixture(t testing.TB, handlers ...http.HandlerFunc) *fixture {
	f := newFixture(t, func(o *Options) { o.RetryRatio = 1 }, ordersRoute())
	for i, h := range handlers {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		if h == nil {
			srv.Close()
		}
		f.schedulers.upstreams = append(f.schedulers.upstreams, &pb.UpstreamStatus{
			State: &pb.UpstreamState{Id: fmt.Sprintf("u%d", i), Url: srv.URL}, Health: pb.UpstreamStatus_LIVE, Weight: 1,
		})
	}
	return f
}

func (f *fixture) do(t testing.TB, method, path, key, body string) (*http.Response, string) {
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(b)
}

// crashHandler counts the calls that it receives and closes the connection without
// a response.
func crashHandler(runs *atomic.Int32) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func okHandler(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }

// Guards against a call that is changed when it is forwarded: method, path, query,
// headers and body arrive as sent, without hop-by-hop headers.
func TestPlainCallIsForwardedUnchanged(t *testing.T) {
	f := plainFixture(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Seen", fmt.Sprintf("%s %s %s|%s|%s|%s|%s", r.Method, r.RequestURI, b, r.Host, r.Header.Get("X-Secret")+r.Header.Get("Te")+r.Header.Get("Proxy-Authorization"), r.Header.Get("X-Keep"), r.Header.Get("X-Request-Id")))
		w.Header().Set("X-Request-Id", "theirs")
		w.WriteHeader(418)
	})
	r, err := http.NewRequest("PROPFIND", f.url+"/orders/a%20b/?q=1&q=2", strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "shop.example"
	r.Header = http.Header{"Connection": {"X-Secret"}, "X-Secret": {"s"}, "X-Keep": {"k"}, "Te": {"trailers"}, "Proxy-Authorization": {"p"}}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	resp.Body.Close()
	id := resp.Header.Get("X-Request-Id")
	require.Equal(t, "PROPFIND /orders/a%20b/?q=1&q=2 body|shop.example||k|"+id, resp.Header.Get("X-Seen"))
	require.Equal(t, 418, resp.StatusCode)
	require.Empty(t, resp.Header.Get("X-Hop"))
	resp, body := f.do(t, "POST", "/orders/x/..%2f..%2freserve", "", "")
	require.Equal(t, 400, resp.StatusCode)
	require.Contains(t, body, `"code":"invalid_path"`)
}

// Guards against a retry of a call that may have run, and against a false "not
// run", when an upstream crashes before or after it received the call.
func TestUpstreamCrashes(t *testing.T) {
	for _, c := range []struct {
		name, method, path, key string
		refusesConn             bool // the upstream refuses the connection
		status                  int
		body                    string
		runs                    int32
	}{
		{"before send, repeatable", "POST", "/orders/x", "", true, 200, "done", 0},
		{"before send, non-repeatable", "POST", "/orders/reserve", "", true, 502, `"code":"upstream_failed","message":`, 0},
		{"before send, keyed", "POST", "/orders/reserve", "k", true, 200, "done", 0},
		{"after send, repeatable", "POST", "/orders/x", "", false, 502, `"code":"upstream_failed"`, 1},
		{"after send, idempotent method", "GET", "/orders/x", "", false, 200, "done", 1},
		{"after send, non-repeatable", "POST", "/orders/reserve", "", false, 502, `"code":"outcome_unknown"`, 1},
		{"after send, keyed", "POST", "/orders/reserve", "k", false, 502, `"code":"outcome_unknown"`, 1},
	} {
		var runs atomic.Int32
		var first http.HandlerFunc
		if !c.refusesConn {
			first = crashHandler(&runs)
		}
		f := plainFixture(t, first, okHandler)
		f.schedulers.upstreams[0].Weight = 1000 // always chosen first
		resp, body := f.do(t, c.method, c.path, c.key, "b")
		require.Equal(t, c.status, resp.StatusCode, "%s: %s", c.name, body)
		require.Contains(t, body, c.body, c.name)
		require.Equal(t, c.runs, runs.Load(), c.name)
		if c.status != 200 {
			want := `"ran":"unknown"`
			if c.refusesConn {
				want = `"ran":"no"`
			}
			require.Contains(t, body, want, c.name)
		}
		if c.key != "" {
			records := f.control.recorded()
			require.Len(t, records, 1, c.name)
			require.False(t, records[0].NotRun)
			require.Equal(t, c.refusesConn, records[0].Answer != nil, c.name)
		}
		f.requireFreed(t)
	}
}

// Guards against a call that is not retried although the upstream states that it
// did not run it.
func TestUpstreamRejectionIsRetried(t *testing.T) {
	f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Run-State", "not-run")
		w.WriteHeader(503)
	}, okHandler)
	f.schedulers.upstreams[0].Weight = 1000 // always chosen first
	for _, key := range []string{"", "k"} {
		resp, body := f.do(t, "POST", "/orders/x", key, "b")
		require.Equal(t, 200, resp.StatusCode, body)
	}
	resp, body := f.do(t, "POST", "/orders/reserve", "", "b")
	require.Equal(t, 502, resp.StatusCode)
	require.Contains(t, body, `"ran":"no"`)
}

// Guards against net/http retrying a keyed call without a body when a reused
// connection breaks after the upstream ran the call.
func TestKeyedCallIsNotRetriedOnReusedConnection(t *testing.T) {
	var runs atomic.Int32
	f := plainFixture(t, func(w http.ResponseWriter, r *http.Request) {
		// Keeps the connection.
		w.Header().Set("Router-Call-Id", r.Header.Get("Router-Call-Id"))
		if r.Method == "POST" {
			crashHandler(&runs)(w, r)
		}
	})
	for range 3 {
		f.do(t, "GET", "/orders/stock", "", "")
	}
	resp, _ := f.do(t, "POST", "/orders/reserve", "k", "")
	require.Equal(t, 502, resp.StatusCode)
	require.Equal(t, int32(1), runs.Load())
}

// Guards against a second run of a call with the same key, and against a call that
// is sent although its claim failed.
func TestClaimResultsDecideWhetherACallIsSent(t *testing.T) {
	var runs atomic.Int32
	f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(201)
		_, _ = w.Write([]byte("reserved"))
	})
	resp, body := f.do(t, "POST", "/orders/reserve", "k", "b")
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "reserved", body)
	recorded := f.control.recorded()[0].Answer
	require.Equal(t, "reserved", string(recorded.Body))

	for _, c := range []struct {
		resp   *pb.ClaimResponse
		status int
		body   string
	}{
		{&pb.ClaimResponse{Result: pb.ClaimResponse_RECORDED, Answer: recorded}, 201, "reserved"},
		{&pb.ClaimResponse{Result: pb.ClaimResponse_RECORDED, Answer: &pb.RecordedAnswer{Status: 200, BodyOmitted: true}}, 410, `"ran":"yes"`},
		{&pb.ClaimResponse{Result: pb.ClaimResponse_IN_PROGRESS}, 409, `"code":"call_in_progress"`},
		{&pb.ClaimResponse{Result: pb.ClaimResponse_OUTCOME_UNKNOWN}, 502, `"code":"outcome_unknown"`},
		{&pb.ClaimResponse{Result: pb.ClaimResponse_OTHER_BODY}, 422, `"ran":"no"`},
		{&pb.ClaimResponse{Result: pb.ClaimResponse_EXPIRED}, 410, `"ran":"unknown"`},
		{&pb.ClaimResponse{Result: pb.ClaimResponse_FULL}, 503, `"ran":"no"`},
		{nil, 503, `"code":"control_unavailable"`},
	} {
		f.control.claim = func(*pb.ClaimRequest) (*pb.ClaimResponse, error) {
			if c.resp == nil {
				return nil, errors.New("no leader")
			}
			return c.resp, nil
		}
		resp, body := f.do(t, "POST", "/orders/reserve", "k", "b")
		require.Equal(t, c.status, resp.StatusCode, body)
		require.Contains(t, body, c.body)
	}
	require.Equal(t, int32(1), runs.Load())
	require.True(t, f.control.recorded()[1].NotRun, "a claim without a response must be withdrawn")
}

// Guards against a response to a keyed call that is lost because its caller
// disconnected, or truncated because it is larger than the ledger stores.
func TestKeyedResponsesAreRecorded(t *testing.T) {
	reached, resume := make(chan struct{}), make(chan struct{})
	large := strings.Repeat("x", 3*maxRecordedBodyBytes)
	f := plainFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "large") {
			_, _ = io.WriteString(w, large)
			return
		}
		close(reached)
		<-resume
		okHandler(w, r)
	})
	_, body := f.do(t, "POST", "/orders/reserve/large", "k1", "b")
	require.Equal(t, large, body)
	require.True(t, f.control.recorded()[0].Answer.BodyOmitted)

	r, _ := http.NewRequest("POST", f.url+"/orders/reserve", nil)
	r.Header.Set("Idempotency-Key", "k2")
	go func() {
		client := http.Client{Timeout: 50 * time.Millisecond}
		_, _ = client.Do(r)
	}()
	<-reached
	time.Sleep(100 * time.Millisecond)
	close(resume)
	require.Eventually(t, func() bool { return len(f.control.recorded()) == 2 }, 2*time.Second, time.Millisecond)
	require.Equal(t, "done", string(f.control.recorded()[1].Answer.GetBody()))
	f.requireFreed(t)
}

// Guards against a truncated response that looks complete to the caller, and
// against an upstream that never responds and keeps a caller waiting past the
// deadline.
func TestTruncatedAndMissingResponses(t *testing.T) {
	f := plainFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "silent") {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	resp, err := http.Get(f.url + "/orders/cut")
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	resp.Body.Close()
	require.Error(t, err)
	started := time.Now()
	resp, body := f.do(t, "POST", "/orders/silent", "", "")
	require.Equal(t, 504, resp.StatusCode)
	require.Contains(t, body, `"code":"deadline_exceeded"`)
	require.Contains(t, body, `"ran":"unknown"`)
	require.InDelta(t, 3, time.Since(started).Seconds(), 1)
	f.requireFreed(t)
}

// Guards against new calls to an upstream that is not live, and against an equal
// share of calls for upstreams of unequal weight.
func TestPickerFollowsWeights(t *testing.T) {
	p := newPicker()
	var list []*pb.UpstreamStatus
	for i, weight := range []float64{1, 3, 1} {
		list = append(list, &pb.UpstreamStatus{State: &pb.UpstreamState{Id: fmt.Sprint(i)}, Weight: weight, Health: pb.UpstreamStatus_LIVE})
	}
	list[2].Health = pb.UpstreamStatus_LEAVING
	now := time.Unix(1, 0)
	for range 400 {
		p.pick(now, list, nil)
	}
	require.InDelta(t, 300, p.outstanding["1"], 30)
	require.Zero(t, p.outstanding["2"])
	p.done(now, "1", true)
	require.Equal(t, "0", p.pick(now, list, nil).State.Id, "an upstream in backoff must not be picked while another is available")
	require.Equal(t, "1", p.pick(now, list, []string{"0"}).State.Id, "an upstream in backoff must be picked if there is no other")
	require.Nil(t, p.pick(now, list, []string{"0", "1"}))
}
