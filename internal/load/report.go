package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record microseconds up to 2 minutes with 3 significant digits.
	maxLatencyMicros = 120_000_000
	histogramDigits  = 3
	maxProblems      = 20
)

// Report is the result of a run.
type Report struct {
	// Good counts the completions within their targets. MaxGood is the number
	// that the offered load and the capacity allow, see capacity.maxGood.
	Good    int
	MaxGood float64
	// The counts from Lost to Truncated are correctness violations and must be
	// zero. Lost counts calls with outcomeLost and plain calls that completed
	// but did not run.
	Lost int
	// Duplicated counts responses of which a part arrived twice.
	Duplicated int
	// Reran counts non-repeatable calls that ran more than once, or ran
	// although the response said "not run".
	Reran int
	// LeakedPieces counts what the engines still hold after the run, see
	// stats.occupied.
	LeakedPieces int
	// Truncated counts responses that began but are incomplete or malformed.
	Truncated int
	// PrefillRun counts the prompt tokens that the engines computed, and
	// PrefillDiscarded those among them whose result was not used.
	PrefillRun       int64
	PrefillDiscarded int64

	kinds       map[string]*kindReport
	urgentTotal *hdrhistogram.Histogram
	seconds     []secondCounts
	// problems describes the first maxProblems failed calls.
	problems []string
}

type kindReport struct {
	calls, complete, rejected, cancelled, unknown, good int
	ttft, tpot, total                                   *hdrhistogram.Histogram
}

// secondCounts counts the completions offered in one second of the run and
// those of them that met their targets.
type secondCounts struct {
	offered, good int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

func newReport() *Report {
	return &Report{kinds: map[string]*kindReport{}, urgentTotal: newHistogram()}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

func (r *Report) kind(name string) *kindReport {
	k := r.kinds[name]
	if k == nil {
		k = &kindReport{ttft: newHistogram(), tpot: newHistogram(), total: newHistogram()}
		r.kinds[name] = k
	}
	return k
}

func (r *Report) addProblem(format string, args ...any) {
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, fmt.Sprintf(format, args...))
	}
}

// add counts the result of one call.
func (r *Report) add(res *result) {
	k := r.kind(res.call.Kind.Name)
	k.calls++
	switch res.outcome {
	case outcomeComplete:
		k.complete++
		r.addLatencies(k, res)
	case outcomeRejected:
		k.rejected++
	case outcomeCancelled:
		k.cancelled++
	case outcomeUnknown:
		k.unknown++
	case outcomeDuplicated:
		r.Duplicated++
	case outcomeTruncated:
		r.Truncated++
	default:
		r.Lost++
	}
	if res.outcome >= outcomeUnknown {
		r.addProblem("%s at %v: %s", res.call.Kind.Name, res.call.At.Round(time.Millisecond), res.detail)
	}
	if res.call.Kind.Plain || res.call.cancels() {
		return
	}
	at := int(res.call.At / time.Second)
	for len(r.seconds) <= at {
		r.seconds = append(r.seconds, secondCounts{})
	}
	r.seconds[at].offered++
	if res.meetsTargets() {
		r.Good++
		k.good++
		r.seconds[at].good++
	}
}

func (r *Report) addLatencies(k *kindReport, res *result) {
	recordLatency(k.ttft, res.ttft)
	recordLatency(k.total, res.total)
	if !res.call.Kind.Plain {
		recordLatency(k.tpot, res.tpot())
	}
	if res.call.Kind.Urgent {
		recordLatency(r.urgentTotal, res.total)
	}
}

// merge adds the counts and latencies of another run.
func (r *Report) merge(o *Report) {
	r.Good += o.Good
	r.MaxGood += o.MaxGood
	r.Lost += o.Lost
	r.Duplicated += o.Duplicated
	r.Reran += o.Reran
	r.LeakedPieces += o.LeakedPieces
	r.Truncated += o.Truncated
	r.PrefillRun += o.PrefillRun
	r.PrefillDiscarded += o.PrefillDiscarded
	r.urgentTotal.Merge(o.urgentTotal)
	for name, k := range o.kinds {
		sum := r.kind(name)
		sum.calls += k.calls
		sum.complete += k.complete
		sum.rejected += k.rejected
		sum.cancelled += k.cancelled
		sum.unknown += k.unknown
		sum.good += k.good
		sum.ttft.Merge(k.ttft)
		sum.tpot.Merge(k.tpot)
		sum.total.Merge(k.total)
	}
	for i, s := range o.seconds {
		for len(r.seconds) <= i {
			r.seconds = append(r.seconds, secondCounts{})
		}
		r.seconds[i].offered += s.offered
		r.seconds[i].good += s.good
	}
	for _, p := range o.problems {
		r.addProblem("%s", p)
	}
}

// Goodput is the share of MaxGood that was reached.
func (r *Report) Goodput() float64 {
	if r.MaxGood == 0 {
		return 0
	}
	return float64(r.Good) / r.MaxGood
}

// WastedPrefill is the share of the computed prompt tokens whose result was
// discarded.
func (r *Report) WastedPrefill() float64 {
	return float64(r.PrefillDiscarded) / float64(max(1, r.PrefillRun))
}

// UrgentP99 is the 99th percentile of the time from arrival to the complete
// response, over all completed urgent calls, also plain ones.
func (r *Report) UrgentP99() time.Duration {
	return time.Duration(r.urgentTotal.ValueAtQuantile(99)) * time.Microsecond
}

// Failed reports whether any correctness violation was counted.
func (r *Report) Failed() bool {
	return r.Lost+r.Duplicated+r.Reran+r.LeakedPieces+r.Truncated > 0
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// Print writes one line per kind of call, the counts per second, the problems
// and the summary line.
func (r *Report) Print(w io.Writer) {
	names := make([]string, 0, len(r.kinds))
	for name := range r.kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		k := r.kinds[name]
		fmt.Fprintf(w, "kind=%s calls=%d complete=%d rejected=%d left=%d unknown=%d good=%d "+
			"first_p50_ms=%.1f first_p99_ms=%.1f tpot_p50_ms=%.1f tpot_p99_ms=%.1f total_p50_ms=%.1f total_p99_ms=%.1f\n",
			name, k.calls, k.complete, k.rejected, k.cancelled, k.unknown, k.good,
			quantileMillis(k.ttft, 50), quantileMillis(k.ttft, 99), quantileMillis(k.tpot, 50), quantileMillis(k.tpot, 99),
			quantileMillis(k.total, 50), quantileMillis(k.total, 99))
	}
	fmt.Fprintf(w, "good_of_offered_per_second=%s\n", r.perSecond())
	for _, p := range r.problems {
		fmt.Fprintf(w, "problem=%q\n", p)
	}
	fmt.Fprintln(w, r.Summary())
}

// perSecond lists "good/offered" for each second of arrival. It shows how long
// the router takes to recover from a fault.
func (r *Report) perSecond() string {
	list := make([]string, len(r.seconds))
	for i, s := range r.seconds {
		list[i] = fmt.Sprintf("%d/%d", s.good, s.offered)
	}
	return strings.Join(list, ",")
}

// Summary is the last line that Print writes.
func (r *Report) Summary() string {
	return fmt.Sprintf("goodput=%.4f wasted_prefill=%.4f urgent_p99_ms=%.1f lost=%d duplicated=%d reran=%d leaked_pieces=%d cut_off=%d",
		r.Goodput(), r.WastedPrefill(), float64(r.UrgentP99().Microseconds())/1000,
		r.Lost, r.Duplicated, r.Reran, r.LeakedPieces, r.Truncated)
}
