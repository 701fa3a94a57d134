package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// defaultBatch and defaultPieceTokens stand in for figures that an engine
	// does not announce.
	defaultBatch       = 20
	defaultPieceTokens = 1000
	// unknownPieces stands in for a memory size that is not announced.
	unknownPieces = 1 << 30
	// reportLag is the longest time by which an engine's accounting follows a
	// release, so that memory released just before a report is not taken for
	// memory of unknown work.
	reportLag = 500 * time.Millisecond
	// heldLogTime is how long changes of held memory are kept to be compared
	// with late load reports.
	heldLogTime = 4 * time.Second
	// heldLogStep is the resolution of that log.
	heldLogStep = 10 * time.Millisecond
	// maxEjectedPart is the largest part of a role's engines that may be out
	// of service for slowness: beyond it the load, not the engines, is at fault.
	maxEjectedPart = 3
)

// DrainSet lists upstreams and places that receive no new work.
type DrainSet struct {
	Upstreams map[string]bool
	Places    map[string]bool
}

// NewDrainSet converts the drains of a configuration.
func NewDrainSet(drains []*pb.Drain) DrainSet {
	s := DrainSet{Upstreams: map[string]bool{}, Places: map[string]bool{}}
	for _, d := range drains {
		if d.UpstreamId != "" {
			s.Upstreams[d.UpstreamId] = true
		}
		if d.Place != "" {
			s.Places[d.Place] = true
		}
	}
	return s
}

func (s DrainSet) has(u *pb.UpstreamState) bool {
	return s.Upstreams[u.Id] || s.Places[u.Place]
}

// heldSample is the memory held on an engine from a time on.
type heldSample struct {
	at     time.Duration
	pieces int
	batch  int
}

// heldLog records changes of held memory. It is guarded by the holds lock.
type heldLog []heldSample

// add records a change. Changes within one step are merged to their maximum.
func (l *heldLog) add(at time.Duration, pieces, batch int) {
	if n := len(*l); n > 0 && at-(*l)[n-1].at < heldLogStep {
		last := &(*l)[n-1]
		last.pieces = max(last.pieces, pieces)
		last.batch = max(last.batch, batch)
		return
	}
	*l = append(*l, heldSample{at: at, pieces: pieces, batch: batch})
}

// most returns the largest figures in force between two times.
func (l heldLog) most(from, to time.Duration) (pieces, batch int) {
	for i, s := range l {
		ended := i+1 < len(l) && l[i+1].at <= from
		if s.at > to || ended {
			continue
		}
		pieces = max(pieces, s.pieces)
		batch = max(batch, s.batch)
	}
	return pieces, batch
}

// prune forgets samples that ended before a time.
func (l *heldLog) prune(before time.Duration) {
	n := 0
	for n+1 < len(*l) && (*l)[n+1].at <= before {
		n++
	}
	*l = slices.Delete(*l, 0, n)
}

// raise adds work that had been running before it was restated.
func (l *heldLog) raise(now time.Duration, pieces, batch int) {
	if len(*l) == 0 {
		*l = append(*l, heldSample{at: now - heldLogTime})
	}
	for i := range *l {
		(*l)[i].pieces += pieces
		(*l)[i].batch += batch
	}
}

// isEngine reports whether the member has an engine role.
func (m *member) isEngine() bool {
	return m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL || m.state.Role == pb.EngineRole_ENGINE_ROLE_DECODE
}

// announced takes over an announcement of the same start of the upstream.
func (m *member) announced(s *pb.UpstreamState, now time.Duration) {
	m.state = s
	m.seen = now
	v := &m.view
	v.ID = s.Id
	v.MaxBatch = int(s.MaxBatch)
	if v.MaxBatch == 0 {
		v.MaxBatch = defaultBatch
	}
	v.TotalPieces = int(s.TotalPieces)
	if v.TotalPieces == 0 && s.Role == pb.EngineRole_ENGINE_ROLE_DECODE {
		v.TotalPieces = unknownPieces
	}
	v.KVPerToken = float64(s.KvBytesPerToken)
	v.NominalDecodeSeconds = float64(s.DecodeUsPerToken) / 1e6
	v.Reported = policy.Report{UsedPieces: int(s.UsedPieces), Running: int(s.Running), Queued: int(s.Queued)}
	m.correctReport(now)
	m.publishSpeed()
}

// correctReport finds the memory in use that no hold accounts for. The report
// is late, so it is compared with what was held when it was made.
func (m *member) correctReport(now time.Duration) {
	m.held.prune(now - heldLogTime)
	if m.state.Role != pb.EngineRole_ENGINE_ROLE_DECODE {
		m.view.ForeignPieces = 0
		m.view.ForeignBatch = 0
		return
	}
	at := now - time.Duration(m.state.LoadAgeMs)*time.Millisecond
	pieces, batch := m.held.most(at-reportLag, at)
	m.view.ForeignPieces = max(0, m.view.Reported.UsedPieces-pieces)
	m.view.ForeignBatch = max(0, m.view.Reported.Running-batch)
}

