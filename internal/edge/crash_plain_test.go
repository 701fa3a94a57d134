package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/platform/standin"
)

// plainCrashTest is a system with plain upstreams that crash under requests whose path
// ends in "/dead", and are back after plainRestart.
type plainCrashTest struct {
	*testSystem

	// callers have different addresses.
	callers []*http.Transport

	mu      sync.Mutex
	crashes []time.Time
}

const (
	plainRestart = 700 * time.Millisecond
	// callerAddresses is the number of addresses from which requests come. A request
	// that comes again may do so from another one.
	callerAddresses = 16
	// lateRetries is the number of requests that may crash upstreams later than
	// contactTime after the third crash.
	lateRetries = 3
)

func newPlainCrashTest(t *testing.T, hubs, entries, upstreams int) *plainCrashTest {
	c := &plainCrashTest{testSystem: newTestSystem(t, hubs, entries)}
	for i := range upstreams {
		c.startUpstream(i, 0)
	}
	for i := range callerAddresses {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i))}}
		c.callers = append(c.callers, &http.Transport{DialContext: d.DialContext})
		t.Cleanup(c.callers[i].CloseIdleConnections)
	}
	time.Sleep(200 * time.Millisecond)
	return c
}

// startUpstream starts the nth upstream, again with another id after each crash.
func (c *plainCrashTest) startUpstream(n, start int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	r := &standin.Runner{ID: fmt.Sprint("i-", n, "-", start), Service: "plain", ServiceTime: 20 * time.Millisecond, CrashPath: "/dead", OnStart: func(standin.Run) {}, OnArrival: func(standin.Run) {}}
	r.OnCrash = func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.AfterFunc(plainRestart, func() {
			c.hubs[n%len(c.hubs)].Leave(r.ID, r.StartMs)
			c.startUpstream(n, start+1)
		})
	}
	r.Start(l)
	c.t.Cleanup(r.Stop)
	c.hubs[n%len(c.hubs)].Report(&pb.UpstreamRecord{Id: r.ID, Service: "plain", Address: l.Addr().String(), Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: r.StartMs, Sequence: 1, Slots: 8})
}

// send sends a request from a random address to a random entry and returns its status, 0 if the answer broke
// off.
func (c *plainCrashTest) send(id, path string) int {
	req, err := standin.NewRequest(context.Background(), c.entries[rand.N(len(c.entries))].Listener.Addr().String(), path, id, 1500*time.Millisecond)
	if err != nil {
		panic(err)
	}
	req.Body, req.ContentLength = http.NoBody, 0
	resp, err := c.callers[rand.N(len(c.callers))].RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (c *plainCrashTest) crashTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashes...)
}

// run sends sound requests beside one that crashes upstreams and comes again every
// 150 ms, for some seconds. It fails if the latter crashes upstreams later than it may,
// or if sound requests are not served once it should be known.
func (c *plainCrashTest) run(prefix string) {
	var wg sync.WaitGroup
	var sound, served atomic.Int64
	start := time.Now()
	for i := 0; time.Since(start) < 9*time.Second; i++ {
		time.Sleep(10 * time.Millisecond)
		if i%15 == 0 {
			wg.Go(func() { c.send(fmt.Sprint("d-", i), prefix+"/dead") })
		}
		settled := time.Since(start) > 5*time.Second
		wg.Go(func() {
			status := c.send(fmt.Sprint("s-", i), fmt.Sprintf("%s/%d", prefix, i%50))
			if settled {
				sound.Add(1)
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	crashes := c.crashTimes()
	require.GreaterOrEqual(c.t, len(crashes), 3, "the request did not crash upstreams")
	late := 0
	for _, at := range crashes[3:] {
		if at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	c.t.Logf("%s: %d upstreams crashed, %d of them late; %d of %d sound requests were served after 5 s", prefix, len(crashes), late, served.Load(), sound.Load())
	require.LessOrEqual(c.t, late, lateRetries)
	require.Greater(c.t, float64(served.Load()), 0.95*float64(sound.Load()))
}

// Guards against a plain request that crashes one upstream after the other as it comes
// again at any entry, and against sound requests being refused for it.
func TestPlainRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	for _, prefix := range []string{"/peek", "/commit"} {
		t.Run(prefix[1:], func(t *testing.T) { newPlainCrashTest(t, 3, 6, 4).run(prefix) })
	}
}
