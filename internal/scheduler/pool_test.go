package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

const (
	urgent = pb.RequestClass_REQUEST_CLASS_URGENT
	draft  = pb.RequestClass_REQUEST_CLASS_DRAFT
)

// poolTest drives a Pool step by step and records its actions.
type poolTest struct {
	*Pool
	t         *testing.T
	now       time.Duration
	states    []*pb.UpstreamState
	responses map[uint64]*pb.SubmitResponse
	actions   []Action
	ticket    uint64
}

func newPoolTest(t *testing.T, params Params, states ...*pb.UpstreamState) *poolTest {
	c := &poolTest{
		Pool: NewPool(testPool, params, policy.Default{}, 7, 0, 1), t: t, now: 10 * time.Second,
		states: states, responses: map[uint64]*pb.SubmitResponse{},
	}
	c.announce()
	return c
}

func (c *poolTest) announce() {
	for _, s := range c.states {
		c.record(c.Announce([]*pb.UpstreamState{proto.CloneOf(s)}, c.now))
	}
}

func (c *poolTest) record(actions []Action) {
	for _, a := range actions {
		if x, ok := a.(SubmitResult); ok {
			c.responses[x.Ticket] = x.Response
			continue
		}
		c.actions = append(c.actions, a)
	}
}

func (c *poolTest) submit(r *pb.SubmitRequest) uint64 {
	c.ticket++
	c.record(c.Submit(c.ticket, r, c.now))
	c.record(c.Run(Placement, c.now))
	return c.ticket
}

func (c *poolTest) grant(r *pb.SubmitRequest) *pb.Grant {
	c.t.Helper()
	id := c.submit(r)
	require.NotNil(c.t, c.responses[id].GetGrant(), "%v", c.responses[id])
	return c.responses[id].GetGrant()
}

func (c *poolTest) reportFirstToken(g *pb.Grant) {
	c.Progress(&pb.ProgressRequest{HoldId: g.HoldId, Stage: pb.ProgressRequest_FIRST_TOKEN}, c.now)
}

func (c *poolTest) complete(g *pb.Grant) {
	c.Release(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_COMPLETED, OutputTokens: 50, TpotUs: 20000}, c.now)
	c.record(c.Run(Placement, c.now))
}

// advance moves the time forward, with announcements every second and every
// controller at each step of 20 ms.
func (c *poolTest) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 20 * time.Millisecond
		if c.now%time.Second == 0 {
			c.announce()
		}
		for ctl := range controllerCount {
			c.record(c.Run(ctl, c.now))
		}
	}
}

func actionsOf[T Action](c *poolTest) (out []T) {
	for _, a := range c.actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// Guards against a large draft that never runs because urgent requests and
// smaller drafts take every piece that becomes free.
func TestLargeDraftIsNotStarved(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), decodeState("d1", 10), decodeState("d2", 10))
	var running []*pb.Grant
	for range 10 {
		g := c.grant(submitRequest("fill", urgent, 1500, 500))
		c.reportFirstToken(g)
		running = append(running, g)
	}
	large := submitRequest("large", draft, 7000, 1000)
	large.MaxWaitMs = 60000
	id := c.submit(large)
	for i := 0; c.responses[id] == nil; i++ {
		require.Less(t, i, 300, "the draft waits for over 30 s")
		// Two urgent requests are always queued for memory that becomes free.
		for c.Queued() < 3 {
			c.submit(submitRequest(fmt.Sprintf("u%d", i), urgent, 1500, 500))
		}
		c.advance(100 * time.Millisecond)
		c.complete(running[0])
		running = running[1:]
		for ticket, a := range c.responses {
			if g := a.GetGrant(); g != nil && ticket > 10 && ticket != id {
				c.reportFirstToken(g)
				running = append(running, g)
				delete(c.responses, ticket)
			}
		}
	}
	require.NotNil(t, c.responses[id].GetGrant(), "%v", c.responses[id])
}

// Guards against one organisation with a long queue delaying 949 others, and
// against sharing by requests instead of tokens.
func TestOrganisationsShareByTokens(t *testing.T) {
	const organisations = 950
	singleSlot := decodeState("d1", 4)
	singleSlot.MaxBatch = 1
	c := newPoolTest(t, Params{}, prefillState("p1"), singleSlot)
	g := c.grant(submitRequest("fill", draft, 2500, 500))
	c.reportFirstToken(g)
	submitFor := func(org string, prompt, output uint32) {
		r := submitRequest(org, draft, prompt, output)
		r.Organisation, r.MaxWaitMs, r.DeadlineMs = org, 3600000, 3600000
		c.submit(r)
	}
	for range 200 {
		submitFor("greedy", 2500, 500)
	}
	for i := range organisations - 1 {
		for range 2 {
			submitFor(fmt.Sprintf("org-%d", i), 1500, 500)
		}
	}
	served := map[string]int{}
	for range organisations + 200 {
		c.now += time.Millisecond
		if c.now%time.Second == 0 {
			c.announce()
		}
		c.complete(g)
		h := c.Holds()
		require.Len(t, h, 1)
		served[h[0].RequestId]++
		g = &pb.Grant{HoldId: h[0].HoldId}
		c.reportFirstToken(g)
	}
	require.LessOrEqual(t, served["greedy"], 2)
	require.Len(t, served, organisations)
}

