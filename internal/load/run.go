package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/standin"
)

// Options are the options of one run.
type Options struct {
	Workload *Workload
	// Entries are base URLs of the entries. Required.
	Entries []string
	// Upstreams are base URLs of stand-ins that were started separately, with
	// the settings and in the order of the workload's fleet. Empty: the run
	// starts the fleet in this process and announces it to Entries.
	Upstreams []string
	// Load is the offered load in percent of the full load of the stand-ins, at
	// which their bottleneck is fully used.
	Load float64
	// UrgentLoad replaces Load for urgent calls, so that their latency can be
	// compared under different loads of drafts. 0: the same as Load.
	UrgentLoad float64
	// Duration is the time over which calls arrive, at most MaxDuration.
	Duration time.Duration
	Seed     uint64
	// FaultInterval is the mean time between injected faults. 0: no faults.
	FaultInterval time.Duration
}

const (
	// MaxDuration and the timeouts below keep a whole run under a minute.
	MaxDuration  = 25 * time.Second
	readyTimeout = 10 * time.Second
	drainTimeout = 15 * time.Second
	// settleTimeout is how long a check waits for crashed stand-ins to restart
	// and for memory that is still in use to be freed.
	settleTimeout = 5 * time.Second
	pollInterval  = 50 * time.Millisecond
	// standinTimeout bounds one request for stats or a fault to a stand-in.
	standinTimeout = 2 * time.Second
)

// Run sends the calls of a workload and checks their results.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Entries) == 0 || o.Duration <= 0 || o.Duration > MaxDuration {
		return nil, errors.Errorf("run needs an entry and a duration of at most %v", MaxDuration)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(o.Upstreams) == 0 {
		stop, err := o.startFleet(ctx)
		if err != nil {
			return nil, err
		}
		defer stop()
	}
	fleetCap, err := fleetCapacity(o.Workload.Fleet)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1_000}
	defer transport.CloseIdleConnections()
	r := &runner{Options: o, id: fmt.Sprintf("%d-%d", o.Seed, time.Now().UnixNano()),
		caller: caller{client: &http.Client{Transport: transport}, entries: o.Entries, model: o.Workload.Model}}
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	before, err := r.fleetStats(ctx)
	if err != nil {
		return nil, err
	}
	calls := r.calls(&fleetCap)
	report := newReport()
	report.MaxGood = fleetCap.maxGood(calls, o.Duration)
	results := r.runCalls(ctx, calls)
	for _, res := range results {
		report.add(res)
	}
	return report, r.check(ctx, report, results, before)
}

// startFleet starts the workload's stand-ins in this process.
func (o *Options) startFleet(ctx context.Context) (func(), error) {
	var instances []standin.Instance
	stop := func() {
		for _, instance := range instances {
			instance.Close()
		}
	}
	for i, s := range o.Workload.Fleet {
		s.Entries, s.Seed = o.Entries, o.Seed+uint64(i)
		instance, err := standin.Start(ctx, s)
		if err != nil {
			stop()
			return nil, errors.Wrapf(err, "starting stand-in %s", s.ID)
		}
		instances = append(instances, instance)
		o.Upstreams = append(o.Upstreams, instance.URL())
	}
	return stop, nil
}

// runner is the state of one run.
type runner struct {
	Options
	// id makes the idempotency keys and prompts of this run unique.
	id     string
	caller caller
}

// waitReady sends calls of each kind, one at a time, until one of that kind
// completes.
func (r *runner) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	random := rand.New(rand.NewPCG(r.Seed, 0))
	r.caller.start = time.Now()
	for i := range r.Workload.Kinds {
		k := &r.Workload.Kinds[i]
		for n := 0; ; n++ {
			call := newCall(random, k, fmt.Sprintf("%s-ready-%d", r.id, n))
			call.CancelAfter, call.CancelAfterTokens, call.OutputTokens = 0, 0, 1
			res := r.caller.do(ctx, call, n)
			if res.outcome == outcomeComplete {
				break
			}
			if time.Now().After(deadline) || sleep(ctx, pollInterval) != nil {
				return errors.Errorf("entry not ready for %s: %s", k.Name, res.detail)
			}
		}
	}
	return nil
}

