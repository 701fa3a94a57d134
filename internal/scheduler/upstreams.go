package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// defaultMaxBatch and defaultPieceTokens replace figures that an engine
	// does not announce.
	defaultMaxBatch    = 20
	defaultPieceTokens = 1000
	// unlimitedPieces replaces a memory size that is not announced.
	unlimitedPieces = 1 << 30
	// maxReportLag bounds the delay after which an engine's load report
	// reflects a release. Memory released within it before a report is not
	// counted as foreign.
	maxReportLag = 500 * time.Millisecond
	// heldLogRetention is how long changes of held memory are kept for
	// comparison with late load reports.
	heldLogRetention = 4 * time.Second
	// heldLogResolution is the interval within which changes are merged.
	heldLogResolution = 10 * time.Millisecond
	// ejectedDivisor bounds the ejected engines of a role to one in
	// ejectedDivisor. If more are slow, the load is the cause rather than the
	// engines.
	ejectedDivisor = 3
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

func (s DrainSet) covers(u *pb.UpstreamState) bool {
	return s.Upstreams[u.Id] || s.Places[u.Place]
}

// heldSample is the memory and the batch held on an engine from a time on.
type heldSample struct {
	at     time.Duration
	pieces int
	batch  int
}

// heldLog records changes of held memory. It is guarded by the holds lock.
type heldLog []heldSample

// add records a change. Changes within heldLogResolution are merged to their
// maximum.
func (l *heldLog) add(at time.Duration, pieces, batch int) {
	if n := len(*l); n > 0 && at-(*l)[n-1].at < heldLogResolution {
		last := &(*l)[n-1]
		last.pieces = max(last.pieces, pieces)
		last.batch = max(last.batch, batch)
		return
	}
	*l = append(*l, heldSample{at: at, pieces: pieces, batch: batch})
}

