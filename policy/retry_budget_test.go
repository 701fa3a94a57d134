package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// budgetHolder is one of the processes that share a retry budget in a simulation.
type budgetHolder struct {
	RetryBudget
	offset time.Duration
}

// budgetRun simulates holders that share a budget evenly and retry as often as they may.
type budgetRun struct {
	holders           []*budgetHolder
	requests, retries []time.Duration
}

const (
	simulatedRatio  = 0.2
	simulatedSlack  = 40
	simulatedWindow = 10 * time.Second
)

func newBudgetRun(holders int, random *rand.Rand) *budgetRun {
	r := &budgetRun{}
	for range holders {
		h := &budgetHolder{offset: time.Duration(random.Float64() * float64(simulatedWindow))}
		h.RetryBudget = RetryBudget{Ratio: simulatedRatio, Slack: simulatedSlack / float64(holders), Window: simulatedWindow, Partial: holders > 1}
		r.holders = append(r.holders, h)
	}
	return r
}

// run sends perSecond requests a second in total to the holders of a range from one time
// to another; with retry each holder then spends what it may.
func (r *budgetRun) run(from, to time.Duration, perSecond float64, retry func() bool, random *rand.Rand) {
	const step = 20 * time.Millisecond
	due := 0.0
	for now := from; now < to; now += step {
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			h := r.holders[random.IntN(len(r.holders))]
			h.RecordRequest(now + h.offset)
			r.requests = append(r.requests, now)
		}
		if !retry() {
			continue
		}
		for _, h := range r.holders {
			for h.Take(now + h.offset) {
				r.retries = append(r.retries, now)
			}
		}
	}
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}

// worst returns the largest excess over the budget in any window. The requests are those
// of the window, of the one before it or of the one half a window before it, whichever has
// most.
func (r *budgetRun) worst() float64 {
	worst := -1e9
	for _, w := range r.retries {
		spent := countBetween(r.retries, w, w+simulatedWindow)
		requests := 0
		for _, back := range []time.Duration{0, simulatedWindow / 2, simulatedWindow} {
			requests = max(requests, countBetween(r.requests, w-back, w-back+simulatedWindow))
		}
		worst = max(worst, float64(spent)-simulatedRatio*float64(requests)-simulatedSlack)
	}
	return worst
}

// Guards against retries that a burst allows and that are spent when the load has begun to
// fall: the window in which they fall has fewer requests.
func TestRetryBudgetHoldsWhileLoadFalls(t *testing.T) {
	worst := -1e9
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newBudgetRun(1+random.IntN(8), random)
		now := time.Duration(0)
		for range 8 {
			next := now + time.Duration(1+random.IntN(7))*time.Second
			quiet := random.IntN(2) == 0
			r.run(now, next, []float64{0, 5, 20, 160}[random.IntN(4)], func() bool { return !quiet && random.IntN(3) == 0 }, random)
			now = next
		}
		worst = max(worst, r.worst())
	}
	require.LessOrEqual(t, worst, 0.0, "retries beyond the budget of a window")
}

// Guards against processes that start anew and spend again what their predecessors have
// spent within the window.
func TestRetryBudgetHoldsWhenHoldersStartAnew(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := newBudgetRun(5, random)
	now := 20 * time.Second
	for range 6 {
		r.run(now, now+3*time.Second, 30, func() bool { return true }, random)
		now += 3 * time.Second
		next := newBudgetRun(5, random)
		for _, h := range next.holders {
			h.Inherited, h.offset = true, -now
		}
		r.holders = next.holders
	}
	r.run(now, now+25*time.Second, 30, func() bool { return true }, random)
	require.LessOrEqual(t, r.worst(), 0.0)
	require.Greater(t, countBetween(r.retries, now+15*time.Second, now+25*time.Second), 60, "the budget of 100 in a window is used again")
}
