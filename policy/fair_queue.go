package policy

import "container/heap"

// Bucket groups queued requests of the same group and size: when one of them
// does not fit, no other of the bucket does.
type Bucket struct {
	// Group separates requests that use different engines, for example by model.
	Group string
	// Size is the capacity that a request needs.
	Size int
}

// FairQueue implements start-time fair queueing over flows (organisations).
// Each flow is served in order of arrival; among flows, the one whose head has
// the lowest virtual start time goes first. Cost is counted in tokens, so a
// flow of long requests gets as many tokens as a flow of short ones.
type FairQueue[T any] struct {
	flows   map[string]*flow[T]
	buckets map[Bucket]*flowHeap[T]
	// virtualTime is the virtual start time of the request served last.
	virtualTime float64
	// maxFinish is the highest virtual finish time of a served request.
	maxFinish float64
	// length is the number of queued requests without withdrawn ones.
	length int
	// idleFlows is the number of flows without queued requests.
	idleFlows int
}

// flow is the queue of one organisation.
type flow[T any] struct {
	name  string
	items []queued[T]
	// head is the index of the first queued request in items.
	head int
	// start is the virtual start time of the head, finish the virtual finish
	// time of the request served last.
	start  float64
	finish float64
	// index of the flow in its heap; negative when it is in none.
	index  int
	bucket Bucket
}

type queued[T any] struct {
	item      T
	cost      float64
	bucket    Bucket
	withdrawn bool
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{flows: map[string]*flow[T]{}, buckets: map[Bucket]*flowHeap[T]{}}
}

// Len returns the number of queued requests.
func (q *FairQueue[T]) Len() int { return q.length }

// Flows returns the number of flows with queued requests.
func (q *FairQueue[T]) Flows() int { return len(q.flows) - q.idleFlows }

// FlowLen returns the number of queued requests of a flow. It includes
// withdrawn requests behind the head.
func (q *FairQueue[T]) FlowLen(name string) int {
	f := q.flows[name]
	if f == nil {
		return 0
	}
	return len(f.items) - f.head
}

// Push appends a request to its flow. It reports whether the request is the
// flow's head.
func (q *FairQueue[T]) Push(name string, cost float64, b Bucket, item T) bool {
	f := q.flows[name]
	if f == nil {
		f = &flow[T]{name: name, index: -1}
		q.flows[name] = f
		q.idleFlows++
	}
	f.items = append(f.items, queued[T]{item: item, cost: cost, bucket: b})
	q.length++
	if f.index >= 0 {
		return false
	}
	q.idleFlows--
	f.start = max(q.virtualTime, f.finish)
	q.insert(f)
	return true
}

// Remove withdraws the first request of a flow for which match returns true. It
// reports whether there was one.
func (q *FairQueue[T]) Remove(name string, match func(T) bool) bool {
	f := q.flows[name]
	if f == nil {
		return false
	}
	for i := f.head; i < len(f.items); i++ {
		it := &f.items[i]
		if it.withdrawn || !match(it.item) {
			continue
		}
		q.length--
		if i == f.head {
			q.popHead(f)
			return true
		}
		var zero T
		it.withdrawn = true
		it.item = zero
		return true
	}
	return false
}

// Verdict is the result of a Serve callback for one request.
type Verdict int

// Verdicts.
const (
	// Taken removes the request from the queue and charges its flow.
	Taken Verdict = iota
	// SkipFlow keeps the request queued and skips its flow for the rest of the
	// call.
	SkipFlow
	// SkipBucket keeps the request queued and skips its bucket and the larger
	// buckets of its group.
	SkipBucket
	// SkipGroup keeps the request queued and skips its whole group.
	SkipGroup
	// Stop keeps the request queued and ends the call.
	Stop
)

// Serve offers the heads of flows in fair order until none is left. It skips
// requests larger than freeCapacity(group).
func (q *FairQueue[T]) Serve(freeCapacity func(group string) int, offer func(T) Verdict) {
	blocked := map[string]int{}
	var skipped []*flow[T]
	defer func() {
		for _, f := range skipped {
			q.insert(f)
		}
	}()
	for {
		f := q.next(freeCapacity, blocked)
		if f == nil {
			return
		}
		head := f.items[f.head]
		switch offer(head.item) {
		case Taken:
			q.virtualTime = max(q.virtualTime, f.start)
			f.finish = f.start + head.cost
			q.maxFinish = max(q.maxFinish, f.finish)
			q.length--
			if q.length == 0 {
				// The busy period ends: no flow is owed service.
				q.virtualTime = q.maxFinish
			}
			q.popHead(f)
		case SkipFlow:
			q.detach(f)
			skipped = append(skipped, f)
		case SkipBucket:
			blocked[head.bucket.Group] = head.bucket.Size
		case SkipGroup:
			blocked[head.bucket.Group] = -1
		case Stop:
			return
		}
	}
}

// next returns the flow whose head is offered next, nil when none is left.
// blocked maps a group to the size from which its requests are skipped.
func (q *FairQueue[T]) next(freeCapacity func(group string) int, blocked map[string]int) *flow[T] {
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
		if b.Size <= freeCapacity(b.Group) {
			out = f
		}
	}
	return out
}

// EachGroup calls fn for the group of each flow's head, at least once for each group.
func (q *FairQueue[T]) EachGroup(fn func(group string)) {
	for b, h := range q.buckets {
		if len(*h) > 0 {
			fn(b.Group)
		}
	}
}

// Each calls fn for every queued request until fn returns false.
func (q *FairQueue[T]) Each(fn func(T) bool) {
	for _, f := range q.flows {
		for i := f.head; i < len(f.items); i++ {
			if !f.items[i].withdrawn && !fn(f.items[i].item) {
				return
			}
		}
	}
}

// popHead removes the head of f and the withdrawn requests behind it.
func (q *FairQueue[T]) popHead(f *flow[T]) {
	q.detach(f)
	f.items[f.head] = queued[T]{}
	f.head++
	for f.head < len(f.items) && f.items[f.head].withdrawn {
		f.head++
	}
	if f.head == len(f.items) {
		f.items = nil
		f.head = 0
		q.idleFlows++
		q.dropIdleFlows()
		return
	}
	if f.head > len(f.items)/2 {
		f.items = append([]queued[T](nil), f.items[f.head:]...)
		f.head = 0
	}
	f.start = max(q.virtualTime, f.finish)
	q.insert(f)
}

// insert adds f to the heap of its head's bucket.
func (q *FairQueue[T]) insert(f *flow[T]) {
	f.bucket = f.items[f.head].bucket
	h := q.buckets[f.bucket]
	if h == nil {
		h = &flowHeap[T]{}
		q.buckets[f.bucket] = h
	}
	heap.Push(h, f)
}

// detach removes f from its heap.
func (q *FairQueue[T]) detach(f *flow[T]) {
	if f.index >= 0 {
		heap.Remove(q.buckets[f.bucket], f.index)
	}
}

// minIdleFlows is the number of idle flows below which none are dropped.
const minIdleFlows = 64

// dropIdleFlows deletes idle flows whose finish time has been reached by the
// virtual time: their next request starts at the virtual time in any case.
func (q *FairQueue[T]) dropIdleFlows() {
	if q.idleFlows < minIdleFlows || q.idleFlows < len(q.flows)/2 {
		return
	}
	for name, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtualTime {
			delete(q.flows, name)
			q.idleFlows--
		}
	}
}

// before orders flows by virtual start time, then by name.
func (f *flow[T]) before(g *flow[T]) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.name < g.name
}

// flowHeap is a heap of flows in the order of before.
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
