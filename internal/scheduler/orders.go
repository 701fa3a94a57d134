package scheduler

import (
	"slices"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// defaultOrderTimeout bounds an order without a deadline; loading a model
	// takes tens of seconds.
	defaultOrderTimeout = 60 * time.Second
	// maxOrderWait bounds the time until an order is sent: the engine's drain,
	// the queue of model loads and the wait for the end of an old lease.
	maxOrderWait = 5 * time.Minute
	// announceRoleTimeout is the time in which an engine that has changed its
	// role must announce the new one.
	announceRoleTimeout = 5 * time.Second
)

// orderTable lists the orders to engines.
type orderTable struct {
	mu       sync.Mutex
	byID     map[uint64]*order
	sequence uint64
	// lastLoadAt is when the last model load was sent, if loadSent is set.
	lastLoadAt      time.Duration
	loadSent        bool
	loadsInProgress int
	roles           roleState
}

// order is one order to an engine.
type order struct {
	id       uint64
	order    *pb.EngineOrder
	queuedAt time.Duration
	timeout  time.Duration
	sent     bool
	// notBefore is the earliest time at which an order is sent to an engine
	// that does not check fencing tokens.
	notBefore time.Duration
	// internal orders come from the roles controller; no caller waits for them.
	internal bool
	// upstream is the process for which the order was made, or to which it was sent.
	upstream *upstreamRecord
}

// concerns reports whether an order is for a process. One of a caller names an id, and is for
// the process that runs when it is sent.
func (o *order) concerns(m *upstreamRecord) bool {
	return m != nil && (m == o.upstream || !o.internal && !o.sent)
}

func (o *order) isLoad() bool {
	switch o.order.Order.(type) {
	case *pb.EngineOrder_LoadModel, *pb.EngineOrder_LoadAdapter:
		return true
	}
	return false
}

func (o *order) role() (pb.EngineRole, bool) {
	r, ok := o.order.Order.(*pb.EngineOrder_SetRole)
	if !ok {
		return 0, false
	}
	return r.SetRole, true
}

// encode converts the order to the engine protocol.
func (o *order) encode(token uint64) upstream.Order {
	out := upstream.Order{FencingToken: token}
	switch x := o.order.Order.(type) {
	case *pb.EngineOrder_SetRole:
		out.Kind, out.Value = "set_role", roleName(x.SetRole)
	case *pb.EngineOrder_LoadModel:
		out.Kind, out.Value = "load_model", x.LoadModel
	case *pb.EngineOrder_UnloadModel:
		out.Kind, out.Value = "unload_model", x.UnloadModel
	case *pb.EngineOrder_LoadAdapter:
		out.Kind, out.Value = "load_adapter", x.LoadAdapter
	}
	return out
}

func roleName(r pb.EngineRole) string {
	switch r {
	case pb.EngineRole_ENGINE_ROLE_PREFILL:
		return "prefill"
	case pb.EngineRole_ENGINE_ROLE_DECODE:
		return "decode"
	}
	return "plain"
}

// Order queues an order and returns its id. It reports false when the pool does
// not know the upstream.
func (p *Pool) Order(o *pb.EngineOrder, now time.Duration) (uint64, bool) {
	defer p.lock(upstreamsBit | ordersBit)()
	m := p.upstreams.byID[o.UpstreamId]
	if m == nil {
		return 0, false
	}
	return p.addOrder(m, o, false, now), true
}

func (p *Pool) addOrder(m *upstreamRecord, o *pb.EngineOrder, internal bool, now time.Duration) uint64 {
	timeout := fromMillis(o.DeadlineMs)
	if timeout == 0 {
		timeout = defaultOrderTimeout
	}
	p.orders.sequence++
	rec := &order{id: p.orders.sequence, order: o, queuedAt: now, timeout: timeout, internal: internal, upstream: m}
	rec.notBefore = p.firstOrderAt(m, timeout)
	p.orders.byID[rec.id] = rec
	return rec.id
}

