package soak

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// startProcessRunner starts a plain runner process behind a proxy, without reports.
func startProcessRunner(t *testing.T, serviceTime time.Duration, faults ...standin.WireFault) (*system, *proxiedRunner) {
	t.Helper()
	s := &system{check: newChecker(), processes: true, answerFaults: faults}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p, err := newProxy("127.0.0.1:0", l.Addr().String(), true)
	require.NoError(t, err)
	r := &proxiedRunner{Runner: &standin.Runner{ID: "i-1", Service: "plain", ServiceTime: serviceTime}, proxy: p}
	require.NoError(t, s.startRunnerProcess(r, l))
	t.Cleanup(func() {
		r.Stop()
		p.close()
	})
	return s, r
}

func send(t *testing.T, r *proxiedRunner, id string, size int) (*http.Response, error) {
	t.Helper()
	req, err := standin.NewSizedRequest(t.Context(), r.proxy.address(), "/submit/x", id, time.Second, size)
	require.NoError(t, err)
	standin.SetWork(req, id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// Guards against runs that are not recorded because their runner is killed, and against a
// killed runner whose address still takes connections when the others end.
func TestRunsOfAKilledRunnerAreRecorded(t *testing.T) {
	s, r := startProcessRunner(t, time.Minute)
	ended := make(chan error, 2)
	go func() {
		_, err := send(t, r, "a", 0)
		ended <- err
		_, err = net.Dial("tcp", r.proxy.address())
		ended <- err
	}()
	require.Eventually(t, func() bool { return r.Running() == 1 }, 5*time.Second, time.Millisecond)
	r.Stop()
	require.Error(t, <-ended)
	require.Error(t, <-ended)
	require.Equal(t, 1, s.check.runCounts["a"])
	require.Equal(t, []string{"a"}, s.check.workRuns["a"])
	require.Zero(t, r.Running())
}

// Guards against faults of answers that are never injected.
func TestRunnersGiveTheFaultsThatAreSet(t *testing.T) {
	for fault, isFaulty := range map[standin.WireFault]func(resp *http.Response) bool{
		standin.Rejections:           func(resp *http.Response) bool { return resp.StatusCode != 200 },
		standin.SecondAnswers:        func(resp *http.Response) bool { return resp.StatusCode != 200 },
		standin.UnstatedRefusals:     func(resp *http.Response) bool { return promisesNotRun(resp.StatusCode) },
		standin.ContradictoryAnswers: func(resp *http.Response) bool { return resp.StatusCode == 500 },
		standin.UnframedAnswers:      func(resp *http.Response) bool { return resp.ContentLength < 0 },
	} {
		t.Run(string(fault), func(t *testing.T) {
			s, r := startProcessRunner(t, time.Millisecond, fault)
			faulty, refusedRuns := 0, 0
			for i := range 60 {
				id := string(rune('A' + i))
				resp, err := send(t, r, id, 0)
				require.NoError(t, err)
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				if isFaulty(resp) {
					faulty++
				}
				s.check.mu.Lock()
				if promisesNotRun(resp.StatusCode) && s.check.runCounts[id] > 0 {
					refusedRuns++
				}
				s.check.mu.Unlock()
			}
			require.Positive(t, faulty)
			require.Equal(t, fault == standin.UnstatedRefusals, refusedRuns > 0)
		})
	}
}
