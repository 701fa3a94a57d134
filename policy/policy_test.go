package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against calls to an instance that has no weight or is skipped, and
// against a slow instance getting as many calls as a fast one.
func TestPickService(t *testing.T) {
	list := []Service{{ID: "a", Weight: 1, MeanCallSeconds: 0.1}, {ID: "b", Weight: 1, MeanCallSeconds: 0.4}, {ID: "c", Weight: 0}, {ID: "d", Weight: 1}}
	skip := func(s *Service) bool { return s.ID == "d" }
	rng := rand.New(rand.NewPCG(1, 1))
	calls := map[string]int{}
	for range 4000 {
		i := PickService(list, skip, [2]float64{rng.Float64(), rng.Float64()})
		calls[list[i].ID]++
		list[i].Outstanding++
		// Each instance completes calls at its own speed.
		list[0].Outstanding = max(0, list[0].Outstanding-1)
		if rng.IntN(4) == 0 {
			list[1].Outstanding = max(0, list[1].Outstanding-1)
		}
	}
	require.Len(t, calls, 2)
	require.Greater(t, calls["a"], 2*calls["b"])
	require.Equal(t, -1, PickService(list[2:3], nil, [2]float64{0.5, 0.5}))
}

// Guards against an organisation that gets more than its share by letting its
// queue run empty, and against serving withdrawn requests.
func TestFairQueueRemembersServedFlows(t *testing.T) {
	q := NewFairQueue[string]()
	all := func(string) int { return 10 }
	serve := func() (out string) {
		q.Serve(all, func(s string) Verdict {
			if out != "" {
				return Stop
			}
			out = s
			return Taken
		})
		return out
	}
	b := Bucket{Group: "m", Size: 1}
	q.Push("steady", 10, b, "s1")
	q.Push("steady", 10, b, "s2")
	q.Push("gone", 10, b, "g1")
	q.Push("burst", 100, b, "b1")
	require.True(t, q.Remove("gone", func(s string) bool { return s == "g1" }))
	require.Equal(t, "b1", serve())
	q.Push("burst", 100, b, "b2")
	require.Equal(t, []string{"s1", "s2", "b2", ""}, []string{serve(), serve(), serve(), serve()})
	require.Zero(t, q.Len())
}

// Guards against memory that grows with the number of organisations ever seen.
func TestFairQueueForgetsIdleFlows(t *testing.T) {
	q := NewFairQueue[int]()
	for i := range 10000 {
		q.Push(fmt.Sprint(i), 100, Bucket{Group: "m", Size: 1}, i)
		q.Serve(func(string) int { return 1 }, func(int) Verdict { return Taken })
	}
	require.Less(t, len(q.flows), 200)
}

// Guards against a policy that cannot be selected by name or that places on
// unusable or excluded engines.
func TestPoliciesPlaceOnUsableEngines(t *testing.T) {
	for _, name := range []string{"default", "round-robin", "least-outstanding", "two-choices", "prefill-first"} {
		p, err := ByName(name)
		require.NoError(t, err)
		require.Equal(t, name, p.Name())
		engine := func(id string, usable bool) *Engine {
			return &Engine{ID: id, Usable: usable, Share: 1, TotalPieces: 10, MaxBatch: 4, PrefillRate: 1000, DecodeSeconds: 0.02, LinkRate: 1e9}
		}
		q := &Query{
			Request: &Request{PromptTokens: 100, MaxOutput: 10, Pieces: 1, PromptPieces: 1}, Exclude: []string{"d3"}, Random: [2]float64{0.9, 0.1},
			Prefill: []*Engine{engine("p1", false), engine("p2", true)}, Decode: []*Engine{engine("d1", false), engine("d2", true), engine("d3", true)},
		}
		pl, ok := p.Place(q)
		require.True(t, ok, name)
		require.Equal(t, "p2 d2", pl.Prefill.ID+" "+pl.Decode.ID, name)
		q.Decode[1].Usable = false
		_, ok = p.Place(q)
		require.False(t, ok, name)
	}
}
