package scheduler

import (
	"slices"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// defaultOrderLimit bounds an order that states no deadline; loading a
	// model takes tens of seconds.
	defaultOrderLimit = 60 * time.Second
	// maxOrderWait bounds the time until an order is sent: the drain of an
	// engine, the queue of model loads and the wait for an old lease.
	maxOrderWait = 5 * time.Minute
	// announceLimit is the time in which an engine that changed its role must
	// announce it.
	announceLimit = 5 * time.Second
)

// orderTable lists the orders to engines.
type orderTable struct {
	mu       sync.Mutex
	byID     map[uint64]*order
	sequence uint64
	// lastLoad is when the last model load was started.
	lastLoad time.Duration
	loaded   bool
	loading  int
	roles    roleState
}

// order is one order to an engine.
type order struct {
	id    uint64
	order *pb.EngineOrder
	since time.Duration
	limit time.Duration
	sent  bool
	// earliest is when an order may be sent to an engine that does not check
	// fencing tokens.
	earliest time.Duration
	// internal orders come from the roles controller; nobody waits for them.
	internal bool
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

// encode returns the order as the engine protocol has it.
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

// Order queues an order and returns its id. It reports false when the pool
// does not know the upstream.
func (p *Pool) Order(o *pb.EngineOrder, now time.Duration) (uint64, bool) {
	defer p.lock(upstreamsTable | ordersTable)()
	m := p.upstreams.byID[o.UpstreamId]
	if m == nil {
		return 0, false
	}
	return p.addOrder(m, o, false, now), true
}

func (p *Pool) addOrder(m *member, o *pb.EngineOrder, internal bool, now time.Duration) uint64 {
	limit := fromMillis(o.DeadlineMs)
	if limit == 0 {
		limit = defaultOrderLimit
	}
	p.orders.sequence++
	rec := &order{id: p.orders.sequence, order: o, since: now, limit: limit, internal: internal}
	if !m.state.ChecksFencing {
		// The engine would obey an old holder, so this one waits until the old
		// lease has run out by the slowest clock and the old order has ended.
		ttl := time.Duration(float64(p.params.LeaseTTL) * (1 + leaseDrift))
		rec.earliest = p.activeAt + ttl + limit
	}
	p.orders.byID[rec.id] = rec
	return rec.id
}

// sendOrders is the loads controller. It sends what may be sent: model loads
// one at a time and no faster than the weight store allows, role changes once
// the engine has drained.
func (p *Pool) sendOrders(now time.Duration) []Action {
	defer p.lock(upstreamsTable | holdsTable | queueTableBit | ordersTable)()
	ids := make([]uint64, 0, len(p.orders.byID))
	for id := range p.orders.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var out []Action
	for _, id := range ids {
		if o := p.orders.byID[id]; !o.sent && now >= o.earliest {
			out = p.trySend(out, o, now)
		}
	}
	return out
}

func (p *Pool) trySend(out []Action, o *order, now time.Duration) []Action {
	m := p.upstreams.byID[o.order.UpstreamId]
	if m == nil {
		delete(p.orders.byID, o.id)
		return append(out, OrderResult{ID: o.id, Failure: "upstream " + o.order.UpstreamId + " is gone"})
	}
	if now >= o.since+maxOrderWait {
		delete(p.orders.byID, o.id)
		m.changing = false
		p.upstreams.refresh(m, &p.params, now)
		return append(out, OrderResult{ID: o.id, Failure: "the order could not be sent in time"})
	}
	if o.isLoad() && !p.mayLoad(now) {
		return out
	}
	if role, ok := o.role(); ok && !p.drainedFor(m, role, now) {
		return out
	}
	o.sent = true
	if o.isLoad() {
		p.orders.loading++
		p.orders.lastLoad = now
		p.orders.loaded = true
	}
	return append(out, SendOrder{ID: o.id, Engine: m.state, Order: o.encode(p.token), LimitMillis: millis(o.limit)})
}

// mayLoad reports whether another model load may start.
func (p *Pool) mayLoad(now time.Duration) bool {
	t := &p.orders
	return t.loading == 0 && (!t.loaded || now >= t.lastLoad+p.params.LoadInterval)
}

// drainedFor starts the drain of an engine that changes its role and reports
// whether nothing runs there any more.
func (p *Pool) drainedFor(m *member, role pb.EngineRole, now time.Duration) bool {
	if m.state.Role == role {
		return true
	}
	if !m.changing {
		m.changing = true
		p.upstreams.refresh(m, &p.params, now)
		p.upstreams.revision++
	}
	return m.view.Batch == 0 && m.view.HeldPieces == 0 && m.view.PromisedBatch == 0
}

// OrderDone reports the outcome of a SendOrder action.
func (p *Pool) OrderDone(id uint64, failure string, now time.Duration) []Action {
	defer p.lock(upstreamsTable | queueTableBit | ordersTable)()
	o := p.orders.byID[id]
	if o == nil || !o.sent {
		return nil
	}
	delete(p.orders.byID, id)
	if o.isLoad() {
		p.orders.loading--
	}
	if m := p.upstreams.byID[o.order.UpstreamId]; m != nil && m.changing {
		m.changeBy = now + announceLimit
		if failure != "" {
			m.changing = false
			p.upstreams.refresh(m, &p.params, now)
			p.unblock()
		}
	}
	out := []Action{Note{Kind: "order.done", RequestID: o.order.RequestId, Upstream: o.order.UpstreamId, Detail: failure}}
	if o.internal {
		return out
	}
	return append(out, OrderResult{ID: id, Result: "done", Failure: failure})
}
