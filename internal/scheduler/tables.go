package scheduler

import (
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// tables is the state of one pool. Each table has its own lock. A goroutine
// that needs several locks takes them in the order of the fields: upstreams,
// holds, queue, links, prefix, orders. Only tables.lock takes locks, so that
// the order is defined in one place.
type tables struct {
	upstreams upstreamTable
	holds     holdTable
	queue     queueTable
	links     linkTable
	prefix    prefixTable
	orders    orderTable
}

// tableSet is a set of tables to lock.
type tableSet uint8

const (
	upstreamsBit tableSet = 1 << iota
	holdsBit
	queueBit
	linksBit
	prefixBit
	ordersBit

	// placementBits are the tables that a placement reads and writes.
	placementBits = upstreamsBit | holdsBit | queueBit | linksBit | prefixBit
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
	byID map[string]*upstreamRecord
	// byModel groups the engines by the models that they serve.
	byModel map[string]*candidates
	drains  DrainSet
	// nextSilentAt is the earliest time at which an upstream may become silent.
	nextSilentAt time.Duration
	// limited holds the engines that state a limit.
	limited map[*upstreamRecord]struct{}
	// typical are the median rates of the engines whose rates were announced or
	// measured, and those of Params until there is one.
	typical      policy.Rates
	typicalDueAt time.Duration
	// ignoredOrders counts the role orders that engines accepted and did not carry out since
	// one changed its role.
	ignoredOrders int
	// revision is incremented with each change that entries must be told of.
	revision uint64
}

// candidates are the engines that serve one model.
type candidates struct {
	prefill []*policy.Engine
	decode  []*policy.Engine
	// maxPieces is the memory of the largest decode engine, in pieces.
	maxPieces int
	// pieceTokens is the smallest piece size among the decode engines.
	pieceTokens int
	// weights are the versions of the model's weights that its engines announce.
	weights []string
	// weightsDropped is set if those of an engine were left out by a daemon of an earlier build.
	weightsDropped bool
	// best contains the best rates of the usable engines, computed at
	// bestUpdatedAt.
	best          bestRates
	bestUpdatedAt time.Duration
}

// bestRates are the best rates among the engines of a model: prefilled tokens a
// second, bytes a second, and seconds per output token. kvBytesPerToken is the
// KV cache size in bytes per token at the engine with the best tokenSeconds.
type bestRates struct {
	prefillRate     float64
	linkRate        float64
	kvBytesPerToken float64
	tokenSeconds    float64
}

// upstreamRecord is one start of one upstream. A hold refers to the record with
// which it was granted, so an upstream that restarted has no holds.
type upstreamRecord struct {
	// view is what policies see. Its Link fields belong to linkTable.
	view     policy.Engine
	state    *pb.UpstreamState
	lastSeen time.Duration
	// leavingAt is the time of the last announcement that said that it is leaving.
	leavingAt time.Duration
	health    pb.UpstreamStatus_Health
	speed     policy.Speed
	eject     policy.Ejector
	// placeholder marks an engine that entries restated after a takeover and
	// that has not announced itself to this lease holder.
	placeholder bool
	// changingRole is set while the engine drains for a change to targetRole and
	// until it announces that role, at the latest at announceRoleBy.
	changingRole   bool
	targetRole     pb.EngineRole
	announceRoleBy time.Duration
	// roleRetryAt is the earliest time of another role change after one that
	// the engine did not accept.
	roleRetryAt time.Duration
	// checkRoleAt is when the engine is asked whether it carries out the order that it accepted,
	// and roleOrderAfter when it may get another one after one that it ignored.
	checkRoleAt, roleOrderAfter time.Duration
	question                    roleQuestion
	// backoffUntil is the time until which the engine gets no requests after it
	// rejected one, was unreachable or lost prefill results.
	backoffUntil time.Duration
	// limit is how many requests a second the engine takes, 0 if it states no limit;
	// sends spaces those that it gets.
	limit float64
	sends policy.SendSchedule
	// saysLeaving is set once the engine has said in a response that it leaves, which
	// its announcements may not say yet.
	saysLeaving bool
	// foreignRequests counts the requests beyond the holds, as the engine
	// reported at foreignReportedAt.
	foreignRequests   int
	foreignReportedAt time.Duration
	// lostHandles counts the prefills here whose result could not be fetched.
	lostHandles policy.LostHandles
	// rejections counts the prefill calls that the engine has rejected with free slots.
	rejections policy.PrefillRejections
	held       heldLog
	// lastPrefillAt is when the last prefill here finished.
	lastPrefillAt time.Duration
	prefix        prefixState
	// listedAt is when the orphans controller last asked for the running
	// requests. listed is false until it has asked, and after a failed call.
	listedAt time.Duration
	listed   bool
}

// holdTable contains the reservations.
type holdTable struct {
	mu   sync.Mutex
	byID map[string]*hold
	// byDecode lists the holds on each decode engine for forecasts.
	byDecode map[*upstreamRecord][]*hold
	entries  map[string]*entryRecord
	sequence uint64
	// restoredActive is set by the first placement after the restate window,
	// which reserves memory for restored holds.
	restoredActive bool
	// heldPieces is the memory held on all decode engines. freedPieces and
	// meanHoldTime are learned to estimate the rate at which it becomes free.
	heldPieces   int
	freedPieces  policy.Rate
	meanHoldTime time.Duration
	// ttftExcess estimates how much longer drafts take from the grant to the
	// first token than on idle engines.
	ttftExcess policy.DelayEstimator
	// outputs forecasts how far running requests will grow.
	outputs  policy.OutputForecast
	workload workload
}

// entryRecord is the state of one entry.
type entryRecord struct {
	id string
	// disconnectedAt is when the entry's session ended.
	disconnectedAt time.Duration
	disconnected   bool
	holds          map[string]*hold
}

// queueTable contains the requests that wait for capacity.
type queueTable struct {
	mu sync.Mutex
	// bands contain the groups by priority.
	bands    [policy.LowestPriority + 1]queueBand
	groups   map[groupKey]*queueGroup
	byTicket map[uint64]*queuedRequest
	// models counts the queued requests by model.
	models map[string]int
	// laneLengths is the number of requests in each lane of all groups.
	laneLengths [laneCount]int
	// claims keep engines for requests that fit nowhere, until something becomes free.
	claims []claim
	// refused remembers the requests that were refused.
	refused refusedRequests
	// earmarkedDraft is the draft for which memory is kept free on
	// earmarkedEngine.
	earmarkedDraft  *queuedRequest
	earmarkedEngine *upstreamRecord
	// recentUrgent is set when an urgent request arrived within
	// urgentReserveRetention; lastUrgentAt is when the last one arrived.
	recentUrgent bool
	lastUrgentAt time.Duration
}

// lane is a part of a group's queue. A later lane gets the capacity that the earlier
// ones leave.
type lane uint8

const (
	urgentLane lane = iota
	// resumedLane contains drafts that resume a stream. Their callers have part of the
	// answer, and often only some of the engines may serve them.
	resumedLane
	// lastChanceLane contains drafts whose caller would otherwise soon be refused
	// for the second time, and those that hold the result of a prefill.
	lastChanceLane
	// draftLane contains drafts that can still meet their TTFT target.
	draftLane
	// returnedLane contains drafts whose caller was refused before. Another
	// refusal would mostly be the last.
	returnedLane
	// overdueLane contains drafts that no longer can. Served in order of
	// arrival under overload, they would make every later draft miss its target
	// too.
	overdueLane

	laneCount

	// firstShared is the first lane in which an organisation's share counts more than the
	// lane.
	firstShared = lastChanceLane
)

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	ticket        uint64
	group         *queueGroup
	lane          lane
	req           *pb.SubmitRequest
	spec          policy.Request
	queuedAt      time.Duration
	queueDeadline time.Duration
	// returned is set when the request was refused before.
	returned bool
	// unchecked is set if the entry may not compare the weights of engines.
	unchecked bool
	// heldRetries is what the attempt has set aside in the retry budget.
	heldRetries int
	// firstTokenDeadline is when the TTFT target is missed, idleTTFT the
	// forecast TTFT on idle engines.
	firstTokenDeadline time.Duration
	idleTTFT           time.Duration
	deadline           time.Duration
	// timeoutCode is the code of the refusal sent when queueDeadline passes.
	timeoutCode pb.Refusal_Code
	// cached is the result of the prefix lookup for the current decision.
	cached []cachedPrefix
}

// linkTable guards the Link fields of the upstreams' views: the link capacity
// reserved for transfers that have not finished.
type linkTable struct {
	mu sync.Mutex
}
