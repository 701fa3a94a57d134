package usage

import (
	"cmp"
	"slices"
	"time"

	"godwitward.example/godwitward/policy"
)

// maxRefusalTTL is how long a refusal by the grantor answers further requests that need as
// much. A tenant far over its cap would otherwise ask with every request.
const maxRefusalTTL = 200 * time.Millisecond

// entryUsage is an entry's side of all tenants with a limit. It makes no calls: it states what
// to report, and takes the answers. Times are of the boot-time clock.
type entryUsage struct {
	bound    policy.UsageBound
	random   func() float64
	limits   map[string]policy.TenantLimit
	accounts map[string]*account
	// entries is the number of entries in the system.
	entries int

	sequence, applied uint64
	// term is that of the grantor that knows the recent use.
	term      uint64
	contactAt time.Duration
	contacted bool
	// outage is set while the grantor does not answer.
	outage bool
	// hints are the standby terms of tenants that this entry has not used of late.
	hints map[string]policy.StandbyTerms
}

// account is one tenant.
type account struct {
	name    string
	limit   policy.TenantLimit
	balance *policy.TenantBalance
	waiting []*ticket
	// refusedCost, refusedUntil and returnAt are those of the last refusal.
	refusedCost            float64
	refusedUntil, returnAt time.Duration
}

type verdict uint8

const (
	waiting verdict = iota
	admitted
	overLimit
	// noGrantor is a refusal by the standby rate.
	noGrantor
)

// ticket is one request.
type ticket struct {
	account    *account
	cost       float64
	verdict    verdict
	retryAfter time.Duration
	chargedAt  time.Duration
	// limit is the one under which it was charged.
	limit policy.TenantLimit
	// sequence is that of the report that asks for the request, 0 before it.
	sequence uint64
	// decided is closed with the verdict; nil if it was known at once.
	decided chan struct{}
}

func newEntryUsage(bound policy.UsageBound, random func() float64) *entryUsage {
	return &entryUsage{bound: bound, random: random, limits: map[string]policy.TenantLimit{}, accounts: map[string]*account{}}
}

// setLimits sets the limits of all tenants.
func (b *entryUsage) setLimits(limits map[string]policy.TenantLimit, now time.Duration) {
	b.limits = limits
	for name, a := range b.accounts {
		limit, ok := limits[name]
		if !ok {
			for _, t := range a.waiting {
				t.admit(now)
			}
			a.waiting = nil
			delete(b.accounts, name)
			continue
		}
		a.limit = limit
		a.balance.SetLimit(limit)
	}
}

// ask charges a request. The verdict is waiting if the grantor must be asked.
func (b *entryUsage) ask(name string, cost float64, now time.Duration) *ticket {
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name, limit: b.limits[name]}
		a.balance = policy.NewTenantBalance(b.bound, a.limit)
		b.accounts[name] = a
	}
	t := &ticket{account: a, cost: cost}
	switch {
	case cost > b.bound.Max(a.limit):
		// It would close the cap for the time that the cost takes, which callers state.
		t.refuse(overLimit, policy.MaxRetryAfter)
	case cost <= 0 || a.balance.Take(cost, now):
		t.admit(now)
	case b.outage:
		b.decideStandby(t, now)
	case cost >= a.refusedCost && now < a.refusedUntil:
		a.returnLater(cost, now)
		t.refuse(overLimit, a.returnAt-now)
	default:
		t.decided = make(chan struct{})
		a.waiting = append(a.waiting, t)
	}
	return t
}

// returnLater sets the time for the next refused request to return.
func (a *account) returnLater(cost float64, now time.Duration) {
	a.returnAt = min(a.returnAt+policy.ReturnSpacing(a.limit, cost), now+policy.MaxRetryAfter)
}

func (t *ticket) decide(v verdict) {
	t.verdict = v
	if t.decided != nil {
		close(t.decided)
	}
}

func (t *ticket) admit(now time.Duration) {
	t.chargedAt, t.limit = now, t.account.balance.Limit()
	t.decide(admitted)
}

func (t *ticket) refuse(v verdict, retryAfter time.Duration) {
	t.retryAfter = max(time.Millisecond, retryAfter)
	t.decide(v)
}

// decideStandby decides by the standby rate.
func (b *entryUsage) decideStandby(t *ticket, now time.Duration) {
	balance := t.account.balance
	if b.contacted && balance.ContactAt() < b.contactAt {
		terms, ok := b.hints[t.account.name]
		if !ok {
			terms = b.bound.DefaultStandby(t.account.limit)
		}
		balance.Contact(terms, b.contactAt)
	}
	ok, retryAfter := balance.TakeStandby(t.cost, b.entries, b.random(), now)
	if ok {
		t.admit(now)
		return
	}
	t.refuse(noGrantor, retryAfter)
}

// expire ends the wait of a request that has no verdict yet.
func (b *entryUsage) expire(t *ticket, now time.Duration) {
	if t.verdict != waiting {
		return
	}
	t.account.waiting = slices.DeleteFunc(t.account.waiting, func(w *ticket) bool { return w == t })
	b.decideStandby(t, now)
}

