package soak

import (
	"context"
	"fmt"
	"io"
	"net/http/httptrace"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

const (
	// lossSlack, configApplyTime and gracePeriod are the platform's lossSlackMs, configApplyMs
	// and graceS.
	lossSlack       = 200 * time.Millisecond
	configApplyTime = 2 * time.Second
	gracePeriod     = stopTimeout
	// workMargin is the time after the grace period, and after configApplyTime, in which an
	// answer that is cut off counts.
	workMargin = time.Second
	// A runner that works in the last part of the grace period excuses the cut of a request that
	// was sent within lateRequestTime after SIGTERM.
	lastPartOfGrace = gracePeriod * 5 / 6
	lateRequestTime = 3 * time.Second
	// Beside a change of the configuration a cut counts if the entry cuts more than
	// usualCutFactor times as often as at other times, and before usedShare of the time is used.
	usualCutFactor = 3
	usedShare      = 0.7
	// minPatience is the shortest pause after which callers leave a stream; latencyPatience and
	// gapPatience are the multiples of its targets that may be longer.
	minPatience                  = 2 * time.Second
	latencyPatience, gapPatience = 4, 8
)

// plannedKinds are faults that must not disturb the service.
var plannedKinds = []faultKind{stopEntry, reloadSettings, changeConfig, raceConfigChanges, leaveRunner, releaseEngines, changeWeights}

// excuses reports whether a fault of a kind excuses answers that are cut off beside it. A
// runner's silence doesn't.
func excuses(k faultKind) bool {
	return !slices.Contains(slices.Concat(plannedKinds, silenceKinds(), []faultKind{stopCore, preemptStreams, changeRole}), k)
}

// sentRequest is a request as its caller saw it.
type sentRequest struct {
	id              string
	entry           int
	sentAt, endedAt time.Time
	timeout         time.Duration
	// patience is how long the caller waits for the next event, and gap the longest time without
	// one; both 0 for a plain request.
	patience, gap time.Duration
	// cut is set if the connection ended without a complete answer, and status that of the part.
	cut    bool
	status int

	mu        sync.Mutex
	connected bool
	// wroteAt is when the last byte was sent.
	wroteAt, heardAt time.Time
}

// watch returns a request that is about to be sent, and the context to send it with.
func (s *system) watch(ctx context.Context, id, entry string, timeout time.Duration, stream bool) (*sentRequest, context.Context) {
	r := &sentRequest{id: id, sentAt: time.Now(), timeout: timeout}
	r.heardAt = r.sentAt
	r.entry = slices.IndexFunc(s.entries, func(p *process) bool { return fmt.Sprintf("%s:%d", p.node.IP, p.node.CallerPort) == entry })
	if stream {
		r.patience = max(minPatience, latencyPatience*standin.TargetLatency, gapPatience*s.shape.eventGap)
	}
	return r, httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.connected = true
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if info.Err == nil {
				r.wroteAt = time.Now()
			}
		},
	})
}

// heard records an event, or the end of the answer.
func (r *sentRequest) heard() {
	r.gap = max(r.gap, time.Since(r.heardAt))
	r.heardAt = time.Now()
}

// ended records the end of a request that was sent with ctx.
func (c *lostCheck) ended(ctx context.Context, r *sentRequest, o outcome, err error) {
	r.heard()
	r.mu.Lock()
	r.endedAt, r.status = r.heardAt, o.status
	// A reset without an answer tells that the request was not read to its end.
	unread := o.status == 0 && (!r.connected || r.wroteAt.IsZero() || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	r.cut = o.truncated && !o.left && ctx.Err() == nil && !unread
	r.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// timeSpan is a time from a moment to another one.
type timeSpan struct{ from, to time.Time }

func (t timeSpan) holds(at time.Time) bool { return !at.Before(t.from) && !at.After(t.to) }

func (t timeSpan) overlaps(from, to time.Time) bool { return t.from.Before(to) && t.to.After(from) }

// signalTime is when an entry got a signal.
type signalTime struct {
	entry int
	at    time.Time
}

// lostCheck finds answers that were cut off around planned work: the users' rule LOST. The zero
// value is ready. It is safe for concurrent use.
type lostCheck struct {
	mu       sync.Mutex
	requests []*sentRequest
	// stops and reloads hold each SIGTERM and SIGHUP of an entry, changes the times in which a
	// change of the configuration counts.
	stops, reloads []signalTime
	changes        []timeSpan
	// faults are the times of faults that excuse a cut, and faultsOver is the end of the last
	// fault.
	faults     []*timeSpan
	faultsOver time.Time
	// arrived holds the requests that reached a runner, runs the runs of each request that have
	// ended.
	arrived map[string]bool
	runs    map[string][]standin.Run
}

// faultStarted records a fault, and returns the function that records its end.
func (c *lostCheck) faultStarted(f fault) (ended func()) {
	span := &timeSpan{from: time.Now(), to: time.Now().Add(time.Hour)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if excuses(f.kind) {
		c.faults = append(c.faults, span)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		span.to, c.faultsOver = time.Now(), time.Now()
	}
}

// signalled records a signal of an entry; others are left out.
func (c *lostCheck) signalled(list *[]signalTime, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry >= 0 {
		*list = append(*list, signalTime{entry, time.Now()})
	}
}

// changeSent records that a change of the configuration was sent, and returns the function that
// records its end.
func (c *lostCheck) changeSent() (ended func()) {
	from := time.Now()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changes = append(c.changes, timeSpan{from, time.Now().Add(configApplyTime + workMargin)})
	}
}

func (c *lostCheck) requestArrived(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrived == nil {
		c.arrived = map[string]bool{}
	}
	c.arrived[r.ID] = true
}

func (c *lostCheck) runEnded(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string][]standin.Run{}
	}
	c.runs[r.ID] = append(c.runs[r.ID], r)
}

