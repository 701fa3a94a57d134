package feed

import (
	"context"
	"math"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/boottime"
)

// lastReports holds when upstreams last reported to this hub itself. The ages of reports that other
// hubs pass on lack the time on the way. The hub's mu guards it.
type lastReports struct {
	byID map[string]lastReport
	// bootOffset is the time by which the boot clock was last ahead of the hub's, and checkedAt when
	// that was.
	bootOffset, checkedAt time.Duration
	// resumedAt is the time up to which reports don't count: they may have waited while the VM was
	// suspended or the process stopped.
	resumedAt time.Duration
}

// lastReport is the newest report under an id.
type lastReport struct {
	bornMs int64
	at     time.Duration
}

func newLastReports() lastReports {
	return lastReports{byID: map[string]lastReport{}, bootOffset: boottime.Now(), resumedAt: math.MinInt64}
}

// lastReportRetention is how long a report is kept: proofs ask for newer ones.
const lastReportRetention = time.Minute

// note notes a report that has just arrived.
func (l *lastReports) note(r *pb.UpstreamRecord, now time.Duration) {
	l.byID[r.Id] = lastReport{r.BornMs, now}
}

// sweep removes old reports. It is called each expiryInterval.
func (l *lastReports) sweep(now time.Duration) {
	l.check(now)
	for id, r := range l.byID {
		if now-r.at > lastReportRetention {
			delete(l.byID, id)
		}
	}
}

const (
	// maxClockDrift is the difference between two clocks that shows no suspension.
	maxClockDrift = 20 * time.Millisecond
	// maxCheckGap is the longest time between two checks of a process that was not stopped, and
	// readTime the time in which one reads what has waited for it.
	maxCheckGap = 2 * expiryInterval
	readTime    = time.Second
)

// check looks for a suspension of the VM, in which the clock of ages stands still, and for a stop
// of the process, in which reports wait to be read.
func (l *lastReports) check(now time.Duration) {
	offset := boottime.Now() - now
	if offset-l.bootOffset > maxClockDrift || now-l.checkedAt > maxCheckGap {
		l.resumedAt = now + readTime
	}
	l.bootOffset, l.checkedAt = offset, now
}

// get returns the newest report under an id: its process and its age; nil for none that counts.
func (l *lastReports) get(id string, now time.Duration) *pb.UpstreamRecord {
	l.check(now)
	r, known := l.byID[id]
	if !known || r.at <= l.resumedAt {
		return nil
	}
	// Rounded up: a report is not made newer than it is.
	return &pb.UpstreamRecord{Id: id, BornMs: r.bornMs, AgeMs: uint32((now-r.at)/time.Millisecond) + 1}
}

// newerReport returns the report of the later process, or the one that arrived later; each may be
// nil.
func newerReport(a, b *pb.UpstreamRecord) *pb.UpstreamRecord {
	switch {
	case a == nil, b != nil && (b.BornMs > a.BornMs || b.BornMs == a.BornMs && b.AgeMs < a.AgeMs):
		return b
	}
	return a
}

// LastReport asks the hubs for the newest report under an id, and returns the start of its process
// and the time since it arrived. known is false if no hub in reach has one.
func (s *Subscriber) LastReport(ctx context.Context, id string) (bornMs int64, age time.Duration, known bool) {
	var newest *pb.UpstreamRecord
	for _, answer := range s.askHubs(ctx, &pb.StreamVersionRequest{UpstreamId: id, AllHubs: true}) {
		newest = newerReport(newest, answer.Report)
	}
	return newest.GetBornMs(), milliseconds(newest.GetAgeMs()), newest != nil
}
