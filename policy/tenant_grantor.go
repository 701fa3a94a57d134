package policy

import "time"

// UsageReport is what an entry reports to the grantor.
type UsageReport struct {
	Entry string
	// Born is the start of the entry's process, and Sequence the number of the report in
	// it. Applied is the last report whose grants the entry has received.
	Born              int64
	Sequence, Applied uint64
	// Age is how long the process has run, 0 if that is not known.
	Age time.Duration
	// Term is the term of the grantor that knows the entry's recent use, 0 if the report
	// contains it.
	Term uint64
	// Entries is the number of entries that the entry knows of.
	Entries int
	Tenants []TenantUse
}

// TenantUse is the use of a tenant at one entry.
type TenantUse struct {
	Name string
	// Held is what the entry holds; negative if it has used more than it held.
	// ReturnedTotal is what its process has given back in all.
	Held, ReturnedTotal float64
	// PerSecond is the mean use per second, over meanPeriod.
	PerSecond float64
	// Asked is what waiting requests need, AskedFirst what the first of them needs, and
	// Wanted what the entry would hold ahead of demand.
	Asked, AskedFirst, Wanted float64
	// Recent is the use in steps of UsageStep, the latest first.
	Recent []float64
}

// TenantGrant is the answer for one tenant.
type TenantGrant struct {
	Name    string
	Granted float64
	// Standby holds without a grantor.
	Standby StandbyTerms
	// RetryAfter is the time until there is room for the first waiting request that was not
	// covered; 0 if all were.
	RetryAfter time.Duration
	// Undecided means that the grantor does not know all recent use yet. The earlier standby
	// terms decide about what it has not granted.
	Undecided bool
}

// StandbyTerms is what an entry may use without a grantor.
type StandbyTerms struct {
	PerSecond float64
	// Grace is how long after the last contact one request more is admitted.
	Grace time.Duration
}

const (
	// contactTimeout is the time without a report after which the standby rate of an entry
	// is deducted: two intervals and a lost call.
	contactTimeout = 1200 * time.Millisecond
	// shareTimeout is the time without a report after which a share counts as used.
	shareTimeout = 3 * time.Second
	// entryTTL is how long an entry that is not heard from may still run.
	entryTTL = 10 * time.Minute
	// expectedTTL is the time after which a lower number of entries counts.
	expectedTTL = 20 * time.Second
	// warmUp is how long a new grantor leaves it to the earlier standby terms to decide
	// about what it has not granted: an interval of reports and a lost call.
	warmUp = 700 * time.Millisecond
	// maxUseScale limits the estimate of what entries have used that a new grantor has not
	// heard from. A leader has a majority, but few entries may be on its side.
	maxUseScale = 4
	// usageSweepInterval is the time between looks for entries that are not heard from.
	usageSweepInterval = 250 * time.Millisecond
	// returnShare is the part of a cap by which callers that were refused are told to
	// return. The rest is for new requests.
	returnShare = 0.3
	// spareShare is the part of a cap that is free beside the usual load of 1/1.8.
	spareShare = 0.4
	// MaxRetryAfter limits RetryAfter.
	MaxRetryAfter = 30 * time.Second
)

// TenantGrantor divides the caps of tenants among entries. The leader of the core has one
// for its term, so that one daemon counts the use of all entries.
//
// It is made for caps that are a few times the cost of one request, and so cannot be
// divided in advance: entries ask for what a request needs. Grants count as used when they
// are made, except for what entries state that they hold. Level and shares together never
// exceed the depth of the bucket, so the use in any window is at most the rate over the
// window plus the depth.
type TenantGrantor struct {
	Bound UsageBound

	term    uint64
	started time.Duration
	// expected is the number of entries, by their own statements.
	// expectedNext is the highest number since expectedAt, and replaces it in the end.
	expected, expectedNext int
	expectedAt             time.Duration
	sweptAt                time.Duration
	// decayedAt is when the mean use of shares was last reduced.
	decayedAt time.Duration
	limits    map[string]TenantLimit
	tenants   map[string]*grantedTenant
	entries   map[string]*grantedEntry
	// busy are the tenants in use at the last sweep, those with the most use first.
	busy []string
	// successors is the number of known entries whose processes have started within the window
	// before the term or later: they do not state what predecessors have used.
	successors int
	// unheardStandby and unheardLate are the parts of every cap that entries which are not
	// heard from may use, before and after standbyTTL.
	unheardStandby, unheardLate float64
}

// grantedTenant is the use of a tenant over all entries.
type grantedTenant struct {
	limit  TenantLimit
	bucket TokenBucket
	// sustained fills faster, by the burst in each window. It bounds what a tenant at its
	// limit gets by windowLimit.
	sustained TokenBucket
	// shared is what entries hold, perSecond their mean use, and used what was granted of
	// late.
	shared, perSecond float64
	used              usageRing
	// held is shared over the last steps.
	held levelRing
	// unheard is the sum of the standby rates of entries that are not heard from, above the
	// equal parts.
	unheard float64
	// backlog is the cost of the refused requests that may return.
	backlog   float64
	backlogAt time.Duration
	// before holds the use before the term, and replayed the level that follows from it when
	// scale is the ratio of all use to that of the number of entries in heard.
	before   [usageSteps]float64
	replayed float64
	scale    float64
	heard    int
}

