package usage

import (
	"math"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

func encodeReport(r *policy.UsageReport) *pb.TenantUsageRequest {
	req := &pb.TenantUsageRequest{EntryId: r.Entry, BornMs: r.Born, Sequence: r.Sequence, Applied: r.Applied, Term: r.Term, Entries: uint32(max(0, r.Entries))}
	for i := range r.Tenants {
		u := &r.Tenants[i]
		req.Tenants = append(req.Tenants, &pb.TenantUsage{
			Name: u.Name, Held: u.Held, Returned: u.ReturnedTotal, PerSecond: u.PerSecond,
			Asked: u.Asked, AskedFirst: u.AskedFirst, Wanted: u.Wanted, Recent: u.Recent,
		})
	}
	return req
}

// decodeReport returns a report that was received at a time of the wall clock.
func decodeReport(req *pb.TenantUsageRequest, at time.Time) *policy.UsageReport {
	r := &policy.UsageReport{Entry: req.EntryId, Born: req.BornMs, Age: processAge(req.BornMs, at), Sequence: req.Sequence, Applied: req.Applied, Term: req.Term, Entries: int(req.Entries)}
	for _, u := range req.Tenants {
		d := policy.TenantUse{
			Name: u.Name, Held: finite(u.Held), ReturnedTotal: finite(u.Returned), PerSecond: finite(u.PerSecond),
			Asked: max(0, finite(u.Asked)), AskedFirst: max(0, finite(u.AskedFirst)), Wanted: max(0, finite(u.Wanted)),
		}
		for _, n := range u.Recent {
			d.Recent = append(d.Recent, max(0, finite(n)))
		}
		r.Tenants = append(r.Tenants, d)
	}
	return r
}

// processAge returns how long a process has run that started at a time in Unix milliseconds. It is
// 0 if the clocks of the VMs contradict each other, and not exact by their difference.
func processAge(bornMs int64, at time.Time) time.Duration {
	return max(0, at.Sub(time.UnixMilli(bornMs)))
}

// finite returns 0 for a number that is none: it would stay in every sum that it enters.
func finite(n float64) float64 {
	if math.IsNaN(n) || math.IsInf(n, 0) {
		return 0
	}
	return n
}

func encodeGrant(g *policy.TenantGrant) *pb.TenantGrant {
	return &pb.TenantGrant{
		Name: g.Name, Granted: g.Granted, StandbyPerSecond: g.Standby.PerSecond, StandbyGraceMs: uint32(max(0, g.Standby.Grace.Milliseconds())),
		RetryAfterMs: ceilMillis(g.RetryAfter), Undecided: g.Undecided,
	}
}

func decodeAnswer(resp *pb.TenantUsageResponse) *answer {
	a := &answer{term: resp.Term, restate: resp.Restate}
	for _, g := range resp.Tenants {
		a.grants = append(a.grants, policy.TenantGrant{
			Name: g.Name, Granted: finite(g.Granted), Standby: policy.StandbyTerms{PerSecond: finite(g.StandbyPerSecond), Grace: millis(g.StandbyGraceMs)},
			RetryAfter: millis(g.RetryAfterMs), Undecided: g.Undecided,
		})
	}
	return a
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// ceilMillis returns a time in whole milliseconds, rounded up.
func ceilMillis(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, (d+time.Millisecond-1)/time.Millisecond)))
}
