package entry

import (
	"sort"
	"sync"
	"sync/atomic"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// gauge is an amount with a limit.
type gauge struct {
	limit int64
	used  atomic.Int64
}

func (g *gauge) acquire(n int64) bool {
	if g.used.Add(n) <= g.limit {
		return true
	}
	g.used.Add(-n)
	return false
}

func (g *gauge) release(n int64) {
	g.used.Add(-n)
}

type workKey struct {
	route   string
	service string
}

// inFlight counts requests by route and service and tells when none is left.
type inFlight struct {
	mu    sync.Mutex
	total int
	count map[workKey]uint32
	idle  chan struct{} // closed while total is 0
}

func newInFlight() *inFlight {
	f := &inFlight{count: map[workKey]uint32{}, idle: make(chan struct{})}
	close(f.idle)
	return f
}

func (f *inFlight) add(k workKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.total == 0 {
		f.idle = make(chan struct{})
	}
	f.total++
	f.count[k]++
}

func (f *inFlight) remove(k workKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total--
	if f.total == 0 {
		close(f.idle)
	}
	f.count[k]--
	if f.count[k] == 0 {
		delete(f.count, k)
	}
}

func (f *inFlight) idleChan() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle
}

func (f *inFlight) list() []*pb.InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*pb.InFlight, 0, len(f.count))
	for k, n := range f.count {
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
