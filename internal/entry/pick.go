package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// connectBackoff is how long an upstream gets no new calls after a failed connect.
// A scheduler notices the failure only after 3 s without an announcement.
const connectBackoff = time.Second

// picker chooses the upstream of a plain call by power of two choices. It compares
// this entry's outstanding calls, divided by the weight that the scheduler learned
// from the upstream's speed. It is safe for concurrent use.
type picker struct {
	mu           sync.Mutex
	outstanding  map[string]int
	backoffUntil map[string]time.Time
}

func newPicker() *picker {
	return &picker{outstanding: map[string]int{}, backoffUntil: map[string]time.Time{}}
}

// pick returns a live upstream that is not excluded, or nil when there is none.
// Upstreams in backoff are used only when there is no other. The call counts as
// outstanding until done is called.
func (p *picker) pick(now time.Time, list []*pb.UpstreamStatus, exclude []string) *pb.UpstreamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, list, exclude)
	if len(candidates) == 0 {
		return nil
	}
	i := rand.IntN(len(candidates))
	best := candidates[i]
	if n := len(candidates); n > 1 {
		other := candidates[(i+1+rand.IntN(n-1))%n]
		if p.cost(other) < p.cost(best) {
			best = other
		}
	}
	p.outstanding[best.State.Id]++
	return best
}

func (p *picker) candidates(now time.Time, list []*pb.UpstreamStatus, exclude []string) []*pb.UpstreamStatus {
	var available, inBackoff []*pb.UpstreamStatus
	for _, u := range list {
		id := u.GetState().GetId()
		if u.Health != pb.UpstreamStatus_LIVE || slices.Contains(exclude, id) {
			continue
		}
		if now.Before(p.backoffUntil[id]) {
			inBackoff = append(inBackoff, u)
			continue
		}
		available = append(available, u)
	}
	if len(available) == 0 {
		return inBackoff
	}
	return available
}

// cost is the relative time that another call would take.
func (p *picker) cost(u *pb.UpstreamStatus) float64 {
	weight := u.Weight
	if weight <= 0 {
		weight = 1
	}
	return float64(p.outstanding[u.State.Id]+1) / weight
}

// done ends a call. connectFailed means that no connection was established and
// starts the upstream's backoff; any other end clears it.
func (p *picker) done(now time.Time, id string, connectFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding[id]--
	if p.outstanding[id] <= 0 {
		delete(p.outstanding, id)
	}
	if connectFailed {
		p.backoffUntil[id] = now.Add(connectBackoff)
		return
	}
	delete(p.backoffUntil, id)
}
