package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// deadlyRequest makes a caller repeat a request that crashes each plain runner that runs it. It
// is injected only when it is named. Runners that are processes answer it.
const deadlyRequest faultKind = "deadly-request"

const (
	deadlyPath = "/deadly"
	// deadlyInterval is the time between two tries of the caller, deadlyTries their number.
	deadlyInterval = 400 * time.Millisecond
	deadlyTries    = 12
	// allowedCrashes is the number of crashes after which a request is refused.
	allowedCrashes = 3
	// runnerRestartTime is the time after which a runner that crashed is replaced.
	runnerRestartTime = 500 * time.Millisecond
)

// deadlyCheck holds when runners crashed under each deadly request, by its path. It is safe for
// concurrent use.
type deadlyCheck struct {
	mu      sync.Mutex
	crashes map[string][]time.Time
	// running is the path of the request in progress.
	running string
}

// begin reports whether a request may be sent: one at a time, so that it is known which one crashed
// a runner.
func (c *deadlyCheck) begin(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != "" {
		return false
	}
	c.running = path
	return true
}

func (c *deadlyCheck) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = ""
}

// crashed records a crash under the request in progress.
func (c *deadlyCheck) crashed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes == nil {
		c.crashes = map[string][]time.Time{}
	}
	c.crashes[c.running] = append(c.crashes[c.running], time.Now())
}

// exceeded returns the paths of the requests under which more runners crashed than allowed,
// without a disturbance from the first to the last crash.
func (c *deadlyCheck) exceeded(disturbed func(from, to time.Time) bool) (paths []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for path, at := range c.crashes {
		if len(at) > allowedCrashes && !disturbed(at[0], at[len(at)-1]) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// sendDeadly sends a deadly request to entries in turn, each time with an id of its own.
func (s *system) sendDeadly(ctx context.Context, f fault) {
	path := fmt.Sprintf("/peek/%d%s", f.target, deadlyPath)
	if !s.deadlyCheck.begin(path) {
		return
	}
	defer s.deadlyCheck.end()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range deadlyTries {
		entry := s.entryAddress((f.target + n) % len(s.entries))
		s.tryDeadly(ctx, client, entry, path, fmt.Sprintf("d%d-%d", f.target, n))
		sleep(ctx, deadlyInterval)
	}
}

func (s *system) tryDeadly(ctx context.Context, client *http.Client, entry, path, id string) {
	ctx, cancel := context.WithTimeout(ctx, s.shape.callerTimeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, entry, path, id, s.shape.callerTimeout)
	if err != nil {
		return
	}
	// The content of all tries is the same.
	req.Body, req.ContentLength = http.NoBody, 0
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// runnerCrashed replaces a runner that crashed under a deadly request.
func (s *system) runnerCrashed(ctx context.Context, runner *proxiedRunner) {
	s.deadlyCheck.crashed()
	runner.proxy.close()
	go func() {
		sleep(ctx, runnerRestartTime)
		// The faults of runners replace them too.
		defer s.lockTargets(fault{kind: crashRunner})()
		s.mu.Lock()
		i := slices.Index(s.runners, runner)
		s.mu.Unlock()
		if i >= 0 {
			s.replaceRunner(ctx, i, func() {}, 0)
		}
	}()
}

// checkDeadlyRequests checks how many runners crashed under each deadly request.
func (s *system) checkDeadlyRequests() {
	for _, path := range s.deadlyCheck.exceeded(s.disturbedBetween) {
		s.check.report("deadly: %d runners crashed under requests for %s, %d are allowed", len(s.deadlyCheck.crashes[path]), path, allowedCrashes)
	}
}

// disturbedBetween reports whether entries, core daemons or links were disturbed in a time, so
// that evidence of crashes may have been lost.
func (s *system) disturbedBetween(from, to time.Time) bool {
	s.cutCheck.mu.Lock()
	spans := slices.Concat(s.cutCheck.impairments, s.cutCheck.cuts)
	s.cutCheck.mu.Unlock()
	s.statementCheck.mu.Lock()
	defer s.statementCheck.mu.Unlock()
	return slices.ContainsFunc(append(spans, s.statementCheck.interruptions...), func(e *entrySpan) bool {
		return e.from.Before(to) && e.to.After(from)
	})
}
