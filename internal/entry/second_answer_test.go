package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// rawUpstream adds an upstream that answers with what respond returns for each request on
// a connection. last is the previous answer on it, "" for the first request.
func (f *fixture) rawUpstream(t *testing.T, respond func(r *http.Request, last string) string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, respond)
		}
	}()
	f.schedulers.upstreams = append(f.schedulers.upstreams, &pb.UpstreamStatus{
		State:  &pb.UpstreamState{Id: fmt.Sprintf("raw%d", len(f.schedulers.upstreams)), Url: "http://" + l.Addr().String()},
		Health: pb.UpstreamStatus_LIVE, Weight: 1,
	})
}

func serveRaw(conn net.Conn, respond func(r *http.Request, last string) string) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		last = respond(r, last)
		if _, err := io.WriteString(conn, last); err != nil || r.Close {
			return
		}
	}
}

// Guards against a caller that gets the answer of another caller's call, or a false "not
// run", because a service sent its earlier answer once more on a kept connection.
func TestSecondPlainAnswerIsNotTheAnswerToTheNextCall(t *testing.T) {
	for _, echo := range []bool{false, true} {
		t.Run(fmt.Sprintf("echo %v", echo), func(t *testing.T) {
			f := plainFixture(t)
			f.rawUpstream(t, func(r *http.Request, last string) string {
				header := ""
				if id := r.Header.Get("Router-Call-Id"); echo && id != "" {
					header = "Router-Call-Id: " + id + "\r\n"
				}
				if last != "" {
					// Only the earlier answer arrives before the call is answered.
					return last
				}
				if strings.HasSuffix(r.URL.Path, "/0") {
					return "HTTP/1.1 503 Busy\r\nRun-State: not-run\r\n" + header + "Content-Length: 0\r\n\r\n"
				}
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(r.URL.Path), r.URL.Path)
			})
			for i := range 4 {
				path := fmt.Sprintf("/orders/%d", i)
				resp, body := f.do(t, "POST", path, "", "b")
				require.Empty(t, resp.Header.Get("Router-Call-Id"))
				if i > 0 && resp.StatusCode != 200 {
					require.Contains(t, body, `"ran":"unknown"`, path)
				} else if i > 0 {
					require.Equal(t, path, body)
				}
			}
		})
	}
}

// Guards against net/http running a call again by itself when a kept connection breaks,
// because the caller sent a header that net/http takes for an idempotency key.
func TestCallWithForeignKeyHeaderIsNotResentByTheClient(t *testing.T) {
	var runs atomic.Int32
	f := plainFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Router-Call-Id", r.Header.Get("Router-Call-Id"))
		if r.Method == "POST" {
			crashHandler(&runs)(w, r)
		}
	})
	for range 3 {
		f.do(t, "GET", "/orders/stock", "", "")
	}
	r, err := http.NewRequest("POST", f.url+"/orders/x", strings.NewReader("b"))
	require.NoError(t, err)
	r.Header.Set("X-Idempotency-Key", "k")
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 502, resp.StatusCode)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a promise to a caller, or a recorded answer, that says "not run" in the
// name of a service that has not stated it, or has contradicted itself.
func TestUnstatedRejectionIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		status int
		header string
	}{
		{503, ""}, {429, ""}, {408, ""}, {421, ""}, {503, "Run-State: run\r\n"},
		{200, "Run-State: not-run\r\n"}, {201, "Run-State: not-run\r\n"}, {500, "Run-State: not-run\r\n"},
	} {
		for _, key := range []string{"", "k"} {
			f := plainFixture(t)
			f.rawUpstream(t, func(*http.Request, string) string {
				return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sRetry-After: 1\r\nContent-Length: 0\r\n\r\n", c.status, c.header)
			})
			resp, body := f.do(t, "POST", "/orders/reserve", key, "b")
			name := fmt.Sprintf("%d %q %q", c.status, c.header, key)
			require.Equal(t, 502, resp.StatusCode, name)
			require.Contains(t, body, `"code":"outcome_unknown"`, name)
			require.Contains(t, body, `"ran":"unknown"`, name)
			require.Empty(t, resp.Header.Get("Run-State"), name)
			require.Empty(t, resp.Header.Get("Retry-After"), name)
			for _, r := range f.control.recorded() {
				require.False(t, r.NotRun || r.Answer != nil, name)
			}
			f.requireFreed(t)
		}
	}
}
