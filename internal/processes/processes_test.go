package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/dev"
	"godwitward.example/godwitward/internal/standin"
)

// inForceLimit is the promised time from acceptance to force everywhere.
const inForceLimit = 7 * time.Second

func completeAt(addr, prompt string, tokens int) error {
	a, err := post("http://"+addr+"/draft/v1/completions", "", map[string]any{"prompt": prompt, "max_tokens": tokens})
	if err != nil {
		return err
	}
	var body struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(a.body, &body); err != nil || len(body.Choices) != 1 {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	if body.Choices[0].Text != standin.ExpectedText(prompt, tokens) {
		return fmt.Errorf("the answer to %q is not its own whole answer", prompt)
	}
	return nil
}

func engineCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.startScheduler("scheduler-1")
	c.startEntry("entry-1")
	c.startEntry("entry-2")
	c.putDefaultRoutes()
	c.startUpstream(standin.RolePrefill, dev.DraftService, 1, "--model", dev.Model)
	c.startUpstream(standin.RoleDecode, dev.DraftService, 1, "--model", dev.Model)
	c.startUpstream(standin.RoleDecode, dev.DraftService, 2, "--model", dev.Model)
	c.awaitLive(3)
	return c
}

// Guards against requests that are lost when the active scheduler is killed
// and another process takes its leases, and against an entry's graceful stop
// that cuts off its requests.
func TestSchedulerKilledAndEntryStopped(t *testing.T) {
	c := engineCluster(t)
	c.startScheduler("scheduler-2")
	stopping := c.startEntry("entry-3")
	addr := c.entries[2]
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + addr + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, startLimit, 100*time.Millisecond)

	results := make(chan error, 24)
	for i := range cap(results) {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			results <- completeAt(c.entries[i%2], fmt.Sprintf("plan %d", i), 60)
		}()
	}
	stopped := make(chan error, 4)
	for i := range cap(stopped) {
		go func() { stopped <- completeAt(addr, fmt.Sprintf("digest %d", i), 200) }()
	}
	time.Sleep(500 * time.Millisecond)
	stopping.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	c.running[members].kill()
	for range cap(results) {
		require.NoError(t, <-results)
	}
	for range cap(stopped) {
		require.NoError(t, <-stopped)
	}
	select {
	case <-stopping.done:
		require.Zero(t, stopping.cmd.ProcessState.ExitCode())
	case <-time.After(20 * time.Second):
		t.Fatal("the entry did not stop after its last request")
	}

	out, err := exec.Command(filepath.Join(binaries, "gw-timeline"), filepath.Join(c.dir, "entry-1.log"),
		filepath.Join(c.dir, "scheduler-2.log")).CombinedOutput()
	require.NoError(t, err)
	require.Contains(t, string(out), "pool.activated")
}

// Guards against an accepted change that is lost or reverts when the leader is
// killed or frozen for a long time, and against a change that takes longer
// than promised to be in force at an entry.
func TestLeaderKilledAndFrozen(t *testing.T) {
	c := engineCluster(t)
	route := dev.DefaultRoutes()[0]
	accepted := uint64(0)
	for i := range 6 {
		leader := c.leader()
		switch i {
		case 2:
			c.controls[leader].kill()
		case 4:
			c.controls[leader].signal(syscall.SIGSTOP)
		}
		route.MaxOutputTokens = uint32(1000 + i)
		start := time.Now()
		v := c.putRoute(fmt.Sprintf("change-%d", i), route)
		require.Greater(t, v, accepted)
		accepted = v
		c.requireInForce(route.MaxOutputTokens, time.Until(start.Add(startLimit)))
		switch i {
		case 2:
			c.startControl(leader, "existing")
		case 4:
			c.controls[leader].signal(syscall.SIGCONT)
		}
	}
	require.NoError(t, c.operator(startLimit, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
		resp, err := s.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
		if err != nil {
			return err
		}
		if resp.Msg.Config.Version < accepted {
			return fmt.Errorf("version %d is below the accepted %d", resp.Msg.Config.Version, accepted)
		}
		return nil
	}))
}