// maxBetween returns the largest values in effect between two times.
func (l heldLog) maxBetween(from, to time.Duration) (pieces, batch int) {
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

// prune removes samples that were superseded before a time.
func (l *heldLog) prune(before time.Duration) {
	n := 0
	for n+1 < len(*l) && (*l)[n+1].at <= before {
		n++
	}
	*l = slices.Delete(*l, 0, n)
}

// addRestored adds work to the whole log, because it had been running before
// its hold was restored.
func (l *heldLog) addRestored(now time.Duration, pieces, batch int) {
	if len(*l) == 0 {
		*l = append(*l, heldSample{at: now - heldLogRetention})
	}
	for i := range *l {
		(*l)[i].pieces += pieces
		(*l)[i].batch += batch
	}
}

// isEngine reports whether the upstream has an engine role.
func (m *upstreamRecord) isEngine() bool {
	return m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL || m.state.Role == pb.EngineRole_ENGINE_ROLE_DECODE
}

// prefills reports whether the upstream has the role of a prefill engine. Reports of its calls
// may come after a change of the role.
func (m *upstreamRecord) prefills() bool {
	return m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL
}

// applyAnnouncement updates the record from an announcement of the same start
// of the upstream.
func (m *upstreamRecord) applyAnnouncement(s *pb.UpstreamState, now time.Duration) {
	m.state = s
	m.lastSeen = now
	v := &m.view
	v.ID = s.Id
	v.MaxBatch = int(s.MaxBatch)
	if v.MaxBatch == 0 {
		v.MaxBatch = defaultMaxBatch
	}
	v.TotalPieces = int(s.TotalPieces)
	if v.TotalPieces == 0 && s.Role == pb.EngineRole_ENGINE_ROLE_DECODE {
		v.TotalPieces = unlimitedPieces
	}
	v.KVBytesPerToken = float64(s.KvBytesPerToken)
	v.Reported = policy.Report{UsedPieces: int(s.UsedPieces), Running: int(s.Running), Queued: int(s.Queued)}
	m.updateForeign(now)
	m.publishSpeed()
}

// updateForeign computes the memory and slots in use that no hold accounts for.
// The report is late, so it is compared with what was held when it was made.
func (m *upstreamRecord) updateForeign(now time.Duration) {
	m.held.prune(now - heldLogRetention)
	if m.state.Role != pb.EngineRole_ENGINE_ROLE_DECODE {
		m.view.ForeignPieces = 0
		m.view.ForeignBatch = 0
		return
	}
	at := now - time.Duration(m.state.LoadAgeMs)*time.Millisecond
	pieces, batch := m.held.maxBetween(at-maxReportLag, at)
	m.view.ForeignPieces = max(0, m.view.Reported.UsedPieces-pieces)
	m.view.ForeignBatch = max(0, m.view.Reported.Running-batch)
}

func (m *upstreamRecord) publishSpeed() {
	m.view.PrefillRate = m.speed.PrefillRate
	m.view.DecodeSeconds = m.speed.DecodeSeconds
}

// publishNominal publishes the time per token that counts as normal for the
// engine: the announced one or else the pool's typical one.
func (m *upstreamRecord) publishNominal(typical policy.Rates) {
	m.view.NominalDecodeSeconds = typical.DecodeSeconds
	if announced := announcedRates(m.state).DecodeSeconds; announced > 0 {
		m.view.NominalDecodeSeconds = announced
	}
}

func (t *upstreamTable) healthAt(m *upstreamRecord, p *Params, now time.Duration) pb.UpstreamStatus_Health {
	switch {
	case m.state.Leaving || m.saysLeaving:
		return pb.UpstreamStatus_LEAVING
	case now-m.lastSeen >= p.SilentAfter:
		return pb.UpstreamStatus_SILENT
	case t.drains.covers(m.state):
		return pb.UpstreamStatus_DRAINED
	case m.eject.Ejected(now):
		return pb.UpstreamStatus_EJECTED
	}
	return pb.UpstreamStatus_LIVE
}

// refresh recomputes the health of one upstream and whether it may receive new
// work. It reports whether the health changed.
func (t *upstreamTable) refresh(m *upstreamRecord, p *Params, now time.Duration) bool {
	health := t.healthAt(m, p, now)
	m.view.Usable = health == pb.UpstreamStatus_LIVE && !m.changingRole && now >= m.backoffUntil && m.lostHandles.Usable(now) && m.rejections.Usable(now)
	m.view.Share = m.eject.Share(now)
	t.nextSilentAt = min(t.nextSilentAt, m.lastSeen+p.SilentAfter)
	if health == m.health {
		return false
	}
	m.health = health
	t.revision++
	return true
}

// refreshAll refreshes every upstream when force is set or one may have become
// silent.
func (t *upstreamTable) refreshAll(p *Params, now time.Duration, force bool) {
	if !force && now < t.nextSilentAt {
		return
	}
	t.nextSilentAt = now + p.SilentAfter
	for _, m := range t.byID {
		if now-m.lastSeen < p.SilentAfter {
			t.refresh(m, p, now)
			continue
		}
		// A silent upstream changes only by announcing itself, so it does not
		// bring nextSilentAt forward.
		next := t.nextSilentAt
		t.refresh(m, p, now)
		t.nextSilentAt = next
	}
}

// rebuildCandidates rebuilds the candidate lists after an upstream was added,
// removed or changed.
func (t *upstreamTable) rebuildCandidates() {
	t.byModel = map[string]*candidates{}
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
			c := t.candidatesFor(model)
			c.add(m)
			c.addWeights(weightsOf(m.state, model))
			c.weightsDropped = c.weightsDropped || m.state.WeightsDropped
		}
	}
	t.revision++
}

func (t *upstreamTable) candidatesFor(model string) *candidates {
	c := t.byModel[model]
	if c == nil {
		c = &candidates{}
		t.byModel[model] = c
	}
	return c
}

func (c *candidates) add(m *upstreamRecord) {
	if m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
		c.prefill = append(c.prefill, &m.view)
		return
	}
	c.decode = append(c.decode, &m.view)
	c.maxPieces = max(c.maxPieces, m.view.TotalPieces)
	size := int(m.state.PieceTokens)
	if size == 0 {
		size = defaultPieceTokens
	}
	if c.pieceTokens == 0 || size < c.pieceTokens {
		c.pieceTokens = size
	}
}

// hasUsable reports whether there is a usable engine of each role that is
// needed.
func (c *candidates) hasUsable(localPrefill bool) bool {
	usable := func(e *policy.Engine) bool { return e.Usable }
	return (localPrefill || slices.ContainsFunc(c.prefill, usable)) && slices.ContainsFunc(c.decode, usable)
}

// freePieces returns the memory that drafts could take now on the engines that match, in
// pieces.
func (c *candidates) freePieces(match func(*policy.Engine) bool) int {
	free := 0
	for _, e := range c.decode {
		if e.Usable && match(e) && e.FreeSlots(policy.Draft, 0) > 0 {
			free += max(0, e.FreePieces(policy.Draft, 0))
		}
	}
	return free
}

// usablePieces returns the memory of the usable decode engines that match, in pieces; of
// all if match is nil.
func (c *candidates) usablePieces(match func(*policy.Engine) bool) int {
	total := 0
	for _, e := range c.decode {
		if e.Usable && (match == nil || match(e)) && e.TotalPieces < unlimitedPieces {
			total += e.TotalPieces
		}
	}
	return total
}

