package scheduler

import (
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// version is what the engines have in common between which a stream may move: the software
// and the weights of its model. An empty text means not known.
type version struct {
	software, weights string
}

// fits reports whether an engine may serve a stream of the version. One whose weights are
// not known may: the entry asks it.
func (v version) fits(engine version) bool {
	return (v.software == "" || v.software == engine.software) && policy.SameWeights(v.weights, engine.weights)
}

// weightsOf returns the weights of a model, empty if the upstream does not announce them.
func weightsOf(s *pb.UpstreamState, model string) string {
	if i := slices.Index(s.Models, model); i >= 0 && i < len(s.Weights) {
		return s.Weights[i]
	}
	return ""
}

// versionOf returns the version of an engine for requests of a model.
func (m *upstreamRecord) versionOf(model string) version {
	return version{software: m.state.SoftwareVersion, weights: weightsOf(m.state, model)}
}

// versionOf returns the version of the engine with an id for requests of a model.
func (t *upstreamTable) versionOf(e *policy.Engine, model string) version {
	return t.byID[e.ID].versionOf(model)
}

// expandRunText replaces the run text that an entry which compares software versions only has
// in their place.
func expandRunText(req *pb.SubmitRequest) {
	if r := fleet.ParseRunText(req.SoftwareVersion); r != nil {
		v := fleet.RunVersions(r, req.Model)
		req.SoftwareVersion, req.WeightsVersion = v.Software, v.Weights
	}
}

// version returns the version at which the request's stream began, empty for a new one.
func (w *queuedRequest) version() version {
	return version{software: w.req.SoftwareVersion, weights: w.req.WeightsVersion}
}

// lacksWeights reports whether the request resumes a stream whose weights its entry does not
// tell, while engines of several weights may serve.
func (w *queuedRequest) lacksWeights(c *candidates) bool {
	return w.unchecked && w.spec.GeneratedTokens > 0 && w.req.WeightsVersion == "" && (len(c.weights) > 1 || c.weightsDropped)
}

// comparesWeights reports whether the weights of the engines that serve a request matter.
func (w *queuedRequest) comparesWeights(c *candidates) bool {
	return len(c.weights) > 1 || w.unchecked && (len(c.weights) == 1 || c.weightsDropped)
}

// sameWeights reports whether a prefill result of some weights may serve the request at an
// engine of others. Weights that are not known may be the same if the entry finds out.
func (w *queuedRequest) sameWeights(a, b string) bool {
	if w.unchecked {
		return a == b && a != ""
	}
	return policy.SameWeights(a, b)
}

// excluded returns the ids of the engines that a request must not use.
func (p *Pool) excluded(w *queuedRequest, c *candidates, now time.Duration) []string {
	list := p.upstreams.excludeLimited(w.req.Exclude, now)
	if claimed := p.queue.claimedBefore(w); len(claimed) > 0 {
		list = slices.Concat(list, claimed)
	}
	kept, began := p.keptEngines(w), w.version()
	if began == (version{}) && len(kept) == 0 {
		return list
	}
	list = slices.Clone(list)
	for _, e := range c.decode {
		if kept[e.ID] || !began.fits(p.upstreams.versionOf(e, w.req.Model)) {
			list = append(list, e.ID)
		}
	}
	for _, e := range c.prefill {
		if !policy.SameWeights(began.weights, p.upstreams.versionOf(e, w.req.Model).weights) {
			list = append(list, e.ID)
		}
	}
	return list
}

// keptEngines returns the ids of the decode engines that a new draft leaves to queued
// streams which only these may resume; none for streams that all engines may resume.
func (p *Pool) keptEngines(w *queuedRequest) map[string]bool {
	if w.lane == resumedLane || w.lane == urgentLane || p.queue.laneLengths[resumedLane] == 0 {
		return nil
	}
	type stream struct {
		model string
		began version
	}
	queued := map[stream]bool{}
	p.queue.eachInLane(resumedLane, func(r *queuedRequest) {
		if began := r.version(); began != (version{}) {
			queued[stream{r.req.Model, began}] = true
		}
	})
	kept := map[string]bool{}
	for s := range queued {
		if fitting, all := p.upstreams.fittingDecode(s.model, s.began); !all {
			for _, e := range fitting {
				kept[e.ID] = true
			}
		}
	}
	return kept
}

// fittingDecode returns the usable decode engines of a model that fit a version, and
// whether these are all usable ones.
func (t *upstreamTable) fittingDecode(model string, v version) (fitting []*policy.Engine, all bool) {
	c, all := t.byModel[model], true
	if c == nil {
		return nil, true
	}
	for _, e := range c.decode {
		switch {
		case !e.Usable:
		case v.fits(t.versionOf(e, model)):
			fitting = append(fitting, e)
		default:
			all = false
		}
	}
	return fitting, all
}

// addWeights notes the weights of the model at one of its engines.
func (c *candidates) addWeights(weights string) {
	if weights != "" && !slices.Contains(c.weights, weights) {
		c.weights = append(c.weights, weights)
	}
}

// placePair places a request on a prefill and a decode engine. They have the same weights
// as far as these are known: a KV cache is of no use to other weights.
func (p *Pool) placePair(q *policy.Query, w *queuedRequest) (policy.Placement, bool) {
	c := p.upstreams.candidatesFor(w.req.Model)
	if !w.comparesWeights(c) {
		return p.policy.Place(q)
	}
	var best policy.Placement
	found := false
	for _, weights := range c.weights {
		narrowed := *q
		narrowed.Exclude = p.upstreams.excludeWeights(q.Exclude, c, w.req.Model, func(other string) bool { return !w.sameWeights(other, weights) })
		if pl, ok := p.policy.Place(&narrowed); ok && (!found || pl.Cost < best.Cost) {
			best, found = pl, true
		}
	}
	return best, found
}

// placeUnpaired places a request on a decode engine that prefills the prompt itself because
// no usable prefill engine has its weights.
func (p *Pool) placeUnpaired(q *policy.Query, w *queuedRequest) (policy.Placement, bool) {
	c := p.upstreams.candidatesFor(w.req.Model)
	if !w.comparesWeights(c) {
		return policy.Placement{}, false
	}
	var prefill []string
	for _, e := range c.prefill {
		if e.Usable {
			prefill = append(prefill, p.upstreams.versionOf(e, w.req.Model).weights)
		}
	}
	narrowed := *q
	narrowed.Exclude = p.upstreams.excludeWeights(q.Exclude, c, w.req.Model, func(weights string) bool {
		return slices.ContainsFunc(prefill, func(other string) bool { return w.sameWeights(weights, other) })
	})
	return policy.PlaceLocalPrefill(&narrowed)
}

// excludeWeights adds to a list of excluded engines those of a model whose weights match.
func (t *upstreamTable) excludeWeights(excluded []string, c *candidates, model string, match func(weights string) bool) []string {
	list := slices.Clone(excluded)
	for _, engines := range [][]*policy.Engine{c.prefill, c.decode} {
		for _, e := range engines {
			if match(t.versionOf(e, model).weights) {
				list = append(list, e.ID)
			}
		}
	}
	return list
}
