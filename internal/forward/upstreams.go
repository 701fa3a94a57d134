package forward

import (
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// upstreams is the entry's list of upstreams by service. Its lock is taken
// before that of a target.
type upstreams struct {
	place string

	mu        sync.Mutex
	byID      map[string]*target
	byService map[string][]*target
	outcomes  outcomeLog
}

func newUpstreams(place string) *upstreams {
	return &upstreams{place: place, byID: map[string]*target{}, byService: map[string][]*target{}, outcomes: outcomeLog{counts: map[*target]*pb.UpstreamOutcomes{}}}
}

// forgetSilent is how long an upstream stays in the list after it was marked
// silent, as long as the core keeps its record.
const forgetSilent = 90 * time.Second

// prune drops upstreams that have been silent for long: a crashed process says
// nothing, and most processes that start again have another id.
func (u *upstreams) prune(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.byID {
		t.mu.Lock()
		old := t.record.Silent && now.Sub(t.silentSince) > forgetSilent
		t.mu.Unlock()
		if old {
			u.remove(id)
		}
	}
}

// update takes changed records.
func (u *upstreams) update(records []*pb.UpstreamRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range records {
		known := u.byID[r.Id]
		if known != nil && known.record.BornMs == r.BornMs && known.address == r.Address && known.record.Service == r.Service {
			known.mu.Lock()
			if r.Silent && !known.record.Silent {
				known.silentSince = time.Now()
			}
			known.record = r
			known.mu.Unlock()
		} else {
			u.replace(known, r)
		}
		if r.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
			u.remove(r.Id)
		}
	}
}

func (u *upstreams) replace(old *target, r *pb.UpstreamRecord) {
	if old != nil {
		u.remove(r.Id)
	}
	t := &target{id: r.Id, address: r.Address, born: r.BornMs, outcomes: &u.outcomes, record: r, silentSince: time.Now()}
	u.byID[r.Id] = t
	u.byService[r.Service] = append(u.byService[r.Service], t)
}

func (u *upstreams) remove(id string) {
	t := u.byID[id]
	if t == nil {
		return
	}
	delete(u.byID, id)
	service := t.record.Service
	list := u.byService[service]
	kept := make([]*target, 0, len(list))
	for _, other := range list {
		if other != t {
			kept = append(kept, other)
		}
	}
	u.byService[service] = kept
	go t.closeIdle(time.Time{}, true)
}

// list returns the upstreams of a service. The slice is not changed afterwards
// in place, only appended to or replaced.
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

// get returns an upstream by id, nil when it is not known or has ended.
func (u *upstreams) get(id string) *target {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byID[id]
}

// choice narrows which upstreams of a service may take a request.
type choice struct {
	service string
	stage   pb.EngineStage
	tried   map[*target]bool
}

// pick chooses an upstream, nil when none may take the request.
func (u *upstreams) pick(c choice, now time.Duration, r float64) *target {
	list := u.list(c.service)
	usable := make([]*target, 0, len(list))
	candidates := make([]policy.Candidate, 0, len(list))
	for _, t := range list {
		t.mu.Lock()
		record, misdirected := t.record, t.misdirected
		health, load := t.health, t.load
		others := 0.0
		if now < t.othersUntil {
			others = t.othersErrors
		}
		t.mu.Unlock()
		if misdirected || record.Phase != pb.UpstreamPhase_UPSTREAM_READY || record.Stage != c.stage {
			continue
		}
		usable = append(usable, t)
		candidates = append(candidates, policy.Candidate{
			Health: &health, Load: &load, SamePlace: record.Place == u.place,
			Suspect: record.Silent, Tried: c.tried[t], GlobalErrorShare: others,
		})
	}
	i := policy.PickUpstream(candidates, now, r)
	if i < 0 {
		return nil
	}
	return usable[i]
}
