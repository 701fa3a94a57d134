package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

// simEngine is the true state of one engine.
type simEngine struct {
	state *pb.UpstreamState
	work  map[attemptID]uint32
	loads []simLoad
	// delivered is the last announcement that reached the scheduler.
	delivered   *pb.UpstreamState
	deliveredAt time.Duration
	leaving     bool
}

type simLoad struct {
	at      time.Duration
	used    uint32
	running uint32
}

func (e *simEngine) used() (sum uint32) {
	for _, pieces := range e.work {
		sum += pieces
	}
	return sum
}

func (e *simEngine) recordLoad(now time.Duration) {
	e.loads = append(e.loads, simLoad{at: now, used: e.used(), running: uint32(len(e.work))})
}

// simHold is an entry's view of a grant.
type simHold struct {
	grant    *pb.Grant
	req      *pb.SubmitRequest
	stage    pb.ProgressRequest_Stage
	promised bool
}

type simTicket struct {
	id        uint64
	req       *pb.SubmitRequest
	responses int
	// open: queued in the current Pool and not withdrawn.
	open bool
}

// poolMachine drives a Pool with any interleaving of events and checks the
// invariants after each.
type poolMachine struct {
	pool              *Pool
	now               time.Duration
	token             uint64
	engines           []*simEngine
	holds             map[string]*simHold
	disconnected      map[string]bool
	tickets           []*simTicket
	cancels           []CancelWork
	pastAnnouncements []*pb.UpstreamState
	drained           string
	nextID            int
}

var simEntries = []string{"e1", "e2", "e3"}

func newPoolMachine() *poolMachine {
	m := &poolMachine{holds: map[string]*simHold{}, disconnected: map[string]bool{}, token: 1}
	for _, s := range []*pb.UpstreamState{prefillState("p1"), prefillState("p2"), decodeState("d1", 10), decodeState("d2", 6)} {
		m.engines = append(m.engines, &simEngine{state: s, work: map[attemptID]uint32{}})
	}
	m.engines[2].state.MaxBatch = 4
	m.pool = NewPool(testPool, Params{UrgentReserve: 0.2}, policy.Default{}, m.token, 0, 1)
	m.announceAll()
	m.now = time.Second
	return m
}

func (m *poolMachine) engine(id string) *simEngine {
	for _, e := range m.engines {
		if e.state.Id == id {
			return e
		}
	}
	return nil
}

func (m *poolMachine) announceAll() {
	for _, e := range m.engines {
		m.announce(nil, e, 0)
	}
}

// announce reports an earlier load, as an engine with delayed reports does. lag
// is the number of recorded loads by which the report is late.
func (m *poolMachine) announce(t *rapid.T, e *simEngine, lag int) {
	s := proto.CloneOf(e.state)
	e.recordLoad(m.now)
	r := e.loads[max(0, len(e.loads)-1-lag)]
	if m.now-r.at > maxReportLag {
		r = e.loads[len(e.loads)-1]
	}
	s.UsedPieces, s.Running, s.LoadAgeMs = r.used, r.running, toMillis(m.now-r.at)
	m.pastAnnouncements = append(m.pastAnnouncements, proto.CloneOf(s))
	m.deliver(t, e, s)
}

func (m *poolMachine) deliver(t *rapid.T, e *simEngine, s *pb.UpstreamState) {
	if e.delivered == nil || s.Generation > e.delivered.Generation {
		e.leaving = false
	}
	if e.delivered == nil || s.Generation >= e.delivered.Generation {
		e.delivered = proto.CloneOf(s)
		e.deliveredAt = m.now
		e.leaving = e.leaving || s.Leaving
	}
	m.perform(t, m.pool.Announce([]*pb.UpstreamState{s}, m.now))
}

// perform carries out actions as the Scheduler does: it records results, lists
// running requests at once and keeps cancellations pending.
func (m *poolMachine) perform(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case SubmitResult:
			m.checkResponse(t, x)
		case CancelWork:
			m.cancels = append(m.cancels, x)
		case CancelOrphan:
			m.cancelAt(x.Engine.Id, x.Work)
		case ListRunning:
			var list []upstream.Running
			for id, pieces := range m.engine(x.Engine.Id).work {
				list = append(list, upstream.Running{RequestID: id.request, Attempt: id.attempt, Pieces: int(pieces), AgeMillis: 5000})
			}
			m.perform(t, m.pool.Listed(x.Engine, list, m.now, m.now))
		}
	}
}

func (m *poolMachine) cancelAt(id string, w upstream.CancelRequest) {
	delete(m.engine(id).work, attemptID{w.RequestID, w.Attempt})
}

