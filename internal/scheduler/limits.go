package scheduler

import (
	"math"
	"time"
)

// SetLimit sets how many requests a second one start of an engine takes from all
// daemons together; 0 means that it states no limit.
func (s *Scheduler) SetLimit(pool, id string, generation uint64, perSecond float64) {
	if a := s.activePool(pool); a != nil {
		a.pool.SetLimit(id, generation, perSecond)
		s.requestRun(a, Placement)
	}
}

// SetLimit sets the limit that one start of an engine states; 0 means none.
func (p *Pool) SetLimit(id string, generation uint64, perSecond float64) {
	defer p.lock(placementBits)()
	m := p.upstreams.byID[id]
	if m == nil || m.state.Generation != generation {
		return
	}
	m.limit = perSecond
	delete(p.upstreams.limited, m)
	if perSecond > 0 {
		p.upstreams.limited[m] = struct{}{}
	}
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
