package scheduler

import (
	"maps"
	"slices"
	"time"

	"godwitward.example/godwitward/policy"
)

const (
	// maxPrefillDelay bounds the delay with which a prefill is granted: one
	// interval of the controller. A running request may end before its
	// forecast, and a longer delay would then leave its memory unused.
	maxPrefillDelay = forecastInterval
	// forecastMargin is added to the time at which memory is forecast to become
	// free, scaled by the weight of wasted prefill. A prefill result expires in
	// under a second, so a slot that becomes free late wastes the prefill.
	forecastMargin = 60 * time.Millisecond
	// maxForecastEngines is the number of decode engines examined for one
	// request, and maxForecastSkipped the number of requests that one run
	// skips.
	maxForecastEngines = 3
	maxForecastSkipped = 6
	minMarginScale     = 0.25
	maxMarginScale     = 4
)

// forecastEnd is when one hold is forecast to end and the memory that it
// releases.
type forecastEnd struct {
	at     time.Duration
	pieces int
}

// placeAhead is the forecast controller. When decode is full, it grants a
// request just in time: its prefill and transfer take about as long as it takes
// until enough running requests have ended. Their ends are forecast from the
// maximum output, so that memory is rarely free later than forecast.
func (p *Pool) placeAhead(now time.Duration) []Action {
	if p.params.DisableForecast || !p.policy.RespectsReserve() {
		return nil
	}
	defer p.lock(placementBits)()
	if p.inRestateWindow(now) {
		return nil
	}
	var out []Action
	ends := map[*upstreamRecord][]forecastEnd{}
	// Models for which requests of an earlier lane are still queued; those get
	// the memory that becomes free.
	queuedModels := map[string]bool{}
	// skipped and unplaced belong to a lane of all groups of a priority.
	skipped, unplaced := 0, map[string]bool{}
	last := queuePart{group: &queueGroup{}}
	for _, part := range p.queue.parts() {
		q := part.group.lanes[part.lane]
		if part.lane != urgentLane && p.urgentReserve() > 0 {
			// While urgent requests arrive, memory that becomes free refills
			// their reserve first. Promised to a draft, it would raise the p99
			// TTFT of urgent requests tenfold in TestTargetsInSimulation.
			break
		}
		if part.lane != last.lane || part.group.band != last.group.band {
			maps.Copy(queuedModels, unplaced)
			skipped, unplaced = 0, map[string]bool{}
		}
		last = part
		if skipped >= maxForecastSkipped {
			continue
		}
		q.Serve(anySize, func(w *queuedRequest) policy.Verdict {
			if queuedModels[w.req.Model] {
				return policy.SkipGroup
			}
			if w == p.queue.earmarkedDraft {
				return policy.SkipFlow
			}
			if pl, delay, ok := p.chooseAhead(w, ends, now); ok {
				out = append(out, p.grantHold(w, &pl, delay, true, now)...)
				return policy.Taken
			}
			unplaced[w.req.Model] = true
			if skipped++; skipped >= maxForecastSkipped {
				return policy.Stop
			}
			return policy.SkipFlow
		})
	}
	return out
}

func anySize(string) int { return unlimitedPieces }

// futureCapacity is an engine and the time at which a request fits it.
type futureCapacity struct {
	engine *policy.Engine
	at     time.Duration
}

// chooseAhead selects a decode engine whose memory becomes free when the
// prefill result arrives. Only the engines that are free first are examined.
func (p *Pool) chooseAhead(w *queuedRequest, ends map[*upstreamRecord][]forecastEnd, now time.Duration) (policy.Placement, time.Duration, bool) {
	q := p.query(w, now)
	var list []futureCapacity
	for _, e := range q.Decode {
		if !e.Usable || policy.Fits(&q, e) || slices.Contains(q.Exclude, e.ID) {
			continue
		}
		if free, ok := p.freeAt(p.upstreams.byID[e.ID], w, ends, now); ok {
			list = append(list, futureCapacity{engine: e, at: free})
		}
	}
	slices.SortStableFunc(list, func(a, b futureCapacity) int { return int(a.at - b.at) })
	for _, c := range list[:min(len(list), maxForecastEngines)] {
		if pl, delay, ok := p.planPrefill(&q, c.engine, w, c.at, now); ok {
			return pl, delay, true
		}
	}
	return policy.Placement{}, 0, false
}

// planPrefill places the prefill for a decode engine that has capacity from a
// time on, and returns the delay with which the prefill starts.
func (p *Pool) planPrefill(q *policy.Query, e *policy.Engine, w *queuedRequest, free, now time.Duration) (policy.Placement, time.Duration, bool) {
	// The copy has capacity, so that the policy only decides on prefill and
	// links.
	emptied := *e
	emptied.HeldPieces, emptied.PromisedPieces, emptied.ForeignPieces, emptied.EarmarkedPieces = 0, 0, 0, 0
	emptied.Batch, emptied.PromisedBatch, emptied.ForeignBatch = e.MaxBatch/2, 0, 0
	emptied.TotalPieces = max(e.TotalPieces, 2*w.spec.Pieces)
	narrowed := *q
	narrowed.Decode = []*policy.Engine{&emptied}
	pl, ok := p.placePair(&narrowed, w)
	if !ok {
		return pl, 0, false
	}
	pl.Decode = e
	scale := min(max(w.spec.Weights.Ratio(), minMarginScale), maxMarginScale)
	start := free + time.Duration(scale*float64(forecastMargin))
	delay := max(0, start-now-policy.Seconds(pl.WaitSeconds+pl.PrefillSeconds))
	if delay > maxPrefillDelay || now+delay > w.queueDeadline {
		return pl, 0, false
	}
	return pl, delay, true
}

// freeAt forecasts when a decode engine has capacity for the request.
func (p *Pool) freeAt(m *upstreamRecord, w *queuedRequest, ends map[*upstreamRecord][]forecastEnd, now time.Duration) (time.Duration, bool) {
	v := &m.view
	needPieces := w.spec.Pieces - v.FreePieces(w.spec.Class, 0)
	needSlots := 1 - v.FreeSlots(w.spec.Class, 0)
	list, ok := ends[m]
	if !ok {
		list = p.forecastEnds(m, now)
		ends[m] = list
	}
	for _, e := range list {
		needPieces -= e.pieces
		needSlots--
		if needPieces <= 0 && needSlots <= 0 {
			return max(e.at, now), true
		}
	}
	return 0, false
}

// forecastEnds lists the forecast ends of the holds that decode on an engine,
// earliest first.
func (p *Pool) forecastEnds(m *upstreamRecord, now time.Duration) []forecastEnd {
	var out []forecastEnd
	tokenSeconds := m.view.TokenSeconds(m.view.MaxBatch)
	for _, h := range p.holds.byDecode[m] {
		if h.promised || h.cancelling || h.firstTokenAt == 0 {
			continue
		}
		end := h.firstTokenAt + policy.Seconds(tokenSeconds*float64(h.outputTokens))
		// A hold that is past its forecast end shows that the forecast is wrong
		// for it.
		if end < now-forecastMargin || end > now+forecastHorizon {
			continue
		}
		out = append(out, forecastEnd{at: end, pieces: int(h.pieces)})
	}
	slices.SortFunc(out, func(a, b forecastEnd) int { return int(a.at - b.at) })
	return out
}

// forecastHorizon is how far ahead ends are forecast: the longest prefill,
// transfer and delay that are planned for.
const forecastHorizon = 2 * time.Second
