package forward

import (
	"slices"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// upstreams is the set of known upstreams, indexed by id and by service. Lock
// order: mu is locked before target.mu.
type upstreams struct {
	place string
	links *links

	mu        sync.Mutex
	byID      map[string]*target
	byService map[string][]*target
	outcomes  callOutcomes
}

func newUpstreams(place string, links *links) *upstreams {
	return &upstreams{place: place, links: links, byID: map[string]*target{}, byService: map[string][]*target{}, outcomes: callOutcomes{counts: map[*target]*pb.UpstreamOutcomes{}}}
}

// silentRetention is how long an upstream is kept after it was marked silent. The
// core keeps its record for the same time.
const silentRetention = 90 * time.Second

// prune removes upstreams that have been silent for longer than silentRetention.
// A crashed process does not deregister, and usually restarts with another id.
func (u *upstreams) prune(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.byID {
		t.mu.Lock()
		expired := t.record.Silent && now.Sub(t.silentSince) > silentRetention
		t.mu.Unlock()
		if expired {
			u.remove(id)
		}
	}
}

// update applies changed records. now is the time since the start of the server.
func (u *upstreams) update(records []*pb.UpstreamRecord, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range records {
		known := u.byID[r.Id]
		if known != nil && known.reports(r) {
			known.mu.Lock()
			if r.Silent && !known.record.Silent {
				known.silentSince = time.Now()
			}
			known.setRecord(r, now)
			known.mu.Unlock()
		} else {
			u.replace(known, r)
		}
		if r.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
			u.remove(r.Id)
		}
	}
}

// reports reports whether a record is of the target's process. Where neither tells a start, the
// sequence number of another process begins anew.
func (t *target) reports(r *pb.UpstreamRecord) bool {
	record := t.currentRecord()
	return t.bornMs == r.BornMs && t.address == r.Address && record.Service == r.Service && (r.BornMs != 0 || r.Sequence >= record.Sequence)
}

func (u *upstreams) replace(old *target, r *pb.UpstreamRecord) {
	if old != nil {
		old.replaced.Store(true)
		u.remove(r.Id)
	}
	t := &target{id: r.Id, address: r.Address, bornMs: r.BornMs, links: u.links, outcomes: &u.outcomes, record: r, recordAt: time.Now(), silentSince: time.Now(), references: references{lock: make(chan struct{}, 1)}}
	u.byID[r.Id] = t
	u.byService[r.Service] = append(u.byService[r.Service], t)
}

func (u *upstreams) remove(id string) {
	t := u.byID[id]
	if t == nil {
		return
	}
	delete(u.byID, id)
	service := t.currentRecord().Service
	list := u.byService[service]
	kept := make([]*target, 0, len(list))
	for _, other := range list {
		if other != t {
			kept = append(kept, other)
		}
	}
	u.byService[service] = kept
	t.mu.Lock()
	t.removed = true
	t.mu.Unlock()
	go t.closeIdle(time.Time{}, true)
	go t.references.close()
}

// list returns the upstreams of a service. The elements of the returned slice do
// not change: the slices in byService are only appended to or replaced.
func (u *upstreams) list(service string) []*target {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.byService[service]
	return l[:len(l):len(l)]
}

func (u *upstreams) all() []*target {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := make([]*target, 0, len(u.byID))
	for _, t := range u.byID {
		l = append(l, t)
	}
	return l
}

// get returns an upstream by id, or nil if it is unknown or gone.
func (u *upstreams) get(id string) *target {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byID[id]
}

// upstreamFilter selects the candidates for a request. Those in tried are used
// only when no others are left.
type upstreamFilter struct {
	service string
	stage   pb.EngineStage
	tried   map[*target]bool
	// run holds the versions at which a stream goes on; nil if any will do.
	run *policy.RunVersions
	// weights is the version of the weights of model that upstreams must have as far as
	// they report one; empty if any will do.
	model, weights string
	// cost is the cost of a plain call, by which it is placed where upstreams state how long
	// work takes; nil for other requests.
	cost *policy.CallCost
	// unbroken excludes upstreams that may have restarted.
	unbroken bool
	// excluded holds upstreams that are not used.
	excluded map[*target]bool
}

// admits reports whether a target passes the filter.
func (f *upstreamFilter) admits(t *target, now time.Duration) bool {
	t.mu.Lock()
	record, refusesWork := t.record, t.misdirected || t.stated.Leaving || now < t.pausedUntil
	t.mu.Unlock()
	return !f.excluded[t] && !refusesWork && record.Phase == pb.UpstreamPhase_UPSTREAM_READY && record.Stage == f.stage &&
		(f.run == nil || f.run.MayGoOnAt(fleet.RunVersions(record, f.run.Model))) &&
		policy.SameWeights(f.weights, fleet.RunVersions(record, f.model).Weights) && !(f.unbroken && t.mayHaveRestarted(now)) && !(f.run != nil && t.processDoubtful())
}

// usable returns the upstreams that pass the filter.
func (u *upstreams) usable(filter upstreamFilter, now time.Duration) []*target {
	var list []*target
	for _, t := range u.list(filter.service) {
		if filter.admits(t, now) {
			list = append(list, t)
		}
	}
	return list
}

// likely reports whether a target has the weights that the filter asks for, as far as the
// process has stated any.
func (f *upstreamFilter) likely(t *target, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.run != nil && !f.run.MayGoOnAt(t.likelyVersions(f.run.Model, now)) {
		return false
	}
	return policy.SameWeights(f.weights, t.likelyVersions(f.model, now).Weights)
}

// pick returns the best upstream that passes the filter, or nil. Those that have stated other
// weights are used only when no others are left. r is a random number, uniform in [0, 1), that
// breaks ties.
func (u *upstreams) pick(filter upstreamFilter, now time.Duration, r float64) *target {
	usable := u.usable(filter, now)
	unlikely := func(t *target) bool { return !filter.likely(t, now) }
	if likely := slices.DeleteFunc(slices.Clone(usable), unlikely); len(likely) > 0 {
		usable = likely
	}
	candidates := u.candidates(usable, filter, now)
	i := -1
	if filter.cost != nil && policy.UsesForecast(candidates) {
		i = policy.PickByForecast(candidates, *filter.cost, now, r)
	} else {
		i = policy.PickUpstream(candidates, now, r)
	}
	if i < 0 {
		return nil
	}
	return usable[i]
}

// candidates returns what is known of targets for a choice between them.
func (u *upstreams) candidates(usable []*target, filter upstreamFilter, now time.Duration) []policy.Candidate {
	candidates := make([]policy.Candidate, 0, len(usable))
	for _, t := range usable {
		t.mu.Lock()
		record, health, load := t.record, t.health, t.load
		errorShare := 0.0
		if now < t.errorShareExpires {
			errorShare = t.globalErrorShare
		}
		t.mu.Unlock()
		candidates = append(candidates, policy.Candidate{
			Health: &health, Load: &load, SamePlace: record.Place == u.place,
			Suspect: record.Silent, Tried: filter.tried[t], GlobalErrorShare: errorShare,
		})
	}
	return candidates
}
