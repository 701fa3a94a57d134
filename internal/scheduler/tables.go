package scheduler

import (
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// tables is the blackboard of one pool. Each table has its own lock. A
// goroutine that needs several locks takes them in the order of the fields:
// upstreams, holds, queue, links, prefix, orders. Only tables.lock takes locks,
// so the order is kept in one place.
type tables struct {
	upstreams upstreamTable
	holds     holdTable
	queue     queueTable
	links     linkTable
	prefix    prefixTable
	orders    orderTable
}

// tableSet names tables to lock.
type tableSet uint8

const (
	upstreamsTable tableSet = 1 << iota
	holdsTable
	queueTableBit
	linksTable
	prefixTableBit
	ordersTable

	// placementTables are what a placement decision reads and writes.
	placementTables = upstreamsTable | holdsTable | queueTableBit | linksTable | prefixTableBit
)

// lock locks the tables of the set in the lock order and returns the function
// that unlocks them.
func (t *tables) lock(set tableSet) func() {
	locks := [...]*sync.Mutex{&t.upstreams.mu, &t.holds.mu, &t.queue.mu, &t.links.mu, &t.prefix.mu, &t.orders.mu}
	for i, mu := range locks {
		if set&(1<<i) != 0 {
			mu.Lock()
		}
	}
	return func() {
		for i, mu := range locks {
			if set&(1<<i) != 0 {
				mu.Unlock()
			}
		}
	}
}

// upstreamTable lists the upstreams of the pool.
type upstreamTable struct {
	mu   sync.Mutex
	byID map[string]*member
	// models groups the engines that may be candidates, by model.
	models map[string]*candidates
	drains DrainSet
	// nextChange is when the next upstream becomes silent.
	nextChange time.Duration
	// revision grows with each change that entries should hear of.
	revision uint64
}

// candidates are the engines that serve one model.
type candidates struct {
	prefill []*policy.Engine
	decode  []*policy.Engine
	// largest is the memory of the largest decode engine, pieces.
	largest int
	// pieceTokens is the smallest piece size among the decode engines.
	pieceTokens int
	// ideal is the fastest of the usable engines, looked up at idealAt.
	ideal   idealEngine
	idealAt time.Duration
}

// idealEngine has the best figures among the engines of a model.
type idealEngine struct {
	prefillRate float64
	linkRate    float64
	kvPerToken  float64
	token       float64
}

// member is one start of one upstream. Holds refer to the member on which they
// were granted, so a restarted upstream starts without them.
type member struct {
	// view is what policies see. Its Link fields belong to linkTable.
	view   policy.Engine
	state  *pb.UpstreamState
	seen   time.Duration
	health pb.UpstreamStatus_Health
	speed  policy.Speed
	eject  policy.Ejector
	// placeholder marks a record of an engine that entries named after a takeover
	// and that has not announced itself to this holder.
	placeholder bool
	// changing is set while the engine drains for a role change and until it
	// announces the new role, at the latest at changeBy.
	changing bool
	changeBy time.Duration
	// fullUntil is set when the engine rejected a granted request: it is fuller
	// than its holds tell.
	fullUntil time.Duration
	// foreign counts the answers beyond the holds, as stated at foreignAt.
	foreign   int
	foreignAt time.Duration
	// lostHandles counts the prompts in a row that were read here and could not
	// be fetched.
	lostHandles int
	held        heldLog
	// prefilledAt is when the last prefill here finished.
	prefilledAt time.Duration
	prefix      prefixState
	// listedAt is when the list of running requests was last asked for.
	listedAt time.Duration
	listed   bool
}

// holdTable lists the reservations.
type holdTable struct {
	mu   sync.Mutex
	byID map[string]*hold
	// byDecode lists the holds on each decode engine for forecasts.
	byDecode map[*member][]*hold
	entries  map[string]*entryRecord
	sequence uint64
	// settled is set after the first placement that follows the restate window.
	settled bool
	// pieces is the memory held on all decode engines; freed and holdTime give
	// the learned rate at which it becomes free.
	pieces   int
	freed    policy.Rate
	holdTime time.Duration
	// excess is how much longer than on idle engines drafts take from the
	// grant to the first token.
	excess policy.DelayEstimator
	mix    mix
}

// entryRecord is what is known about one entry.
type entryRecord struct {
	id string
	// goneAt is when the entry's session ended.
	goneAt time.Duration
	gone   bool
	holds  map[string]*hold
}

// queueTable lists the requests that wait for capacity.
type queueTable struct {
	mu       sync.Mutex
	lanes    [lanes]*policy.FairQueue[*waiting]
	byTicket map[uint64]*waiting
	// pieces is the memory that the queued requests of each lane ask for.
	pieces [lanes]int
	// earmark is the draft that memory is kept free for.
	earmark   *waiting
	earmarked *member
	// urgentSeen is set while urgent requests have come lately; urgentAt is when
	// the last one came.
	urgentSeen bool
	urgentAt   time.Duration
	// blocked is set for a lane when no queued request fitted and nothing has
	// become free since, so that arrivals need not try the whole queue again.
	blocked [lanes]bool
}

// lane orders queued requests: a later lane gets what the earlier ones leave.
type lane uint8

const (
	urgentLane lane = iota
	// draftLane holds drafts that can still meet their TTFT target.
	draftLane
	// overdueLane holds drafts that no longer can. Under overload, serving them
	// in order of arrival would make every later draft miss its target too.
	overdueLane

	lanes
)

// waiting is one queued request.
type waiting struct {
	ticket uint64
	lane   lane
	req    *pb.SubmitRequest
	spec   policy.Request
	since  time.Duration
	giveUp time.Duration
	// firstBy is when the first token is due, service the time that it takes
	// on idle engines.
	firstBy time.Duration
	service time.Duration
	expires time.Duration
	// late is the refusal sent when the wait ends.
	late pb.Refusal_Code
	// cached is the result of the prefix lookup for the decision in progress.
	cached []cachedPrefix
}

// linkTable owns the Link fields of the upstreams' views: what is reserved for
// transfers that have not finished.
type linkTable struct {
	mu sync.Mutex
}