// requireInForce checks that a change that was answered as accepted is in
// force at each entry: a request over the route's limit is refused with it.
func (c *cluster) requireInForce(limit uint32, within time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(min(within, inForceLimit))
	for _, e := range c.entries {
		for {
			a, err := post("http://"+e+"/draft/v1/completions", "", map[string]any{"prompt": "p", "max_tokens": limit + 1})
			if err == nil && a.status == http.StatusBadRequest {
				break
			}
			require.True(c.t, time.Now().Before(deadline), "not in force at %s: %d %s %v", e, a.status, a.body, err)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against a non-repeatable call that runs twice: callers repeat their
// calls at other entries while an entry, the store's leader and the service
// are killed.
func TestNonRepeatableCallsRunAtMostOnce(t *testing.T) {
	c := newCluster(t)
	c.startScheduler("scheduler-1")
	victim := c.startEntry("entry-1")
	c.startEntry("entry-2")
	c.putDefaultRoutes()
	desk, _ := c.startUpstream(standin.RolePlain, dev.DeskService, 1, "--service-delay", "20ms")
	c.awaitLive(1)

	const calls = 150
	answered := make([]bool, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			answered[i] = c.commit(fmt.Sprintf("key-%d", i))
		}()
	}
	time.Sleep(time.Second)
	victim.kill()
	time.Sleep(500 * time.Millisecond)
	c.controls[c.leader()].kill()
	wg.Wait()

	resp, err := http.Get("http://" + desk + "/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	var stats standin.ServiceStats
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
	done := 0
	for i := range calls {
		key := fmt.Sprintf("key-%d", i)
		require.LessOrEqual(t, stats.Runs[key], 1, "%s ran more than once", key)
		if answered[i] {
			done++
			require.EqualValues(t, 1, stats.Runs[key], "%s was answered but did not run", key)
		}
	}
	require.Greater(t, done, calls/2)
}

// commit calls the desk until it has an answer or the outcome is unknown.
func (c *cluster) commit(key string) (answered bool) {
	for attempt := range 40 {
		a, err := post("http://"+c.entries[attempt%2]+"/orders/commits", key, map[string]string{"key": key})
		if err == nil && a.status == http.StatusOK {
			return true
		}
		if err == nil {
			var body struct {
				Error struct{ Code string }
			}
			if json.Unmarshal(a.body, &body) == nil && body.Error.Code == "outcome_unknown" {
				return false
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// Guards against a store that loses changes or keeps no majority when a member
// that lost its disk is replaced and a second member fails right afterwards.
func TestMemberReplacedThenSecondFailure(t *testing.T) {
	c := newCluster(t)
	c.putDefaultRoutes()
	leader := c.leader()
	lost := (leader + 1) % members
	c.controls[lost].kill()
	joining := freeAddr(t)
	c.sessions = append(c.sessions, joining)
	c.operators = append(c.operators, freeAddr(t))
	c.controls = append(c.controls, nil)
	c.startControl(members, "join")
	out, err := exec.Command(filepath.Join(binaries, "gwctl"), "-a", c.operators[leader], "--timeout", "30s",
		"member", "replace", fmt.Sprint(lost+1), fmt.Sprint(members+1), joining).CombinedOutput()
	require.NoError(t, err, string(out))
	c.controls[leader].kill()

	require.NoError(t, c.operator(startLimit, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
		resp, err := s.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
		if err != nil {
			return err
		}
		if n := len(resp.Msg.Config.Routes); n != len(dev.DefaultRoutes()) {
			return fmt.Errorf("%d routes", n)
		}
		return nil
	}))
	changed := dev.DefaultRoutes()[0]
	changed.MaxOutputTokens = 77
	c.putRoute("after-second-failure", changed)
}

// Guards against a scheduler that was frozen past the end of its lease and
// then cancels or grants work that its successor is responsible for.
func TestSchedulerFrozenPastItsLease(t *testing.T) {
	c := engineCluster(t)
	frozen := c.running[members]
	c.startScheduler("scheduler-2")
	results := make(chan error, 30)
	for i := range cap(results) {
		go func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			results <- completeAt(c.entries[i%2], fmt.Sprintf("summary %d", i), 150)
		}()
	}
	time.Sleep(time.Second)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	frozen.signal(syscall.SIGCONT)
	for range cap(results) {
		require.NoError(t, <-results)
	}
	out, err := exec.Command(filepath.Join(binaries, "gw-timeline"), filepath.Join(c.dir, "scheduler-2.log")).CombinedOutput()
	require.NoError(t, err)
	require.Contains(t, string(out), "pool.activated")
}
