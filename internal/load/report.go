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
	// Histograms count microseconds up to 2 minutes with 3 digits.
	maxMicros   = 120_000_000
	histDigits  = 3
	maxProblems = 20
)

// Report is the result of a run.
type Report struct {
	// Good counts completions within their targets; Bound is the number that
	// the offered load and the capacity allow, see capacity.bound.
	Good  int
	Bound float64
	// Counts that must be zero.
	Lost         int
	Duplicated   int
	Reran        int
	LeakedPieces int
	CutOff       int
	// PrefillRun and PrefillDiscarded are in tokens.
	PrefillRun       int64
	PrefillDiscarded int64

	kinds   map[string]*kindReport
	urgent  *hdrhistogram.Histogram
	seconds []second
	// problems describes the first calls that ended wrongly.
	problems []string
}

type kindReport struct {
	calls, complete, rejected, left, unknown, good int
	first, perToken, total                         *hdrhistogram.Histogram
}

// second counts the completions that arrived in one second of the run.
type second struct {
	offered, good int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, histDigits)
}

func newReport() *Report {
	return &Report{kinds: map[string]*kindReport{}, urgent: newHistogram()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

func (r *Report) kind(name string) *kindReport {
	k := r.kinds[name]
	if k == nil {
		k = &kindReport{first: newHistogram(), perToken: newHistogram(), total: newHistogram()}
		r.kinds[name] = k
	}
	return k
}

func (r *Report) problem(format string, args ...any) {
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, fmt.Sprintf(format, args...))
	}
}

// add counts one result.
func (r *Report) add(res *result) {
	k := r.kind(res.call.Kind.Name)
	k.calls++
	switch res.outcome {
	case outcomeComplete:
		k.complete++
		r.addTimes(k, res)
	case outcomeRejected:
		k.rejected++
	case outcomeLeft:
		k.left++
	case outcomeUnknown:
		k.unknown++
	case outcomeDuplicated:
		r.Duplicated++
	case outcomeCutOff:
		r.CutOff++
	default:
		r.Lost++
	}
	if res.outcome >= outcomeUnknown {
		r.problem("%s at %v: %s", res.call.Kind.Name, res.call.At.Round(time.Millisecond), res.detail)
	}
	if res.call.Kind.Plain || res.call.leaves() {
		return
	}
	at := int(res.call.At / time.Second)
	for len(r.seconds) <= at {
		r.seconds = append(r.seconds, second{})
	}
	r.seconds[at].offered++
	if res.good() {
		r.Good++
		k.good++
		r.seconds[at].good++
	}
}

func (r *Report) addTimes(k *kindReport, res *result) {
	record(k.first, res.first)
	record(k.total, res.last)
	if !res.call.Kind.Plain {
		record(k.perToken, res.tpot())
	}
	if res.call.Kind.Urgent {
		record(r.urgent, res.last)
	}
}

// merge adds the figures of another run.
func (r *Report) merge(o *Report) {
	r.Good += o.Good
	r.Bound += o.Bound
	r.Lost += o.Lost
	r.Duplicated += o.Duplicated
	r.Reran += o.Reran
	r.LeakedPieces += o.LeakedPieces
	r.CutOff += o.CutOff
	r.PrefillRun += o.PrefillRun
	r.PrefillDiscarded += o.PrefillDiscarded
	r.urgent.Merge(o.urgent)
	for name, k := range o.kinds {
		to := r.kind(name)
		to.calls += k.calls
		to.complete += k.complete
		to.rejected += k.rejected
		to.left += k.left
		to.unknown += k.unknown
		to.good += k.good
		to.first.Merge(k.first)
		to.perToken.Merge(k.perToken)
		to.total.Merge(k.total)
	}
	for i, s := range o.seconds {
		for len(r.seconds) <= i {
			r.seconds = append(r.seconds, second{})
		}
		r.seconds[i].offered += s.offered
		r.seconds[i].good += s.good
	}
	for _, p := range o.problems {
		r.problem("%s", p)
	}
}

// Goodput is the share of the bound.
func (r *Report) Goodput() float64 {
	if r.Bound == 0 {
		return 0
	}
	return float64(r.Good) / r.Bound
}

// WastedPrefill is the share of the prompt tokens run that were discarded.
func (r *Report) WastedPrefill() float64 {
	return float64(r.PrefillDiscarded) / float64(max(1, r.PrefillRun))
}

// UrgentP99 is the 99th percentile of the time from arrival to the complete
// answer of urgent calls.
func (r *Report) UrgentP99() time.Duration {
	return time.Duration(r.urgent.ValueAtQuantile(99)) * time.Microsecond
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool {
	return r.Lost+r.Duplicated+r.Reran+r.LeakedPieces+r.CutOff > 0
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// Print writes one line per kind of call, the seconds, the problems, and the
// summary line.
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
			name, k.calls, k.complete, k.rejected, k.left, k.unknown, k.good,
			millis(k.first, 50), millis(k.first, 99), millis(k.perToken, 50), millis(k.perToken, 99),
			millis(k.total, 50), millis(k.total, 99))
	}
	fmt.Fprintf(w, "good_of_offered_per_second=%s\n", r.perSecond())
	for _, p := range r.problems {
		fmt.Fprintf(w, "problem=%q\n", p)
	}
	fmt.Fprintln(w, r.Summary())
}

// perSecond lists "good/offered" for each second of arrival, in which the time
// to recover from a fault can be read.
func (r *Report) perSecond() string {
	list := make([]string, len(r.seconds))
	for i, s := range r.seconds {
		list[i] = fmt.Sprintf("%d/%d", s.good, s.offered)
	}
	return strings.Join(list, ",")
}

// Summary is the last line of the output.
func (r *Report) Summary() string {
	return fmt.Sprintf("goodput=%.4f wasted_prefill=%.4f urgent_p99_ms=%.1f lost=%d duplicated=%d reran=%d leaked_pieces=%d cut_off=%d",
		r.Goodput(), r.WastedPrefill(), float64(r.UrgentP99().Microseconds())/1000,
		r.Lost, r.Duplicated, r.Reran, r.LeakedPieces, r.CutOff)
}
