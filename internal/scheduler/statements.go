package scheduler

import (
	"math"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// SetStatement applies what one start of an engine says about the requests that it takes.
func (s *Scheduler) SetStatement(pool string, st *pb.UpstreamStatement) {
	if a := s.activePool(pool); a != nil {
		a.pool.SetStatement(st, s.now())
		s.requestRun(a, Placement)
	}
}

// SetStatement applies what one start of an engine says about the requests that it takes.
func (p *Pool) SetStatement(s *pb.UpstreamStatement, now time.Duration) {
	defer p.lock(placementBits)()
	m := p.upstreams.byID[s.Id]
	if m == nil || m.state.Generation != uint64(s.BornMs) {
		return
	}
	m.limit = s.Limit
	delete(p.upstreams.limited, m)
	if m.limit > 0 {
		p.upstreams.limited[m] = struct{}{}
	}
	m.saysLeaving = m.saysLeaving || s.Leaving
	p.upstreams.refresh(m, &p.params, now)
	p.unblockQueue()
}

// excludeLimited adds to a list of excluded engines those that get as many requests as
// they take.
func (t *upstreamTable) excludeLimited(excluded []string, now time.Duration) []string {
	if len(t.limited) == 0 {
		return excluded
	}
	list := append([]string(nil), excluded...)
	for m := range t.limited {
		if m.sends.Wait(m.limit, now) > 0 {
			list = append(list, m.view.ID)
		}
	}
	return list
}

// countSend counts a request to the engine against the limit that it states.
func (m *upstreamRecord) countSend(now time.Duration) {
	if m.limit > 0 {
		m.sends.Reserve(m.limit, math.MaxInt64, now)
	}
}

// forgetReplaced drops the limits of engines that have restarted or ended.
func (t *upstreamTable) forgetReplaced() {
	for m := range t.limited {
		if t.byID[m.view.ID] != m {
			delete(t.limited, m)
		}
	}
}