// Guards against an organisation of long requests being served as many
// requests, and so more tokens, than one of short requests.
func TestSharesAreCountedInTokens(t *testing.T) {
	singleSlot := decodeState("d1", 4)
	singleSlot.MaxBatch = 1
	c := newPoolTest(t, Params{}, prefillState("p1"), singleSlot)
	g := c.grant(submitRequest("fill", draft, 500, 500))
	for i := range 120 {
		r := submitRequest("short", draft, 500, 500)
		if i%2 == 0 {
			r = submitRequest("long", draft, 2500, 500)
		}
		r.Organisation, r.MaxWaitMs, r.DeadlineMs = r.RequestId, 3600000, 3600000
		c.submit(r)
	}
	served := map[string]int{}
	for range 40 {
		c.reportFirstToken(g)
		c.complete(g)
		h := c.Holds()[0]
		served[h.RequestId]++
		g = &pb.Grant{HoldId: h.HoldId}
	}
	require.InDelta(t, 30, served["short"], 1)
}

// Guards against a prefill that is granted while decode is full and whose
// result expires before decode has capacity, and against decode slots that are
// unused during each prefill although the time at which they become free is
// known.
func TestPrefillStartsBeforeSlotIsFree(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), decodeState("d1", 4))
	g := c.grant(submitRequest("a", draft, 2000, 100))
	c.reportFirstToken(g)
	id := c.submit(submitRequest("b", draft, 2000, 100))
	tokens := c.upstreams.byID["d1"].view.TokenSeconds(20) * 100
	c.advance(policy.Seconds(tokens) - 500*time.Millisecond)
	require.Nil(t, c.responses[id], "granted too early: %v", c.responses[id])
	c.advance(450 * time.Millisecond)
	ahead := c.responses[id].GetGrant()
	require.NotNil(t, ahead, "not granted ahead of the free slot")
	require.Equal(t, 3, c.upstreams.byID["d1"].view.PromisedPieces)
	c.complete(g)
	v := c.upstreams.byID["d1"].view
	require.Equal(t, 0, v.PromisedPieces)
	require.Equal(t, 3, v.HeldPieces)
}

// Guards against requests that are queued although they cannot be served in
// time, and refusals without a retry-after time.
func TestRefusals(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), decodeState("d1", 10))
	refused := func(r *pb.SubmitRequest) *pb.Refusal {
		id := c.submit(r)
		require.NotNil(t, c.responses[id].GetRefusal(), "%v", c.responses[id])
		return c.responses[id].GetRefusal()
	}
	require.Equal(t, pb.Refusal_TOO_LARGE, refused(submitRequest("large", draft, 10000, 1000)).Code)
	other := submitRequest("other", draft, 100, 100)
	other.Model = "unknown"
	require.Equal(t, pb.Refusal_NO_UPSTREAM, refused(other).Code)
	late := submitRequest("late", urgent, 8000, 100)
	late.MaxWaitMs = 0
	require.Equal(t, pb.Refusal_TOO_LATE, refused(late).Code, "its prefill takes 0.8 s of a 0.76 s target")

	for range 5 {
		c.now += 4 * time.Second
		c.announce()
		c.complete(c.grantAndRun(submitRequest("warm", draft, 4000, 500), 4*time.Second))
	}
	c.reportFirstToken(c.grant(submitRequest("fill", draft, 8000, 500)))
	for i := range 2 {
		c.submit(submitRequest(fmt.Sprintf("queued%d", i), draft, 8000, 500))
	}
	over := refused(submitRequest("over", draft, 8000, 500))
	require.Equal(t, pb.Refusal_OVERLOADED, over.Code)
	require.NotZero(t, over.RetryAfterMs)
}

// grantAndRun grants a request and lets it run for a time.
func (c *poolTest) grantAndRun(r *pb.SubmitRequest, d time.Duration) *pb.Grant {
	g := c.grant(r)
	c.reportFirstToken(g)
	c.now += d
	c.announce()
	return g
}