// cancel withdraws a request that its caller has given up.
func (b *entryUsage) cancel(t *ticket, now time.Duration) {
	switch t.verdict {
	case waiting:
		t.account.waiting = slices.DeleteFunc(t.account.waiting, func(w *ticket) bool { return w == t })
	case admitted:
		b.giveBack(t, now)
	}
}

// giveBack undoes the charge of an admitted request that did not run.
func (b *entryUsage) giveBack(t *ticket, now time.Duration) {
	if t.cost > 0 {
		t.account.balance.GiveBack(t.cost, t.limit, t.chargedAt, now)
	}
}

// asks reports whether requests wait that no report has asked for.
func (b *entryUsage) asks() bool {
	for _, a := range b.accounts {
		if n := len(a.waiting); n > 0 && a.waiting[n-1].sequence == 0 {
			return true
		}
	}
	return false
}

// report returns the next report. leaderTerm is the term of the leader as far as it is
// known, 0 if it is not.
func (b *entryUsage) report(leaderTerm uint64, now time.Duration) *policy.UsageReport {
	b.sequence++
	r := &policy.UsageReport{Sequence: b.sequence, Applied: b.applied, Term: b.term, Entries: b.entries}
	if leaderTerm > b.term {
		r.Term = 0
	}
	for name, a := range b.accounts {
		if len(a.waiting) == 0 && a.balance.Idle(now) && (r.Term != 0 || len(a.balance.Recent(now)) == 0) {
			continue
		}
		u := a.balance.Report(now)
		u.Name = name
		if r.Term == 0 {
			u.Recent = a.balance.Recent(now)
		}
		for i, t := range a.waiting {
			if i == 0 {
				u.AskedFirst = t.cost
			}
			u.Asked += t.cost
			t.sequence = b.sequence
		}
		u.Asked = max(0, u.Asked-max(0, u.Held))
		r.Tenants = append(r.Tenants, u)
	}
	return r
}

// answer is the grantor's answer to a report.
type answer struct {
	term    uint64
	restate bool
	grants  []policy.TenantGrant
}

// apply takes the answer to a report that was sent at a time. It returns whether the
// entry must report again at once.
func (b *entryUsage) apply(r *policy.UsageReport, sentAt time.Duration, in *answer, now time.Duration) (again bool) {
	if in.restate {
		b.term = 0
		return true
	}
	b.outage = false
	b.term, b.applied = in.term, r.Sequence
	reported := map[string]bool{}
	for i := range r.Tenants {
		reported[r.Tenants[i].Name] = true
	}
	granted, undecided := map[string]bool{}, false
	hints := map[string]policy.StandbyTerms{}
	for i := range in.grants {
		g := &in.grants[i]
		undecided = undecided || g.Undecided
		if !reported[g.Name] {
			hints[g.Name] = g.Standby
			continue
		}
		granted[g.Name] = true
		if a := b.accounts[g.Name]; a != nil {
			a.balance.Granted(g.Granted, now)
			switch {
			case !g.Undecided:
				a.balance.Contact(g.Standby, sentAt)
			case !b.contacted:
				// Neither the entry nor the grantor knows more.
				a.balance.Contact(b.bound.DefaultStandby(a.limit), sentAt)
			}
			b.serve(a, r.Sequence, g, now)
		}
	}
	if !undecided {
		b.contacted, b.contactAt, b.hints = true, sentAt, hints
	}
	for name := range reported {
		// A grantor with another configuration does not know the tenant.
		if a := b.accounts[name]; a != nil && !granted[name] {
			b.serve(a, r.Sequence, &policy.TenantGrant{Undecided: true}, now)
		}
	}
	return false
}

// serve decides about the waiting requests of an account, in order, after an answer.
func (b *entryUsage) serve(a *account, sequence uint64, g *policy.TenantGrant, now time.Duration) {
	var left []*ticket
	refused := 0
	for _, t := range a.waiting {
		switch {
		case len(left) == 0 && a.balance.Take(t.cost, now):
			t.admit(now)
		case t.sequence == 0 || t.sequence > sequence:
			left = append(left, t)
		case g.Undecided:
			b.decideStandby(t, now)
		case g.RetryAfter == 0:
			// Another request has used what was granted for this one.
			t.sequence = 0
			left = append(left, t)
		case refused > 0 && t.cost < a.refusedCost:
			// The grantor has decided about the larger request only.
			t.sequence = 0
			left = append(left, t)
		default:
			if refused == 0 {
				a.refusedCost, a.returnAt = t.cost, now+g.RetryAfter
				a.refusedUntil = now + min(maxRefusalTTL, g.RetryAfter)
			} else {
				a.returnLater(t.cost, now)
			}
			refused++
			t.refuse(overLimit, a.returnAt-now)
		}
	}
	if refused > 0 {
		// What the smallest does not get, the others do not get either: one more call decides
		// about all of them.
		slices.SortStableFunc(left, func(a, b *ticket) int { return cmp.Compare(a.cost, b.cost) })
	}
	a.waiting = left
}

// fail takes it that a report was not answered. Waiting requests are decided without the
// grantor.
func (b *entryUsage) fail(now time.Duration) {
	b.outage = true
	for _, a := range b.accounts {
		for _, t := range a.waiting {
			b.decideStandby(t, now)
		}
		a.waiting = nil
	}
}