// grantedEntry is what the grantor knows of an entry.
type grantedEntry struct {
	born     int64
	sequence uint64
	heardAt  time.Duration
	shares   map[string]*grantedShare
	// unheard is set while the shares count as used.
	unheard bool
}

// grantedShare is a tenant's share at an entry.
type grantedShare struct {
	held, returnedTotal, perSecond, standby float64
	// pending are grants that the entry may not have received.
	pending []pendingGrant
	// restatedDebt is the debt that the entry's recent use contains already.
	restatedDebt float64
	sequence     uint64
}

type pendingGrant struct {
	sequence uint64
	tokens   float64
	at       time.Duration
}

// Begin makes the grantor that of a term. It knows nothing of earlier use.
func (g *TenantGrantor) Begin(term uint64, now time.Duration) {
	g.term, g.started, g.sweptAt, g.decayedAt, g.expectedAt = term, now, now, now, now
	g.expected, g.expectedNext = 0, 0
	g.tenants, g.entries, g.successors = map[string]*grantedTenant{}, map[string]*grantedEntry{}, 0
	g.unheardStandby, g.unheardLate, g.busy = 0, 0, nil
}

// Term returns the term of the last Begin.
func (g *TenantGrantor) Term() uint64 { return g.term }

// SetLimits sets the limits of all tenants. A lower limit applies at once; a higher one
// adds no tokens.
func (g *TenantGrantor) SetLimits(limits map[string]TenantLimit, now time.Duration) {
	g.limits = limits
	for name, t := range g.tenants {
		limit, ok := limits[name]
		if !ok || limit.PerSecond <= 0 {
			delete(g.tenants, name)
			for _, e := range g.entries {
				delete(e.shares, name)
			}
			continue
		}
		g.advance(t, now)
		if level := t.bucket.Level(); level < 0 && limit.PerSecond < t.limit.PerSecond {
			// What was used above the earlier limit is paid back in the same time.
			t.add(level * (limit.PerSecond/t.limit.PerSecond - 1))
		}
		t.limit = limit
		// Later statements of use correct the level by what they change, not by the change
		// of the limit.
		t.replayed = g.replayedLevel(t)
		g.advance(t, now)
	}
}

// tenant returns the state of a tenant, or nil if it has no limit.
func (g *TenantGrantor) tenant(name string, now time.Duration) *grantedTenant {
	if t := g.tenants[name]; t != nil {
		g.advance(t, now)
		if t.heard != len(g.entries) && now-g.started < g.Bound.Window {
			g.replayUse(t, now)
		}
		return t
	}
	limit := g.limits[name]
	if limit.PerSecond <= 0 {
		return nil
	}
	depth := g.Bound.depth(limit)
	t := &grantedTenant{limit: limit, bucket: NewTokenBucket(depth, now), sustained: NewTokenBucket(depth, now), backlogAt: now, replayed: depth, scale: 1, heard: len(g.entries)}
	g.tenants[name] = t
	return t
}

// add adds tokens, or takes them if n is negative.
func (t *grantedTenant) add(n float64) {
	t.bucket.Add(n)
	t.sustained.Add(n)
}

// rate returns the tokens per second that the grantor may grant.
func (g *TenantGrantor) rate(t *grantedTenant) float64 {
	return max(0, t.limit.PerSecond*(1-g.unheardStandby-g.unheardLate)-t.unheard)
}

func (g *TenantGrantor) advance(t *grantedTenant, now time.Duration) {
	// Shares exceed the depth after a request above it, and after the limit was lowered until
	// entries have cut them. They do not make the level negative then.
	depth := max(0, g.Bound.depth(t.limit)-max(0, t.shared))
	t.bucket.Advance(g.rate(t), depth, now)
	t.sustained.Advance(g.rate(t)+t.limit.burst()/g.Bound.Window.Seconds(), depth, now)
	t.backlog = max(0, t.backlog-returnShare*t.limit.PerSecond*max(0, now-t.backlogAt).Seconds())
	t.backlogAt = max(t.backlogAt, now)
	t.held.set(t.shared, now)
}

