package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// The kinds of faults of runners that state in their responses what they take. They are injected
// only when they are named.
const (
	// askPause makes a runner turn requests away with the time for which it wants none.
	askPause faultKind = "ask-pause"
	// stateLimit makes a runner state how many requests a second it takes.
	stateLimit faultKind = "state-limit"
)

var statementKinds = []faultKind{askPause, stateLimit}

const (
	// statementDelay is the time after a response from which on an entry must heed what it
	// states, and allowedInPause the number of requests that may reach a runner in a pause all
	// the same.
	statementDelay = 500 * time.Millisecond
	allowedInPause = 2
	// Entries that know of a limit may together send limitFactor times as many requests in
	// limitWindow as it allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTime is added to the duration of a limit, so that most last beyond limitWindow.
	limitTime = 6 * time.Second
)

// statementCheck checks that entries heed what runners state. The zero value is ready. It is safe
// for concurrent use.
type statementCheck struct {
	mu sync.Mutex
	// entries holds the entry to which each request was sent, by request id.
	entries map[string]int
	pauses  map[pauseKey]*askedPause
	limits  map[limitKey]*statedLimit
	// interruptions are the times in which an entry was stopped, killed or paused, or a response
	// may have been lost on its way: afterwards the entry may not know of a statement.
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
	// requests counts those that arrived from statementDelay after askedAt on.
	requests int
}

// limitKey names a limit in requests a second that a runner states.
type limitKey struct {
	runner    string
	perSecond float64
}

type statedLimit struct {
	// toldAt is when each entry was told, arrivals are the requests of the latest limitWindow
	// from entries that knew.
	toldAt   map[int]time.Time
	arrivals []time.Time
	exceeded bool
}

// sent records the entry to which a request is sent.
func (c *statementCheck) sent(id string, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries, c.pauses, c.limits = map[string]int{}, map[pauseKey]*askedPause{}, map[limitKey]*statedLimit{}
	}
	c.entries[id] = entry
}

// arrived records a request at a runner that asks for a pause or states a limit. It returns a
// finding if entries have sent more than the runner takes, once for each statement.
func (c *statementCheck) arrived(run standin.Run) (finding string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, known := c.entries[run.ID]
	if !known {
		return ""
	}
	if !run.PausedUntil.IsZero() {
		finding = c.arrivedInPause(run, entry)
	}
	if run.Limit > 0 && finding == "" {
		finding = c.arrivedAtLimit(run, entry)
	}
	return finding
}

func (c *statementCheck) arrivedInPause(run standin.Run, entry int) string {
	key := pauseKey{run.Runner, entry, run.PausedUntil.UnixMilli()}
	p := c.pauses[key]
	if p == nil {
		c.pauses[key] = &askedPause{askedAt: run.At}
		return ""
	}
	if !c.knows(entry, p.askedAt, run.At) {
		return ""
	}
	p.requests++
	if p.requests != allowedInPause+1 {
		return ""
	}
	return fmt.Sprintf("pause: request %s is number %d that its entry sent to runner %s in a pause until %s", run.ID, p.requests, run.Runner, run.PausedUntil.Format("15:04:05.000"))
}

func (c *statementCheck) arrivedAtLimit(run standin.Run, entry int) string {
	key := limitKey{run.Runner, run.Limit}
	l := c.limits[key]
	if l == nil {
		l = &statedLimit{toldAt: map[int]time.Time{}}
		c.limits[key] = l
	}
	told, known := l.toldAt[entry]
	if !known {
		l.toldAt[entry] = run.At
		return ""
	}
	if !c.knows(entry, told, run.At) {
		if run.At.Sub(told) >= statementDelay {
			l.toldAt[entry] = run.At
		}
		return ""
	}
	l.arrivals = slices.DeleteFunc(append(l.arrivals, run.At), func(at time.Time) bool { return run.At.Sub(at) >= limitWindow })
	allowed := limitFactor*run.Limit*limitWindow.Seconds() + limitSlack
	if l.exceeded || float64(len(l.arrivals)) <= allowed {
		return ""
	}
	l.exceeded = true
	return fmt.Sprintf("limit: %d requests reached runner %s in %v, which states %g a second; %g are allowed", len(l.arrivals), run.Runner, limitWindow, run.Limit, allowed)
}

// knows reports whether an entry that was told at a time must know it later. The caller holds mu.
func (c *statementCheck) knows(entry int, told, at time.Time) bool {
	return at.Sub(told) >= statementDelay && !slices.ContainsFunc(c.interruptions, func(s *entrySpan) bool { return s.overlaps(entry, told, at) })
}

// interrupted records a fault of entries, and returns the function that records its end.
func (c *statementCheck) interrupted(f fault, entries int) (ended func()) {
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

// injectStatement makes a runner state something for a time.
func injectStatement(runner *proxiedRunner, f fault, sleep func(time.Duration)) {
	if f.kind == askPause {
		runner.AskPause(f.duration)
		sleep(f.duration)
		return
	}
	runner.SetLimit(1 + float64(f.target%40)/10)
	sleep(f.duration + limitTime)
	runner.SetLimit(0)
}

// AskPause makes the runner ask for a pause.
func (r *proxiedRunner) AskPause(d time.Duration) {
	r.Runner.AskPause(d)
	if r.process != nil {
		r.process.command("%s %d", standin.CommandPause, d.Milliseconds())
	}
}

// SetLimit makes the runner state a limit in requests a second; 0 ends it.
func (r *proxiedRunner) SetLimit(perSecond float64) {
	r.Runner.SetLimit(perSecond)
	if r.process != nil {
		r.process.command("%s %g", standin.CommandLimit, perSecond)
	}
}

// requestArrived records a request that arrived at a runner.
func (s *system) requestArrived(run standin.Run) {
	s.check.requestArrived(run)
	s.lostCheck.requestArrived(run)
	if finding := s.statementCheck.arrived(run); finding != "" {
		s.check.report("%s", finding)
	}
}