// calls returns the calls of the run in order of arrival. Each kind has its own
// random sequence, so that its arrivals do not depend on the rates of the
// others.
func (r *runner) calls(fleetCap *capacity) []*Call {
	full := r.Workload.fullLoad(fleetCap)
	var calls []*Call
	for i := range r.Workload.Kinds {
		k := &r.Workload.Kinds[i]
		loadPercent := r.Load
		if k.Urgent && r.UrgentLoad > 0 {
			loadPercent = r.UrgentLoad
		}
		count := full.callsPerSecond * k.Share * loadPercent / 100 * r.Duration.Seconds()
		targetWork, workOf := count*full.bottleneckDemands[i], func(c *Call) float64 { return fleetCap.demandOf(c)[full.bottleneck] }
		if k.Plain {
			targetWork, workOf = count, func(*Call) float64 { return 1 }
		}
		random := rand.New(rand.NewPCG(r.Seed, uint64(i+1)))
		calls = append(calls, generate(random, k, targetWork, workOf, r.Duration, r.id)...)
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	return calls
}

// runCalls sends the calls at their times of arrival and waits for the
// responses. Calls that are still running drainTimeout after the end of the
// arrivals are cancelled; a completion then counts as lost or truncated.
func (r *runner) runCalls(ctx context.Context, calls []*Call) []*result {
	ctx, cancel := context.WithTimeout(ctx, r.Duration+drainTimeout)
	defer cancel()
	results := make([]*result, len(calls))
	r.caller.start = time.Now()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		r.injectFaults(ctx)
	}()
	var wg sync.WaitGroup
	for i, call := range calls {
		if sleep(ctx, time.Until(r.caller.start.Add(call.At))) != nil {
			results[i] = &result{call: call, outcome: outcomeCancelled}
			continue
		}
		wg.Go(func() { results[i] = r.runCall(ctx, call, i) })
	}
	wg.Wait()
	<-faultsDone
	return results
}

// runCall sends a call, or two copies of it at the same time if SendTwice is
// set. Either copy may be the one that is rejected because the call is already
// running; the result of the other one counts.
func (r *runner) runCall(ctx context.Context, call *Call, n int) *result {
	if !call.SendTwice {
		return r.caller.do(ctx, call, n)
	}
	secondResult := make(chan *result, 1)
	go func() { secondResult <- r.caller.do(ctx, call, n+1) }()
	first := r.caller.do(ctx, call, n)
	second := <-secondResult
	if first.outcome == outcomeUnknown || first.outcome == outcomeRejected {
		return second
	}
	return first
}

// stats are the counters of the whole fleet.
type stats struct {
	engines standin.EngineStats
	// occupied sums, over the engines, the pieces in use or the number of
	// running requests if that is higher. The latter covers requests without
	// pieces, such as a prefill that was never cancelled.
	occupied int
	// runsByKey counts the runs of plain calls by idempotency key.
	runsByKey map[string]int
}

func (r *runner) fleetStats(ctx context.Context) (*stats, error) {
	sum := &stats{runsByKey: map[string]int{}}
	for _, url := range r.Upstreams {
		var reply struct {
			standin.EngineStats
			Runs map[string]int `json:"runs"`
		}
		if err := r.getStats(ctx, url, &reply); err != nil {
			return nil, err
		}
		sum.engines.PrefillTokensRun += reply.PrefillTokensRun
		sum.engines.PrefillTokensDiscarded += reply.PrefillTokensDiscarded
		if reply.Runs == nil {
			sum.occupied += max(reply.HeldPieces, reply.Running)
		}
		for key, n := range reply.Runs {
			sum.runsByKey[key] += n
		}
	}
	return sum, nil
}

// getStats reads the counters of one stand-in into out. It retries, because a
// crashed stand-in takes some time to restart.
func (r *runner) getStats(ctx context.Context, url string, out any) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		err := getJSON(ctx, url+"/stats", out)
		if err == nil || time.Now().After(deadline) || sleep(ctx, pollInterval) != nil {
			return errors.Wrapf(err, "reading stats of %s", url)
		}
	}
}

func getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	// A new connection each time: FaultSilence may have silenced a pooled one.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// check adds to the report what the counters of the upstreams show: leaked
// memory, wasted prefill and calls that ran twice or not at all.
func (r *runner) check(ctx context.Context, report *Report, results []*result, before *stats) error {
	after, err := r.fleetStats(ctx)
	for deadline := time.Now().Add(settleTimeout); err == nil && after.occupied > 0; {
		if time.Now().After(deadline) || sleep(ctx, pollInterval) != nil {
			break
		}
		after, err = r.fleetStats(ctx)
	}
	if err != nil {
		return err
	}
	report.LeakedPieces = after.occupied
	report.PrefillRun = after.engines.PrefillTokensRun - before.engines.PrefillTokensRun
	report.PrefillDiscarded = after.engines.PrefillTokensDiscarded - before.engines.PrefillTokensDiscarded
	for _, res := range results {
		if res.call.Kind.Plain {
			report.checkRuns(res, after.runsByKey[res.call.Key])
		}
	}
	return nil
}

// checkRuns compares the outcome of a non-repeatable call with the number of
// times it ran.
func (r *Report) checkRuns(res *result, runCount int) {
	switch {
	case runCount > 1:
		r.Reran++
	case runCount == 1 && res.outcome == outcomeRejected && !res.call.SendTwice:
		// The response said "not run" for a call that ran, so a real caller
		// would send it again.
		r.Reran++
	case runCount == 0 && res.outcome == outcomeComplete:
		r.Lost++
	default:
		return
	}
	r.addProblem("%s: %d runs, outcome %d %s", res.call.Key, runCount, res.outcome, res.detail)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