func (m *poolMachine) checkResponse(t *rapid.T, a SubmitResult) {
	i := slices.IndexFunc(m.tickets, func(k *simTicket) bool { return k.id == a.Ticket })
	k := m.tickets[i]
	k.responses++
	if k.responses > 1 || !k.open {
		t.Fatalf("ticket %d has %d results, open %v", k.id, k.responses, k.open)
	}
	k.open = false
	g := a.Response.GetGrant()
	if g == nil {
		return
	}
	for _, u := range []*pb.UpstreamAddress{g.Prefill, g.Decode} {
		e := m.engine(u.Id)
		if reason := m.unusableReason(e); reason != "" || u.Generation != e.delivered.Generation {
			t.Fatalf("granted on %s generation %d, which is %s", u.Id, u.Generation, reason)
		}
	}
	h := m.pool.holds.byID[g.HoldId]
	v := &h.decode.view
	if !h.promised && v.HeldPieces+v.ForeignPieces > v.TotalPieces {
		t.Fatalf("granted %d pieces on %s: held %d, foreign %d, total %d", g.Pieces, g.Decode.Id, v.HeldPieces, v.ForeignPieces, v.TotalPieces)
	}
	m.holds[g.HoldId] = &simHold{grant: g, req: k.req, promised: h.promised}
}

// unusableReason returns why an upstream must not receive new work according to
// what was delivered to the scheduler, or "".
func (m *poolMachine) unusableReason(e *simEngine) string {
	switch {
	case e.leaving:
		return "leaving"
	case m.now-e.deliveredAt >= 3*time.Second:
		return "silent"
	case m.drained == e.state.Id:
		return "drained"
	}
	return ""
}

func (m *poolMachine) run(t *rapid.T, c Controller) {
	before := m.firstOpen(policy.Urgent)
	earmark := m.pool.queue.earmarkedDraft
	actions := m.pool.Run(c, m.now)
	m.perform(t, actions)
	if c != Placement || m.pool.inRestateWindow(m.now) {
		return
	}
	for _, a := range actions {
		if x, ok := a.(SubmitResult); ok && x.Response.GetGrant() != nil && (earmark == nil || earmark.ticket != x.Ticket) {
			m.checkDraftOrder(t, x, before)
		}
	}
	// No urgent request that fits may still be queued.
	for _, k := range m.firstOpen(policy.Urgent) {
		if m.fits(k, nil) {
			t.Fatalf("urgent ticket %d fits and still waits", k.id)
		}
	}
}

// checkDraftOrder fails when a draft took memory that an urgent request waits
// for.
func (m *poolMachine) checkDraftOrder(t *rapid.T, x SubmitResult, before []*simTicket) {
	h := m.pool.holds.byID[x.Response.GetGrant().HoldId]
	if h.class != policy.Draft {
		return
	}
	for _, k := range before {
		if k.open && m.fits(k, h) {
			t.Fatalf("draft %s granted before urgent ticket %d, both fitted", h.requestID, k.id)
		}
	}
}

// firstOpen returns the first open ticket of each organisation in a class.
func (m *poolMachine) firstOpen(c policy.Class) []*simTicket {
	var out []*simTicket
	seen := map[string]bool{}
	for _, k := range m.tickets {
		if !k.open || classOf(k.req.RequestClass) != c || seen[k.req.Organisation] {
			continue
		}
		seen[k.req.Organisation] = true
		out = append(out, k)
	}
	return out
}

// fits reports whether a request fits now if the memory of the excluded hold is
// counted as free. It requires an idle prefill engine, which accepts any
// request.
func (m *poolMachine) fits(k *simTicket, excluded *hold) bool {
	pieces := piecesFor(int(k.req.PromptTokens+k.req.MaxOutputTokens), 1000)
	idle, hasMemory := false, false
	for _, e := range m.engines {
		o := m.pool.upstreams.byID[e.state.Id]
		if o == nil || m.unusableReason(e) != "" {
			continue
		}
		v := o.view
		if o.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			idle = idle || v.Batch == 0 || (excluded != nil && excluded.prefill == o && v.Batch == 1)
			continue
		}
		if excluded != nil && excluded.decode == o {
			v.HeldPieces -= int(excluded.pieces)
			v.Batch--
		}
		slots := v.MaxBatch - v.Batch - v.PromisedBatch - v.ForeignBatch
		if v.EarmarkedPieces > 0 {
			slots--
		}
		hasMemory = hasMemory || (slots > 0 && v.TotalPieces-v.HeldPieces-v.PromisedPieces-v.ForeignPieces-v.EarmarkedPieces >= pieces)
	}
	return idle && hasMemory && m.now < m.pool.queue.byTicket[k.id].queueDeadline
}

