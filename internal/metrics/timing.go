package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTimed is the longest time that a histogram tells apart.
	maxTimed = time.Minute
	// timedDigits is the precision of the histograms: 1 part in 100 takes 10 KB
	// each.
	timedDigits = 2
)

// Timing is a histogram of times in milliseconds.
type Timing struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewTiming returns an empty histogram.
func NewTiming() *Timing {
	return &Timing{h: hdrhistogram.New(1, maxTimed.Milliseconds(), timedDigits)}
}

// Add counts one time.
func (t *Timing) Add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Values are clamped to the range, so the library accepts each of them.
	_ = t.h.RecordValue(min(max(1, d.Milliseconds()), maxTimed.Milliseconds()))
}

// Summary is what the metrics page shows of a histogram, in milliseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

// Value returns the Summary. It has the type that expvar.Func needs.
func (t *Timing) Value() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Summary{t.h.TotalCount(), t.h.ValueAtQuantile(50), t.h.ValueAtQuantile(99), t.h.Max()}
}
