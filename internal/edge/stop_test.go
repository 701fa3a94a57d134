package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/httpdrain"
	"godwitward.example/godwitward/platform"
	"godwitward.example/godwitward/platform/standin"
)

// stoppingEntry is an entry with the listener for callers of a daemon.
type stoppingEntry struct {
	t       *testing.T
	server  *forward.Server
	callers *http.Server
	drainer httpdrain.Drainer
	address string
	started chan standin.Run
}

func newStoppingEntry(t *testing.T, runners ...*standin.Runner) *stoppingEntry {
	e := &stoppingEntry{t: t, started: make(chan standin.Run, 16)}
	e.server = forward.NewServer(forward.Options{
		Protocol: platform.Headers{}, MaxBufferedBodyBytes: 1 << 20, Logger: &log.Logger{Level: log.PanicLevel},
		RetryLimits: func() forward.RetryLimits {
			return forward.RetryLimits{RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second, Entries: 1}
		},
	})
	t.Cleanup(e.server.Stop)
	body, err := (&standin.Config{Version: 1, PlainService: "plain", EngineService: "llm"}).Encode()
	require.NoError(t, err)
	config, err := platform.DecodeConfig(body)
	require.NoError(t, err)
	e.server.SetConfig(config)
	for _, r := range runners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r.OnStart, r.OnArrival = func(run standin.Run) { e.started <- run }, func(standin.Run) {}
		r.Start(l)
		t.Cleanup(r.Stop)
		record := &pb.UpstreamRecord{Id: r.ID, Service: r.Service, Address: l.Addr().String(), Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: 1, Sequence: 1, Slots: 8}
		if r.Stage == standin.StageDecode {
			record.Stage, record.Models = pb.EngineStage_ENGINE_STAGE_DECODE, []string{"m"}
		}
		e.server.SetUpstreams([]*pb.UpstreamRecord{record})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.address = l.Addr().String()
	e.callers = callersServer(e.server, &e.drainer)
	l = e.drainer.Listener(l)
	go func() { _ = e.callers.Serve(l) }()
	t.Cleanup(func() { _ = e.callers.Close() })
	return e
}

func (e *stoppingEntry) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", e.address)
	require.NoError(e.t, err)
	e.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// send sends a request as edited on a new connection.
func (e *stoppingEntry) send(path, id string, edit func([]byte) []byte) *bufio.Reader {
	c, rd := e.dial()
	e.write(c, path, id, edit)
	return rd
}

func (e *stoppingEntry) write(c net.Conn, path, id string, edit func([]byte) []byte) {
	req, err := standin.NewRequest(e.t.Context(), e.address, path, id, 4*time.Second)
	require.NoError(e.t, err)
	var b bytes.Buffer
	require.NoError(e.t, req.Write(&b))
	_, err = c.Write(edit(b.Bytes()))
	require.NoError(e.t, err)
}

func unchanged(b []byte) []byte { return b }

// Guards against a stop that ends requests in flight with a closed connection at the end of
// the grace period: a caller may take that for a request that was not read.
func TestRequestsInFlightAreAnsweredAtTheEndOfAStop(t *testing.T) {
	const gracePeriod = 3 * time.Second
	plain := &standin.Runner{ID: "i-1", Service: "plain", ServiceTime: time.Minute}
	engine := &standin.Runner{ID: "i-2", Service: "llm", Stage: standin.StageDecode, ServiceTime: 200 * time.Millisecond, Events: 1000}
	e := newStoppingEntry(t, plain, engine)
	ran := e.send("/commit/x", "ran", unchanged)
	<-e.started
	stream := e.send("/draft/x", "stream", unchanged)
	<-e.started
	asOldCaller := func(b []byte) []byte { return bytes.Replace(b, []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1) }
	oldRan := e.send("/commit/x", "old", asOldCaller)
	<-e.started
	oldStream := e.send("/draft/x", "old-stream", asOldCaller)
	arriving := e.send("/commit/x", "arriving", func(b []byte) []byte { return b[:len(b)-1] })
	var rest []byte
	c, lateHeader := e.dial()
	e.write(c, "/commit/x", "late", func(b []byte) []byte {
		rest = b[20:]
		return b[:20]
	})
	require.Eventually(t, func() bool { return e.server.InFlight() == 4 }, 2*time.Second, time.Millisecond)

	began := time.Now()
	stopped := make(chan error, 1)
	go func() {
		stopped <- drain(e.callers, &http.Server{}, &e.drainer, e.server, gracePeriod, &log.Logger{Level: log.PanicLevel})
	}()
	status := func(rd *bufio.Reader) int {
		resp, err := http.ReadResponse(rd, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp.StatusCode
	}
	require.Equal(t, http.StatusBadGateway, status(ran), "it may have run")
	resp, err := http.ReadResponse(oldRan, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run")
	require.EqualValues(t, len(body), resp.ContentLength, "without a length a cut off answer looks complete")
	require.Equal(t, http.StatusHTTPVersionNotSupported, status(oldStream), "a stream that is cut off would look complete")
	_, err = c.Write(rest)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status(lateHeader), "it has arrived since")
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(began), gracePeriod-shutdownMargin(gracePeriod)/2)
	// The process exits.
	_ = e.callers.Close()
	require.Equal(t, http.StatusServiceUnavailable, status(arriving), "it has not been sent")
	resp, err = http.ReadResponse(stream, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, err = io.Copy(io.Discard, resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the stream is not complete")
}
