package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

const benchTokens = 200

// directHandler streams the fake engine's tokens without the entry, with the same
// engine calls.
func directHandler(e *fakeEngine) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		rc := http.NewResponseController(w)
		id := newRequestID()
		_, _ = e.Prefill(ctx, &upstream.PrefillRequest{RequestID: id, Prompt: "hello"})
		_ = e.Import(ctx, &upstream.ImportRequest{RequestID: id})
		stream, _ := e.Decode(ctx, &upstream.DecodeRequest{RequestID: id})
		for {
			t, err := stream.Next()
			if err != nil {
				return
			}
			_, _ = w.Write([]byte(`data: {"choices":[{"text":"` + t.Text + "\"}]}\n\n"))
			_ = rc.Flush()
		}
	}
}

// measureTokens returns the time to the first token and the mean delay from when
// the engine generates a token to when the caller receives it.
func measureTokens(b *testing.B, url string, sent *[benchTokens]time.Time) (first, delay time.Duration) {
	started := time.Now()
	resp, err := http.Post(url, "", strings.NewReader(fmt.Sprintf(`{"prompt":"hello","stream":true,"max_tokens":%d}`, benchTokens)))
	require.NoError(b, err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for n := 0; n < benchTokens; {
		line, err := lines.ReadSlice('\n')
		require.NoError(b, err)
		if !bytes.Contains(line, []byte(`"text":"t`)) {
			continue
		}
		if n == 0 {
			first = time.Since(started)
		}
		delay += time.Since(sent[n])
		n++
	}
	for err = nil; err == nil; {
		_, err = lines.ReadSlice('\n')
	}
	return first, delay / benchTokens
}

// BenchmarkAddedTime alternates direct calls and calls through the entry to the
// same engine, which sends a token every millisecond.
func BenchmarkAddedTime(b *testing.B) {
	f := newFixture(b, nil)
	f.engine.tokens = benchTokens
	var sent [benchTokens]time.Time
	f.engine.beforeToken = func(_ context.Context, _ *upstream.DecodeRequest, offset int) error {
		if offset > 0 {
			time.Sleep(time.Millisecond)
		}
		if offset < benchTokens {
			sent[offset] = time.Now()
		}
		return nil
	}
	direct := httptest.NewServer(directHandler(f.engine))
	defer direct.Close()
	var totals [4]time.Duration
	measureTokens(b, direct.URL, &sent)
	measureTokens(b, f.url+completionsPath, &sent)
	for b.Loop() {
		first, delay := measureTokens(b, direct.URL, &sent)
		totals[0], totals[1] = totals[0]+first, totals[1]+delay
		first, delay = measureTokens(b, f.url+completionsPath, &sent)
		totals[2], totals[3] = totals[2]+first, totals[3]+delay
	}
	for i, name := range []string{"direct-ttft-us", "direct-us/token", "entry-ttft-us", "entry-us/token"} {
		b.ReportMetric(float64(totals[i].Nanoseconds())/1000/float64(b.N), name)
	}
}

// discardWriter is a response writer that discards its data and never blocks.
type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// BenchmarkAllocationsPerToken measures answers of two lengths. The difference is
// the cost of the tokens without that of the request.
func BenchmarkAllocationsPerToken(b *testing.B) {
	const short, long = 100, 1100
	measure := func(tokens int) (allocs, size float64) {
		f := newFixture(b, nil)
		f.engine.tokens = tokens
		h := f.Handler()
		run := func() {
			r := httptest.NewRequest("POST", completionsPath, strings.NewReader(`{"prompt":"hello","stream":true,"max_tokens":2000}`))
			h.ServeHTTP(discardWriter{http.Header{}}, r)
		}
		run()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 200 {
			run()
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / 200, float64(after.TotalAlloc-before.TotalAlloc) / 200
	}
	for b.Loop() {
		shortAllocs, shortSize := measure(short)
		longAllocs, longSize := measure(long)
		b.ReportMetric((longAllocs-shortAllocs)/(long-short), "allocs/token")
		b.ReportMetric((longSize-shortSize)/(long-short), "B/token")
		b.ReportMetric(shortAllocs, "allocs/request-of-100")
		b.ReportMetric(shortSize, "B/request-of-100")
	}
}

// BenchmarkWaitingRequests measures the memory of requests that wait for a grant,
// with their connections, prompts of 1 KB and, with sessions, the client and the
// server side of the submissions.
func BenchmarkWaitingRequests(b *testing.B) {
	for _, withSessions := range []bool{false, true} {
		for _, n := range []int{500, 1500, 3000, 5000} {
			b.Run(fmt.Sprintf("sessions=%v/%d", withSessions, n), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(waitingMemory(b, n, withSessions))/float64(n), "B/request")
				}
			})
		}
	}
}

func waitingMemory(b *testing.B, n int, withSessions bool) int64 {
	var schedulerClients *SchedulerClients
	stop := make(chan struct{})
	waiting := make(chan struct{}, n)
	f := newFixture(b, func(o *Options) {
		o.StageLimits.QueueTimeout = time.Minute
		o.Limits.Requests = int64(n)
		if !withSessions {
			return
		}
		s := startFakeScheduler(b, 1)
		s.lease.Name = "draftwell/dohoku"
		s.submit = func() (*pb.SubmitResponse, error) {
			waiting <- struct{}{}
			<-stop
			return &pb.SubmitResponse{}, nil
		}
		schedulerClients, _ = startSchedulerClients(b, s)
		o.Schedulers = schedulerClients
	})
	f.schedulers.submit = func(context.Context, *pb.SubmitRequest) (*pb.SubmitResponse, error) {
		waiting <- struct{}{}
		<-stop
		return &pb.SubmitResponse{}, nil
	}
	body := `{"prompt":"` + strings.Repeat("a", 1000) + `"}`
	rawRequest := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", completionsPath, len(body), body)
	conns := make([]net.Conn, n)
	before := memoryInUse()
	for i := range conns {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		require.NoError(b, err)
		_, err = conn.Write([]byte(rawRequest))
		require.NoError(b, err)
		conns[i] = conn
	}
	for range n {
		<-waiting
	}
	used := memoryInUse() - before
	for _, c := range conns {
		_ = c.Close()
	}
	close(stop)
	require.Eventually(b, func() bool { return len(f.InFlight()) == 0 }, 20*time.Second, 10*time.Millisecond)
	return used
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