func (m *poolMachine) submit(t *rapid.T) {
	class := pb.RequestClass_REQUEST_CLASS_DRAFT
	if rapid.Bool().Draw(t, "urgent") {
		class = pb.RequestClass_REQUEST_CLASS_URGENT
	}
	m.nextID++
	req := submitRequest(fmt.Sprintf("r%d", m.nextID), class, rapid.Uint32Range(1, 7000).Draw(t, "prompt"), rapid.OneOf(rapid.Uint32Range(1, 60), rapid.Uint32Range(1, 2500)).Draw(t, "output"))
	req.EntryId = rapid.SampledFrom(simEntries).Draw(t, "entry")
	req.Organisation = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
	req.MaxWaitMs = rapid.SampledFrom([]uint32{0, 500, 60000}).Draw(t, "wait")
	req.DeadlineMs = rapid.SampledFrom([]uint32{5000, 60000}).Draw(t, "deadline")
	m.queue(t, req)
}

func (m *poolMachine) queue(t *rapid.T, req *pb.SubmitRequest) {
	k := &simTicket{id: uint64(len(m.tickets) + 1), req: req, open: true}
	m.tickets = append(m.tickets, k)
	m.perform(t, m.pool.Submit(k.id, req, m.now))
}

// anyHold draws a hold of a connected entry.
func (m *poolMachine) anyHold(t *rapid.T) (string, *simHold) {
	var ids []string
	for id, h := range m.holds {
		if !m.disconnected[h.req.EntryId] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no hold")
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "hold")
	return id, m.holds[id]
}

func (m *poolMachine) progress(t *rapid.T) {
	id, h := m.anyHold(t)
	for n := rapid.IntRange(1, 4).Draw(t, "stages"); n > 0 && m.holds[id] == h; n-- {
		m.advance(t, id, h)
	}
}

func (m *poolMachine) advance(t *rapid.T, id string, h *simHold) {
	if h.stage == pb.ProgressRequest_DECODING {
		return
	}
	h.stage++
	e := m.engine(h.grant.Decode.Id)
	if h.stage == pb.ProgressRequest_TRANSFER_DONE {
		if e.state.Generation != h.grant.Decode.Generation || !m.startDecode(t, e, h) {
			m.release(id, h, pb.ReleaseRequest_TRANSFER_FAILED)
			return
		}
	}
	r := &pb.ProgressRequest{HoldId: id, Stage: h.stage, DurationUs: rapid.Uint32Range(0, 3e6).Draw(t, "duration"), Tokens: h.req.PromptTokens}
	if !m.pool.Progress(r, m.now) {
		m.cancelAt(h.grant.Decode.Id, upstream.CancelRequest{RequestID: h.req.RequestId, Attempt: h.req.Attempt})
		delete(m.holds, id)
	}
}

// startDecode starts a request at the decode engine, which rejects it when its
// memory is full. Only memory that was promised may turn out to be full.
func (m *poolMachine) startDecode(t *rapid.T, e *simEngine, h *simHold) bool {
	if known := m.pool.holds.byID[h.grant.HoldId]; known == nil || known.cancelling {
		return false
	}
	if e.used()+h.grant.Pieces > e.state.TotalPieces {
		if !h.promised {
			t.Fatalf("%s rejected an import of %d pieces with %d of %d in use", e.state.Id, h.grant.Pieces, e.used(), e.state.TotalPieces)
		}
		return false
	}
	e.work[attemptID{h.req.RequestId, h.req.Attempt}] = h.grant.Pieces
	return true
}

func (m *poolMachine) release(id string, h *simHold, outcome pb.ReleaseRequest_Outcome) {
	m.cancelAt(h.grant.Decode.Id, upstream.CancelRequest{RequestID: h.req.RequestId, Attempt: h.req.Attempt})
	m.pool.Release(&pb.ReleaseRequest{HoldId: id, Outcome: outcome, OutputTokens: 100, TpotUs: 20000}, m.now)
	delete(m.holds, id)
}

