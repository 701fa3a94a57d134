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
	// drainWindow is the time in which a runner may still receive requests after
	// its leave was acknowledged.
	drainWindow = 2 * time.Second
	// staleWindow is the time after a fault in which daemons may still act on old
	// state.
	staleWindow = 3 * time.Second
	// recoveryTimeout is the time after the last fault within which requests must
	// be served again.
	recoveryTimeout = 12 * time.Second
	// cancelTimeout is the time within which a runner must stop a request whose
	// caller has disconnected.
	cancelTimeout = 500 * time.Millisecond
)

// outcome is the result of a request as its caller observed it.
type outcome struct {
	status int
	// complete is set when the body was read to its proper end.
	complete bool
	body     string
	// truncated is set when the connection ended before a complete response.
	truncated bool
	// left is set when the caller disconnected on purpose.
	left bool
	// unstamped is set when the response has no stamp of a runner.
	unstamped bool
}

// checker records what callers, runners and operators observe, and collects
// violations of the system's guarantees. Its maps are keyed by request id unless
// stated otherwise.
type checker struct {
	mu        sync.Mutex
	runCounts map[string]int
	// workRuns holds the ids of the requests that ran, by their work.
	workRuns   map[string][]string
	atMostOnce map[string]bool
	outcomes   map[string]outcome
	findings   []string
	// leaveAckedAt is the time at which a runner's leave was acknowledged, by
	// runner id.
	leaveAckedAt map[string]time.Time
	// lastFaultEvent is the time of the last start or end of a fault.
	lastFaultEvent time.Time
	// activeFaults is the number of faults in progress.
	activeFaults int
	// ackedVersion is the highest acknowledged configuration version.
	ackedVersion int
	// statusCounts counts responses by request kind and HTTP status.
	statusCounts map[string]int
	// longEvents is set if streams have long events.
	longEvents bool
	// runs holds the runs of each request as its runners told of them, streams the complete
	// events of all streams.
	runs    map[string][]standin.Origin
	streams map[string][]receivedEvent
	// servers holds what served each request, in runs with several builds, and
	// requestFindings the findings about requests.
	servers         map[string]server
	requestFindings []requestFinding
}

func newChecker() *checker {
	return &checker{
		runCounts: map[string]int{}, workRuns: map[string][]string{}, atMostOnce: map[string]bool{}, outcomes: map[string]outcome{},
		leaveAckedAt: map[string]time.Time{}, statusCounts: map[string]int{},
		runs: map[string][]standin.Origin{}, streams: map[string][]receivedEvent{}, servers: map[string]server{},
	}
}

func (c *checker) addFinding(format string, args ...any) {
	c.findings = append(c.findings, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (c *checker) faultStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
	c.lastFaultEvent = time.Now()
}

func (c *checker) faultEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults--
	c.lastFaultEvent = time.Now()
}

// noFaultFor reports whether no fault has been in progress for the duration d.
// The caller holds mu.
func (c *checker) noFaultFor(d time.Duration) bool {
	return c.activeFaults == 0 && time.Since(c.lastFaultEvent) > d
}

// requestArrived records that a request reached a runner. A runner must get no
// request once drainWindow is over; shortly after a fault this is not checked.
func (c *checker) requestArrived(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ackedAt, leaving := c.leaveAckedAt[r.Runner]
	if leaving && r.At.Sub(ackedAt) > drainWindow && c.noFaultFor(staleWindow+drainWindow) {
		c.addRequestFinding([]string{r.ID}, "drain: request %s reached runner %s %v after its leave was acknowledged", r.ID, r.Runner, r.At.Sub(ackedAt))
	}
}

