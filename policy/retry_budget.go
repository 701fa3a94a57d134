package policy

import "time"

// RetryBudget limits retries. All entries together may retry a share of the
// requests in each window, plus a fixed number. Each entry spends the share of
// its own requests and its part of the fixed number, so that entries need not
// coordinate.
type RetryBudget struct {
	// Ratio of retries to requests.
	Ratio float64
	// Slack is this entry's part of the fixed number of retries per window.
	Slack  float64
	Window time.Duration

	buckets [budgetBuckets + 1]budgetBucket
	// held is the number of retries that are held.
	held int
}

// budgetBuckets is the number of buckets per window. Counts expire by whole buckets.
// Requests are counted over at most a window and retries over at least one, so that the
// budget holds in every window, whichever way it lies to the buckets.
const budgetBuckets = 40

type budgetBucket struct {
	// slot is the number of the time slot, from time 0 on, that the counts
	// belong to.
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
func (b *RetryBudget) Hold(now time.Duration) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.held++
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
	if age < 0 || age > b.Window || age > now {
		return
	}
	k := b.bucket(now - age)
	k.requests += requests
	k.retries += retries
}

// Remaining returns the number of retries that remain. It is negative while the
// budget is overdrawn.
func (b *RetryBudget) Remaining(now time.Duration) float64 {
	current := b.slot(now)
	requests, retries := 0, 0
	for i := range b.buckets {
		k := &b.buckets[i]
		if current-k.slot < budgetBuckets {
			requests += k.requests
		}
		if current-k.slot <= budgetBuckets {
			retries += k.retries
		}
	}
	return b.Ratio*float64(requests) + b.Slack - float64(retries+b.held)
}

func (b *RetryBudget) slot(now time.Duration) int64 {
	return int64(now / max(1, b.Window/budgetBuckets))
}

// bucket returns the bucket for now, cleared when it held an older slot.
func (b *RetryBudget) bucket(now time.Duration) *budgetBucket {
	slot := b.slot(now)
	k := &b.buckets[slot%int64(len(b.buckets))]
	if k.slot != slot {
		*k = budgetBucket{slot: slot}
	}
	return k
}
