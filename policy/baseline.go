package policy

import (
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ByName returns the policy with a name: "default", or one of the baselines
// "round-robin", "least-outstanding", "two-choices" and "prefill-first", which
// exist for comparison only.
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

// RoundRobin takes the next engine in turn that has room.
type RoundRobin struct {
	turn atomic.Uint64
}

// Name implements Policy.
func (*RoundRobin) Name() string { return "round-robin" }

// Reserves implements Policy.
func (*RoundRobin) Reserves() bool { return true }

// Place implements Policy.
func (r *RoundRobin) Place(q *Query) (Placement, bool) {
	turn := int(r.turn.Add(1))
	dec := nextFrom(q.Decode, turn, func(e *Engine) bool { return Fits(q, e) })
	pre := nextFrom(q.Prefill, turn, func(e *Engine) bool { return usable(q, e) })
	return simplePair(q, pre, dec)
}

func nextFrom(list []*Engine, turn int, fits func(*Engine) bool) *Engine {
	for i := range list {
		if e := list[(turn+i)%len(list)]; fits(e) {
			return e
		}
	}
	return nil
}

// LeastOutstanding takes the engines with the fewest holds.
type LeastOutstanding struct{}

// Name implements Policy.
func (LeastOutstanding) Name() string { return "least-outstanding" }

// Reserves implements Policy.
func (LeastOutstanding) Reserves() bool { return true }

// Place implements Policy.
func (LeastOutstanding) Place(q *Query) (Placement, bool) {
	byBatch := func(e *Engine) float64 { return float64(e.Batch) }
	dec := lowest(q.Decode, func(e *Engine) bool { return Fits(q, e) }, byBatch)
	pre := lowest(q.Prefill, func(e *Engine) bool { return usable(q, e) }, byBatch)
	return simplePair(q, pre, dec)
}

// TwoChoices compares two random engines by their last load reports alone, as
// entries do that each decide without the others.
type TwoChoices struct{}

// Name implements Policy.
func (TwoChoices) Name() string { return "two-choices" }

// Reserves implements Policy.
func (TwoChoices) Reserves() bool { return false }

// Place implements Policy.
func (TwoChoices) Place(q *Query) (Placement, bool) {
	load := func(e *Engine) float64 { return float64(e.Reported.Running + e.Reported.Queued) }
	roomy := func(e *Engine) bool {
		return usable(q, e) && e.TotalPieces-e.Reported.UsedPieces >= q.Request.Pieces
	}
	dec := lesserOfTwo(q.Decode, q.Random, roomy, load)
	pre := lesserOfTwo(q.Prefill, [2]float64{q.Random[1], q.Random[0]}, func(e *Engine) bool { return usable(q, e) }, load)
	return simplePair(q, pre, dec)
}

func lesserOfTwo(list []*Engine, random [2]float64, fits func(*Engine) bool, load func(*Engine) float64) *Engine {
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

// PrefillFirst chooses a prefill engine without regard to decode memory, which
// is not reserved.
type PrefillFirst struct{}

// Name implements Policy.
func (PrefillFirst) Name() string { return "prefill-first" }

// Reserves implements Policy.
func (PrefillFirst) Reserves() bool { return false }

// Place implements Policy.
func (PrefillFirst) Place(q *Query) (Placement, bool) {
	fits := func(e *Engine) bool { return usable(q, e) }
	pre := lowest(q.Prefill, fits, func(e *Engine) float64 { return PrefillWait(e, q.Request.Class) })
	dec := lowest(q.Decode, fits, func(e *Engine) float64 { return float64(e.Reported.Running) / float64(max(1, e.MaxBatch)) })
	return simplePair(q, pre, dec)
}

func usable(q *Query, e *Engine) bool {
	return e.Usable && !slices.Contains(q.Exclude, e.ID)
}

func lowest(list []*Engine, fits func(*Engine) bool, load func(*Engine) float64) *Engine {
	var out *Engine
	for _, e := range list {
		if fits(e) && (out == nil || load(e) < load(out)) {
			out = e
		}
	}
	return out
}

// simplePair describes a placement that ignores cached prefixes.
func simplePair(q *Query, pre, dec *Engine) (Placement, bool) {
	if pre == nil || dec == nil {
		return Placement{}, false
	}
	p := Placement{
		Prefill: pre, Decode: dec, Wait: PrefillWait(pre, q.Request.Class),
		Compute:  float64(q.Request.PromptTokens) / pre.PrefillRate,
		Transfer: TransferSeconds(pre, dec, q.Request.PromptTokens), PerToken: dec.TokenSeconds(dec.Batch + 1),
	}
	return p, true
}