// Guards against two faults after a takeover: work of disconnected entries that
// is never cancelled, and memory that it uses being granted.
func TestTakeoverCancelsUnclaimedWork(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), decodeState("d1", 10))
	c.Pool = NewPool(testPool, Params{}, policy.Default{}, 8, c.now, 1)
	c.states[1].UsedPieces, c.states[1].Running = 9, 2
	c.record(c.Restate(&pb.RestateRequest{EntryId: "entry-1", Holds: []*pb.Hold{{
		HoldId: testPool + "#7-1", RequestId: "claimed", Attempt: 1, PrefillId: "p1", DecodeId: "d1", Pieces: 4,
		Stage: pb.ProgressRequest_DECODING, PromptTokens: 3000, MaxOutputTokens: 1000, Model: "m",
	}}}, c.now))
	c.announce()
	id := c.submit(submitRequest("r", draft, 1500, 400))
	c.advance(time.Second)
	require.Nil(t, c.responses[id], "memory of unclaimed work was granted")
	c.advance(1200 * time.Millisecond)
	lists := actionsOf[ListRunning](c)
	require.NotEmpty(t, lists)
	work := []upstream.Running{{RequestID: "claimed", Attempt: 1, Pieces: 4, AgeMillis: 9000}, {RequestID: "lost", Attempt: 2, Pieces: 5, AgeMillis: 9000}}
	c.record(c.Listed(lists[len(lists)-1].Engine, work, c.now, c.now))
	require.Equal(t, []CancelOrphan{{Engine: actionsOf[CancelOrphan](c)[0].Engine, Work: upstream.CancelRequest{RequestID: "lost", Attempt: 2}}}, actionsOf[CancelOrphan](c))
	c.states[1].UsedPieces, c.states[1].Running = 4, 1
	c.advance(2 * time.Second)
	require.NotNil(t, c.responses[id].GetGrant())
}

// Guards against memory that is granted again before the engine has confirmed
// that the work of a disconnected entry was cancelled.
func TestMemoryIsKeptUntilCancellationIsConfirmed(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), decodeState("d1", 4))
	g := c.grant(submitRequest("a", draft, 2000, 1000))
	c.reportFirstToken(g)
	c.EntryDisconnected("entry-1", c.now)
	second := submitRequest("b", draft, 2000, 1000)
	second.EntryId, second.MaxWaitMs = "entry-2", 60000
	id := c.submit(second)
	c.advance(2500 * time.Millisecond)
	require.Len(t, actionsOf[CancelWork](c), 2)
	c.advance(1500 * time.Millisecond)
	require.Nil(t, c.responses[id])
	require.Greater(t, len(actionsOf[CancelWork](c)), 2, "the cancellation is not repeated")
	c.CancelDone(g.HoldId, prefillRole, c.now)
	c.CancelDone(g.HoldId, prefillRole, c.now)
	c.advance(100 * time.Millisecond)
	require.Nil(t, c.responses[id])
	c.CancelDone(g.HoldId, decodeRole, c.now)
	c.advance(100 * time.Millisecond)
	require.NotNil(t, c.responses[id].GetGrant())
}

// Guards against an engine without fencing checks receiving orders from the
// previous and the new lease holder at once, and against parallel model loads.
func TestOrdersAreFencedAndLoadsAreSerial(t *testing.T) {
	checksFencing, ignoresFencing := decodeState("d1", 10), decodeState("d2", 10)
	ignoresFencing.ChecksFencing = false
	c := newPoolTest(t, Params{}, prefillState("p1"), checksFencing, ignoresFencing)
	c.Pool = NewPool(testPool, Params{}, policy.Default{}, 8, c.now, 1)
	c.announce()
	load := func(id, model string) {
		_, ok := c.Order(&pb.EngineOrder{UpstreamId: id, Order: &pb.EngineOrder_LoadModel{LoadModel: model}, DeadlineMs: 1000}, c.now)
		require.True(t, ok)
	}
	load("d1", "x")
	load("d1", "y")
	load("d2", "z")
	c.advance(4 * time.Second)
	sent := actionsOf[SendOrder](c)
	require.Len(t, sent, 1)
	require.Equal(t, uint64(8), sent[0].Order.FencingToken)
	c.advance(20 * time.Second)
	require.Len(t, actionsOf[SendOrder](c), 1, "a second load started before the first had ended")
	c.record(c.OrderDone(sent[0].ID, "", c.now))
	c.advance(time.Second)
	require.Len(t, actionsOf[SendOrder](c), 2)

	d := newPoolTest(t, Params{}, prefillState("p1"), checksFencing, ignoresFencing)
	d.Pool = NewPool(testPool, Params{}, policy.Default{}, 8, d.now, 1)
	d.announce()
	_, _ = d.Order(&pb.EngineOrder{UpstreamId: "d2", Order: &pb.EngineOrder_UnloadModel{UnloadModel: "m"}, DeadlineMs: 1000}, d.now)
	d.advance(4 * time.Second)
	require.Empty(t, actionsOf[SendOrder](d), "sent while the old holder's order could still run")
	d.advance(100 * time.Millisecond)
	require.Len(t, actionsOf[SendOrder](d), 1)
}

