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

// Options of one run.
type Options struct {
	Workload *Workload
	// Entries are base URLs of the entries. Required.
	Entries []string
	// Upstreams are base URLs of stand-ins that were started separately with
	// the workload's settings. Empty: the run starts the workload's fleet in
	// this process, announcing to Entries.
	Upstreams []string
	// Load is the offered load in percent of the stand-ins' capacity.
	Load float64
	// UrgentLoad replaces Load for urgent calls, so that their latency can be
	// compared at different draft loads; 0: the same as Load.
	UrgentLoad float64
	// Duration of the arrivals, at most MaxDuration.
	Duration time.Duration
	Seed     uint64
	// FaultInterval is the mean time between faults; 0: no faults.
	FaultInterval time.Duration
}

const (
	// MaxDuration and the limits below keep a whole run under a minute.
	MaxDuration = 25 * time.Second
	readyLimit  = 10 * time.Second
	drainLimit  = 15 * time.Second
	leakLimit   = 5 * time.Second
	pollEvery   = 50 * time.Millisecond
	statTimeout = 2 * time.Second
)

// Run makes the calls of a workload and checks them.
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
	size, err := fleetCapacity(o.Workload.Fleet)
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
	calls := r.calls(&size)
	report := newReport()
	report.Bound = size.bound(calls, o.Duration)
	results := r.make(ctx, calls)
	for _, res := range results {
		report.add(res)
	}
	return report, r.check(ctx, report, results, before)
}

// startFleet starts the workload's stand-ins in this process.
func (o *Options) startFleet(ctx context.Context) (func(), error) {
	var peers []standin.Instance
	stop := func() {
		for _, p := range peers {
			p.Close()
		}
	}
	for i, s := range o.Workload.Fleet {
		s.Entries, s.Seed = o.Entries, o.Seed+uint64(i)
		p, err := standin.Start(ctx, s)
		if err != nil {
			stop()
			return nil, errors.Wrapf(err, "starting stand-in %s", s.ID)
		}
		peers = append(peers, p)
		o.Upstreams = append(o.Upstreams, p.URL())
	}
	return stop, nil
}

// runner is one run.
type runner struct {
	Options
	id     string
	caller caller
}

// waitReady makes single calls of each kind until one is answered.
func (r *runner) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	random := rand.New(rand.NewPCG(r.Seed, 0))
	r.caller.start = time.Now()
	for i := range r.Workload.Kinds {
		k := &r.Workload.Kinds[i]
		for n := 0; ; n++ {
			call := newCall(random, k, fmt.Sprintf("%s-ready-%d", r.id, n))
			call.LeaveAfter, call.LeaveTokens, call.OutputTokens = 0, 0, 1
			res := r.caller.make(ctx, call, n)
			if res.outcome == outcomeComplete {
				break
			}
			if time.Now().After(deadline) || sleep(ctx, pollEvery) != nil {
				return errors.Errorf("entry not ready for %s: %s", k.Name, res.detail)
			}
		}
	}
	return nil
}

// calls returns all arrivals in order of time. Each kind has its own random
// sequence, so that its arrivals don't depend on the rates of the others.
func (r *runner) calls(size *capacity) []*Call {
	m := r.Workload.mix(size)
	var calls []*Call
	for i := range r.Workload.Kinds {
		k := &r.Workload.Kinds[i]
		percent := r.Load
		if k.Urgent && r.UrgentLoad > 0 {
			percent = r.UrgentLoad
		}
		count := m.rate * k.Share * percent / 100 * r.Duration.Seconds()
		amount, work := count*m.work[i], func(c *Call) float64 { return size.demandOf(c)[m.scarcest] }
		if k.Plain {
			amount, work = count, func(*Call) float64 { return 1 }
		}
		random := rand.New(rand.NewPCG(r.Seed, uint64(i+1)))
		calls = append(calls, generate(random, k, amount, work, r.Duration, r.id)...)
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	return calls
}

// make makes the calls at their times and waits for the answers. Calls that
// are not answered within the drain limit are cancelled and count as lost.
func (r *runner) make(ctx context.Context, calls []*Call) []*result {
	ctx, cancel := context.WithTimeout(ctx, r.Duration+drainLimit)
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
			results[i] = &result{call: call, outcome: outcomeLeft}
			continue
		}
		wg.Go(func() { results[i] = r.answer(ctx, call, i) })
	}
	wg.Wait()
	<-faultsDone
	return results
}

