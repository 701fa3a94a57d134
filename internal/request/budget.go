package request

import (
	"sync"
	"time"
)

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the share of recent requests that may be retried.
	DefaultRetryRatio = 0.2
	// DefaultRetryFloor is the number of retries allowed in a window without
	// traffic: one lost decode engine holds about 20 requests.
	DefaultRetryFloor = 20
	budgetSlots       = 10
	budgetSlot        = time.Second
)

// RetryBudget allows retries up to a share of the requests of the last ten
// seconds, so that retries do not multiply the load on a failing pool. It is
// safe for concurrent use.
type RetryBudget struct {
	ratio float64
	floor int

	mu       sync.Mutex
	slot     int64
	requests [budgetSlots]int
	retries  [budgetSlots]int
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(ratio float64, floor int) *RetryBudget {
	return &RetryBudget{ratio: ratio, floor: floor}
}

// Deposit counts one new request.
func (b *RetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// Withdraw takes one retry and reports whether there was one.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries) >= float64(b.floor)+b.ratio*float64(requests) {
		return false
	}
	b.retries[b.slot%budgetSlots]++
	return true
}

func (b *RetryBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(budgetSlot)
	if slot <= b.slot {
		return
	}
	for s := max(b.slot+1, slot-budgetSlots+1); s <= slot; s++ {
		b.requests[s%budgetSlots] = 0
		b.retries[s%budgetSlots] = 0
	}
	b.slot = slot
}