// minReservableEngines is the number of prefill engines from which on some are
// reserved for urgent requests.
const minReservableEngines = 3

// reservedPrefill returns the number of prefill engines reserved for urgent
// requests. They also take drafts whose prefill is short; see
// policy.Query.ReservedPrefill.
func (p *Pool) reservedPrefill(c *candidates) int {
	reserve := p.urgentReserve()
	if !p.params.ReservePrefillEngine || reserve <= 0 || len(c.prefill) < minReservableEngines {
		return 0
	}
	return max(1, int(reserve*float64(len(c.prefill))))
}

// acceptsPrefill reports whether a prefill engine that is not reserved for
// another class may be given more work.
func (c *candidates) acceptsPrefill(class policy.Class, reserve float64, reserved int) bool {
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

// maxFreePieces returns the largest free memory of a decode engine. It returns
// 0 when no prefill engine accepts work and local prefill is not allowed.
func (c *candidates) maxFreePieces(class policy.Class, reserve float64, reservedPrefill int, localPrefill bool) int {
	if !localPrefill && !c.acceptsPrefill(class, reserve, reservedPrefill) {
		return 0
	}
	largest := 0
	for _, e := range c.decode {
		if e.Usable && e.FreeSlots(class, reserve) > 0 {
			largest = max(largest, e.FreePieces(class, reserve))
		}
	}
	return largest
}

// sameCandidateLists reports whether two announcements put an upstream into the
// same candidate lists.
func sameCandidateLists(a, b *pb.UpstreamState) bool {
	return a.Role == b.Role && a.TotalPieces == b.TotalPieces && a.PieceTokens == b.PieceTokens &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Weights, b.Weights) && a.WeightsDropped == b.WeightsDropped
}

// Announce applies announcements of upstreams. The pool keeps the messages.
func (p *Pool) Announce(states []*pb.UpstreamState, now time.Duration) []Action {
	var out []Action
	defer p.lock(placementBits)()
	rebuild := false
	for _, s := range states {
		before := p.upstreams.byID[s.Id]
		m, changed := p.upstreams.announce(s, &p.params, now)
		if m == nil {
			continue
		}
		if before != nil && before != m {
			p.dropReferences(before)
		}
		rebuild = rebuild || changed
		if p.params.OnDemandMemory && m.view.FitsMemory == nil {
			m.view.FitsMemory = func(r *policy.Request) bool { return p.fitsPeakMemory(m, r, p.placementTime) }
		}
		p.prefix.applyEvents(m, s.CacheEvents)
		s.CacheEvents = nil
		m.view.LinkRate = float64(s.LinkBytesPerS)
		p.activatePromised(m, now)
		if changed && p.mustListOnAnnounce(m, now) {
			out = append(out, ListRunning{Engine: proto.CloneOf(s)})
		}
	}
	if rebuild {
		p.upstreams.rebuildCandidates()
	}
	p.unblockQueue()
	return out
}

// dropReferences removes a record that was replaced or forgotten from the
// prefix index and the earmark.
func (p *Pool) dropReferences(m *upstreamRecord) {
	p.prefix.forget(m)
	if p.queue.earmarkedEngine == m {
		p.clearEarmark()
	}
}

// announce applies one announcement. It returns nil for an outdated one, and
// whether the candidate lists must be rebuilt.
func (t *upstreamTable) announce(s *pb.UpstreamState, p *Params, now time.Duration) (*upstreamRecord, bool) {
	m := t.byID[s.Id]
	if m != nil && s.Generation < m.state.Generation {
		return nil, false
	}
	newStart := m == nil || !m.placeholder && (s.Generation > m.state.Generation || m.succeededBy(s, p, now))
	changed := newStart || m.placeholder || !sameCandidateLists(m.state, s)
	saidLeaving := s.Leaving
	switch {
	case newStart:
		m = t.newUpstreamRecord(s)
		t.byID[s.Id] = m
	case m.placeholder:
		m.placeholder = false
		m.speed = policy.NewSpeed(announcedRates(s), t.typical)
	case m.state.Leaving && !s.Leaving:
		// Announcements arrive through several entries and may be reordered. An
		// upstream that is leaving stays so until it starts again.
		s.Leaving = true
	}
	if saidLeaving {
		m.leavingAt = now
	}
	if m.state != nil && (m.state.Role != s.Role || m.state.Generation != s.Generation) {
		// They tell nothing about another role or process.
		m.lostHandles, m.rejections = policy.LostHandles{}, policy.PrefillRejections{}
	}
	if m.changingRole && m.targetRole == s.Role {
		m.changingRole = false
		t.ignoredOrders = 0
	}
	m.applyAnnouncement(s, now)
	m.publishNominal(t.typical)
	t.refresh(m, p, now)
	return m, changed
}