// firstOrderAt returns the earliest time at which an order is sent to an engine.
func (p *Pool) firstOrderAt(m *upstreamRecord, timeout time.Duration) time.Duration {
	// leaseEnd is when the previous lease has expired by the slowest clock.
	leaseEnd := p.activeAt + time.Duration(float64(p.params.LeaseTTL)*(1+maxClockDrift))
	switch {
	case !m.state.ChecksFencing:
		// The engine would also obey the previous lease holder, so its last order
		// must have ended, too.
		return leaseEnd + timeout
	case p.params.OrdersAfterLease:
		return leaseEnd
	}
	return p.activeAt
}

// sendOrders is the orders controller. It sends the orders that are due: model
// loads one at a time and no more often than the weight store allows, role
// changes once the engine has drained.
func (p *Pool) sendOrders(now time.Duration) []Action {
	defer p.lock(upstreamsBit | holdsBit | queueBit | ordersBit)()
	ids := make([]uint64, 0, len(p.orders.byID))
	for id := range p.orders.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var out []Action
	for _, id := range ids {
		if o := p.orders.byID[id]; !o.sent && now >= o.notBefore {
			out = p.trySend(out, o, now)
		}
	}
	return p.askRoles(out, now)
}

func (p *Pool) trySend(out []Action, o *order, now time.Duration) []Action {
	m := p.upstreams.byID[o.order.UpstreamId]
	if !o.concerns(m) {
		delete(p.orders.byID, o.id)
		return append(out, OrderResult{ID: o.id, Failure: "upstream " + o.order.UpstreamId + " is gone"})
	}
	if now >= o.queuedAt+maxOrderWait {
		delete(p.orders.byID, o.id)
		m.changingRole = false
		p.upstreams.refresh(m, &p.params, now)
		return append(out, OrderResult{ID: o.id, Failure: "the order could not be sent in time"})
	}
	if o.isLoad() && !p.canStartLoad(now) {
		return out
	}
	if role, ok := o.role(); ok && !p.drainForRole(m, role, now) {
		return out
	}
	o.sent, o.upstream = true, m
	if o.isLoad() {
		p.orders.loadsInProgress++
		p.orders.lastLoadAt = now
		p.orders.loadSent = true
	}
	return append(out, SendOrder{ID: o.id, Engine: m.state, Order: o.encode(p.fencingToken), TimeoutMillis: toMillis(o.timeout)})
}

// canStartLoad reports whether another model load may start.
func (p *Pool) canStartLoad(now time.Duration) bool {
	t := &p.orders
	return t.loadsInProgress == 0 && (!t.loadSent || now >= t.lastLoadAt+p.params.LoadInterval)
}

// drainForRole starts the drain of an engine that is to change its role and
// reports whether the engine is empty.
func (p *Pool) drainForRole(m *upstreamRecord, role pb.EngineRole, now time.Duration) bool {
	if m.state.Role == role {
		return true
	}
	if !m.changingRole {
		m.changingRole = true
		m.targetRole = role
		m.announceRoleBy, m.checkRoleAt = 0, 0
		p.upstreams.refresh(m, &p.params, now)
		p.upstreams.revision++
	}
	return m.view.Batch == 0 && m.view.HeldPieces == 0 && m.view.PromisedBatch == 0
}

// OrderDone reports the outcome of a SendOrder action.
func (p *Pool) OrderDone(id uint64, failure string, now time.Duration) []Action {
	defer p.lock(upstreamsBit | queueBit | ordersBit)()
	o := p.orders.byID[id]
	if o == nil || !o.sent {
		return nil
	}
	delete(p.orders.byID, id)
	if o.isLoad() {
		p.orders.loadsInProgress--
	}
	if m := p.upstreams.byID[o.order.UpstreamId]; o.concerns(m) && m.changingRole {
		m.announceRoleBy, m.checkRoleAt = now+p.params.RoleSwitchTime+announceRoleTimeout, now+ignoredOrderCheck
		if failure != "" {
			m.changingRole = false
			m.roleRetryAt = now + p.params.RoleSwitchTime + roleRetryDelay
			p.upstreams.refresh(m, &p.params, now)
			p.unblockQueue()
		}
	}
	out := []Action{TimelineEvent{Kind: "order.done", RequestID: o.order.RequestId, Upstream: o.order.UpstreamId, Detail: failure}}
	if o.internal {
		return out
	}
	return append(out, OrderResult{ID: id, Result: "done", Failure: failure})
}
