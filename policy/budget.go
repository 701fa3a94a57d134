package policy

import "time"

// RetryBudget bounds how often requests are sent again. All entries together
// may repeat a share of the requests of each window, and a fixed number more.
// Each entry spends the share of its own requests and its part of the fixed
// number, so that no call between entries is needed.
type RetryBudget struct {
	// Ratio of repeats to requests.
	Ratio float64
	// Slack is this entry's part of the fixed number a window.
	Slack float64
	// Window is the length of the window.
	Window time.Duration

	buckets [budgetBuckets]budgetBucket
}

// budgetBuckets is the number of parts of a window; a whole window is then at
// most one part longer than stated, which keeps the count on the low side.
const budgetBuckets = 10

type budgetBucket struct {
	slot     int64
	requests int
	repeats  int
}

// Requested counts a request of a caller.
func (b *RetryBudget) Requested(now time.Duration) { b.bucket(now).requests++ }

// Take spends one repeat and reports whether there was one to spend.
func (b *RetryBudget) Take(now time.Duration) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.bucket(now).repeats++
	return true
}

// Spend counts a repeat that cannot be avoided any more.
func (b *RetryBudget) Spend(now time.Duration) { b.bucket(now).repeats++ }

// Left returns the repeats that may be spent now.
func (b *RetryBudget) Left(now time.Duration) float64 {
	current := b.slot(now)
	requests, repeats := 0, 0
	for i := range b.buckets {
		if k := &b.buckets[i]; current-k.slot < budgetBuckets {
			requests += k.requests
			repeats += k.repeats
		}
	}
	return b.Ratio*float64(requests) + b.Slack - float64(repeats)
}

func (b *RetryBudget) slot(now time.Duration) int64 {
	return int64(now / max(1, b.Window/budgetBuckets))
}

func (b *RetryBudget) bucket(now time.Duration) *budgetBucket {
	slot := b.slot(now)
	k := &b.buckets[slot%budgetBuckets]
	if k.slot != slot {
		*k = budgetBucket{slot: slot}
	}
	return k
}
