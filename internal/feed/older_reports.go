package feed

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// olderReportInterval is the shortest time between two log lines about older reports.
const olderReportInterval = time.Second

// olderReports counts the reports of upstreams that were dropped as older than the ones known.
type olderReports struct {
	dropped, logged uint64
	loggedAt        time.Duration
}

// count counts a dropped report, and returns the number of those since the last log line if
// another one is due. known may be nil.
func (o *olderReports) count(r, known *pb.UpstreamRecord, now time.Duration) uint64 {
	if known != nil && known.BornMs == r.BornMs && known.Sequence == r.Sequence {
		// An upstream repeats a report at another daemon if it has got no response.
		return 0
	}
	o.dropped++
	if o.logged > 0 && now-o.loggedAt < olderReportInterval {
		return 0
	}
	n := o.dropped - o.logged
	o.logged, o.loggedAt = o.dropped, now
	return n
}
