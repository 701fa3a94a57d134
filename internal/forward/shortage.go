package forward

import (
	"sync"
	"time"

	"godwitward.example/godwitward/policy"
)

// shortages holds, by service, the decisions about plain calls while its upstreams have
// calls that wait.
type shortages struct {
	mu        sync.Mutex
	byService map[string]*shortage
}

// shortage is the state of one service, guarded by the mutex of shortages.
type shortage struct {
	gate policy.CallGate
	// surges counts the calls of tenants.
	surges policy.CallSurges
	// refused counts the refused calls, unlogged those since the last log line at loggedAt.
	refused, unlogged int64
	loggedAt          time.Duration
	// calledAt is when a call was last placed, and checking is set while checkLoads runs.
	calledAt time.Duration
	checking bool
}

func (s *shortages) get(service string) *shortage {
	sh := s.byService[service]
	if sh == nil {
		sh = &shortage{}
		if s.byService == nil {
			s.byService = map[string]*shortage{}
		}
		s.byService[service] = sh
	}
	return sh
}

// keep forgets the services that a configuration does not have.
func (s *shortages) keep(services map[string]*Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.byService {
		if services[name] == nil {
			delete(s.byService, name)
		}
	}
}

// refusals returns the number of refused calls by service, for the metrics.
func (s *shortages) refusals() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for name, sh := range s.byService {
		out[name] = sh.refused
	}
	return out
}

// overloadLogInterval is the shortest time between two log lines about refused calls of a
// service.
const overloadLogInterval = time.Second

// reasonOverloaded is the reason of a call that no upstream would have ended in time.
const reasonOverloaded = "overloaded"

// refuseOverloaded refuses a plain call that no upstream would end before its deadline, and
// reports whether it has done so. t is the upstream that the call would be sent to: unless
// calls surely wait there, or the call's tenant surges, nothing else is looked at.
func (x *exchange) refuseOverloaded(t *target) bool {
	x.expectedEnd = 0
	now := x.s.now()
	surging := !x.mayHaveRun() && x.tenantSurges(t, now)
	if !surging && !t.queuesCalls(x.cost, now) {
		return false
	}
	usable := x.s.upstreams.usable(upstreamFilter{service: x.service.Name}, now)
	for _, other := range usable {
		if other.limited() {
			// Permits bound what it gets.
			return false
		}
	}
	candidates := x.s.upstreams.candidates(usable, upstreamFilter{}, now)
	if x.mayHaveRun() {
		x.expectedEnd = policy.QueueEnd(candidates, x.cost, now)
		return false
	}
	var key uint64
	if x.whole && len(x.parts) == 1 {
		key = x.parts[0]
	}
	s := &x.s.shortages
	s.mu.Lock()
	sh := s.get(x.service.Name)
	var v policy.CallVerdict
	if surging {
		v = sh.gate.AdmitSurging(candidates, x.cost, x.remaining()-deadlineMargin, now)
	} else {
		v = sh.gate.Admit(candidates, x.cost, key, x.remaining()-deadlineMargin, now)
	}
	logged := int64(0)
	if v.Refused {
		sh.refused++
		sh.unlogged++
		if sh.loggedAt == 0 || now-sh.loggedAt >= overloadLogInterval {
			logged, sh.unlogged, sh.loggedAt = sh.unlogged, 0, now
		}
	}
	s.mu.Unlock()
	x.expectedEnd = v.End
	if !v.Refused {
		return false
	}
	if logged > 0 {
		x.s.opts.Logger.Warn().Str("event", "service.overloaded").Str("service", x.service.Name).Str("route", x.route.Name).Int64("refused", logged).
			Int("upstreams", len(usable)).Int64("forecast_ms", v.End.Milliseconds()).Int64("retry_after_ms", v.RetryAfter.Milliseconds()).
			Bool("returning", v.Returning).Bool("surging", surging).Str("tenant", x.tenantName()).Float64("cost_ms", 1e3*x.cost.Mean).Msg("")
	}
	reason := reasonOverloaded
	if x.reason != "" {
		reason += "_after_" + x.reason
	}
	// capRetryAfter shortens it by up to retryAfterSpread.
	x.refuse(reason, x.capRetryAfter(time.Duration(float64(v.RetryAfter)/(1-retryAfterSpread))))
	return true
}

// tenantSurges reports whether t has reported waiting calls of late and the call's tenant sends
// far more than usual.
func (x *exchange) tenantSurges(t *target, now time.Duration) bool {
	if x.tenant == nil || !t.reportsWaiting(now) {
		return false
	}
	s := &x.s.shortages
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(x.service.Name).surges.Surging(x.tenant.Name, now)
}

// countTenantCall counts a plain call of a tenant that is sent to t, for tenantSurges.
func (x *exchange) countTenantCall(t *target) {
	if x.tenant == nil || !t.statesSlowness() {
		return
	}
	s := &x.s.shortages
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(x.service.Name).surges.Admitted(x.tenant.Name, x.s.now())
}

func (t *target) statesSlowness() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load.StatesSlowness()
}

// queuesCalls reports whether calls surely wait for a slot of the target.
func (t *target) queuesCalls(cost policy.CallCost, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load.QueuedCalls(cost, now) > 0
}
