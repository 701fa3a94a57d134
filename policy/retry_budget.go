package policy

import (
	"math"
	"time"
)

// RetryBudget limits retries. In any window, all holders of the budget together may retry
// a share of the requests plus a fixed number. Each holder spends the share of its own
// requests and its part of the fixed number, so that holders need not coordinate. The
// requests for a window are those in it, or those of a window of the same length that
// begins half a window or a window before it.
//
// It answers bursts in which many requests fail: what a burst allows must not be spent
// when the load has fallen, and what one window has spent is gone for each that overlaps
// it.
type RetryBudget struct {
	// Ratio of retries to requests.
	Ratio float64
	// Slack is this holder's part of the fixed number of retries per window.
	Slack  float64
	Window time.Duration
	// Partial is set if this holder sees only a part of the requests. All such holders
	// count the same window's requests at a time, because the sum of the most that each
	// has seen could be more than the most that all have seen together.
	Partial bool
	// Inherited is set if an earlier process may have held the budget until time 0. What it
	// has spent is not known, so Slack counts only for windows that begin after it.
	Inherited bool

	buckets [budgetBuckets + budgetBuckets/2]budgetBucket
	// held is the number of retries that are held.
	held int
}

// budgetBuckets is the number of buckets per window. A window that begins within a bucket
// has all retries from that bucket on, and only the requests of the buckets that lie in it
// as a whole, so that the budget holds in every window, whichever way it lies to the
// buckets.
const budgetBuckets = 40

type budgetBucket struct {
	// slot is the number of the time slot, 0 at time 0, that the counts belong to.
	slot     int64
	requests int
	retries  int
}

// RecordRequest counts a new request from a caller.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.bucket(now).requests++ }

// Take spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take(now time.Duration) bool { return b.TakeN(now, 1) }

// TakeN spends n retries, or none, and reports whether the budget allowed them.
func (b *RetryBudget) TakeN(now time.Duration, n int) bool {
	if b.Remaining(now) < float64(n) {
		return false
	}
	b.bucket(now).retries += n
	return true
}

// Hold sets a retry aside for a request that may turn out to count, and reports whether
// the budget allowed it. Spend or Release ends the hold.
func (b *RetryBudget) Hold(now time.Duration) bool { return b.HoldN(now, 1) }

// HoldN sets n retries aside, or none.
func (b *RetryBudget) HoldN(now time.Duration, n int) bool {
	if b.Remaining(now) < float64(n) {
		return false
	}
	b.held += n
	return true
}

// Spend spends a retry that is held.
func (b *RetryBudget) Spend(now time.Duration) {
	b.held--
	b.bucket(now).retries++
}

// Release returns a retry that is held and not spent.
func (b *RetryBudget) Release() { b.held-- }

// Restore counts requests and retries of some time ago that another holder of the
// budget has counted.
func (b *RetryBudget) Restore(age time.Duration, requests, retries int, now time.Duration) {
	if age < 0 || age > b.Window {
		return
	}
	k := b.bucket(now - age)
	k.requests += requests
	k.retries += retries
}

// Remaining returns the number of retries that remain: the fewest that any window allows
// which includes now. It is negative while the budget is overdrawn.
func (b *RetryBudget) Remaining(now time.Duration) float64 {
	// before[i] is the number of requests in the oldest i slots, of which the last is that
	// of now.
	var before [len(b.buckets) + 1]int
	current := b.slot(now)
	oldest := current - int64(len(b.buckets)) + 1
	for i := range b.buckets {
		before[i+1] = before[i]
		if k := b.at(oldest + int64(i)); k != nil {
			before[i+1] += k.requests
		}
	}
	// requests returns the number in the slots from one to another, both included.
	requests := func(from, to int64) int {
		to = min(to, current)
		return before[to-oldest+1] - before[min(max(from, oldest), to+1)-oldest]
	}
	least, retries := math.Inf(1), 0
	for age := int64(0); age <= budgetBuckets; age++ {
		// The windows that begin in this slot.
		start := current - age
		if k := b.at(start); k != nil {
			retries += k.retries
		}
		var counted int
		windowBefore, halfBefore, window := requests(start-budgetBuckets+1, start-1), requests(start-budgetBuckets/2+1, start+budgetBuckets/2-1), requests(start+1, current)
		switch {
		case age >= 3*budgetBuckets/4:
			// Most of the window is over, and its own requests tell the load.
			counted = window
		case !b.Partial:
			counted = max(windowBefore, halfBefore, window)
		case age < budgetBuckets/4:
			counted = windowBefore
		default:
			counted = halfBefore
		}
		slack := b.Slack
		if b.Inherited && start < 0 {
			slack = 0
		}
		least = min(least, b.Ratio*float64(counted)+slack-float64(retries))
	}
	return least - float64(b.held)
}

// at returns the bucket of a slot, or nil if it holds the counts of another one.
func (b *RetryBudget) at(slot int64) *budgetBucket {
	k := b.ring(slot)
	if k.slot != slot {
		return nil
	}
	return k
}

// ring returns the bucket in which a slot is counted. Slots are negative for what another
// holder has counted before time 0.
func (b *RetryBudget) ring(slot int64) *budgetBucket {
	n := int64(len(b.buckets))
	return &b.buckets[(slot%n+n)%n]
}

func (b *RetryBudget) slot(now time.Duration) int64 {
	length := max(1, b.Window/budgetBuckets)
	slot := int64(now / length)
	if now%length < 0 {
		slot--
	}
	return slot
}

// bucket returns the bucket for now, cleared when it held an older slot.
func (b *RetryBudget) bucket(now time.Duration) *budgetBucket {
	slot := b.slot(now)
	k := b.ring(slot)
	if k.slot != slot {
		*k = budgetBucket{slot: slot}
	}
	return k
}