// answer makes a call, twice at the same time when it is to be resent. The two
// may overtake each other: one of them is then told that the call is running,
// and the other one's answer counts.
func (r *runner) answer(ctx context.Context, call *Call, n int) *result {
	if !call.Resend {
		return r.caller.make(ctx, call, n)
	}
	second := make(chan *result, 1)
	go func() { second <- r.caller.make(ctx, call, n+1) }()
	first := r.caller.make(ctx, call, n)
	other := <-second
	if first.outcome == outcomeUnknown || first.outcome == outcomeRejected {
		return other
	}
	return first
}

// stats are the counters of the whole fleet.
type stats struct {
	engines standin.EngineStats
	// held counts pieces, and 1 for each request that occupies an engine
	// without pieces, such as a prefill that nobody cancelled.
	held int
	runs map[string]int
}

func (r *runner) fleetStats(ctx context.Context) (*stats, error) {
	sum := &stats{runs: map[string]int{}}
	for _, url := range r.Upstreams {
		var one struct {
			standin.EngineStats
			Runs map[string]int `json:"runs"`
		}
		if err := r.getStats(ctx, url, &one); err != nil {
			return nil, err
		}
		sum.engines.PrefillTokensRun += one.PrefillTokensRun
		sum.engines.PrefillTokensDiscarded += one.PrefillTokensDiscarded
		if one.Runs == nil {
			sum.held += max(one.HeldPieces, one.Running)
		}
		for key, n := range one.Runs {
			sum.runs[key] += n
		}
	}
	return sum, nil
}

// getStats retries while a crashed stand-in restarts.
func (r *runner) getStats(ctx context.Context, url string, answer any) error {
	deadline := time.Now().Add(leakLimit)
	for {
		err := getJSON(ctx, url+"/stats", answer)
		if err == nil || time.Now().After(deadline) || sleep(ctx, pollEvery) != nil {
			return errors.Wrapf(err, "reading stats of %s", url)
		}
	}
}

func getJSON(ctx context.Context, url string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, statTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	// A new connection each time: a pooled one may have gone silent.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(answer)
}

// check compares the answers with the upstreams' own counters.
func (r *runner) check(ctx context.Context, report *Report, results []*result, before *stats) error {
	after, err := r.fleetStats(ctx)
	for deadline := time.Now().Add(leakLimit); err == nil && after.held > 0; {
		if time.Now().After(deadline) || sleep(ctx, pollEvery) != nil {
			break
		}
		after, err = r.fleetStats(ctx)
	}
	if err != nil {
		return err
	}
	report.LeakedPieces = after.held
	report.PrefillRun = after.engines.PrefillTokensRun - before.engines.PrefillTokensRun
	report.PrefillDiscarded = after.engines.PrefillTokensDiscarded - before.engines.PrefillTokensDiscarded
	for _, res := range results {
		if res.call.Kind.Plain {
			report.checkRuns(res, after.runs[res.call.Key])
		}
	}
	return nil
}

// checkRuns compares the answer of a non-repeatable call with the number of
// times it ran.
func (r *Report) checkRuns(res *result, runs int) {
	switch {
	case runs > 1:
		r.Reran++
	case runs == 1 && res.outcome == outcomeRejected && !res.call.Resend:
		// "Not run" was answered for a call that ran, so its caller would
		// make it again.
		r.Reran++
	case runs == 0 && res.outcome == outcomeComplete:
		r.Lost++
	default:
		return
	}
	r.problem("%s: %d runs, outcome %d %s", res.call.Key, runs, res.outcome, res.detail)
}

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