// takeOver replaces the scheduler. Connected entries restate their holds and
// resubmit their queued requests; some entries disconnect at the same time.
func (m *poolMachine) takeOver(t *rapid.T) {
	m.token++
	m.pool = NewPool(testPool, Params{UrgentReserve: 0.2}, policy.Default{}, m.token, m.now, 1)
	m.cancels = nil
	m.pastAnnouncements = nil
	m.pool.SetDrains(NewDrainSet(m.drains()), m.now)
	if rapid.Bool().Draw(t, "announced first") {
		m.reannounce(t)
	}
	var resubmitted []*pb.SubmitRequest
	for _, k := range m.tickets {
		if k.open {
			k.open = false
			k.responses++
			resubmitted = append(resubmitted, k.req)
		}
	}
	for _, req := range resubmitted {
		m.queue(t, req)
	}
	// Entries restate after the first placement.
	m.run(t, Placement)
	lostEntry := rapid.SampledFrom(append(slices.Clone(simEntries), "")).Draw(t, "lost entry")
	for _, id := range simEntries {
		if id == lostEntry || m.disconnected[id] {
			m.dropEntry(id)
			continue
		}
		m.restate(t, id)
	}
	m.reannounce(t)
}

func (m *poolMachine) drains() []*pb.Drain {
	if m.drained == "" {
		return nil
	}
	return []*pb.Drain{{UpstreamId: m.drained}}
}

func (m *poolMachine) reannounce(t *rapid.T) {
	for _, e := range m.engines {
		e.delivered = nil
		m.announce(t, e, 0)
	}
}

// dropEntry drops an entry's holds without a report; their work continues.
func (m *poolMachine) dropEntry(id string) {
	for holdID, h := range m.holds {
		if h.req.EntryId == id {
			delete(m.holds, holdID)
		}
	}
}

func (m *poolMachine) restate(t *rapid.T, entry string) {
	r := &pb.RestateRequest{EntryId: entry, Pool: testPool, FencingToken: m.token}
	for id, h := range m.holds {
		if h.req.EntryId != entry {
			continue
		}
		// The entry has seen its connections to an engine that restarted fail.
		if h.grant.Decode.Generation != m.engine(h.grant.Decode.Id).state.Generation {
			m.release(id, h, pb.ReleaseRequest_DECODE_FAILED)
			continue
		}
		r.Holds = append(r.Holds, &pb.Hold{
			HoldId: id, RequestId: h.req.RequestId, Attempt: h.req.Attempt, PrefillId: h.grant.Prefill.Id, DecodeId: h.grant.Decode.Id,
			Pieces: h.grant.Pieces, RequestClass: h.req.RequestClass, Stage: h.stage, PromptTokens: h.req.PromptTokens, MaxOutputTokens: h.req.MaxOutputTokens, Model: "m",
		})
	}
	m.perform(t, m.pool.Restate(r, m.now))
}

// check compares the counters of the engines with the sums over the holds.
func (m *poolMachine) check(t *rapid.T) {
	type sums struct{ held, promised, batch, backlog, prefills int }
	want := map[*upstreamRecord]*sums{}
	of := func(x *upstreamRecord) *sums {
		if want[x] == nil {
			want[x] = &sums{}
		}
		return want[x]
	}
	for _, o := range m.pool.upstreams.byID {
		of(o)
	}
	for _, h := range m.pool.holds.byID {
		d, p := of(h.decode), of(h.prefill)
		if h.promised {
			d.promised += int(h.pieces)
		} else {
			d.held += int(h.pieces)
			d.batch++
		}
		if h.prefillReserved {
			p.backlog += int(h.prefillTokens)
			p.prefills++
		}
	}
	for o, s := range want {
		v := &o.view
		if o.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			if v.BacklogTokens != s.backlog || v.Batch != s.prefills {
				t.Fatalf("%s: backlog %d, batch %d, sums of the holds %+v", v.ID, v.BacklogTokens, v.Batch, *s)
			}
			continue
		}
		if v.HeldPieces != s.held || v.PromisedPieces != s.promised || v.Batch != s.batch {
			t.Fatalf("%s: held %d, promised %d, batch %d, sums of the holds %+v", v.ID, v.HeldPieces, v.PromisedPieces, v.Batch, *s)
		}
		if v.HeldPieces > v.TotalPieces && !o.placeholder {
			t.Fatalf("%s: held %d of %d pieces", v.ID, v.HeldPieces, v.TotalPieces)
		}
	}
	for _, k := range m.tickets {
		if k.open == (k.responses > 0) || k.open != (m.pool.queue.byTicket[k.id] != nil) {
			t.Fatalf("ticket %d: open %v, results %d", k.id, k.open, k.responses)
		}
	}
}

