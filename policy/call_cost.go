package policy

import (
	"math"
	"time"
)

const (
	// costMemory is the time constant with which samples of a call's cost are forgotten. A
	// changed cost is followed within a minute, and a route with one call in 10 s still has
	// some samples.
	costMemory = 30 * time.Second
	// costPriorWeight is the number of samples that the prior of a route counts as.
	costPriorWeight = 3
	// priorCallSeconds is the assumed mean and spread of a call to a service without samples.
	priorCallSeconds = 0.02
	// maxCostRatio bounds a sample as a multiple of the estimate, so that one stalled call
	// does not make a route look expensive.
	maxCostRatio = 8
	// maxCostedRoutes limits the routes that are learned individually in a service; the
	// others have the estimate of the service.
	maxCostedRoutes = 256
	// evidenceWeight is the weight of samples from which an estimate counts as learned.
	evidenceWeight = 5
)

// CallCost is the estimated time that a plain call takes at an instance of usual speed that
// runs it at once, in seconds.
type CallCost struct {
	Mean, Spread float64
	// Learned is set if the estimate comes from enough recent samples.
	Learned bool
}

// CallSample is the outcome of one plain call.
type CallSample struct {
	// Took is the time from the first byte of the request to the end of the response.
	Took time.Duration
	// Running, Waiting and Slots are the load that the instance reported with the response;
	// Slots is 0 if it reported none.
	Running, Waiting, Slots int
	// Slowness is the ratio of the time that work took at the instance to the usual time; 0
	// if it was not stated.
	Slowness float64
	// Queued is set if calls waited at the instance, as far as known, when the call was sent.
	Queued bool
}

// queuedCostRange is the range around the estimate, as a share of it, within which calls that
// may have waited count. Their time is that of the queue, whose length is known only when
// they end: while a queue drained, the estimate rose to three times the cost.
const queuedCostRange = 0.1

// Seconds returns the time that the call would have taken at usual speed without waiting.
// While all slots are busy, a call stays for the number of calls present divided by their
// rate, slots per cost (Little's law), so the excess over the slots is time spent waiting.
func (s *CallSample) Seconds() float64 {
	seconds := s.Took.Seconds()
	if s.Slowness > 0 {
		seconds /= s.Slowness
	}
	if present := s.Running + s.Waiting; s.Slots > 0 && s.Waiting > 0 && present > s.Slots {
		seconds *= float64(s.Slots) / float64(present)
	}
	return seconds
}

// distribution is a mean and a variance over samples whose weight decays with their age.
type distribution struct {
	weight, mean, squares float64
	at                    time.Duration
}

func (d *distribution) weightAt(now time.Duration) float64 {
	if d.weight == 0 {
		return 0
	}
	return d.weight * math.Exp(-max(0, now-d.at).Seconds()/costMemory.Seconds())
}

func (d *distribution) add(sample float64, now time.Duration) {
	kept := d.weightAt(now)
	if d.weight > 0 {
		d.squares *= kept / d.weight
	}
	d.weight, d.at = kept+1, now
	delta := sample - d.mean
	d.mean += delta / d.weight
	d.squares += delta * (sample - d.mean)
}

// routeCost is the learned cost of the calls of one route, with the error of its estimates.
type routeCost struct {
	cost    distribution
	samples int64
	// absError and bias are the moving averages of the distance between estimate and sample,
	// and of estimate minus sample, in seconds.
	absError, bias float64
}

// costErrorGain averages the error of estimates over about fifty calls.
const costErrorGain = 0.02

// ServiceCosts learns the cost of the plain calls to one service by route. The zero value
// knows nothing. It is not safe for concurrent use.
type ServiceCosts struct {
	all    distribution
	routes map[string]*routeCost
}

// Estimate returns the cost of a call of a route. A new route begins with the mean of its
// service, a new service with priorCallSeconds.
func (c *ServiceCosts) Estimate(route string, now time.Duration) CallCost {
	prior := CallCost{Mean: priorCallSeconds, Spread: priorCallSeconds}
	prior = c.all.estimate(prior, now)
	if r := c.routes[route]; r != nil {
		return r.cost.estimate(prior, now)
	}
	return prior
}

// estimate combines the samples with a prior that counts as costPriorWeight samples.
func (d *distribution) estimate(prior CallCost, now time.Duration) CallCost {
	weight := d.weightAt(now)
	if weight == 0 {
		return prior
	}
	total := weight + costPriorWeight
	mean := (weight*d.mean + costPriorWeight*prior.Mean) / total
	variance := weight * (d.squares/d.weight + (d.mean-mean)*(d.mean-mean))
	variance += costPriorWeight * (prior.Spread*prior.Spread + (prior.Mean-mean)*(prior.Mean-mean))
	return CallCost{Mean: mean, Spread: math.Sqrt(variance / total), Learned: prior.Learned || weight >= evidenceWeight}
}

// Add learns from one call and returns its sample in seconds.
func (c *ServiceCosts) Add(route string, s *CallSample, now time.Duration) float64 {
	seconds := s.Seconds()
	if seconds <= 0 {
		return 0
	}
	estimate := c.Estimate(route, now)
	switch {
	case !estimate.Learned:
	case s.Queued || s.Slots > 0 && s.Running+s.Waiting > s.Slots:
		seconds = min(max(seconds, (1-queuedCostRange)*estimate.Mean), (1+queuedCostRange)*estimate.Mean)
	default:
		seconds = min(seconds, maxCostRatio*estimate.Mean)
	}
	c.all.add(seconds, now)
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxCostedRoutes && !c.forget(now) {
			return seconds
		}
		if c.routes == nil {
			c.routes = map[string]*routeCost{}
		}
		r = &routeCost{}
		c.routes[route] = r
	}
	r.cost.add(seconds, now)
	r.samples++
	gain := max(costErrorGain, 1/float64(r.samples))
	r.absError += gain * (math.Abs(estimate.Mean-seconds) - r.absError)
	r.bias += gain * (estimate.Mean - seconds - r.bias)
	return seconds
}

// forget removes the routes without a sample of the last minutes and reports whether there
// was one.
func (c *ServiceCosts) forget(now time.Duration) bool {
	found := false
	for name, r := range c.routes {
		if now-r.cost.at > 10*costMemory {
			delete(c.routes, name)
			found = true
		}
	}
	return found
}

// RouteCostReport is what is learned of one route, for the metrics. Times are in ms.
type RouteCostReport struct {
	Route    string  `json:"route"`
	Samples  int64   `json:"samples"`
	Mean     float64 `json:"mean_ms"`
	Spread   float64 `json:"spread_ms"`
	AbsError float64 `json:"error_ms"`
	Bias     float64 `json:"bias_ms"`
}

// Report returns what is learned of each route.
func (c *ServiceCosts) Report(now time.Duration) []RouteCostReport {
	list := make([]RouteCostReport, 0, len(c.routes))
	for name, r := range c.routes {
		e := c.Estimate(name, now)
		list = append(list, RouteCostReport{name, r.samples, 1e3 * e.Mean, 1e3 * e.Spread, 1e3 * r.absError, 1e3 * r.bias})
	}
	return list
}
