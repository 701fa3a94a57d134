package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// unframedUpstream adds an upstream whose answers end with their connections. With killed
// the listener is closed before, as the kernel does for a process that is killed.
func (f *fixture) unframedUpstream(t *testing.T, answer string, killed bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+answer)
		// Part of the answer is with the entry before the process is killed.
		time.Sleep(20 * time.Millisecond)
		if killed {
			_ = l.Close()
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	f.schedulers.upstreams = append(f.schedulers.upstreams, &pb.UpstreamStatus{
		State: &pb.UpstreamState{Id: "u", Url: "http://" + l.Addr().String()}, Health: pb.UpstreamStatus_LIVE, Weight: 1,
	})
}

// Guards against an answer without a length that was cut off by the end of its process and
// is passed on, or recorded for ever, as a complete one.
func TestUnframedAnswerOfAKilledProcessIsNotComplete(t *testing.T) {
	for _, answer := range []string{"", "part", strings.Repeat("x", 2*bulkBytes)} {
		for _, key := range []string{"", "k"} {
			f := plainFixture(t)
			f.unframedUpstream(t, answer, true)
			r, err := http.NewRequestWithContext(context.Background(), "POST", f.url+"/orders/reserve", strings.NewReader("b"))
			require.NoError(t, err)
			if key != "" {
				r.Header.Set("Idempotency-Key", key)
			}
			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				require.Error(t, err, "%d bytes, key %q", len(answer), key)
			} else {
				require.Equal(t, 502, resp.StatusCode)
				require.Contains(t, string(body), `"code":"outcome_unknown"`)
			}
			for _, record := range f.control.recorded() {
				require.True(t, record.Answer == nil || record.Answer.BodyOmitted, "%d bytes, key %q", len(answer), key)
			}
			f.requireFreed(t)
		}
	}
}

// Guards against a complete answer without a length that is refused although its process
// is alive.
func TestUnframedAnswerOfAHealthyProcessIsPassedOn(t *testing.T) {
	for _, answer := range []string{"", "whole", strings.Repeat("x", 2*bulkBytes)} {
		for _, key := range []string{"", "k"} {
			f := plainFixture(t)
			f.unframedUpstream(t, answer, false)
			resp, body := f.do(t, "POST", "/orders/reserve", key, "b")
			require.Equal(t, 200, resp.StatusCode, body)
			require.Equal(t, answer, body)
			require.Equal(t, key != "", len(f.control.recorded()) == 1)
			f.requireFreed(t)
		}
	}
}

// Guards against a complete answer without a length that is refused because its process
// takes no more connections, which it resets.
func TestUnframedAnswerOfAFullProcessIsPassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for full := false; ; full = true {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if full {
				_ = conn.(*net.TCPConn).SetLinger(0)
			} else if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			}
			_ = conn.Close()
		}
	}()
	f := plainFixture(t)
	f.schedulers.upstreams = append(f.schedulers.upstreams, &pb.UpstreamStatus{
		State: &pb.UpstreamState{Id: "u", Url: "http://" + l.Addr().String()}, Health: pb.UpstreamStatus_LIVE, Weight: 1,
	})
	resp, body := f.do(t, "POST", "/orders/reserve", "", "b")
	require.Equal(t, 200, resp.StatusCode, body)
	require.Equal(t, "whole", body)
}
