package policy

import "container/heap"

// Bucket groups queued requests that the same capacity admits: when one of
// them does not fit, neither does another of the same bucket.
type Bucket struct {
	// Group separates requests that use different engines, such as models.
	Group string
	// Size is the capacity that a request takes.
	Size int
}

// FairQueue is start-time fair queueing over flows (organisations). Each flow
// is served in its order of arrival; among flows, the one whose head has the
// lowest virtual start time goes first. Cost is counted in tokens, so a flow
// of long requests gets as many tokens as a flow of short ones.
type FairQueue[T any] struct {
	flows   map[string]*flow[T]
	buckets map[Bucket]*flowHeap[T]
	// virtual is the start time of the request served last.
	virtual float64
	// latest is the highest finish time given out.
	latest float64
	length int
	idle   int
}

type flow[T any] struct {
	name  string
	items []queued[T]
	// first is the index of the head in items.
	first  int
	start  float64
	finish float64
	// index of the flow in its heap; negative when it is in none.
	index  int
	bucket Bucket
}

type queued[T any] struct {
	item   T
	cost   float64
	bucket Bucket
	dead   bool
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{flows: map[string]*flow[T]{}, buckets: map[Bucket]*flowHeap[T]{}}
}

// Len returns the number of queued requests.
func (q *FairQueue[T]) Len() int { return q.length }

// Flows returns the number of flows with queued requests.
func (q *FairQueue[T]) Flows() int { return len(q.flows) - q.idle }

// FlowLen returns the number of queued requests of a flow, including withdrawn
// ones that were not at its head.
func (q *FairQueue[T]) FlowLen(name string) int {
	f := q.flows[name]
	if f == nil {
		return 0
	}
	return len(f.items) - f.first
}

// Push adds a request at the end of its flow. It reports whether the request
// is the flow's head.
func (q *FairQueue[T]) Push(name string, cost float64, b Bucket, item T) bool {
	f := q.flows[name]
	if f == nil {
		f = &flow[T]{name: name, index: -1}
		q.flows[name] = f
		q.idle++
	}
	f.items = append(f.items, queued[T]{item: item, cost: cost, bucket: b})
	q.length++
	if f.index >= 0 {
		return false
	}
	q.idle--
	f.start = max(q.virtual, f.finish)
	q.insert(f)
	return true
}

// Remove withdraws the first request of a flow for which match holds.
func (q *FairQueue[T]) Remove(name string, match func(T) bool) bool {
	f := q.flows[name]
	if f == nil {
		return false
	}
	for i := f.first; i < len(f.items); i++ {
		it := &f.items[i]
		if it.dead || !match(it.item) {
			continue
		}
		q.length--
		if i == f.first {
			q.advance(f)
			return true
		}
		var zero T
		it.dead = true
		it.item = zero
		return true
	}
	return false
}

// Verdict is the answer of a Serve callback about one request.
type Verdict int

// Verdicts.
const (
	// Taken removes the request from the queue and charges its flow.
	Taken Verdict = iota
	// SkipFlow leaves the request and passes over its flow in this call.
	SkipFlow
	// SkipBucket also passes over its bucket and larger ones of the group.
	SkipBucket
	// SkipGroup also passes over its whole group.
	SkipGroup
	// Stop ends the call.
	Stop
)

// Serve offers the heads of flows in fair order until none is left. Requests
// larger than room(group) are passed over.
func (q *FairQueue[T]) Serve(room func(group string) int, offer func(T) Verdict) {
	blocked := map[string]int{}
	var aside []*flow[T]
	defer func() {
		for _, f := range aside {
			q.insert(f)
		}
	}()
	for {
		f := q.next(room, blocked)
		if f == nil {
			return
		}
		head := f.items[f.first]
		switch offer(head.item) {
		case Taken:
			q.virtual = max(q.virtual, f.start)
			f.finish = f.start + head.cost
			q.latest = max(q.latest, f.finish)
			q.length--
			if q.length == 0 {
				// The end of a busy period: nobody is owed anything.
				q.virtual = q.latest
			}
			q.advance(f)
		case SkipFlow:
			q.detach(f)
			aside = append(aside, f)
		case SkipBucket:
			blocked[head.bucket.Group] = head.bucket.Size
		case SkipGroup:
			blocked[head.bucket.Group] = -1
		case Stop:
			return
		}
	}
}

// next returns the flow to offer. blocked holds, for each group, the size from
// which requests are passed over.
func (q *FairQueue[T]) next(room func(group string) int, blocked map[string]int) *flow[T] {
	var out *flow[T]
	for b, h := range q.buckets {
		if len(*h) == 0 {
			delete(q.buckets, b)
			continue
		}
		if limit, ok := blocked[b.Group]; ok && b.Size >= limit {
			continue
		}
		f := (*h)[0]
		if out != nil && !f.before(out) {
			continue
		}
		if b.Size <= room(b.Group) {
			out = f
		}
	}
	return out
}

// Each calls fn for every queued request until fn returns false.
func (q *FairQueue[T]) Each(fn func(T) bool) {
	for _, f := range q.flows {
		for i := f.first; i < len(f.items); i++ {
			if !f.items[i].dead && !fn(f.items[i].item) {
				return
			}
		}
	}
}

// advance removes the head of f.
func (q *FairQueue[T]) advance(f *flow[T]) {
	q.detach(f)
	f.items[f.first] = queued[T]{}
	f.first++
	for f.first < len(f.items) && f.items[f.first].dead {
		f.first++
	}
	if f.first == len(f.items) {
		f.items = nil
		f.first = 0
		q.idle++
		q.sweep()
		return
	}
	if f.first > len(f.items)/2 {
		f.items = append([]queued[T](nil), f.items[f.first:]...)
		f.first = 0
	}
	f.start = max(q.virtual, f.finish)
	q.insert(f)
}

func (q *FairQueue[T]) insert(f *flow[T]) {
	f.bucket = f.items[f.first].bucket
	h := q.buckets[f.bucket]
	if h == nil {
		h = &flowHeap[T]{}
		q.buckets[f.bucket] = h
	}
	heap.Push(h, f)
}

func (q *FairQueue[T]) detach(f *flow[T]) {
	if f.index >= 0 {
		heap.Remove(q.buckets[f.bucket], f.index)
	}
}

// minSweep is the number of idle flows that are always kept.
const minSweep = 64

// sweep forgets idle flows that virtual time has caught up with: they would
// start at the present virtual time anyway.
func (q *FairQueue[T]) sweep() {
	if q.idle < minSweep || q.idle < len(q.flows)/2 {
		return
	}
	for name, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
			q.idle--
		}
	}
}

func (f *flow[T]) before(g *flow[T]) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.name < g.name
}

type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int           { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
