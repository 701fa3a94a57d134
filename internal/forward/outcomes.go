package forward

import (
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// callOutcomes counts successful and failed calls by upstream until they are
// reported.
type callOutcomes struct {
	mu     sync.Mutex
	counts map[*target]*pb.UpstreamOutcomes
}

func (l *callOutcomes) add(t *target, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[t]
	if c == nil {
		c = &pb.UpstreamOutcomes{Id: t.id, BornMs: t.bornMs}
		l.counts[t] = c
	}
	if failed {
		c.Failed++
	} else {
		c.Good++
	}
}

// withdrawFailures drops the failed calls of a target that are not reported yet.
func (l *callOutcomes) withdrawFailures(t *target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.counts[t]; c != nil {
		c.Failed = 0
	}
}

// Outcomes returns the numbers of successful and failed calls by upstream, and what
// was learned about parts of prompts, since the previous call of Outcomes.
func (s *Server) Outcomes() *pb.OutcomeReport {
	crashes, sound := s.promptParts.takeReport()
	return &pb.OutcomeReport{
		Outcomes: s.takeCallOutcomes(), Crashes: crashes, SoundParts: sound, Statements: s.takeStatements(), StreamVersions: s.takeStreamVersions(),
		RouteServices: s.takeRouteServices(), EventNumberings: s.takeEventNumberings(),
	}
}

func (s *Server) takeCallOutcomes() []*pb.UpstreamOutcomes {
	l := &s.upstreams.outcomes
	l.mu.Lock()
	counts := l.counts
	l.counts = map[*target]*pb.UpstreamOutcomes{}
	l.mu.Unlock()
	list := make([]*pb.UpstreamOutcomes, 0, len(counts))
	for _, c := range counts {
		list = append(list, c)
	}
	return list
}

// errorShareTTL is how long a received error share is valid: three updates of
// the feed hub. Afterwards only the entry's own calls count.
const errorShareTTL = 1500 * time.Millisecond

// SetErrorShares stores each upstream's share of failed calls over all entries, as
// received from a feed hub.
func (s *Server) SetErrorShares(shares []*pb.ErrorShare) {
	for _, share := range shares {
		t := s.upstreams.get(share.Id)
		if t == nil || t.bornMs != share.BornMs {
			continue
		}
		if t.setGlobalErrorShare(float64(share.Percent)/100, s.now()) {
			s.opts.Logger.Warn().Str("event", "upstream.failing").Str("upstream", t.id).Uint32("percent", share.Percent).Msg("")
		}
	}
}

// setGlobalErrorShare stores the share of failed calls over all entries. It reports
// whether there was no unexpired share before.
func (t *target) setGlobalErrorShare(share float64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasExpired := now >= t.errorShareExpires
	t.globalErrorShare, t.errorShareExpires = share, now+errorShareTTL
	return wasExpired
}