// requestRan records that a runner began to run a request.
func (c *checker) requestRan(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runCounts[r.ID]++
	c.runs[r.ID] = append(c.runs[r.ID], r.Origin)
	if c.atMostOnce[r.ID] && c.runCounts[r.ID] > 1 {
		c.addRequestFinding([]string{r.ID}, "twice: request %s may run once and ran %d times, now at %s", r.ID, c.runCounts[r.ID], r.Runner)
	}
	if r.Work == "" {
		return
	}
	c.workRuns[r.Work] = append(c.workRuns[r.Work], r.ID)
	if ids := c.workRuns[r.Work]; slices.Index(ids, r.ID) != 0 {
		c.addRequestFinding(append([]string{r.ID}, ids...), "twice: work %s may run once and ran as requests %v, now at %s", r.Work, ids, r.Runner)
	}
}

// workSentAgain counts the requests after which their caller sent its work again.
func (c *checker) workSentAgain(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statusCounts[fmt.Sprintf("again after %d", o.status)]++
}

// report adds a finding.
func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinding(format, args...)
}

// requestSent registers a request before it is sent.
func (c *checker) requestSent(id string, atMostOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atMostOnce[id] = atMostOnce
}

// checkPlain checks the response to a plain request.
func (c *checker) checkPlain(id string, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestEnded(id, o)
	c.statusCounts[fmt.Sprintf("plain %d", o.status)]++
	if o.status == 200 && o.complete && o.body != "answer "+id {
		c.addRequestFinding([]string{id}, "mixed: request %s got the response %q", id, o.body)
	}
	c.checkStamp(id, o)
}

// checkStamp checks that a success has the stamp of a runner, and that a failure that no
// runner gives has none. The caller holds mu.
func (c *checker) checkStamp(id string, o outcome) {
	switch {
	case o.status == 200 && o.unstamped:
		c.addRequestFinding([]string{id}, "mixed: request %s got a success without a stamp", id)
	case !o.unstamped && (o.status == 502 || o.status == 504):
		c.addRequestFinding([]string{id}, "mixed: request %s got the status %d with a stamp", id, o.status)
	}
}

// checkRefusals checks that no at-most-once request that was promised not to run has
// run, before or after the promise. It is called when all runs have ended.
func (c *checker) checkRefusals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, o := range c.outcomes {
		if c.atMostOnce[id] && promisesNotRun(o.status) && c.runCounts[id] > 0 {
			c.addRequestFinding([]string{id}, "refused: request %s was answered %d and ran", id, o.status)
		}
	}
}

// countServed returns how many requests got a complete response with status 200,
// and how many have ended. Those whose callers left on purpose are not counted.
func (c *checker) countServed() (served, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.left {
			continue
		}
		total++
		if o.status == 200 && o.complete {
			served++
		}
	}
	return served, total
}

// checkStop adds a finding for a process that did not stop after SIGTERM, or not as it
// should. The caller holds mu.
func (c *checker) checkStop(name string, exited bool, status error) {
	switch {
	case !exited:
		c.addFinding("stop: %s still ran %v after SIGTERM", name, stopTimeout)
	case status != nil:
		c.addFinding("stop: %s ended with %q after SIGTERM", name, status)
	}
}

// checkVersion checks a read of the configuration; acked is the highest version
// that was acknowledged before the read began.
func (c *checker) checkVersion(version, acked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < acked {
		c.addFinding("config: a read returned version %d after %d was acknowledged", version, acked)
	}
}

// crashPrefixes are the beginnings of the lines that the Go runtime writes when a
// process crashes or a data race is detected.
var crashPrefixes = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// checkLogs searches the logs for crashes that were not injected and for data
// races. Callers may not notice them: other processes take over, and the next
// fault restarts the process. The build of a line is named where buildAt knows it.
func (c *checker) checkLogs(dir string, buildAt func(file string, offset int64) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		c.addFinding("reading the logs: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			c.addFinding("reading the logs: %v", err)
			continue
		}
		offset := int64(0)
		for number, line := range strings.Split(string(text), "\n") {
			if slices.ContainsFunc(crashPrefixes, func(prefix string) bool { return strings.HasPrefix(line, prefix) }) {
				c.addFinding("%s line %d%s: %s", filepath.Base(file), number+1, inBrackets(buildAt(file, offset)), line)
				break
			}
			offset += int64(len(line)) + 1
		}
	}
}