func (m *member) publishSpeed() {
	m.view.PrefillRate = m.speed.PrefillRate
	m.view.DecodeSeconds = m.speed.DecodeSeconds
}

// healthAt returns the health of a member.
func (t *upstreamTable) healthAt(m *member, p *Params, now time.Duration) pb.UpstreamStatus_Health {
	switch {
	case m.state.Leaving:
		return pb.UpstreamStatus_LEAVING
	case now-m.seen >= p.SilentAfter:
		return pb.UpstreamStatus_SILENT
	case t.drains.has(m.state):
		return pb.UpstreamStatus_DRAINED
	case m.eject.Ejected(now):
		return pb.UpstreamStatus_EJECTED
	}
	return pb.UpstreamStatus_LIVE
}

// refresh recomputes one member's health and whether it may receive new work.
// It reports whether the health changed.
func (t *upstreamTable) refresh(m *member, p *Params, now time.Duration) bool {
	health := t.healthAt(m, p, now)
	m.view.Usable = health == pb.UpstreamStatus_LIVE && !m.changing && now >= m.fullUntil
	m.view.Share = m.eject.Share(now)
	t.nextChange = min(t.nextChange, m.seen+p.SilentAfter)
	if health == m.health {
		return false
	}
	m.health = health
	t.revision++
	return true
}

// refreshAll recomputes every member when one may have become silent.
func (t *upstreamTable) refreshAll(p *Params, now time.Duration, force bool) {
	if !force && now < t.nextChange {
		return
	}
	t.nextChange = now + p.SilentAfter
	for _, m := range t.byID {
		if now-m.seen < p.SilentAfter {
			t.refresh(m, p, now)
			continue
		}
		next := t.nextChange
		t.refresh(m, p, now)
		// A member that is silent already changes only by announcing itself.
		t.nextChange = next
	}
}

// regroup rebuilds the candidate lists after a member came, left or changed.
func (t *upstreamTable) regroup() {
	t.models = map[string]*candidates{}
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := t.byID[id]
		if !m.isEngine() {
			continue
		}
		for _, model := range m.state.Models {
			t.group(model).add(m)
		}
	}
	t.revision++
}

func (t *upstreamTable) group(model string) *candidates {
	c := t.models[model]
	if c == nil {
		c = &candidates{}
		t.models[model] = c
	}
	return c
}

func (c *candidates) add(m *member) {
	if m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
		c.prefill = append(c.prefill, &m.view)
		return
	}
	c.decode = append(c.decode, &m.view)
	c.largest = max(c.largest, m.view.TotalPieces)
	size := int(m.state.PieceTokens)
	if size == 0 {
		size = defaultPieceTokens
	}
	if c.pieceTokens == 0 || size < c.pieceTokens {
		c.pieceTokens = size
	}
}

// live reports whether the group has a usable engine of each role that it
// needs.
func (c *candidates) live(direct bool) bool {
	usable := func(e *policy.Engine) bool { return e.Usable }
	return (direct || slices.ContainsFunc(c.prefill, usable)) && slices.ContainsFunc(c.decode, usable)
}

// freePieces is the memory that requests could take now.
func (c *candidates) freePieces() int {
	free := 0
	for _, e := range c.decode {
		if e.Usable && e.FreeSlots(policy.Draft, 0) > 0 {
			free += max(0, e.FreePieces(policy.Draft, 0))
		}
	}
	return free
}

// minReservable is the number of prefill engines from which some are reserved.
const minReservable = 3

// reservedPrefill returns the number of prefill engines reserved for urgent
// requests.
func (p *Pool) reservedPrefill(c *candidates) int {
	reserve := p.reserve()
	if !p.params.ReservePrefillEngine || reserve <= 0 || len(c.prefill) < minReservable {
		return 0
	}
	return max(1, int(reserve*float64(len(c.prefill))))
}

// prefillOpen reports whether a prefill engine that is not reserved for another
// class takes more work.
func (c *candidates) prefillOpen(class policy.Class, reserve float64, reserved int) bool {
	if class == policy.Urgent {
		reserved = 0
	}
	for _, e := range c.prefill {
		if e.Usable && reserved > 0 {
			reserved--
			continue
		}
		if policy.AcceptsPrefill(e, class, reserve) {
			return true
		}
	}
	return false
}

// room returns the largest free memory of the group's decode engines, or 0
// when no prefill engine takes more work and they may not read prompts.
func (c *candidates) room(class policy.Class, reserve float64, reservedPrefill int, direct bool) int {
	if !direct && !c.prefillOpen(class, reserve, reservedPrefill) {
		return 0
	}
	most := 0
	for _, e := range c.decode {
		if e.Usable && e.FreeSlots(class, reserve) > 0 {
			most = max(most, e.FreePieces(class, reserve))
		}
	}
	return most
}

