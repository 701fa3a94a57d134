package policy

import "math"

// OutputForecast learns how the lengths of outputs relate to their estimates. An
// estimate may be right at the median and far off for single requests, and long
// estimates are too long more often than short ones. The logarithms of length
// and estimate are therefore fitted by a line, and the lengths are assumed to be
// distributed log-normally around it.
//
// The zero value trusts estimates and assumes a spread of priorSpread.
type OutputForecast struct {
	// Decaying sums over completed requests of x = ln(estimate) and
	// y = ln(length).
	n, x, y, xx, xy, yy float64
	// The fitted line y = intercept + slope*x and the deviation around it; valid
	// when table is set.
	intercept, slope, spread float64
	table                    []remainingOutput
}

// remainingOutput is the mean and the variance of the output that remains, in
// units of the median length and its square.
type remainingOutput struct{ mean, variance float64 }

const (
	priorSpread = 0.4
	// priorWeight is the number of completed requests that the prior counts as.
	// Right after a start, mostly short outputs have completed.
	priorWeight = 30
	// outputMemory is the number of completed requests over which the sums decay.
	outputMemory = 500
	// minSpread and maxSpread bound the learned deviation.
	minSpread, maxSpread = 0.05, 1.0
	// refitInterval is the number of completed requests between two fits.
	refitInterval = 20
	// The table covers outputs of up to tableRange medians in steps of 1/tableStep.
	tableRange = 8
	tableStep  = 16
)

// Completed counts a request that ended after length tokens.
func (f *OutputForecast) Completed(estimate, length int) {
	if estimate <= 0 || length <= 0 {
		return
	}
	keep := 1 - 1.0/outputMemory
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy, &f.yy} {
		*sum *= keep
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(length))
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
	f.yy += y * y
	if int(f.n)%refitInterval == 0 {
		f.fit()
	}
}

// fit computes the line and the deviation. The prior is a cloud of priorWeight
// requests around the line y = x at the mean estimate.
func (f *OutputForecast) fit() {
	f.intercept, f.slope, f.spread = 0, 1, priorSpread
	if f.n > 0 {
		mx, my := f.x/f.n, f.y/f.n
		sxx, sxy, syy := f.xx-f.n*mx*mx, f.xy-f.n*mx*my, f.yy-f.n*my*my
		prior := priorWeight * priorSpread * priorSpread
		f.slope = (sxy + prior) / (sxx + prior)
		offset := f.n * (my - mx) / (f.n + priorWeight)
		f.intercept = mx + offset - f.slope*mx
		residual := max(0, syy-2*f.slope*sxy+f.slope*f.slope*sxx)
		f.spread = math.Sqrt((residual + prior) / (f.n + priorWeight))
	}
	f.spread = min(max(f.spread, minSpread), maxSpread)
	f.table = make([]remainingOutput, tableRange*tableStep+1)
	for i := range f.table {
		f.table[i] = remainingAfter(float64(i)/tableStep, f.spread)
	}
}

// remainingAfter returns what remains of an output of median 1 after a length g,
// from the moments of the truncated log-normal distribution.
func remainingAfter(g, spread float64) remainingOutput {
	mean, square := math.Exp(spread*spread/2), math.Exp(2*spread*spread)
	if g > 0 {
		z := math.Log(g) / spread
		reached := upperTail(z)
		if reached < 1e-12 {
			return remainingOutput{mean: g * spread * spread / math.Log(g), variance: 0}
		}
		mean *= upperTail(z-spread) / reached
		square *= upperTail(z-2*spread) / reached
	}
	return remainingOutput{mean: max(0, mean-g), variance: max(0, square-mean*mean)}
}

// upperTail returns the probability that a standard normal variable exceeds z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// Remaining returns the mean and the variance of the output that a request still
// generates, given its estimate and what it has generated so far.
func (f *OutputForecast) Remaining(estimate, generated float64) (mean, variance float64) {
	if f.table == nil {
		f.fit()
	}
	if estimate <= 0 {
		return 0, 0
	}
	median := math.Exp(f.intercept + f.slope*math.Log(estimate))
	i := min(int(generated/median*tableStep), len(f.table)-1)
	r := f.table[max(0, i)]
	return r.mean * median, r.variance * median * median
}