// counts reports whether a request was cut off without an excuse of its own. The caller holds mu.
func (c *lostCheck) counts(r *sentRequest) bool {
	brokeOff := slices.ContainsFunc(c.runs[r.id], func(run standin.Run) bool { return run.BrokeOff })
	accepted := c.arrived[r.id] || r.endedAt.Sub(r.wroteAt) > lossSlack
	gaveUp := r.patience > 0 && r.gap >= r.patience
	return r.cut && accepted && !brokeOff && !gaveUp && r.endedAt.Sub(r.sentAt) < r.timeout
}

// isDisturbed reports whether a fault excuses whatever became of a request. The caller holds mu.
func (c *lostCheck) isDisturbed(r *sentRequest) bool {
	return slices.ContainsFunc(c.faults, func(f *timeSpan) bool { return f.overlaps(r.sentAt.Add(-contactTime), r.endedAt) })
}

// besideStop returns the SIGTERM around which a request ended, nil if there is none.
func (c *lostCheck) besideStop(r *sentRequest) *signalTime {
	for i, stop := range c.stops {
		if stop.entry == r.entry && (timeSpan{stop.at, stop.at.Add(gracePeriod + workMargin)}).holds(r.endedAt) {
			return &c.stops[i]
		}
	}
	return nil
}

// workedToTheEnd reports whether a runner worked on a request at the end of the grace period.
func (c *lostCheck) workedToTheEnd(r *sentRequest, stop time.Time) bool {
	return !r.sentAt.After(stop.Add(lateRequestTime)) && slices.ContainsFunc(c.runs[r.id], func(run standin.Run) bool {
		return timeSpan{run.At, run.EndedAt}.overlaps(stop.Add(lastPartOfGrace), stop.Add(gracePeriod))
	})
}

// besideReload reports whether a request was cut off around a SIGHUP.
func (c *lostCheck) besideReload(r *sentRequest) bool {
	return slices.ContainsFunc(c.reloads, func(reload signalTime) bool {
		return reload.entry == r.entry && !r.sentAt.After(reload.at.Add(configApplyTime)) && r.endedAt.After(reload.at)
	})
}

func (c *lostCheck) besideChange(r *sentRequest) bool {
	return slices.ContainsFunc(c.changes, func(change timeSpan) bool { return change.holds(r.endedAt) })
}

// cutRate counts the requests that ended at an entry, and those of them that were cut off.
type cutRate struct{ cut, all int }

// check adds a finding for each answer that was cut off around planned work.
func (c *lostCheck) check(findings *checker, out io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Those beside changes and those at other times, by entry.
	beside, others := map[int]cutRate{}, map[int]cutRate{}
	var besideChange []*sentRequest
	cut, found := 0, 0
	report := func(r *sentRequest, work string) {
		found++
		findings.report("lost: %s was cut off %s, %s", c.describe(r), work, c.describeRuns(r))
	}
	for _, r := range c.requests {
		if c.isDisturbed(r) {
			continue
		}
		counts := c.counts(r)
		if counts {
			cut++
		}
		if stop := c.besideStop(r); stop != nil {
			if counts && !c.workedToTheEnd(r, stop.at) {
				report(r, fmt.Sprintf("%.2f s after SIGTERM (sent at %.2f s)", r.endedAt.Sub(stop.at).Seconds(), r.sentAt.Sub(stop.at).Seconds()))
			}
			continue
		}
		if counts && c.besideReload(r) {
			report(r, "after SIGHUP")
			continue
		}
		// Nothing is silent after the last fault, so that such times can't be compared.
		if r.endedAt.After(c.faultsOver) {
			continue
		}
		rates := others
		if c.besideChange(r) {
			rates = beside
			if counts && float64(r.endedAt.Sub(r.sentAt)) < usedShare*float64(r.timeout) {
				besideChange = append(besideChange, r)
			}
		}
		rate := rates[r.entry]
		rate.all++
		if counts {
			rate.cut++
		}
		rates[r.entry] = rate
	}
	for _, r := range besideChange {
		b, o := beside[r.entry], others[r.entry]
		if o.all > 0 && b.cut*o.all > usualCutFactor*o.cut*b.all {
			report(r, fmt.Sprintf("beside a change of the configuration (%d of %d requests were, %d of %d at other times)", b.cut, b.all, o.cut, o.all))
		}
	}
	fmt.Fprintf(out, "lost: %d answers were cut off without a fault or an excuse, %d of them around planned work\n", cut, found)
}

func (c *lostCheck) describe(r *sentRequest) string {
	return fmt.Sprintf("request %s (entry %d, status %d, %.2f s after it was sent, longest silence %.2f s)",
		r.id, r.entry, r.status, r.endedAt.Sub(r.sentAt).Seconds(), r.gap.Seconds())
}

// describeRuns tells when the runs of a request ended, relative to its own end.
func (c *lostCheck) describeRuns(r *sentRequest) string {
	text := "runs:"
	for _, run := range c.runs[r.id] {
		text += fmt.Sprintf(" %s from %+.2f s to %+.2f s", run.Runner, run.At.Sub(r.endedAt).Seconds(), run.EndedAt.Sub(r.endedAt).Seconds())
	}
	return text
}

func (r *sentRequest) isConnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected
}
