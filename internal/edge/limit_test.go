package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/platform/standin"
)

const (
	limitWindow = 4 * time.Second
	// allowedFactor times the limit, plus allowedExtra requests, may reach an upstream
	// in a window.
	allowedFactor = 1.5
	allowedExtra  = 5
	// toldAfter is the time after which all entries have heard of a limit and act on it.
	toldAfter = time.Second
)

// limitTest is a system with plain upstreams.
type limitTest struct {
	*testSystem
	runners []*standin.Runner

	mu       sync.Mutex
	arrivals [][]time.Time
	answers  []answer
}

// answer is the result of one caller's request.
type answer struct {
	sentAt, endedAt time.Time
	status          int
	retryAfter      string
}

func newLimitTest(t *testing.T, hubs, entries, upstreams int) *limitTest {
	l := &limitTest{testSystem: newTestSystem(t, hubs, entries)}
	for range upstreams {
		l.startUpstream()
	}
	time.Sleep(200 * time.Millisecond)
	return l
}

func (l *limitTest) startUpstream() {
	i := len(l.runners)
	l.mu.Lock()
	l.arrivals = append(l.arrivals, nil)
	l.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(l.t, err)
	r := &standin.Runner{ID: fmt.Sprint("i-", i), Service: "plain", ServiceTime: 5 * time.Millisecond, OnStart: func(standin.Run) {}}
	r.OnArrival = func(run standin.Run) {
		l.mu.Lock()
		l.arrivals[i] = append(l.arrivals[i], run.At)
		l.mu.Unlock()
	}
	r.Start(listener)
	l.t.Cleanup(r.Stop)
	l.runners = append(l.runners, r)
	l.hubs[i%len(l.hubs)].Report(&pb.UpstreamRecord{Id: r.ID, Service: "plain", Address: listener.Addr().String(), Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: 1, Sequence: 1, Slots: 6})
}

// run sends perSecond requests a second to random entries for the given time, and
// waits for their ends. It returns the answers.
func (l *limitTest) run(d time.Duration, perSecond int) []answer {
	var wg sync.WaitGroup
	l.mu.Lock()
	first := len(l.answers)
	l.mu.Unlock()
	interval := time.Second / time.Duration(perSecond)
	for start, n := time.Now(), 0; time.Since(start) < d; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		wg.Go(func() { l.send(fmt.Sprintf("r-%d-%d", first, n)) })
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers[first:]
}

func (l *limitTest) send(id string) {
	req, err := standin.NewRequest(context.Background(), l.entries[rand.N(len(l.entries))].Listener.Addr().String(), "/peek/x", id, 1500*time.Millisecond)
	if err != nil {
		panic(err)
	}
	a := answer{sentAt: time.Now()}
	if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
		a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.endedAt = time.Now()
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
}

// maxInWindow returns the largest number of requests that reached an upstream in a
// window between two times.
func (l *limitTest) maxInWindow(upstream int, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, start := range l.arrivals[upstream] {
		if start.Before(from) || start.Add(limitWindow).After(to) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[upstream] {
			if !at.Before(start) && at.Before(start.Add(limitWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (l *limitTest) countSince(upstream int, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals[upstream] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// requireWithinLimit fails if an upstream got more requests than its limit allows.
func (l *limitTest) requireWithinLimit(upstream int, perSecond float64, from, to time.Time) {
	l.t.Helper()
	allowed := int(allowedFactor*perSecond*limitWindow.Seconds() + allowedExtra)
	got := l.maxInWindow(upstream, from, to)
	l.t.Logf("%s with a limit of %g a second got at most %d requests in %v; allowed %d", l.runners[upstream].ID, perSecond, got, limitWindow, allowed)
	require.LessOrEqual(l.t, got, allowed)
}

func served(answers []answer) int {
	n := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			n++
		}
	}
	return n
}

// Guards against an upstream that gets more requests than the limit that it states,
// and against one that gets none after its limit has ended.
func TestUpstreamGetsNoMoreThanItsStatedLimit(t *testing.T) {
	l := newLimitTest(t, 3, 7, 4)
	l.run(time.Second, 50)
	l.runners[0].SetLimit(3.4)
	l.runners[1].SetLimit(4.2)
	told := time.Now().Add(toldAfter)
	answers := l.run(7*time.Second, 50)
	ended := time.Now()
	require.Equal(t, len(answers), served(answers), "the other upstreams have room")
	l.requireWithinLimit(0, 3.4, told, ended)
	l.requireWithinLimit(1, 4.2, told, ended)
	require.Greater(t, l.countSince(0, told)+l.countSince(1, told), 12, "the limits are not used")

	l.runners[0].SetLimit(0)
	for _, r := range l.runners[1:] {
		r.SetLimit(3.4)
	}
	l.run(2*time.Second, 50)
	lifted := time.Now()
	l.run(2*time.Second, 50)
	require.Greater(t, l.countSince(0, lifted), 50, "a limit is kept after its end")
}

// Guards against entries that keep to the upstreams which they have tried, if calls take
// less than the nominal time: a new one then gets nothing and can state nothing.
func TestUpstreamThatStartsLaterGetsRequests(t *testing.T) {
	l := newLimitTest(t, 3, 7, 2)
	l.run(time.Second, 50)
	l.startUpstream()
	started := time.Now()
	l.run(2*time.Second, 50)
	require.GreaterOrEqual(t, l.countSince(2, started), len(l.entries))
}

// Guards against callers that wait for upstreams which all state limits, against more
// requests than these allow, and against limits that are left unused.
func TestServiceWhoseUpstreamsAllStateLimits(t *testing.T) {
	l := newLimitTest(t, 3, 7, 3)
	for _, r := range l.runners {
		r.SetLimit(5)
	}
	l.run(toldAfter, 50)
	told := time.Now()
	answers := l.run(6*time.Second, 50)
	ended := time.Now()
	for i := range l.runners {
		l.requireWithinLimit(i, 5, told, ended)
	}
	t.Logf("%d of %d callers were served", served(answers), len(answers))
	require.Greater(t, served(answers), 72, "under 0.8 of what the upstreams take")
	for _, a := range answers {
		require.Less(t, a.endedAt.Sub(a.sentAt), 600*time.Millisecond)
		if a.status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.NotEmpty(t, a.retryAfter)
		}
	}
}

// Guards against entries that forget limits, or exceed them together, while nobody leads
// the core and after each change of the leader.
func TestLimitsHoldWithoutALeader(t *testing.T) {
	l := newLimitTest(t, 3, 12, 2)
	for _, r := range l.runners {
		r.SetLimit(4)
	}
	l.run(toldAfter, 60)
	told := time.Now()
	for _, leader := range []int32{1, noLeader, 2, noLeader, 0} {
		l.run(1500*time.Millisecond, 60)
		l.leader.Store(leader)
		for _, h := range l.hubs {
			h.StoreChanged()
		}
	}
	l.run(2*time.Second, 60)
	ended := time.Now()
	for i := range l.runners {
		l.requireWithinLimit(i, 4, told, ended)
		require.Greater(t, l.countSince(i, told), 10)
	}
}

// Guards against entries that each send a request to an upstream which has told another
// one that it leaves.
func TestUpstreamThatLeavesGetsNothingFromAnyEntry(t *testing.T) {
	l := newLimitTest(t, 3, 7, 3)
	l.run(500*time.Millisecond, 50)
	l.runners[0].SetLeaving()
	l.run(time.Second, 50)
	told := time.Now()
	answers := l.run(2*time.Second, 50)
	require.Zero(t, l.countSince(0, told))
	require.Equal(t, len(answers), served(answers))
}
