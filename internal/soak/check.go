package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

const (
	// drainBound is the time after the acknowledgement of its leave in which a
	// runner may still get requests, the platform's drainMs.
	drainBound = 2 * time.Second
	// contactBound is how long after a fault daemons may act on old knowledge,
	// the platform's contactMs.
	contactBound = 3 * time.Second
	// recoverBound is the time after the last fault in which service is back,
	// the platform's recoverS.
	recoverBound = 12 * time.Second
	// cancelBound is the time in which a runner stops for a caller who left.
	cancelBound = 500 * time.Millisecond
)

// outcome is what a caller saw.
type outcome struct {
	status int
	// whole is set when the body ended properly.
	whole bool
	body  string
	// cut is set when the connection ended without a complete answer.
	cut bool
}

// checker records what callers, runners and operators see and collects broken
// promises.
type checker struct {
	mu       sync.Mutex
	runs     map[string]int
	once     map[string]bool
	outcomes map[string]outcome
	findings []string
	// leftAt is when a runner's leave was acknowledged.
	leftAt map[string]time.Time
	// faultAt is when the last fault ended, or the present one began.
	faultAt time.Time
	// faults counts the faults under way.
	faults int
	// acknowledged is the highest version of the configuration that was.
	acknowledged int
	counts       map[string]int
}

func newChecker() *checker {
	return &checker{
		runs: map[string]int{}, once: map[string]bool{}, outcomes: map[string]outcome{},
		leftAt: map[string]time.Time{}, counts: map[string]int{},
	}
}

func (c *checker) find(format string, args ...any) {
	c.findings = append(c.findings, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (c *checker) faultBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
	c.faultAt = time.Now()
}

func (c *checker) faultEnds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.faultAt = time.Now()
}

// calm reports whether no fault was under way for a time. The caller holds mu.
func (c *checker) calm(d time.Duration) bool {
	return c.faults == 0 && time.Since(c.faultAt) > d
}

// arrived takes a request that reached a runner.
func (c *checker) arrived(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, leaving := c.leftAt[r.Runner]
	if leaving && r.At.Sub(left) > drainBound && c.calm(contactBound+drainBound) {
		c.find("drain: request %s reached runner %s %v after its leave was acknowledged", r.ID, r.Runner, r.At.Sub(left))
	}
}

// ran takes a request that a runner began to run.
func (c *checker) ran(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.ID]++
	if c.once[r.ID] && c.runs[r.ID] > 1 {
		c.find("twice: request %s may run once and ran %d times, now at %s", r.ID, c.runs[r.ID], r.Runner)
	}
}

// sent registers a request before it leaves.
func (c *checker) sent(id string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.once[id] = once
}

// plainEnded judges the answer to a plain request.
func (c *checker) plainEnded(id string, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[id] = o
	c.counts[fmt.Sprintf("plain %d", o.status)]++
	if o.status == 200 && o.whole && o.body != "answer "+id {
		c.find("mixed: request %s got the answer %q", id, o.body)
	}
}

// streamEnded judges the events of a stream.
func (c *checker) streamEnded(id string, o outcome, events []string, want int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[id] = o
	c.counts[fmt.Sprintf("stream %d", o.status)]++
	if o.status != 200 {
		return
	}
	for i, e := range events {
		if e != fmt.Sprintf("%s %d", id, i+1) {
			c.find("order: event %d of request %s is %q", i+1, id, e)
			return
		}
	}
	if o.whole && len(events) != want {
		c.find("order: stream of request %s looks complete after %d of %d events", id, len(events), want)
	}
}

// refusals checks that no request that a refusal called not run has run.
func (c *checker) refusals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, o := range c.outcomes {
		if c.once[id] && (o.status == 503 || o.status == 429) && c.runs[id] > 0 {
			c.find("refused: request %s was answered %d and ran", id, o.status)
		}
	}
}

// answered counts the requests since a time and how many were served.
func (c *checker) served() (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		all++
		if o.status == 200 && o.whole {
			served++
		}
	}
	return served, all
}

// versionRead judges a read of the configuration that began when acknowledged
// was the highest acknowledged version.
func (c *checker) versionRead(version, acknowledged int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < acknowledged {
		c.find("config: a read returned version %d after %d was acknowledged", version, acknowledged)
	}
}

// crashMarks begin what the Go runtime writes when a process fails by itself.
var crashMarks = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// logs looks for processes that failed by themselves; they are started again, so
// that callers may notice nothing.
func (c *checker) logs(dir string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		c.find("reading the logs: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			c.find("reading the logs: %v", err)
			continue
		}
		for number, line := range strings.Split(string(text), "\n") {
			if slices.ContainsFunc(crashMarks, func(mark string) bool { return strings.HasPrefix(line, mark) }) {
				c.find("%s line %d: %s", filepath.Base(file), number+1, line)
				break
			}
		}
	}
}
