package policy

import (
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ByName returns the policy with the given name: "default", or one of the
// baselines "round-robin", "least-outstanding", "two-choices" and
// "prefill-first", which exist for comparison only.
func ByName(name string) (Policy, error) {
	switch name {
	case "", "default":
		return Default{}, nil
	case "round-robin":
		return &RoundRobin{}, nil
	case "least-outstanding":
		return LeastOutstanding{}, nil
	case "two-choices":
		return TwoChoices{}, nil
	case "prefill-first":
		return PrefillFirst{}, nil
	}
	return nil, errors.Errorf("unknown policy %q", name)
}

// RoundRobin cycles through the engines and skips those that cannot take the
// request.
type RoundRobin struct {
	counter atomic.Uint64
}

// Name implements Policy.
func (*RoundRobin) Name() string { return "round-robin" }

// RespectsReserve implements Policy.
func (*RoundRobin) RespectsReserve() bool { return true }

// Place implements Policy.
func (r *RoundRobin) Place(q *Query) (Placement, bool) {
	start := int(r.counter.Add(1))
	dec := nextFitting(q.Decode, start, func(e *Engine) bool { return Fits(q, e) })
	pre := nextFitting(q.Prefill, start, func(e *Engine) bool { return eligible(q, e) })
	return uncachedPlacement(q, pre, dec)
}

// nextFitting returns the first engine from index start on, with wrap-around,
// for which fits reports true.
func nextFitting(list []*Engine, start int, fits func(*Engine) bool) *Engine {
	for i := range list {
		if e := list[(start+i)%len(list)]; fits(e) {
			return e
		}
	}
	return nil
}

// LeastOutstanding selects the engines with the fewest holds.
type LeastOutstanding struct{}

// Name implements Policy.
func (LeastOutstanding) Name() string { return "least-outstanding" }

// RespectsReserve implements Policy.
func (LeastOutstanding) RespectsReserve() bool { return true }

// Place implements Policy.
func (LeastOutstanding) Place(q *Query) (Placement, bool) {
	load := func(e *Engine) float64 { return float64(e.Batch) }
	dec := leastLoaded(q.Decode, func(e *Engine) bool { return Fits(q, e) }, load)
	pre := leastLoaded(q.Prefill, func(e *Engine) bool { return eligible(q, e) }, load)
	return uncachedPlacement(q, pre, dec)
}

// TwoChoices selects the less loaded of two random engines, judged by their
// last load reports alone. It models entries that decide independently.
type TwoChoices struct{}

// Name implements Policy.
func (TwoChoices) Name() string { return "two-choices" }

// RespectsReserve implements Policy.
func (TwoChoices) RespectsReserve() bool { return false }

// Place implements Policy.
func (TwoChoices) Place(q *Query) (Placement, bool) {
	load := func(e *Engine) float64 { return float64(e.Reported.Running + e.Reported.Queued) }
	fits := func(e *Engine) bool {
		return eligible(q, e) && e.TotalPieces-e.Reported.UsedPieces >= q.Request.Pieces
	}
	dec := lessLoadedOfTwo(q.Decode, q.Random, fits, load)
	pre := lessLoadedOfTwo(q.Prefill, [2]float64{q.Random[1], q.Random[0]}, func(e *Engine) bool { return eligible(q, e) }, load)
	return uncachedPlacement(q, pre, dec)
}

// lessLoadedOfTwo draws two engines from those for which fits reports true and
// returns the less loaded one. random holds two uniform values in [0, 1).
func lessLoadedOfTwo(list []*Engine, random [2]float64, fits func(*Engine) bool, load func(*Engine) float64) *Engine {
	var fitting []*Engine
	for _, e := range list {
		if fits(e) {
			fitting = append(fitting, e)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	a := fitting[int(random[0]*float64(len(fitting)))]
	b := fitting[int(random[1]*float64(len(fitting)))]
	if load(b) < load(a) {
		return b
	}
	return a
}

// PrefillFirst selects the prefill engine with the shortest wait. It neither
// checks nor reserves decode memory.
type PrefillFirst struct{}

// Name implements Policy.
func (PrefillFirst) Name() string { return "prefill-first" }

// RespectsReserve implements Policy.
func (PrefillFirst) RespectsReserve() bool { return false }

// Place implements Policy.
func (PrefillFirst) Place(q *Query) (Placement, bool) {
	fits := func(e *Engine) bool { return eligible(q, e) }
	pre := leastLoaded(q.Prefill, fits, func(e *Engine) float64 { return PrefillWaitSeconds(e, q.Request.Class) })
	dec := leastLoaded(q.Decode, fits, func(e *Engine) float64 { return float64(e.Reported.Running) / float64(max(1, e.MaxBatch)) })
	return uncachedPlacement(q, pre, dec)
}

// eligible reports whether the engine accepts new work and is not excluded.
func eligible(q *Query, e *Engine) bool {
	return e.Usable && !slices.Contains(q.Exclude, e.ID)
}

func leastLoaded(list []*Engine, fits func(*Engine) bool, load func(*Engine) float64) *Engine {
	var out *Engine
	for _, e := range list {
		if fits(e) && (out == nil || load(e) < load(out)) {
			out = e
		}
	}
	return out
}

// uncachedPlacement returns the placement on a pair of engines and ignores
// cached prefixes. It reports false when either engine is nil.
func uncachedPlacement(q *Query, pre, dec *Engine) (Placement, bool) {
	if pre == nil || dec == nil {
		return Placement{}, false
	}
	p := Placement{
		Prefill: pre, Decode: dec, WaitSeconds: PrefillWaitSeconds(pre, q.Request.Class),
		PrefillSeconds:  float64(q.Request.PromptTokens) / pre.PrefillRate,
		TransferSeconds: TransferSeconds(pre, dec, q.Request.PromptTokens), TokenSeconds: dec.TokenSeconds(dec.Batch + 1),
	}
	return p, true
}