// Serve answers a report. It reports stale for one that was overtaken by a later one, and
// restate if the entry must state its recent use first.
func (g *TenantGrantor) Serve(r *UsageReport, now time.Duration) (grants []TenantGrant, restate, stale bool) {
	g.sweep(now)
	e := g.entries[r.Entry]
	if e != nil && e.overtook(r, now) {
		return nil, false, true
	}
	if r.Term != 0 && (r.Term != g.term || e == nil || e.born != r.Born) {
		return nil, true, false
	}
	first := e == nil
	if e != nil && e.born != r.Born {
		// What the other process held counts as used.
		g.drop(e)
		e = nil
	}
	if e == nil {
		e = &grantedEntry{born: r.Born, shares: map[string]*grantedShare{}}
		g.entries[r.Entry] = e
		if first && r.Age > 0 && r.Age < now-g.started+g.Bound.Window {
			g.successors++
		}
	}
	if e.unheard {
		g.restore(e)
	}
	e.sequence, e.heardAt = r.Sequence, now
	g.expected, g.expectedNext = max(g.expected, r.Entries), max(g.expectedNext, r.Entries)
	for i := range r.Tenants {
		u := &r.Tenants[i]
		t := g.tenant(u.Name, now)
		if t == nil {
			continue
		}
		s := g.applyUse(e, t, u, r, first, now)
		grants = append(grants, g.grant(t, s, u, r, now))
	}
	for name, s := range e.shares {
		if s.sequence == r.Sequence || s.held == 0 && len(s.pending) == 0 {
			continue
		}
		// The entry holds nothing and has not used the tenant of late.
		if t := g.tenants[name]; t != nil {
			g.settle(t, s, r.Applied, now)
			s.held = 0
		}
	}
	return grants, false, false
}

// overtook reports whether a later report than r has been served. The wall clock may have
// been stepped back before a restart: an earlier process than the known one is then a new
// one, if the known one is silent.
func (e *grantedEntry) overtook(r *UsageReport, now time.Duration) bool {
	if r.Born == e.born {
		return r.Sequence <= e.sequence
	}
	return r.Born < e.born && now-e.heardAt < contactTimeout
}

// shared returns what the entry holds at most.
func (s *grantedShare) shared() float64 {
	sum := max(0, s.held)
	for _, p := range s.pending {
		sum += p.tokens
	}
	return sum
}

// settle ends what an entry held by its last report. What was granted in answers that it
// has not received goes back to the bucket.
func (g *TenantGrantor) settle(t *grantedTenant, s *grantedShare, applied uint64, now time.Duration) {
	t.shared -= s.shared()
	for _, p := range s.pending {
		if p.sequence > applied {
			t.add(p.tokens)
			// In the step of the grant: a later one would stay in the window without it.
			t.used.add(-p.tokens, int(usageSlot(now)-usageSlot(p.at)), now)
		}
	}
	s.pending = s.pending[:0]
}

// applyUse takes over an entry's statement about a tenant.
func (g *TenantGrantor) applyUse(e *grantedEntry, t *grantedTenant, u *TenantUse, r *UsageReport, first bool, now time.Duration) *grantedShare {
	s := e.shares[u.Name]
	known := s != nil
	if !known {
		s = &grantedShare{returnedTotal: u.ReturnedTotal}
		e.shares[u.Name] = s
	}
	g.settle(t, s, r.Applied, now)
	t.perSecond -= s.perSecond
	if returned := u.ReturnedTotal - s.returnedTotal; returned > 0 {
		t.add(returned)
		t.used.add(-returned, 0, now)
	}
	// It falls if the entry has seen a configuration without the tenant.
	s.returnedTotal = u.ReturnedTotal
	s.held, s.perSecond, s.sequence = u.Held, max(0, u.PerSecond), r.Sequence
	switch {
	case r.Term != 0:
		s.restatedDebt = 0
	case first:
		g.restateUse(t, u.Recent, now)
		t.add(-max(0, u.Held))
		s.restatedDebt = max(0, -u.Held)
	}
	t.shared += s.shared()
	t.perSecond += s.perSecond
	g.advance(t, now)
	return s
}

// restateUse corrects the level by the use of an entry before the term.
func (g *TenantGrantor) restateUse(t *grantedTenant, recent []float64, now time.Duration) {
	shift := int((now - g.started) / UsageStep)
	for i, n := range recent {
		t.used.add(n, i, now)
		switch before := i - shift; {
		case before < 0:
			t.add(-n)
		case before < usageSteps:
			t.before[before] += n
		}
	}
	g.replayUse(t, now)
}

// replayUse computes the level from the use before the term. Entries that the grantor has
// not heard from count as having used as much as the others, and so do the predecessors of
// entries that have restarted within the window: nobody states their use.
func (g *TenantGrantor) replayUse(t *grantedTenant, now time.Duration) {
	if now-g.started < g.Bound.Window {
		t.scale = min(maxUseScale, 1/max(0.01, g.restated()))
	}
	level := g.replayedLevel(t)
	t.add(level - t.replayed)
	t.replayed = level
	t.heard = len(g.entries)
}

// replayedLevel returns the level at the beginning of the term that follows from the use
// before it.
func (g *TenantGrantor) replayedLevel(t *grantedTenant) float64 {
	depth := g.Bound.depth(t.limit)
	level := depth
	for i := usageSteps - 1; i >= 0; i-- {
		level = min(depth, level+t.limit.PerSecond*UsageStep.Seconds()) - t.scale*t.before[i]
	}
	return level
}
