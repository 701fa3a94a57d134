package scheduler

import (
	"math"
	"math/rand/v2"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Pool is the decision core of one pool: the tables and the controllers that
// read and write them. Times are durations since an origin that the caller
// chooses and never go back. Pool is safe for concurrent use; the same calls
// in the same order with the same times give the same actions.
type Pool struct {
	tables

	name   string
	params Params
	policy policy.Policy
	// token and activeAt are those of the lease; a Pool is not reused for
	// another lease.
	token    uint64
	activeAt time.Duration
	// placingAt is the time of the placement under way, guarded by the holds lock.
	placingAt time.Duration
	// repeats is guarded by the queue lock.
	repeats policy.RetryBudget
	// random is guarded by the queue lock.
	random *rand.Rand
}

// NewPool returns the core for a pool whose lease was acquired at a time.
func NewPool(name string, params Params, pol policy.Policy, token uint64, at time.Duration, seed uint64) *Pool {
	params.setDefaults()
	p := &Pool{
		name: name, params: params, policy: pol, token: token, activeAt: at,
		random: rand.New(rand.NewPCG(seed, token)),
	}
	p.repeats = policy.RetryBudget{Ratio: params.RetryRatio, Slack: params.RetrySlack, Window: params.RetryWindow}
	p.upstreams.byID = map[string]*member{}
	p.upstreams.models = map[string]*candidates{}
	p.upstreams.nextChange = at
	p.holds.byID = map[string]*hold{}
	p.holds.byDecode = map[*member][]*hold{}
	p.holds.entries = map[string]*entryRecord{}
	for i := range p.queue.lanes {
		p.queue.lanes[i] = policy.NewFairQueue[*waiting]()
	}
	p.queue.byTicket = map[uint64]*waiting{}
	p.prefix.byHash = map[uint64][]*member{}
	p.orders.byID = map[uint64]*order{}
	return p
}

// Controller names one controller.
type Controller int

// Controllers. Admission runs inside Submit, which answers what need not wait.
const (
	// Placement grants queued requests that fit now.
	Placement Controller = iota
	// Forecast grants against memory that is forecast to become free.
	Forecast
	// Expiry ends waits and holds whose time is over.
	Expiry
	// Orphans finds work at engines that no hold accounts for.
	Orphans
	// Aging earmarks memory for the draft that has waited longest.
	Aging
	// Roles changes engines between prefill and decode.
	Roles
	// Loads sends orders, model loads one at a time.
	Loads

	controllers
)

// Run runs one controller.
func (p *Pool) Run(c Controller, now time.Duration) []Action {
	switch c {
	case Placement:
		return p.place(now)
	case Forecast:
		return p.forecast(now)
	case Expiry:
		return p.expire(now)
	case Orphans:
		return p.findOrphans(now)
	case Aging:
		return p.age(now)
	case Roles:
		return p.changeRoles(now)
	case Loads:
		return p.sendOrders(now)
	}
	return nil
}

// restating reports whether entries may still restate what they hold.
func (p *Pool) restating(now time.Duration) bool {
	return now < p.activeAt+p.params.RestateWindow
}

// unblock makes the next placement try every queued request.
func (p *Pool) unblock() {
	p.queue.blocked = [lanes]bool{}
}

// Queued returns the number of queued requests.
func (p *Pool) Queued() int {
	defer p.lock(queueTableBit)()
	return len(p.queue.byTicket)
}

// HoldCount returns the number of holds, including those whose cancellation is
// not confirmed yet.
func (p *Pool) HoldCount() int {
	defer p.lock(holdsTable)()
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

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func piecesFor(tokens, pieceTokens int) int {
	return (tokens + pieceTokens - 1) / pieceTokens
}
