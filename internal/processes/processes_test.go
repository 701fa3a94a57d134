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

// inForceTimeout is the guaranteed maximum time from the acceptance of a change
// until it is in force everywhere.
const inForceTimeout = 7 * time.Second

func completeAt(addr, prompt string, tokens int) error {
	resp, err := post("http://"+addr+"/draft/v1/completions", "", map[string]any{"prompt": prompt, "max_tokens": tokens})
	if err != nil {
		return err
	}
	var body struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(resp.body, &body); err != nil || len(body.Choices) != 1 {
		return fmt.Errorf("status %d: %s", resp.status, resp.body)
	}
	if body.Choices[0].Text != standin.ExpectedText(prompt, tokens) {
		return fmt.Errorf("the response to %q is incomplete or wrong", prompt)
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
	c.waitForLive(3)
	return c
}

// Guards against requests that are lost when the active scheduler is killed and
// another one takes over its leases, and against a graceful stop of an entry that
// cuts off requests.
func TestSchedulerKilledAndEntryStopped(t *testing.T) {
	c := engineCluster(t)
	c.startScheduler("scheduler-2")
	stoppingEntry := c.startEntry("entry-3")
	addr := c.entryAddrs[2]
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + addr + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, startTimeout, 100*time.Millisecond)

	results := make(chan error, 24)
	for i := range cap(results) {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			results <- completeAt(c.entryAddrs[i%2], fmt.Sprintf("plan %d", i), 60)
		}()
	}
	stoppingResults := make(chan error, 4)
	for i := range cap(stoppingResults) {
		go func() { stoppingResults <- completeAt(addr, fmt.Sprintf("digest %d", i), 200) }()
	}
	time.Sleep(500 * time.Millisecond)
	stoppingEntry.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	c.processes[memberCount].kill()
	for range cap(results) {
		require.NoError(t, <-results)
	}
	for range cap(stoppingResults) {
		require.NoError(t, <-stoppingResults)
	}
	select {
	case <-stoppingEntry.done:
		require.Zero(t, stoppingEntry.cmd.ProcessState.ExitCode())
	case <-time.After(20 * time.Second):
		t.Fatal("the entry did not stop after its last request")
	}

	out, err := exec.Command(filepath.Join(binaries, "gw-timeline"), filepath.Join(c.dir, "entry-1.log"),
		filepath.Join(c.dir, "scheduler-2.log")).CombinedOutput()
	require.NoError(t, err)
	require.Contains(t, string(out), "pool.activated")
}

// Guards against an accepted change that is lost or reverted when the leader is
// killed or paused, and against a change that takes longer than inForceTimeout to
// be in force at every entry.
func TestLeaderKilledAndPaused(t *testing.T) {
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
		c.requireInForce(route.MaxOutputTokens, time.Until(start.Add(startTimeout)))
		switch i {
		case 2:
			c.startControl(leader, "existing")
		case 4:
			c.controls[leader].signal(syscall.SIGCONT)
		}
	}
	require.NoError(t, c.callLeader(startTimeout, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
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

// requireInForce checks that an accepted change of a route's output token limit is
// in force at every entry: a request above the new limit must be refused.
func (c *cluster) requireInForce(limit uint32, timeout time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(min(timeout, inForceTimeout))
	for _, e := range c.entryAddrs {
		for {
			resp, err := post("http://"+e+"/draft/v1/completions", "", map[string]any{"prompt": "p", "max_tokens": limit + 1})
			if err == nil && resp.status == http.StatusBadRequest {
				break
			}
			require.True(c.t, time.Now().Before(deadline), "not in force at %s: %d %s %v", e, resp.status, resp.body, err)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against a non-repeatable call that runs twice when callers retry it at
// another entry while an entry and the control store's leader are killed.
func TestNonRepeatableCallsRunAtMostOnce(t *testing.T) {
	c := newCluster(t)
	c.startScheduler("scheduler-1")
	killedEntry := c.startEntry("entry-1")
	c.startEntry("entry-2")
	c.putDefaultRoutes()
	serviceAddr, _ := c.startUpstream(standin.RolePlain, dev.DeskService, 1, "--service-delay", "20ms")
	c.waitForLive(1)

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
	killedEntry.kill()
	time.Sleep(500 * time.Millisecond)
	c.controls[c.leader()].kill()
	wg.Wait()

	resp, err := http.Get("http://" + serviceAddr + "/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	var stats standin.ServiceStats
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
	answeredCount := 0
	for i := range calls {
		key := fmt.Sprintf("key-%d", i)
		require.LessOrEqual(t, stats.Runs[key], 1, "%s ran more than once", key)
		if answered[i] {
			answeredCount++
			require.EqualValues(t, 1, stats.Runs[key], "%s was answered but did not run", key)
		}
	}
	require.Greater(t, answeredCount, calls/2)
}

// commit sends a non-repeatable call, and retries until it is answered or the
// outcome is reported as unknown.
func (c *cluster) commit(key string) (answered bool) {
	for attempt := range 40 {
		resp, err := post("http://"+c.entryAddrs[attempt%2]+"/orders/commits", key, map[string]string{"key": key})
		if err == nil && resp.status == http.StatusOK {
			return true
		}
		if err == nil {
			var body struct {
				Error struct{ Code string }
			}
			if json.Unmarshal(resp.body, &body) == nil && body.Error.Code == "outcome_unknown" {
				return false
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// Guards against a control store that loses changes or its majority when a failed
// member is replaced and a second member fails right afterwards.
func TestMemberReplacedThenSecondFailure(t *testing.T) {
	c := newCluster(t)
	c.putDefaultRoutes()
	leader := c.leader()
	failed := (leader + 1) % memberCount
	c.controls[failed].kill()
	joiningAddr := freeAddr(t)
	c.sessionAddrs = append(c.sessionAddrs, joiningAddr)
	c.operatorAddrs = append(c.operatorAddrs, freeAddr(t))
	c.controls = append(c.controls, nil)
	c.startControl(memberCount, "join")
	out, err := exec.Command(filepath.Join(binaries, "gwctl"), "-a", c.operatorAddrs[leader], "--timeout", "30s",
		"member", "replace", fmt.Sprint(failed+1), fmt.Sprint(memberCount+1), joiningAddr).CombinedOutput()
	require.NoError(t, err, string(out))
	c.controls[leader].kill()

	require.NoError(t, c.callLeader(startTimeout, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
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

// Guards against a scheduler that was paused until its lease expired and then
// cancels or places requests of its successor.
func TestSchedulerPausedPastItsLease(t *testing.T) {
	c := engineCluster(t)
	paused := c.processes[memberCount]
	c.startScheduler("scheduler-2")
	results := make(chan error, 30)
	for i := range cap(results) {
		go func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			results <- completeAt(c.entryAddrs[i%2], fmt.Sprintf("summary %d", i), 150)
		}()
	}
	time.Sleep(time.Second)
	paused.signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	paused.signal(syscall.SIGCONT)
	for range cap(results) {
		require.NoError(t, <-results)
	}
	out, err := exec.Command(filepath.Join(binaries, "gw-timeline"), filepath.Join(c.dir, "scheduler-2.log")).CombinedOutput()
	require.NoError(t, err)
	require.Contains(t, string(out), "pool.activated")
}