// runUntilEmpty disconnects every entry, lets the engines confirm every
// cancellation and checks that nothing remains.
func (m *poolMachine) runUntilEmpty(t *rapid.T) {
	for _, id := range simEntries {
		m.pool.EntryDisconnected(id, m.now)
	}
	for i := range 150 {
		if n := len(m.pool.holds.byID); i == 10 && n != 0 {
			t.Fatalf("%d holds of disconnected entries are left after 10 s", n)
		}
		m.now += time.Second
		for _, e := range m.engines {
			m.announce(t, e, 0)
		}
		m.run(t, Expiry)
		m.run(t, Orphans)
		m.confirmCancels()
	}
	m.check(t)
	if n := len(m.pool.holds.byID) + len(m.pool.queue.byTicket) + len(m.pool.holds.entries); n != 0 {
		t.Fatalf("%d holds, requests or entries are left", n)
	}
	for _, e := range m.engines {
		v := m.pool.upstreams.byID[e.state.Id].view
		if v.LinkBytes > 1 || v.EarmarkedPieces != 0 || e.used() != 0 {
			t.Fatalf("%s: link bytes %f, earmarked %d, used %d are left", v.ID, v.LinkBytes, v.EarmarkedPieces, e.used())
		}
	}
}

func (m *poolMachine) confirmCancels() {
	for _, c := range m.cancels {
		m.cancelAt(c.Engine.Id, c.Work)
		m.pool.CancelDone(c.HoldID, c.Role, m.now)
	}
	m.cancels = nil
}

// Guards against over-granted memory, leaked holds and counters, requests with
// no result or with two, drafts granted before urgent requests, work for
// upstreams that must get none, and memory in use that a new scheduler grants
// again.
func TestAnyInterleavingKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolMachine()
		pick := func() *simEngine { return rapid.SampledFrom(m.engines).Draw(t, "engine") }
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"submit 2": m.submit,
			"progress": m.progress, "progress 2": m.progress,
			"place":   func(t *rapid.T) { m.run(t, Placement) },
			"place 2": func(t *rapid.T) { m.run(t, Placement) },
			"controller": func(t *rapid.T) {
				m.run(t, rapid.SampledFrom([]Controller{Expiry, Orphans, Aging}).Draw(t, "controller"))
			},
			"forecast": func(t *rapid.T) { m.run(t, Forecast) },
			"release": func(t *rapid.T) {
				id, h := m.anyHold(t)
				m.release(id, h, pb.ReleaseRequest_Outcome(rapid.IntRange(1, 6).Draw(t, "outcome")))
			},
			"withdraw": func(t *rapid.T) {
				k := &simTicket{}
				if len(m.tickets) > 0 {
					k = rapid.SampledFrom(m.tickets).Draw(t, "ticket")
				}
				if m.pool.Withdraw(k.id) {
					k.open = false
					k.responses++
				}
			},
			"session end": func(t *rapid.T) {
				id := rapid.SampledFrom(simEntries).Draw(t, "entry")
				m.disconnected[id] = true
				m.pool.EntryDisconnected(id, m.now)
			},
			"session back": func(t *rapid.T) {
				id := rapid.SampledFrom(simEntries).Draw(t, "entry")
				m.disconnected[id] = false
				m.restate(t, id)
			},
			"announce": func(t *rapid.T) { m.announce(t, pick(), rapid.IntRange(0, 3).Draw(t, "lag")) },
			"announce all": func(t *rapid.T) {
				for _, e := range m.engines {
					m.announce(t, e, 0)
				}
			},
			"late announcement": func(t *rapid.T) {
				if len(m.pastAnnouncements) > 0 {
					s := proto.CloneOf(rapid.SampledFrom(m.pastAnnouncements).Draw(t, "old"))
					m.deliver(t, m.engine(s.Id), s)
				}
			},
			"leave": func(t *rapid.T) { pick().state.Leaving = true },
			"restart": func(t *rapid.T) {
				e := pick()
				e.state.Generation++
				e.state.Leaving = false
				clear(e.work)
			},
			"drain": func(t *rapid.T) {
				m.drained = rapid.SampledFrom([]string{"", "", "d1", "d2", "p1"}).Draw(t, "drained")
				m.pool.SetDrains(NewDrainSet(m.drains()), m.now)
			},
			"cancel answered": func(t *rapid.T) { m.confirmCancels() },
			"cancel failed":   func(t *rapid.T) { m.cancels = nil },
			"take over":       m.takeOver,
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.SampledFrom([]int{1, 20, 100, 300, 600, 2100, 11000}).Draw(t, "ms")) * time.Millisecond
			},
			"": m.check,
		})
		m.runUntilEmpty(t)
	})
}
