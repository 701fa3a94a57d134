package scheduler

import (
	"maps"
	"slices"
	"time"

	"godwitward.example/godwitward/policy"
)

const (
	// maxPrefillDelay bounds the delay with which a prefill is granted: one
	// interval of the controller. A running request may end before its forecast; a longer
	// delay would then leave its memory idle.
	maxPrefillDelay = forecastInterval
	// forecastMargin is added to the time at which memory is forecast to be
	// free, scaled by the weight of wasted prefill. A prefill result lives
	// under a second, so a slot that frees late wastes the prefill.
	forecastMargin = 60 * time.Millisecond
	// forecastEngines is the number of decode engines examined for one request,
	// and maxForecastAside the number of requests that one run passes over.
	forecastEngines  = 3
	maxForecastAside = 6
	minMarginScale   = 0.25
	maxMarginScale   = 4
)

// ending is when one hold is forecast to end.
type ending struct {
	at     time.Duration
	pieces int
}

// forecast is the just-in-time controller: when decode is full it grants a
// request whose prefill and transfer take about as long as it takes until
// enough running requests have ended. Ends are forecast from the longest
// output, so that memory is rarely free later than forecast.
func (p *Pool) forecast(now time.Duration) []Action {
	if p.params.DisableJIT || !p.policy.Reserves() {
		return nil
	}
	defer p.lock(placementTables)()
	if p.restating(now) {
		return nil
	}
	var out []Action
	ends := map[*member][]ending{}
	// Models with requests of an earlier lane that still wait: what becomes
	// free there is theirs.
	ahead := map[string]bool{}
	for i, q := range p.queue.lanes {
		if q.Len() == 0 {
			continue
		}
		if lane(i) != urgentLane && p.reserve() > 0 {
			// While urgent requests come, memory that becomes free refills
			// their reserve first. A promise to a draft would take it: in
			// TestTargetsInSimulation the p99 of urgent requests rises tenfold.
			break
		}
		aside := 0
		left := map[string]bool{}
		q.Serve(anySize, func(w *waiting) policy.Verdict {
			if ahead[w.req.Model] {
				return policy.SkipGroup
			}
			if w == p.queue.earmark {
				return policy.SkipFlow
			}
			if pl, delay, ok := p.placeAhead(w, ends, now); ok {
				out = append(out, p.grantHold(w, &pl, delay, true, now)...)
				return policy.Taken
			}
			left[w.req.Model] = true
			if aside++; aside >= maxForecastAside {
				return policy.Stop
			}
			return policy.SkipFlow
		})
		maps.Copy(ahead, left)
	}
	return out
}

func anySize(string) int { return unknownPieces }

// early is an engine with the time at which it has room.
type early struct {
	engine *policy.Engine
	free   time.Duration
}

// placeAhead looks for an engine on which memory becomes free when the
// prefill's result arrives. Only the engines that are free first are examined.
func (p *Pool) placeAhead(w *waiting, ends map[*member][]ending, now time.Duration) (policy.Placement, time.Duration, bool) {
	q := p.query(w, now)
	var list []early
	for _, e := range q.Decode {
		if !e.Usable || policy.Fits(&q, e) || slices.Contains(w.req.Exclude, e.ID) {
			continue
		}
		if free, ok := p.freeAt(p.upstreams.byID[e.ID], w, ends, now); ok {
			list = append(list, early{engine: e, free: free})
		}
	}
	slices.SortStableFunc(list, func(a, b early) int { return int(a.free - b.free) })
	for _, c := range list[:min(len(list), forecastEngines)] {
		if pl, delay, ok := p.timePrefill(&q, c.engine, w, c.free, now); ok {
			return pl, delay, true
		}
	}
	return policy.Placement{}, 0, false
}

// timePrefill places the prefill for a decode engine with room from a time on.
func (p *Pool) timePrefill(q *policy.Query, e *policy.Engine, w *waiting, free, now time.Duration) (policy.Placement, time.Duration, bool) {
	// The copy has room, so that the policy judges prefill and links.
	roomy := *e
	roomy.HeldPieces, roomy.PromisedPieces, roomy.ForeignPieces, roomy.EarmarkedPieces = 0, 0, 0, 0
	roomy.Batch, roomy.PromisedBatch, roomy.ForeignBatch = e.MaxBatch/2, 0, 0
	roomy.TotalPieces = max(e.TotalPieces, 2*w.spec.Pieces)
	one := *q
	one.Decode = []*policy.Engine{&roomy}
	pl, ok := p.policy.Place(&one)
	if !ok {
		return pl, 0, false
	}
	pl.Decode = e
	scale := min(max(w.spec.Weights.Ratio(), minMarginScale), maxMarginScale)
	start := free + time.Duration(scale*float64(forecastMargin))
	delay := max(0, start-now-policy.Seconds(pl.Wait+pl.Compute))
	if delay > maxPrefillDelay || now+delay > w.giveUp {
		return pl, 0, false
	}
	return pl, delay, true
}

// freeAt forecasts when a decode engine has room for the request.
func (p *Pool) freeAt(m *member, w *waiting, ends map[*member][]ending, now time.Duration) (time.Duration, bool) {
	v := &m.view
	needPieces := w.spec.Pieces - v.FreePieces(w.spec.Class, 0)
	needSlots := 1 - v.FreeSlots(w.spec.Class, 0)
	list, ok := ends[m]
	if !ok {
		list = p.endings(m, now)
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

// endings lists the forecast ends of the holds that decode on an engine.
func (p *Pool) endings(m *member, now time.Duration) []ending {
	var out []ending
	token := m.view.TokenSeconds(m.view.MaxBatch)
	for _, h := range p.holds.byDecode[m] {
		if h.promised || h.ending || h.firstAt == 0 {
			continue
		}
		end := h.firstAt + policy.Seconds(token*float64(h.maxOutput))
		// A hold past its forecast end says that the forecast is wrong for it.
		if end < now-forecastMargin || end > now+maxForecast {
			continue
		}
		out = append(out, ending{at: end, pieces: int(h.pieces)})
	}
	slices.SortFunc(out, func(a, b ending) int { return int(a.at - b.at) })
	return out
}

// maxForecast is the longest prefill, transfer and delay that is planned for.
const maxForecast = 2 * time.Second
