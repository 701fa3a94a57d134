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

// mixRate returns the number of calls per second of the whole mix at which the
// scarcest resource is used fully.
func (w *Workload) mixRate(c *capacity) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	var mean demand
	for i := range w.Kinds {
		k := &w.Kinds[i]
		for range capacitySamples {
			mean = mean.plus(c.demandOf(newCall(r, k, "sample")), k.Share/capacitySamples)
		}
	}
	scarcest := 0.0
	for _, d := range mean {
		scarcest = max(scarcest, d)
	}
	return 1 / scarcest
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
