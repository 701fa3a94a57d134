package policy

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a forecast that differs from the mean and the spread of outputs
// that have already reached a length.
func TestRemainingOutputMatchesSamples(t *testing.T) {
	const spread, n = 0.5, 400000
	rng := rand.New(rand.NewPCG(1, 2))
	lengths := make([]float64, n)
	for i := range lengths {
		lengths[i] = math.Exp(spread * rng.NormFloat64())
	}
	for _, g := range []float64{0, 0.5, 1, 1.5, 2.5} {
		sum, squares, count := 0.0, 0.0, 0.0
		for _, l := range lengths {
			if l > g {
				sum += l - g
				squares += (l - g) * (l - g)
				count++
			}
		}
		mean := sum / count
		r := remainingAfter(g, spread)
		require.InEpsilon(t, mean, r.mean, 0.03, "after %v", g)
		require.InEpsilon(t, squares/count-mean*mean, r.variance, 0.1, "after %v", g)
	}
}

// Guards against forecasts for long outputs that are negative, undefined or grow
// without bound.
func TestRemainingOutputFarBeyondTheEstimate(t *testing.T) {
	var f OutputForecast
	for _, generated := range []float64{0, 1, 100, 1000, 5000, 1e6} {
		mean, variance := f.Remaining(100, generated)
		require.GreaterOrEqual(t, mean, 0.0)
		require.GreaterOrEqual(t, variance, 0.0)
		require.Less(t, mean, 1000.0, "after %v", generated)
	}
	mean, variance := f.Remaining(0, 50)
	require.Zero(t, mean)
	require.Zero(t, variance)
}

// Guards against estimates that are trusted although they are twice too long, or
// that say little about the length.
func TestOutputForecastLearnsFromCompletions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var doubled, useless OutputForecast
	for range 1000 {
		length := 800 * math.Exp(0.4*rng.NormFloat64())
		doubled.Completed(int(2*length), int(length))
		useless.Completed(int(800*math.Exp(0.4*rng.NormFloat64())), int(length))
	}
	mean, variance := doubled.Remaining(1600, 0)
	require.InEpsilon(t, 800, mean, 0.1)
	require.Less(t, math.Sqrt(variance), 0.2*800, "the lengths are known well")
	short, _ := useless.Remaining(400, 0)
	long, _ := useless.Remaining(1600, 0)
	require.InEpsilon(t, long, short, 0.25, "the estimate says nothing")
}