// succeededBy reports whether an announcement is of a process that has followed one that was
// leaving, where neither tells its start: the last that said so is too old to have been overtaken.
func (m *upstreamRecord) succeededBy(s *pb.UpstreamState, p *Params, now time.Duration) bool {
	return s.Generation == 0 && m.state.Generation == 0 && m.state.Leaving && !s.Leaving && now-m.leavingAt > p.SilentAfter
}

func (t *upstreamTable) newUpstreamRecord(s *pb.UpstreamState) *upstreamRecord {
	m := &upstreamRecord{speed: policy.NewSpeed(announcedRates(s), t.typical)}
	m.view.Share = 1
	return m
}

func announcedRates(s *pb.UpstreamState) policy.Rates {
	return policy.Rates{PrefillRate: float64(s.PrefillTokensPerS), DecodeSeconds: float64(s.DecodeUsPerToken) / 1e6}
}

// updateTypicalRates recomputes the typical rates of the pool's engines and
// assumes them for the engines whose own rates are neither announced nor
// learned. Decisions soon after a start or a change of leader would otherwise
// rest on figures that may be wrong by an order of magnitude: with an assumed
// time per token of a sixth of the actual one, the forecast of growing memory
// left half of a pool's memory idle.
func (t *upstreamTable) updateTypicalRates(now time.Duration) {
	if now < t.typicalDueAt {
		return
	}
	t.typicalDueAt = now + typicalInterval
	var prefill, decode []float64
	for _, m := range t.byID {
		r := m.speed.Known()
		if r.PrefillRate > 0 {
			prefill = append(prefill, r.PrefillRate)
		}
		if r.DecodeSeconds > 0 {
			decode = append(decode, r.DecodeSeconds)
		}
	}
	if len(prefill) > 0 {
		t.typical.PrefillRate = median(prefill)
	}
	if len(decode) > 0 {
		t.typical.DecodeSeconds = median(decode)
	}
	for _, m := range t.byID {
		m.speed.Assume(t.typical)
		m.publishSpeed()
		m.publishNominal(t.typical)
	}
}

// maxBatch returns the largest batch of an engine.
func (t *upstreamTable) maxBatch() int {
	largest := 0
	for _, m := range t.byID {
		if m.isEngine() {
			largest = max(largest, m.view.MaxBatch)
		}
	}
	return largest
}

// typicalInterval is the time between two computations of the typical rates.
const typicalInterval = 250 * time.Millisecond

// median sorts values, which must not be empty, and returns their median.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// MarkSilent marks one start of an upstream as silent before SilentAfter has
// passed. It receives no work until it is announced again.
func (p *Pool) MarkSilent(id string, generation uint64, now time.Duration) {
	defer p.lock(placementBits)()
	m := p.upstreams.byID[id]
	if m == nil || m.state.Generation != generation {
		return
	}
	m.lastSeen = min(m.lastSeen, now-p.params.SilentAfter)
	p.upstreams.refresh(m, &p.params, now)
	p.unblockQueue()
}

// SetDrains replaces the drained upstreams and places.
func (p *Pool) SetDrains(s DrainSet, now time.Duration) {
	defer p.lock(upstreamsBit | queueBit)()
	p.upstreams.drains = s
	p.upstreams.refreshAll(&p.params, now, true)
	p.unblockQueue()
}

// applyLearnedSpeed publishes a learned speed and ejects an engine that has
// become slow.
func (p *Pool) applyLearnedSpeed(m *upstreamRecord, now time.Duration) {
	m.publishSpeed()
	if m.eject.TooSlow(&m.speed) {
		p.eject(m, now)
	}
}

// eject takes an engine out of service for slowness or failures unless too many
// engines of its role are ejected already.
func (p *Pool) eject(m *upstreamRecord, now time.Duration) {
	total, ejected := 0, 1
	for _, o := range p.upstreams.byID {
		if o.state.Role != m.state.Role {
			continue
		}
		total++
		if o != m && o.eject.Ejected(now) {
			ejected++
		}
	}
	if ejected*ejectedDivisor > total {
		return
	}
	m.eject.Eject(now)
	m.speed.Reset()
	m.publishSpeed()
	p.upstreams.refresh(m, &p.params, now)
}
