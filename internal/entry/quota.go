package entry

import (
	"sort"
	"sync"
	"sync/atomic"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// quota limits the total of what is acquired and not yet released.
type quota struct {
	limit int64
	used  atomic.Int64
}

func (q *quota) acquire(n int64) bool {
	if q.used.Add(n) <= q.limit {
		return true
	}
	q.used.Add(-n)
	return false
}

func (q *quota) release(n int64) {
	q.used.Add(-n)
}

type workKey struct {
	route   string
	service string
}

// inFlightCounter counts requests by route and service and signals when none is
// left.
type inFlightCounter struct {
	mu     sync.Mutex
	total  int
	counts map[workKey]uint32
	idle   chan struct{} // closed while total is 0
}

func newInFlightCounter() *inFlightCounter {
	f := &inFlightCounter{counts: map[workKey]uint32{}, idle: make(chan struct{})}
	close(f.idle)
	return f
}

func (f *inFlightCounter) add(k workKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.total == 0 {
		f.idle = make(chan struct{})
	}
	f.total++
	f.counts[k]++
}

func (f *inFlightCounter) remove(k workKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total--
	if f.total == 0 {
		close(f.idle)
	}
	f.counts[k]--
	if f.counts[k] == 0 {
		delete(f.counts, k)
	}
}

func (f *inFlightCounter) idleChan() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle
}

func (f *inFlightCounter) snapshot() []*pb.InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*pb.InFlight, 0, len(f.counts))
	for k, n := range f.counts {
		out = append(out, &pb.InFlight{Route: k.route, Service: k.service, Count: n})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Route != out[j].Route {
			return out[i].Route < out[j].Route
		}
		return out[i].Service < out[j].Service
	})
	return out
}
