package policy

import (
	"math"
	"time"
)

// TenantBalance is what an entry may use of a tenant's cap. With a grantor it is the share
// that the grantor granted. Without one, the standby rate is added and a request is
// admitted while the balance is above a floor; the balance may fall below it by that
// request.
type TenantBalance struct {
	bound UsageBound
	limit TenantLimit

	balance       float64
	returnedTotal float64
	// low is the lowest balance since lowAt, and previousLow that in the interval before.
	low, previousLow float64
	lowAt            time.Duration

	// terms and contactAt are those of the last answer.
	terms     StandbyTerms
	contactAt time.Duration
	contacted bool
	// settledAt is when the grantor last took over what was used without it.
	settledAt time.Duration
	standbyState

	steps    usageRing
	meanCost float64
	// mean is the use per second at meanAt, over about meanPeriod.
	mean   float64
	meanAt time.Duration
}

// meanPeriod is the time over which the use of an entry is averaged. A caller sends a
// stream every 7 to 25 s, so that a shorter time tells little of the next seconds.
const meanPeriod = 30 * time.Second

// standbyDelay is the time after the last contact at which the standby rate begins: a
// grantor that has ended may have granted until the next report was due. The grace begins
// after half of it, which is when the grantors of all entries have ended on average.
const standbyDelay = 500 * time.Millisecond

// standbyState holds while there is no grantor.
type standbyState struct {
	active    bool
	accruedAt time.Duration
	// accrued is what the standby rate has added. It does not become part of the share.
	accrued float64
	// floor is the balance above which requests are admitted after the grace. It is random
	// for each entry: otherwise all entries would admit a request at the same time.
	floor    float64
	hasFloor bool
}

// NewTenantBalance returns the empty balance of a tenant.
func NewTenantBalance(bound UsageBound, limit TenantLimit) *TenantBalance {
	return &TenantBalance{bound: bound, limit: limit}
}

// SetLimit changes the limit. Shares shrink with it at once, and do not grow. What was used
// above a lowered limit is paid back in the same time as above the earlier one.
func (b *TenantBalance) SetLimit(limit TenantLimit) {
	if limit == b.limit {
		return
	}
	if before := b.limit.burst(); b.balance > 0 && limit.burst() < before {
		b.balance *= limit.burst() / before
		b.low, b.previousLow = min(b.low, b.balance), min(b.previousLow, b.balance)
	}
	if limit.PerSecond < b.limit.PerSecond {
		ratio := limit.PerSecond / b.limit.PerSecond
		b.steps.scale(ratio)
		if b.balance < 0 {
			b.balance *= ratio
		}
	}
	if b.limit.PerSecond > 0 {
		b.terms.PerSecond *= limit.PerSecond / b.limit.PerSecond
	}
	b.limit = limit
}

// Take charges a request to the share and reports whether the share covers it.
func (b *TenantBalance) Take(cost float64, now time.Duration) bool {
	if b.balance < cost {
		return false
	}
	b.charge(cost, now)
	return true
}

func (b *TenantBalance) charge(cost float64, now time.Duration) {
	b.balance -= cost
	b.low = min(b.low, b.balance)
	b.steps.add(cost, 0, now)
	b.mean, b.meanAt = b.PerSecond(now)+cost/meanPeriod.Seconds(), now
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += (cost - b.meanCost) / 8
}

// Limit returns the limit, to be kept with a charge for GiveBack.
func (b *TenantBalance) Limit() TenantLimit { return b.limit }

// GiveBack undoes a charge that was made at a time under a limit. After the limit was lowered
// it gives back the part that shares and debts have shrunk to.
func (b *TenantBalance) GiveBack(cost float64, limit TenantLimit, at, now time.Duration) {
	cost *= min(1, b.limit.PerSecond/limit.PerSecond, b.limit.burst()/limit.burst())
	b.balance += cost
	b.steps.add(-cost, int(usageSlot(now)-usageSlot(at)), now)
	b.mean = max(0, b.mean-cost/meanPeriod.Seconds())
}

// TakeStandby charges a request without a grantor, if the standby rate leaves room for it,
// and returns the time until it does otherwise. entries is the number of entries that were
// last known, and u a random number, uniform in [0, 1).
func (b *TenantBalance) TakeStandby(cost float64, entries int, u float64, now time.Duration) (ok bool, retryAfter time.Duration) {
	rate, grace := b.standbyRate(entries, now)
	if !b.active || b.contactAt > b.accruedAt {
		b.balance = b.held()
		b.standbyState = standbyState{active: true, accruedAt: now}
		if b.contacted {
			b.accruedAt = max(b.settledAt, min(now, b.contactAt+standbyDelay))
		}
	}
	if b.balance >= cost {
		b.charge(cost, now)
		return true, 0
	}
	// In the grace, requests are limited only so far that one entry alone cannot use much.
	floor := -max(cost, rate*maxGrace.Seconds())
	if !grace {
		if !b.hasFloor {
			// An entry that has gone below 0 in the grace has had its request.
			b.hasFloor = true
			if b.balance >= 0 {
				b.floor = u * cost
			}
		}
		floor = b.floor
	}
	b.accrue(rate, max(0, floor), now)
	if b.balance > floor {
		b.charge(cost, now)
		return true, 0
	}
	if rate <= 0 {
		return false, unknownRetryAfter
	}
	return false, min(MaxRetryAfter, max(time.Millisecond, seconds((floor-b.balance)/rate)))
}

