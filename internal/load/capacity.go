package load

import (
	"math/rand/v2"
	"time"

	"godwitward.example/godwitward/internal/standin"
	"godwitward.example/godwitward/internal/upstream"
)

// capacity is the total capacity of the engines of a fleet. Rates are per second.
type capacity struct {
	// prefillRate is in prompt tokens.
	prefillRate float64
	// decodeRate is in output tokens, with full batches.
	decodeRate float64
	// decodePieces is the KV cache memory of the decode engines, in pieces.
	decodePieces float64
	// exportRate and importRate are in bytes.
	exportRate float64
	importRate float64
	// stepSeconds is the mean time of a decode step with a full batch.
	stepSeconds float64
	// kvBytesPerToken and pieceTokens are the same for all engines.
	kvBytesPerToken float64
	pieceTokens     int
}

func fleetCapacity(fleet []standin.Settings) (capacity, error) {
	var c capacity
	decodeEngines := 0.0
	for _, s := range fleet {
		if err := s.Complete(); err != nil {
			return c, err
		}
		switch s.Role {
		case standin.RolePrefill:
			c.prefillRate += float64(s.PrefillTokensPerSecond)
			c.exportRate += float64(s.LinkBytesPerSecond)
		case standin.RoleDecode:
			stepSeconds := s.StepTime(s.MaxBatch).Seconds()
			c.decodeRate += float64(s.MaxBatch) / stepSeconds
			c.decodePieces += float64(s.TotalPieces)
			c.importRate += float64(s.LinkBytesPerSecond)
			c.stepSeconds += stepSeconds
			decodeEngines++
		}
		c.kvBytesPerToken, c.pieceTokens = float64(s.KVBytesPerToken), s.PieceTokens
	}
	if decodeEngines > 0 {
		c.stepSeconds /= decodeEngines
	}
	return c, nil
}

// demand is the service demand of calls on each resource (prefill, decode
// slots, decode memory, export, import): the seconds for which they would
// occupy that resource of the whole fleet.
type demand [5]float64

// addScaled returns d + other*factor.
func (d demand) addScaled(other demand, factor float64) demand {
	for i := range d {
		d[i] += other[i] * factor
	}
	return d
}

// demandOf returns a lower bound of the demand of a call: it assumes that shared
// prefixes are cached.
func (c *capacity) demandOf(call *Call) demand {
	if call.Kind.Plain {
		return demand{}
	}
	prompt := float64(upstream.EstimateTokens(len(call.Prompt)))
	cached := float64(call.PrefixTokens / c.pieceTokens * c.pieceTokens)
	output := float64(call.OutputTokens)
	kvBytes := prompt * c.kvBytesPerToken
	pieces := float64((int(prompt+output) + c.pieceTokens - 1) / c.pieceTokens)
	return demand{
		(prompt - cached) / c.prefillRate,
		output / c.decodeRate,
		pieces * output * c.stepSeconds / c.decodePieces,
		kvBytes / c.exportRate,
		kvBytes / c.importRate,
	}
}

// demandSamples is the number of random calls per kind from which the mean
// demand is calculated.
const demandSamples = 2_000

// fullLoad describes 100% load of a workload: the rate at which its bottleneck
// resource is fully used.
type fullLoad struct {
	callsPerSecond float64
	// bottleneck is the index in demand of the resource with the highest mean
	// demand per call.
	bottleneck int
	// bottleneckDemands are the mean demands of one call on the bottleneck, by
	// kind.
	bottleneckDemands []float64
}

// fullLoad calculates the mean demand from random calls with a fixed seed, so
// that it is the same for each run.
func (w *Workload) fullLoad(c *capacity) fullLoad {
	r := rand.New(rand.NewPCG(1, 1))
	var mean demand
	byKind := make([]demand, len(w.Kinds))
	for i := range w.Kinds {
		for range demandSamples {
			byKind[i] = byKind[i].addScaled(c.demandOf(newCall(r, &w.Kinds[i], "sample")), 1.0/demandSamples)
		}
		mean = mean.addScaled(byKind[i], w.Kinds[i].Share)
	}
	full := fullLoad{bottleneckDemands: make([]float64, len(w.Kinds))}
	for i, d := range mean {
		if d > mean[full.bottleneck] {
			full.bottleneck = i
		}
	}
	full.callsPerSecond = 1 / mean[full.bottleneck]
	for i, d := range byKind {
		full.bottleneckDemands[i] = d[full.bottleneck]
	}
	return full
}

// maxGood is an upper bound on the completions that the fleet could serve
// within their targets in time d: min(offered, capacity). Urgent calls are
// served first, as the routes require, and the remaining capacity is divided
// by the mean demand of a draft:
//
//	maxGood = urgent + min(drafts, min over resources of (d - urgent demand) / mean draft demand)
//
// Calls that are cancelled count neither as offered nor as good. The bound
// ignores the wait for a free engine, the delay of announcements and the
// duration of the transfer itself.
func (c *capacity) maxGood(calls []*Call, d time.Duration) float64 {
	var urgent, drafts demand
	urgentCalls, draftCalls := 0.0, 0.0
	for _, call := range calls {
		if call.Kind.Plain || call.cancels() {
			continue
		}
		if call.Kind.Urgent {
			urgent = urgent.addScaled(c.demandOf(call), 1)
			urgentCalls++
		} else {
			drafts = drafts.addScaled(c.demandOf(call), 1)
			draftCalls++
		}
	}
	maxDrafts := draftCalls
	for i := range drafts {
		if drafts[i] > 0 {
			remaining := max(0, d.Seconds()-urgent[i])
			maxDrafts = min(maxDrafts, remaining/(drafts[i]/draftCalls))
		}
	}
	return urgentCalls + maxDrafts
}
