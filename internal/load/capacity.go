package load

import (
	"math/rand/v2"
	"time"

	"godwitward.example/godwitward/internal/standin"
	"godwitward.example/godwitward/internal/upstream"
)

// capacity is what the engines of a fleet can do per second.
type capacity struct {
	prefillTokens float64
	// outputTokens with full batches.
	outputTokens float64
	// pieces is the decode memory.
	pieces      float64
	exportBytes float64
	importBytes float64
	// perToken is the mean time per token of a full batch, seconds.
	perToken    float64
	kvBytes     float64
	pieceTokens int
}

func fleetCapacity(fleet []standin.Settings) (capacity, error) {
	var c capacity
	decodes := 0.0
	for _, s := range fleet {
		if err := s.Complete(); err != nil {
			return c, err
		}
		switch s.Role {
		case standin.RolePrefill:
			c.prefillTokens += float64(s.PrefillTokensPerSecond)
			c.exportBytes += float64(s.LinkBytesPerSecond)
		case standin.RoleDecode:
			step := s.StepTime(s.MaxBatch).Seconds()
			c.outputTokens += float64(s.MaxBatch) / step
			c.pieces += float64(s.TotalPieces)
			c.importBytes += float64(s.LinkBytesPerSecond)
			c.perToken += step
			decodes++
		}
		c.kvBytes, c.pieceTokens = float64(s.KVBytesPerToken), s.PieceTokens
	}
	if decodes > 0 {
		c.perToken /= decodes
	}
	return c, nil
}

// demand is the share of each resource of the fleet that calls use, in
// seconds of the whole fleet.
type demand [5]float64

func (d demand) plus(o demand, factor float64) demand {
	for i := range d {
		d[i] += o[i] * factor
	}
	return d
}

// demandOf assumes that shared prefixes are cached, so that it is a lower
// bound of what the call needs.
func (c *capacity) demandOf(call *Call) demand {
	if call.Kind.Plain {
		return demand{}
	}
	prompt := float64(upstream.EstimateTokens(len(call.Prompt)))
	cached := float64(call.PrefixTokens / c.pieceTokens * c.pieceTokens)
	output := float64(call.OutputTokens)
	kv := prompt * c.kvBytes
	pieces := float64((int(prompt+output) + c.pieceTokens - 1) / c.pieceTokens)
	return demand{
		(prompt - cached) / c.prefillTokens,
		output / c.outputTokens,
		pieces * output * c.perToken / c.pieces,
		kv / c.exportBytes,
		kv / c.importBytes,
	}
}

// capacitySamples is the number of calls per kind from which the mean demand
// of the mix is taken.
const capacitySamples = 2_000

// mix describes the whole mix of a workload at 100% load.
type mix struct {
	// rate is the number of calls per second at which the scarcest resource
	// is used fully.
	rate float64
	// scarcest is the index of that resource in a demand.
	scarcest int
	// work is the mean demand for it of one call, by kind.
	work []float64
}

func (w *Workload) mix(c *capacity) mix {
	r := rand.New(rand.NewPCG(1, 1))
	var mean demand
	kinds := make([]demand, len(w.Kinds))
	for i := range w.Kinds {
		for range capacitySamples {
			kinds[i] = kinds[i].plus(c.demandOf(newCall(r, &w.Kinds[i], "sample")), 1.0/capacitySamples)
		}
		mean = mean.plus(kinds[i], w.Kinds[i].Share)
	}
	m := mix{work: make([]float64, len(w.Kinds))}
	for i, d := range mean {
		if d > mean[m.scarcest] {
			m.scarcest = i
		}
	}
	m.rate = 1 / mean[m.scarcest]
	for i, d := range kinds {
		m.work[i] = d[m.scarcest]
	}
	return m
}

// bound is the number of completions that the fleet could answer within the
// targets in time d: min(offered, capacity). Urgent calls are served first, as
// the routes demand, and the capacity left over is divided by the mean demand
// of a draft:
//
//	bound = urgent + min(drafts, min over resources of (d - urgent demand) / mean draft demand)
//
// Calls whose callers leave are neither offered nor good. Waiting for a free
// engine, announcements and the transfer itself are not in the bound.
func (c *capacity) bound(calls []*Call, d time.Duration) float64 {
	var urgent, drafts demand
	urgentCalls, draftCalls := 0.0, 0.0
	for _, call := range calls {
		if call.Kind.Plain || call.leaves() {
			continue
		}
		if call.Kind.Urgent {
			urgent = urgent.plus(c.demandOf(call), 1)
			urgentCalls++
		} else {
			drafts = drafts.plus(c.demandOf(call), 1)
			draftCalls++
		}
	}
	possible := draftCalls
	for i := range drafts {
		if drafts[i] > 0 {
			left := max(0, d.Seconds()-urgent[i])
			possible = min(possible, left/(drafts[i]/draftCalls))
		}
	}
	return urgentCalls + possible
}
