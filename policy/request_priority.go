package policy

import "slices"

const (
	// LeastUrgent is the highest priority value that engines know; the lowest is 0.
	LeastUrgent = 9
	// UnstatedPriority is the priority that engines assume for requests that state none. It
	// is also that of requests without a tenant.
	UnstatedPriority = 5
	// rankBits is the number of bits of each priority in a rank. Greater priorities count
	// as the greatest that fits.
	rankBits = 16
)

// RequestRank returns the place of a request in a queue by the priority of its tenant and,
// among those that are equal, by that of its route. The lowest rank goes first.
//
// It is designed for a burst of a few large tenants with different priorities on routes of
// which each has urgent and other streams.
func RequestRank(tenantPriority, routePriority int) uint32 {
	return limitPriority(tenantPriority)<<rankBits | limitPriority(routePriority)
}

func limitPriority(p int) uint32 { return uint32(min(max(0, p), 1<<rankBits-1)) }

// EnginePriority returns the priority of a tenant's request for engines, 0 to LeastUrgent.
// These ten levels have no room for both priorities, so only that of the tenant counts.
func EnginePriority(tenantPriority int) int { return min(max(0, tenantPriority), LeastUrgent) }

// QueueOrder maps the ranks of all pairs of a tenant's and a route's priority to the priorities
// of a queue. It holds no pairs: a configuration may have thousands of each priority.
type QueueOrder struct {
	// tenants and routes hold the places of the priorities.
	tenants, routes map[uint32]int
}

// NewQueueOrder returns the order for the priorities that occur.
func NewQueueOrder(tenants, routes []int) QueueOrder {
	return QueueOrder{tenants: places(tenants), routes: places(routes)}
}

// places returns the place of each priority among the distinct ones.
func places(priorities []int) map[uint32]int {
	distinct := make([]uint32, len(priorities))
	for i, p := range priorities {
		distinct[i] = limitPriority(p)
	}
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	out := make(map[uint32]int, len(distinct))
	for i, p := range distinct {
		out[p] = i
	}
	return out
}

// Priority returns the priority in the queue, 0 to LowestPriority, for a rank of priorities that
// occur. It keeps the order of ranks; with more ranks than priorities, neighbours share one.
func (o QueueOrder) Priority(rank uint32) int {
	i := o.tenants[rank>>rankBits]*len(o.routes) + o.routes[rank&(1<<rankBits-1)]
	if ranks := len(o.tenants) * len(o.routes); ranks > LowestPriority+1 {
		return i * (LowestPriority + 1) / ranks
	}
	return i
}
