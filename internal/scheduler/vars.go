package scheduler

import (
	"expvar"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Kinds of calls to engines, by which failures are counted.
const (
	callCancel       = "cancel"
	callCancelOrphan = "cancel_orphan"
	callRunning      = "running"
	callOrder        = "order"
	callReportRole   = "report_role"
	// callDropped counts calls that were not made because the queue was full.
	callDropped = "dropped"
)

// vars contains the metrics of one scheduler.
type vars struct {
	all              *expvar.Map
	grants           *expvar.Int
	refusals         *expvar.Map
	takeovers        *expvar.Int
	orphansCancelled *expvar.Int
	engineFailures   *expvar.Map
}

func newVars(s *Scheduler) *vars {
	v := &vars{
		all: new(expvar.Map).Init(), grants: new(expvar.Int), refusals: new(expvar.Map).Init(),
		takeovers: new(expvar.Int), orphansCancelled: new(expvar.Int), engineFailures: new(expvar.Map).Init(),
	}
	v.all.Set("queued", expvar.Func(func() any { return s.countByPool((*Pool).Queued) }))
	v.all.Set("holds", expvar.Func(func() any { return s.countByPool((*Pool).HoldCount) }))
	v.all.Set("grants", v.grants)
	v.all.Set("refusals", v.refusals)
	v.all.Set("takeovers", v.takeovers)
	v.all.Set("orphans_cancelled", v.orphansCancelled)
	v.all.Set("engine_call_failures", v.engineFailures)
	return v
}

// countResponse counts a response that a submitter receives.
func (v *vars) countResponse(resp *pb.SubmitResponse) {
	if r := resp.GetRefusal(); r != nil {
		v.refusals.Add(r.Code.String(), 1)
		return
	}
	v.grants.Add(1)
}

// Vars returns the scheduler's metrics.
func (s *Scheduler) Vars() expvar.Var {
	return s.vars.all
}

func (s *Scheduler) countByPool(count func(*Pool) int) map[string]int {
	out := map[string]int{}
	for _, a := range s.activePools() {
		out[a.name] = count(a.pool)
	}
	return out
}
