package soak

import (
	"slices"
	"sync"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// askPause makes a runner turn requests away with the time for which it wants none. It is
// injected only when it is named.
const askPause faultKind = "ask-pause"

const (
	// pauseWindow is the time after a rejection from which on an entry must heed the pause, and
	// allowedInPause the number of requests that may reach the runner all the same.
	pauseWindow    = 500 * time.Millisecond
	allowedInPause = 2
)

// pauseCheck checks that entries send nothing to runners that ask them for a pause. Its methods
// may be called concurrently.
type pauseCheck struct {
	mu sync.Mutex
	// entries holds the entry to which each request was sent, by request id.
	entries map[string]int
	pauses  map[pauseKey]*askedPause
	// interruptions are the times in which an entry was stopped, killed or paused, or a response
	// may have been lost on its way: afterwards the entry may not know of a pause.
	interruptions []*entrySpan
}

// pauseKey names a pause that a runner has asked an entry for.
type pauseKey struct {
	runner string
	entry  int
	end    int64
}

type askedPause struct {
	askedAt time.Time
	// requests counts those that arrived from pauseWindow after askedAt on.
	requests int
}

// sent records the entry to which a request is sent.
func (c *pauseCheck) sent(id string, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries, c.pauses = map[string]int{}, map[pauseKey]*askedPause{}
	}
	c.entries[id] = entry
}

// arrived records a request that a runner turns away for a pause. It reports whether the entry
// has sent more of them than it may.
func (c *pauseCheck) arrived(run standin.Run) (exceeded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, known := c.entries[run.ID]
	if !known {
		return false
	}
	key := pauseKey{run.Runner, entry, run.PausedUntil.UnixMilli()}
	p := c.pauses[key]
	if p == nil {
		c.pauses[key] = &askedPause{askedAt: run.At}
		return false
	}
	if run.At.Sub(p.askedAt) < pauseWindow {
		return false
	}
	if slices.ContainsFunc(c.interruptions, func(s *entrySpan) bool { return s.overlaps(entry, p.askedAt, run.At) }) {
		return false
	}
	p.requests++
	return p.requests == allowedInPause+1
}

// interrupted records a fault of entries, and returns the function that records its end.
func (c *pauseCheck) interrupted(f fault, entries int) (ended func()) {
	span := &entrySpan{kind: f.kind, from: time.Now(), to: time.Now().Add(time.Hour)}
	switch f.kind {
	case killEntry, stopEntry, pauseEntry:
		span.entries = []int{f.target % entries}
	case killAll, cutEntryHang, cutEntryReset, cutEntryRefuse, resetLinks, silentLinks, oneWayLink:
		for i := range entries {
			span.entries = append(span.entries, i)
		}
	default:
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptions = append(c.interruptions, span)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		span.to = time.Now()
	}
}

// AskPause makes the runner ask for a pause.
func (r *proxiedRunner) AskPause(d time.Duration) {
	r.Runner.AskPause(d)
	if r.process != nil {
		r.process.command("%s %d", standin.CommandPause, d.Milliseconds())
	}
}

// runnerGotRequest records a request that arrived at a runner.
func (s *system) runnerGotRequest(run standin.Run) {
	s.check.requestArrived(run)
	if !run.PausedUntil.IsZero() && s.pauseCheck.arrived(run) {
		s.check.report("pause: request %s is the third that its entry sent to runner %s in a pause until %s", run.ID, run.Runner, run.PausedUntil.Format("15:04:05.000"))
	}
}
