package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/policy"
)

// replay runs a grantor and the books of 65 entries without a network, in steps of
// replayStep.
type replay struct {
	t       *testing.T
	rng     *rand.Rand
	bound   policy.UsageBound
	limits  map[string]policy.TenantLimit
	grantor *policy.TenantGrantor
	term    uint64
	now     time.Duration
	entries []*replayEntry
	// connections are the entries that callers are connected to.
	connections []int
	// lost reports whether a call by an entry is lost, and answerLost whether its answer is.
	lost, answerLost func(entry int) bool
	runs             map[string][]replayRun
	// refused counts the refusals of requests that the cap alone would have admitted.
	refused map[string]int
	offered map[string]int
	// caps are buckets that all requests pass, as if there was one entry.
	caps map[string]*policy.TokenBucket
	// refusals are all refusals, for tests of RetryAfter.
	refusals []replayRefusal
}

type replayRun struct {
	at   time.Duration
	cost float64
}

type replayRefusal struct {
	name       string
	entry      int
	at         time.Duration
	cost       float64
	retryAfter time.Duration
}

type replayEntry struct {
	id        string
	born      int64
	startedAt time.Duration
	usage     *entryUsage
	nextAt    time.Duration
	call      *replayCall
	tickets   []replayTicket
	// grantor is the one that the entry calls; nil for that of the replay.
	grantor *policy.TenantGrantor
}

type replayCall struct {
	report             *policy.UsageReport
	sentAt, served, at time.Duration
	answer             *answer
	failed             bool
}

type replayTicket struct {
	*ticket
	askedAt time.Duration
	// underCap is set if the cap alone admits the request.
	underCap bool
}

const (
	replayStep    = 2 * time.Millisecond
	replayEntries = 65
	// streamCost is that of a stream of the target deployments.
	streamCost = 5270
)

var replayBound = policy.UsageBound{Window: 8 * time.Second, Over: 0.1, Slack: 73000}

func newReplay(t *testing.T, seed uint64, limits map[string]policy.TenantLimit) *replay {
	r := &replay{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), bound: replayBound, limits: limits, now: time.Minute,
		runs: map[string][]replayRun{}, refused: map[string]int{}, caps: map[string]*policy.TokenBucket{}, offered: map[string]int{},
		lost: func(int) bool { return false }, answerLost: func(int) bool { return false },
	}
	for i := range replayEntries {
		r.entries = append(r.entries, &replayEntry{id: fmt.Sprint(i)})
		r.restart(i)
	}
	for range 46 {
		r.connections = append(r.connections, r.rng.IntN(replayEntries))
	}
	r.lead()
	return r
}

// lead starts a new leader.
func (r *replay) lead() {
	r.term++
	r.grantor = &policy.TenantGrantor{Bound: r.bound}
	r.grantor.SetLimits(r.limits, r.now)
	r.grantor.Begin(r.term, r.now)
}

func (r *replay) restart(i int) {
	e := r.entries[i]
	e.born, e.startedAt = e.born+1, r.now
	e.usage = newEntryUsage(r.bound, r.rng.Float64)
	e.usage.setLimits(r.limits, r.now)
	e.usage.entries = replayEntries
	e.nextAt, e.call, e.tickets = r.now+time.Duration(r.rng.IntN(500))*time.Millisecond, nil, nil
}

// setLimitsOfEntries sets the limits of the entries, and of later grantors.
func (r *replay) setLimitsOfEntries(limits map[string]policy.TenantLimit) {
	r.limits = limits
	for _, e := range r.entries {
		e.usage.setLimits(limits, r.now)
	}
}

// load is the requests of a tenant: streams per second, Poisson.
type load map[string]float64

func (r *replay) run(d time.Duration, l load) {
	names := slices.Sorted(maps.Keys(l))
	for end := r.now + d; r.now < end; r.now += replayStep {
		for _, name := range names {
			perSecond := l[name]
			for p := r.rng.ExpFloat64(); p < perSecond*replayStep.Seconds(); p += r.rng.ExpFloat64() {
				r.request(r.connections[r.rng.IntN(len(r.connections))], name, streamCost*(0.9+0.2*r.rng.Float64()))
			}
		}
		for i := range r.entries {
			r.step(i)
		}
	}
}

func (r *replay) request(i int, name string, cost float64) {
	e := r.entries[i]
	r.offered[name]++
	if r.caps[name] == nil {
		full := policy.NewTokenBucket(r.limits[name].Burst, r.now)
		r.caps[name] = &full
	}
	r.caps[name].Advance(r.limits[name].PerSecond, r.limits[name].Burst, r.now)
	underCap := r.caps[name].Level() >= cost
	if underCap {
		r.caps[name].Add(-cost)
	}
	e.tickets = append(e.tickets, replayTicket{e.usage.ask(name, cost, r.now), r.now, underCap})
	if e.usage.asks() && !e.usage.outage {
		e.nextAt = min(e.nextAt, r.now)
	}
}

