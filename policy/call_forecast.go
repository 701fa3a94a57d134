package policy

import (
	"math"
	"time"
)

const (
	// slownessMemory is the time constant with which a stated slowness loses its weight. An
	// instance that is slow in 15% of the time for about 600 ms changes its state with a
	// time constant of 510 ms.
	slownessMemory = 500 * time.Millisecond
	// othersMemory is the same for the calls of other entries at an instance. Queues last
	// about as long as the slow moments that cause them.
	othersMemory = 500 * time.Millisecond
	// meanGain is the smoothing gain of the mean slowness and of the mean number of others'
	// calls of an instance, to which a report decays. It averages over about twenty reports.
	meanGain = 0.05
	// speedGain is the smoothing gain of the lasting speed, which averages over about fifty
	// calls: the spread of single calls must not look like a difference between instances.
	speedGain = 0.02
	// firstSpeedSamples is the number of samples that the initial speed counts as.
	firstSpeedSamples = 4
	// queueShare is the share of the work ahead, spread over the slots, that a call waits for
	// while slots seem free. The number of others' calls is an estimate.
	queueShare = 0.5
	// nearBest is the range above the best forecast, as a share of it, within which
	// instances are taken for equal. Entries with the same view then spread their calls.
	nearBest = 0.1
	// assumedSlots is the number of slots of an instance that has not stated it.
	assumedSlots = 6
)

// StatesSlowness reports whether the upstream has stated how long work takes.
func (l *EngineLoad) StatesSlowness() bool { return l.slowness > 0 }

// Slowness returns the expected ratio of the time that work takes at present to the usual
// time: the stated one, which decays to the mean of what was stated; 1 if it was never stated.
func (l *EngineLoad) Slowness(now time.Duration) float64 {
	if l.slowness == 0 {
		return 1
	}
	return l.meanSlowness + (l.slowness-l.meanSlowness)*decay(now-l.slownessAt, slownessMemory)
}

func decay(age, memory time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / memory.Seconds())
}

// otherCalls estimates the calls of other entries at the upstream: those in the last report,
// which decay to the mean of what was reported.
func (l *EngineLoad) otherCalls(now time.Duration) float64 {
	if !l.hasReport {
		return 0
	}
	others := float64(max(0, l.reported-l.ownAtReport))
	return l.meanOthers + (others-l.meanOthers)*decay(now-l.reportedAt, othersMemory)
}

// RecordCall updates the lasting speed with the ratio of the time of a call, corrected for
// slowness and queueing, to the estimated cost. The correction keeps a slow moment from
// counting twice.
func (l *EngineLoad) RecordCall(ratio float64) {
	if l.speedSamples == 0 {
		l.relativeCost = 1
	}
	l.speedSamples++
	l.relativeCost += max(speedGain, 1/float64(firstSpeedSamples+l.speedSamples)) * (min(ratio, maxSampleRatio) - l.relativeCost)
}

// lastingCost returns the learned ratio of the cost of a call at the upstream to that at the
// other upstreams, 1 when unknown.
func (l *EngineLoad) lastingCost() float64 {
	if l.speedSamples == 0 {
		return 1
	}
	return l.relativeCost
}

// ForecastEnd returns the time in seconds until the upstream would have finished one more
// call of the given cost.
func (l *EngineLoad) ForecastEnd(cost CallCost, now time.Duration) float64 {
	slots := l.capacity()
	ahead := l.seconds + l.otherCalls(now)*cost.Mean
	wait := ahead / slots * queueShare
	if excess := ahead/cost.Mean + 1 - slots; excess > 0 {
		wait += excess * cost.Mean / slots
	}
	return (cost.Mean + wait) * l.lastingCost() * l.Slowness(now)
}

// capacity returns the number of calls that the upstream runs at once.
func (l *EngineLoad) capacity() float64 {
	if l.slots > 0 {
		return float64(l.slots)
	}
	return assumedSlots
}

// UsesForecast reports whether calls are placed by forecast: only if an upstream states how
// long work takes. Services whose upstreams state three figures keep PickUpstream.
func UsesForecast(list []Candidate) bool {
	for i := range list {
		if list[i].Load.StatesSlowness() {
			return true
		}
	}
	return false
}

// PickByForecast returns the index of the upstream at which one more call of the given cost
// would end first, -1 when the list is empty. Of those that are nearly as good it draws one by
// capacity: many entries with the same view must not all choose the same upstream. r is
// uniform in [0, 1). It sets the forecast fields of the list.
func PickByForecast(list []Candidate, cost CallCost, now time.Duration, r float64) int {
	best := -1
	for i := range list {
		c := &list[i]
		c.rank = c.penalty(now)
		c.end = c.Load.ForecastEnd(cost, now) * c.errorFactor()
		if best < 0 || c.rank < list[best].rank || c.rank == list[best].rank && c.end < list[best].end {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	near := func(c *Candidate) bool {
		return c.rank == list[best].rank && c.end <= list[best].end*(1+nearBest)
	}
	total := 0.0
	for i := range list {
		if near(&list[i]) {
			total += list[i].Load.capacity()
		}
	}
	position := r * total
	for i := range list {
		if near(&list[i]) {
			if position -= list[i].Load.capacity(); position < 0 {
				return i
			}
		}
	}
	return best
}
