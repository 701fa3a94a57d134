package forward

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTimed is the longest time that a histogram tells apart.
	maxTimed = time.Minute
	// timedDigits is the precision of the histograms: 1 part in 100 takes 10 KB
	// each.
	timedDigits = 2
)

// timing is a histogram of times in milliseconds.
type timing struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newTiming() *timing {
	return &timing{h: hdrhistogram.New(1, maxTimed.Milliseconds(), timedDigits)}
}

func (t *timing) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Values are clamped to the range, so the library accepts each of them.
	_ = t.h.RecordValue(min(max(1, d.Milliseconds()), maxTimed.Milliseconds()))
}

// summary is what the metrics page shows of a histogram, in milliseconds.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

func (t *timing) summary() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return summary{t.h.TotalCount(), t.h.ValueAtQuantile(50), t.h.ValueAtQuantile(99), t.h.Max()}
}

// vars are the metrics of one server.
type vars struct {
	all *expvar.Map
	// requests counts by kind of route and status, outcomes by outcome and
	// reason.
	requests *expvar.Map
	outcomes *expvar.Map
	sends    *expvar.Int
	repeats  *expvar.Int
	prefills *expvar.Int
	// answer is the time to the end of an answer, first to its first event, and
	// placed the wait for engines.
	answer, first, placed *timing
}

func newVars(s *Server) *vars {
	v := &vars{
		all: new(expvar.Map).Init(), requests: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(),
		sends: new(expvar.Int), repeats: new(expvar.Int), prefills: new(expvar.Int),
		answer: newTiming(), first: newTiming(), placed: newTiming(),
	}
	v.all.Set("requests", v.requests)
	v.all.Set("outcomes", v.outcomes)
	v.all.Set("sends", v.sends)
	v.all.Set("repeats", v.repeats)
	v.all.Set("prefills", v.prefills)
	v.all.Set("answer", expvar.Func(v.answer.summary))
	v.all.Set("first_event", expvar.Func(v.first.summary))
	v.all.Set("placement_wait", expvar.Func(v.placed.summary))
	v.all.Set("in_flight", expvar.Func(func() any { return s.inFlight.Load() }))
	v.all.Set("body_bytes", expvar.Func(func() any { return s.bodies.Load() }))
	v.all.Set("config_version", expvar.Func(func() any {
		if c := s.config.Load(); c != nil {
			return c.Version
		}
		return 0
	}))
	v.all.Set("repeat_budget_left", expvar.Func(func() any { return s.budgetsLeft() }))
	return v
}

// Vars returns the server's metrics.
func (s *Server) Vars() *expvar.Map { return s.vars.all }

func (s *Server) budgetsLeft() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := map[string]float64{}
	for service, b := range s.budgets {
		left[service] = b.Left(s.now())
	}
	return left
}

// count adds a finished request to the metrics.
func (x *exchange) count() {
	v := x.s.vars
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	v.requests.Add(kind+" "+itoa(x.status), 1)
	v.outcomes.Add(x.outcome+" "+x.reason, 1)
	v.sends.Add(int64(x.sends))
	if x.sends > 1 {
		v.repeats.Add(int64(x.sends - 1))
	}
	v.answer.add(time.Since(x.began))
}