// accrue adds the standby rate, up to one second of it above the floor: what many entries
// do not use must not add up.
func (b *TenantBalance) accrue(rate, floor float64, now time.Duration) {
	n := min(rate*max(0, now-b.accruedAt).Seconds(), floor+rate-b.balance)
	b.accruedAt = now
	if n > 0 {
		b.balance += n
		b.accrued += n
	}
}

// standbyRate returns the rate without a grantor, and whether the grace lasts.
func (b *TenantBalance) standbyRate(entries int, now time.Duration) (rate float64, grace bool) {
	age := now - b.contactAt
	equal := 0.0
	if entries > 0 {
		equal = b.limit.PerSecond / float64(entries)
	}
	if !b.contacted || age > standbyTTL {
		return lateShare * equal, false
	}
	return max(b.terms.PerSecond, standbyEqualShare*equal), age < b.terms.Grace+standbyDelay/2
}

// unknownRetryAfter is when a caller should return whose entry knows neither a standby rate
// nor the number of entries: it has just started, and asks the core every 500 ms.
const unknownRetryAfter = 500 * time.Millisecond

// idleInterval is half of the time after which an unused share is given back. It is below
// the interval of reports.
const idleInterval = 450 * time.Millisecond

// wantedSteps is the number of steps whose use tells what is needed ahead of demand.
const wantedSteps = 8

// Report returns what the entry states to the grantor. Shares that were not used for two
// idleIntervals are given back, except for what is wanted ahead of demand.
func (b *TenantBalance) Report(now time.Duration) TenantUse {
	u := TenantUse{PerSecond: b.PerSecond(now)}
	// Shares ahead of demand serve small requests. Ones that come less than twice a second
	// would lie idle, and wait for a round trip instead.
	if recent := b.steps.sum(wantedSteps, now) / (wantedSteps * UsageStep.Seconds()); recent >= 2*b.meanCost {
		u.Wanted = recent
	}
	if !b.active && now-b.lowAt >= idleInterval {
		if idle := min(b.low, b.previousLow, b.balance) - u.Wanted; idle > 0 {
			b.balance -= idle
			b.returnedTotal += idle
		}
		b.previousLow, b.low, b.lowAt = b.low, b.balance, now
	}
	u.Held, u.ReturnedTotal = b.held(), b.returnedTotal
	return u
}

// held returns the balance without what the standby rate has added.
func (b *TenantBalance) held() float64 {
	if b.balance > 0 {
		return max(0, b.balance-b.accrued)
	}
	return b.balance
}

// Balance returns what the entry may use at the moment.
func (b *TenantBalance) Balance() float64 { return b.balance }

// ContactAt returns when the report that the grantor last answered was sent.
func (b *TenantBalance) ContactAt() time.Duration { return b.contactAt }

// Idle reports whether there is nothing to state to a grantor that knows the use before the
// last second.
func (b *TenantBalance) Idle(now time.Duration) bool {
	return math.Abs(b.balance) < 1e-6 && b.steps.sum(namedSteps, now) == 0
}

// namedSteps is the number of steps in which a use is stated to the grantor.
const namedSteps = 5

// PerSecond returns the mean use per second.
func (b *TenantBalance) PerSecond(now time.Duration) float64 {
	return b.mean * math.Exp(-(now-b.meanAt).Seconds()/meanPeriod.Seconds())
}

// Granted adds what the grantor granted.
func (b *TenantBalance) Granted(tokens float64, now time.Duration) {
	b.balance = b.held() + tokens
	b.standbyState, b.settledAt = standbyState{}, now
}

// Contact sets what may be used without a grantor, from an answer to a report that was
// sent at a time.
func (b *TenantBalance) Contact(terms StandbyTerms, sentAt time.Duration) {
	b.terms, b.contactAt, b.contacted = terms, sentAt, true
}

// Recent returns the use of the last steps, the latest first.
func (b *TenantBalance) Recent(now time.Duration) []float64 {
	var recent []float64
	for i := range usageSteps {
		recent = append(recent, b.steps.at(i, now))
	}
	for len(recent) > 0 && recent[len(recent)-1] == 0 {
		recent = recent[:len(recent)-1]
	}
	return recent
}