func (r *replay) step(i int) {
	e := r.entries[i]
	if c := e.call; c != nil {
		if c.answer == nil && !c.failed && r.now >= c.served {
			r.serve(i, c)
		}
		if r.now >= c.at {
			e.call = nil
			e.nextAt = r.now + renewInterval
			switch {
			case c.answer == nil:
				e.usage.fail(r.now)
				e.nextAt = r.now + failureDelay
			case e.usage.apply(c.report, c.sentAt, c.answer, r.now) || e.usage.asks():
				e.nextAt = r.now + minCallInterval
			}
		}
	}
	if e.call == nil && r.now >= e.nextAt {
		c := &replayCall{report: e.usage.report(r.term, r.now), sentAt: r.now, served: r.now + 4*time.Millisecond, at: r.now + callTimeout}
		c.report.Entry, c.report.Born, c.report.Age = e.id, e.born, r.now-e.startedAt
		e.call = c
	}
	left := e.tickets[:0]
	for _, t := range e.tickets {
		if t.verdict == waiting && r.now-t.askedAt >= maxWait {
			e.usage.expire(t.ticket, r.now)
		}
		switch t.verdict {
		case waiting:
			left = append(left, t)
		case admitted:
			r.runs[t.account.name] = append(r.runs[t.account.name], replayRun{r.now, t.cost})
		default:
			if t.underCap {
				r.refused[t.account.name]++
			}
			r.refusals = append(r.refusals, replayRefusal{t.account.name, i, r.now, t.cost, t.retryAfter})
		}
	}
	e.tickets = left
}

func (r *replay) serve(i int, c *replayCall) {
	c.failed = true
	grantor := r.grantor
	if r.entries[i].grantor != nil {
		grantor = r.entries[i].grantor
	}
	if grantor == nil || r.lost(i) {
		return
	}
	grants, restate, stale := grantor.Serve(c.report, r.now)
	if stale || r.answerLost(i) {
		return
	}
	c.answer = &answer{term: grantor.Term(), restate: restate, grants: append(grants, grantor.BusyStandby(c.report.Entry, busyTenants, r.now)...)}
	c.at = r.now + 4*time.Millisecond
}

// maxWindow returns the most that ran in any window.
func (r *replay) maxWindow(name string) (most float64) {
	runs, sum, first := r.runs[name], 0.0, 0
	for i := range runs {
		sum += runs[i].cost
		for runs[i].at-runs[first].at > r.bound.Window {
			sum -= runs[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (r *replay) used(name string) (sum float64) {
	for _, run := range r.runs[name] {
		sum += run.cost
	}
	return sum
}

func (r *replay) checkBounds() {
	r.t.Helper()
	for name, limit := range r.limits {
		require.LessOrEqual(r.t, r.maxWindow(name), r.bound.Max(limit), "tenant %s", name)
	}
}

// targetTenants are 16 tenants, a few of them large, and their usual load.
func targetTenants() (map[string]policy.TenantLimit, load) {
	limits, usual := map[string]policy.TenantLimit{}, load{}
	for i := range 16 {
		rate := 18000.0
		if i < 3 {
			rate = 60000
		}
		name := fmt.Sprint("t", i)
		limits[name] = policy.TenantLimit{PerSecond: rate, Burst: rate}
		usual[name] = rate / 1.8 / streamCost
	}
	return limits, usual
}

// with returns the load with that of one tenant multiplied.
func (l load) with(name string, factor float64) load {
	changed := load{}
	for n, perSecond := range l {
		changed[n] = perSecond
	}
	changed[name] *= factor
	return changed
}

func (r *replay) refusedOthers(hot string) (n int) {
	for name, refused := range r.refused {
		if name != hot {
			n += refused
		}
	}
	return n
}

// Guards against refusals of tenants under their caps: requests come in clumps, and each
// costs a third of the smallest cap's burst.
func TestUsualLoadIsNotRefused(t *testing.T) {
	limits, usual := targetTenants()
	r := newReplay(t, 1, limits)
	r.run(40*time.Second, usual)
	t.Log(r.refused, r.offered)
	require.Empty(t, r.refused)
	r.checkBounds()
}

// Guards against a hot tenant that exceeds the bound, gets little of its cap, or takes
// what others need.
func TestHotTenantGetsItsCapAndNoMore(t *testing.T) {
	limits, usual := targetTenants()
	for _, hot := range []string{"t0", "t9"} {
		r := newReplay(t, 2, limits)
		r.run(10*time.Second, usual)
		before := r.used(hot)
		r.run(11*time.Second, usual.with(hot, 6))
		share := (r.used(hot) - before) / (11 * limits[hot].PerSecond)
		r.run(10*time.Second, usual)
		t.Logf("%s: share %.2f of the cap, most in a window %.0f of %.0f, refused %v", hot, share, r.maxWindow(hot), r.bound.Max(limits[hot]), r.refused)
		r.checkBounds()
		require.Greater(t, share, 0.95)
		require.Zero(t, r.refusedOthers(hot))
	}
}
