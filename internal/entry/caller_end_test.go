package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against a caller that finds its connection closed without a word, as if its call
// had not been read, because the service broke off after the header of its answer.
func TestAnswerBrokenOffAfterItsHeaderIsReported(t *testing.T) {
	for _, c := range []struct{ method, path, code string }{
		{"POST", "/orders/reserve", `"code":"outcome_unknown"`},
		{"POST", "/orders/x", `"code":"upstream_failed"`},
		{"GET", "/orders/x", `"code":"upstream_failed"`},
	} {
		f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			w.Header().Set("X-Upstream", "u")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		resp, body := f.do(t, c.method, c.path, "", "b")
		require.Equal(t, 502, resp.StatusCode, body)
		require.Contains(t, body, c.code)
		require.Contains(t, body, `"ran":"yes"`)
		require.Empty(t, resp.Header.Get("X-Upstream"))
		f.requireFreed(t)
	}
}

// panicBody is a response body whose first or second read panics.
type panicBody struct{ first string }

func (b *panicBody) Read(p []byte) (int, error) {
	if b.first == "" {
		panic("planted")
	}
	n := copy(p, b.first)
	b.first = ""
	return n, nil
}

func (b *panicBody) Close() error { return nil }

type panicTransport struct{ first string }

func (p panicTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{Status: "200 OK", StatusCode: 200, Header: http.Header{}, ContentLength: 10, Body: &panicBody{first: p.first}}, nil
}

// Guards against a caller that finds its connection closed without a word after a fault of
// the entry, although its call was passed on.
func TestCallerIsAnsweredAfterAPanic(t *testing.T) {
	upstreams := []*pb.UpstreamStatus{{State: &pb.UpstreamState{Id: "u", Url: "http://u"}, Health: pb.UpstreamStatus_LIVE}}
	f := newFixture(t, func(o *Options) { o.Transport = panicTransport{} }, ordersRoute())
	f.schedulers.upstreams = upstreams
	resp, body := f.do(t, "POST", "/orders/reserve", "", "b")
	require.Equal(t, 500, resp.StatusCode)
	require.Contains(t, body, `"code":"internal_error"`)
	require.Contains(t, body, `"ran":"unknown"`)
	f.requireFreed(t)

	// A response that has begun is cut off.
	f = newFixture(t, func(o *Options) { o.Transport = panicTransport{first: "part"} }, ordersRoute())
	f.schedulers.upstreams = upstreams
	resp, err := http.Post(f.url+"/orders/reserve", "", nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	f.requireFreed(t)
}

// Guards against a rejected request whose caller sends no more of its body: it got no
// response, and its connection and request were kept for ever.
func TestRejectedRequestWithASlowBodyIsAnswered(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Timeouts.CallerRead = 100 * time.Millisecond }, ordersRoute())
	for path, status := range map[string]int{"/nowhere": 404, "/orders/x": 400} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 150000\r\n\r\nx", path)
		require.NoError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, path)
		require.Equal(t, status, resp.StatusCode)
	}
	f.requireFreed(t)
	// The connection is kept if the body arrives.
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	br := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, "POST /nowhere HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello")
		require.NoError(t, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.False(t, resp.Close)
	}
}

// Guards against an answer that was cut off and looks complete to a caller of HTTP/1.0, for
// whom a closed connection is the end of the answer.
func TestCutOffAnswerLooksCutOffToHTTP10(t *testing.T) {
	f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /orders/x HTTP/1.0\r\nHost: h.example\r\n\r\n")
	require.NoError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	body, err := io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET, "%q", body)
}
