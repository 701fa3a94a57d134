package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the longest duration that a histogram can hold; longer ones
	// are counted as maxDuration.
	maxDuration = time.Minute
	// significantDigits is the precision of the histograms: two decimal digits
	// mean 1 part in 100 and take 10 KB per histogram.
	significantDigits = 2
)

// DurationHistogram counts durations in milliseconds. It is safe for concurrent
// use.
type DurationHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewDurationHistogram returns an empty histogram.
func NewDurationHistogram() *DurationHistogram {
	return &DurationHistogram{h: hdrhistogram.New(1, maxDuration.Milliseconds(), significantDigits)}
}

// Record counts one duration in whole milliseconds.
func (h *DurationHistogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is clamped to the range of the histogram, 1 ms to maxDuration, so
	// RecordValue cannot fail.
	_ = h.h.RecordValue(min(max(1, d.Milliseconds()), maxDuration.Milliseconds()))
}

// Summary is the JSON form of a histogram in the metrics. P50, P99 and Max are in
// milliseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

// Value returns the Summary. Its signature is that of expvar.Func.
func (h *DurationHistogram) Value() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{h.h.TotalCount(), h.h.ValueAtQuantile(50), h.h.ValueAtQuantile(99), h.h.Max()}
}
