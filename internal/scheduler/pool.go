package scheduler

import (
	"math"
	"math/rand/v2"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Pool makes the decisions for one pool. It consists of the tables and of the
// controllers that read and write them. Times are durations since an origin
// that the caller chooses and never decrease. Pool is safe for concurrent use;
// the same calls in the same order with the same times give the same actions.
type Pool struct {
	tables

	name   string
	params Params
	policy policy.Policy
	// fencingToken and activeAt belong to the lease; a Pool is not reused for
	// another lease.
	fencingToken uint64
	activeAt     time.Duration
	// placementTime is the time of the latest placement run, from which memory
	// forecasts start. It is guarded by the holds lock.
	placementTime time.Duration
	// retryBudget and budgetRestored, which holds the entries that have restated what
	// they used of it, are guarded by the queue lock.
	retryBudget    policy.RetryBudget
	budgetRestored map[string]bool
	// random is guarded by the queue lock.
	random *rand.Rand
}

// NewPool returns a pool whose lease was acquired at activeAt.
func NewPool(name string, params Params, pol policy.Policy, token uint64, activeAt time.Duration, seed uint64) *Pool {
	params.setDefaults()
	p := &Pool{
		name: name, params: params, policy: pol, fencingToken: token, activeAt: activeAt,
		random: rand.New(rand.NewPCG(seed, token)),
	}
	p.retryBudget = policy.RetryBudget{Ratio: params.RetryRatio, Slack: params.RetrySlack, Window: params.RetryWindow}
	p.budgetRestored = map[string]bool{}
	p.upstreams.byID = map[string]*upstreamRecord{}
	p.upstreams.byModel = map[string]*candidates{}
	p.upstreams.limited = map[*upstreamRecord]struct{}{}
	p.upstreams.nextSilentAt = activeAt
	p.upstreams.typical = params.AssumedRates
	p.holds.byID = map[string]*hold{}
	p.holds.byDecode = map[*upstreamRecord][]*hold{}
	p.holds.entries = map[string]*entryRecord{}
	p.queue.byTicket = map[uint64]*queuedRequest{}
	p.prefix.byHash = map[uint64][]*upstreamRecord{}
	p.orders.byID = map[uint64]*order{}
	return p
}

// Controller identifies a controller of a Pool.
type Controller int

// Controllers of a Pool. Admission is not one: Submit admits or refuses a
// request at once.
const (
	// Placement grants queued requests that fit now.
	Placement Controller = iota
	// Forecast grants against memory that is forecast to become free.
	Forecast
	// Expiry refuses queued requests and cancels holds that are past their
	// deadlines.
	Expiry
	// Orphans finds work at engines that belongs to no hold.
	Orphans
	// Aging reserves memory for the draft that has been queued longest.
	Aging
	// Roles changes engines between prefill and decode.
	Roles
	// Orders sends orders to engines, model loads one at a time.
	Orders

	controllerCount
)

// Run runs one controller.
func (p *Pool) Run(c Controller, now time.Duration) []Action {
	switch c {
	case Placement:
		return p.runPlacement(now)
	case Forecast:
		return p.placeAhead(now)
	case Expiry:
		return p.expire(now)
	case Orphans:
		return p.findOrphans(now)
	case Aging:
		return p.earmarkOldestDraft(now)
	case Roles:
		return p.changeRoles(now)
	case Orders:
		return p.sendOrders(now)
	}
	return nil
}

// inRestateWindow reports whether entries may still restate their holds.
func (p *Pool) inRestateWindow(now time.Duration) bool {
	return now < p.activeAt+p.params.RestateWindow
}

// unblockQueue makes the next placement try every queued request.
func (p *Pool) unblockQueue() {
	p.queue.unblock()
}

// Queued returns the number of queued requests.
func (p *Pool) Queued() int {
	defer p.lock(queueBit)()
	return len(p.queue.byTicket)
}

// HoldCount returns the number of holds, including those whose cancellation is
// not confirmed yet.
func (p *Pool) HoldCount() int {
	defer p.lock(holdsBit)()
	return len(p.holds.byID)
}

func classOf(c pb.RequestClass) policy.Class {
	if c == pb.RequestClass_REQUEST_CLASS_DRAFT {
		return policy.Draft
	}
	return policy.Urgent
}

func protoClass(c policy.Class) pb.RequestClass {
	if c == policy.Draft {
		return pb.RequestClass_REQUEST_CLASS_DRAFT
	}
	return pb.RequestClass_REQUEST_CLASS_URGENT
}

func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func piecesFor(tokens, pieceTokens int) int {
	return (tokens + pieceTokens - 1) / pieceTokens
}