// sameShape reports whether two announcements put a member into the same
// candidate lists.
func sameShape(a, b *pb.UpstreamState) bool {
	return a.Role == b.Role && a.TotalPieces == b.TotalPieces && a.PieceTokens == b.PieceTokens &&
		slices.Equal(a.Models, b.Models)
}

// Announce takes over announcements of upstreams. The pool keeps the messages.
func (p *Pool) Announce(states []*pb.UpstreamState, now time.Duration) []Action {
	var out []Action
	defer p.lock(placementTables)()
	regroup := false
	for _, s := range states {
		before := p.upstreams.byID[s.Id]
		m, changed := p.upstreams.announce(s, &p.params, now)
		if m == nil {
			continue
		}
		if before != nil && before != m {
			p.replaced(before)
		}
		regroup = regroup || changed
		if p.params.OnDemandMemory && m.view.FitsMemory == nil {
			m.view.FitsMemory = func(r *policy.Request) bool { return p.fitsGrowing(m, r, p.placingAt) }
		}
		p.prefix.apply(m, s.CacheEvents)
		s.CacheEvents = nil
		m.view.LinkRate = float64(s.LinkBytesPerS)
		p.activatePromises(m, now)
		if changed && p.listsOnArrival(m, now) {
			out = append(out, ListRunning{Engine: proto.CloneOf(s)})
		}
	}
	if regroup {
		p.upstreams.regroup()
	}
	p.unblock()
	return out
}

// replaced forgets what is known of an earlier start of an upstream.
func (p *Pool) replaced(m *member) {
	p.prefix.forget(m)
	if p.queue.earmarked == m {
		p.clearEarmark()
	}
}

// announce applies one announcement. It returns nil for an outdated one, and
// whether the candidate lists must be rebuilt.
func (t *upstreamTable) announce(s *pb.UpstreamState, p *Params, now time.Duration) (*member, bool) {
	m := t.byID[s.Id]
	if m != nil && s.Generation < m.state.Generation {
		return nil, false
	}
	fresh := m == nil || (s.Generation > m.state.Generation && !m.placeholder)
	changed := fresh || m.placeholder || !sameShape(m.state, s)
	switch {
	case fresh:
		m = newMember(s)
		t.byID[s.Id] = m
	case m.placeholder:
		m.placeholder = false
		m.speed = announcedSpeed(s)
	case m.state.Leaving:
		// Announcements come through several entries and may be overtaken. An
		// upstream that was leaving stays so until it starts again.
		s.Leaving = true
	}
	if m.changing && m.state != nil && m.state.Role != s.Role {
		m.changing = false
	}
	m.announced(s, now)
	t.refresh(m, p, now)
	return m, changed
}

func newMember(s *pb.UpstreamState) *member {
	m := &member{speed: announcedSpeed(s)}
	m.view.Share = 1
	return m
}

func announcedSpeed(s *pb.UpstreamState) policy.Speed {
	return policy.NewSpeed(float64(s.PrefillTokensPerS), float64(s.DecodeUsPerToken)/1e6)
}

// Silence takes the notice that one start of an upstream has not been heard for
// too long. It receives nothing until it is announced again.
func (p *Pool) Silence(id string, generation uint64, now time.Duration) {
	defer p.lock(placementTables)()
	m := p.upstreams.byID[id]
	if m == nil || m.state.Generation != generation {
		return
	}
	m.seen = min(m.seen, now-p.params.SilentAfter)
	p.upstreams.refresh(m, &p.params, now)
	p.unblock()
}

// SetDrains replaces the drained upstreams and places.
func (p *Pool) SetDrains(s DrainSet, now time.Duration) {
	defer p.lock(upstreamsTable | queueTableBit)()
	p.upstreams.drains = s
	p.upstreams.refreshAll(&p.params, now, true)
	p.unblock()
}

// speedLearned publishes a learned speed and ejects an engine that became slow.
func (p *Pool) speedLearned(m *member, now time.Duration) {
	m.publishSpeed()
	if m.eject.TooSlow(&m.speed) {
		p.eject(m, now)
	}
}

// eject takes a member out of service unless too many of its role are.
func (p *Pool) eject(m *member, now time.Duration) {
	total, out := 0, 1
	for _, o := range p.upstreams.byID {
		if o.state.Role != m.state.Role {
			continue
		}
		total++
		if o != m && o.eject.Ejected(now) {
			out++
		}
	}
	if out*maxEjectedPart > total {
		return
	}
	m.eject.Eject(now)
	m.speed.Reset()
	m.publishSpeed()
	p.upstreams.refresh(m, &p.params, now)
}
