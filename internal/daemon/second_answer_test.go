package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/upstream"
)

// Guards against a request that gets the KV cache of another caller's request, because an
// engine sent its earlier answer once more on a kept connection.
func TestSecondAnswerIsNotTheAnswerToTheNextCall(t *testing.T) {
	for _, echo := range []bool{false, true} {
		t.Run(fmt.Sprintf("echo %v", echo), func(t *testing.T) {
			url := startRepeatingEngine(t, echo)
			engine := upstream.NewHTTPEngine(url, newEngineClient())
			for i := range 6 {
				id := fmt.Sprintf("r%d", i)
				result, err := engine.Prefill(context.Background(), &upstream.PrefillRequest{RequestID: id, Attempt: 1})
				if err != nil {
					require.Equal(t, upstream.KindOutcomeUnknown, upstream.KindOf(err))
					require.True(t, echo, "without the call id no connection may carry a second call: %v", err)
					continue
				}
				require.Equal(t, id, result.Handle)
			}
		})
	}
}

// Guards against a prefill that runs at a host that no hold names, where no cancel reaches
// it, and against the answer of that host.
func TestEngineCallsFollowNoRedirect(t *testing.T) {
	var runs atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = w.Write([]byte(`{"handle":"other"}`))
	}))
	defer other.Close()
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		engine := httptest.NewServer(http.RedirectHandler(other.URL, status))
		defer engine.Close()
		_, err := upstream.NewHTTPEngine(engine.URL, newEngineClient()).Prefill(context.Background(), &upstream.PrefillRequest{RequestID: "r", Attempt: 1})
		require.Equal(t, upstream.KindFailed, upstream.KindOf(err), "status %d: %v", status, err)
	}
	require.Zero(t, runs.Load())
}

// startRepeatingEngine starts an engine that sends each answer once more when the next
// request has arrived on the connection. The handle of a prefill is its request id.
func startRepeatingEngine(t *testing.T, echo bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(conn, echo)
		}
	}()
	return "http://" + l.Addr().String()
}

func repeatAnswers(conn net.Conn, echo bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var body upstream.PrefillRequest
		if json.NewDecoder(req.Body).Decode(&body) != nil {
			return
		}
		header := ""
		if id := req.Header.Get("Router-Call-Id"); echo && id != "" {
			header = "Router-Call-Id: " + id + "\r\n"
		}
		content := fmt.Sprintf(`{"handle":%q}`, body.RequestID)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(content), content)
		if _, err := conn.Write([]byte(last + answer)); err != nil || req.Close {
			return
		}
		last = answer
	}
}