// Guards against a role change that interrupts running work, and against
// engines that change back and forth.
func TestRoleChangeDrainsFirst(t *testing.T) {
	c := newPoolTest(t, Params{RoleChangeDelay: 2 * time.Second, DisableForecast: true}, prefillState("p1"), prefillState("p2"), decodeState("d1", 4))
	g := c.grant(submitRequest("a", draft, 3000, 900))
	c.reportFirstToken(g)
	waiting := submitRequest("b", draft, 3000, 900)
	waiting.MaxWaitMs = 60000
	c.submit(waiting)
	c.advance(time.Second)
	require.Empty(t, actionsOf[SendOrder](c), "changed without hysteresis")
	c.advance(3 * time.Second)
	sent := actionsOf[SendOrder](c)
	require.Len(t, sent, 1)
	require.Equal(t, upstream.Order{FencingToken: 7, Kind: "set_role", Value: "decode"}, sent[0].Order)
	require.False(t, c.upstreams.byID[sent[0].Engine.Id].view.Usable)
	c.advance(3 * time.Second)
	require.Len(t, actionsOf[SendOrder](c), 1, "a role gave up its last engine")

	_, ok := c.Order(&pb.EngineOrder{UpstreamId: "d1", Order: &pb.EngineOrder_SetRole{SetRole: pb.EngineRole_ENGINE_ROLE_PREFILL}}, c.now)
	require.True(t, ok)
	c.advance(time.Second)
	require.Len(t, actionsOf[SendOrder](c), 1, "changed while a request ran")
	c.complete(g)
	c.advance(200 * time.Millisecond)
	require.Len(t, actionsOf[SendOrder](c), 2)
}

// Guards against an engine that has become slow and keeps its share of the work,
// and against its return at full share.
func TestSlowEngineIsEjectedAndReturnsGradually(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), decodeState("d1", 40), decodeState("d2", 40), decodeState("d3", 40))
	c.advance(time.Second)
	m := c.upstreams.byID["d1"]
	for i := 0; m.health == pb.UpstreamStatus_LIVE; i++ {
		require.Less(t, i, 100, "not ejected")
		r := submitRequest("a", draft, 500, 100)
		r.Exclude = []string{"d2", "d3"}
		g := c.grant(r)
		c.reportFirstToken(g)
		c.Release(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_COMPLETED, OutputTokens: 50, TpotUs: 150000}, c.now)
	}
	require.Equal(t, pb.UpstreamStatus_EJECTED, m.health)
	require.False(t, m.view.Usable)
	c.advance(6 * time.Second)
	require.True(t, m.view.Usable)
	require.Less(t, m.view.Share, 0.5)
	c.advance(10 * time.Second)
	require.Equal(t, 1.0, m.view.Share)
}

// Guards against lost cache events after which a wrong index is trusted, and
// against affinity that overrides load.
func TestPrefixAffinity(t *testing.T) {
	c := newPoolTest(t, Params{}, prefillState("p1"), prefillState("p2"), decodeState("d1", 200))
	send := func(first, last uint64) {
		s := proto.CloneOf(c.states[1])
		for seq := first; seq <= last; seq++ {
			s.CacheEvents = append(s.CacheEvents, &pb.CacheEvent{Sequence: seq, PrefixHash: seq})
		}
		c.Announce([]*pb.UpstreamState{s}, c.now)
	}
	send(1, 4)
	request := func() *pb.SubmitRequest {
		r := submitRequest("r", draft, 4000, 100)
		r.PrefixHashes = []uint64{1, 2, 3, 4}
		return r
	}
	g := c.grant(request())
	require.Equal(t, "p2", g.Prefill.Id)
	require.Equal(t, int32(0), c.holds.byID[g.HoldId].prefillTokens)
	send(9, 9)
	g = c.grant(request())
	require.Equal(t, int32(2000), c.holds.byID[g.HoldId].prefillTokens, "after a gap the index is unreliable")
	send(10, 24)
	require.False(t, c.upstreams.byID["p2"].prefix.unreliable)

	busy := submitRequest("busy", draft, 9000, 100)
	busy.Exclude = []string{"p1"}
	c.grant(busy)
	require.Equal(t, "p1", c.grant(request()).Prefill.Id, "affinity must not override a long queue")
}
