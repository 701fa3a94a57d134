package forward

import (
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// outcomeLog counts the ended calls by upstream until they are reported.
type outcomeLog struct {
	mu     sync.Mutex
	counts map[*target]*pb.UpstreamOutcomes
}

func (l *outcomeLog) add(t *target, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[t]
	if c == nil {
		c = &pb.UpstreamOutcomes{Id: t.id, BornMs: t.born}
		l.counts[t] = c
	}
	if failed {
		c.Failed++
	} else {
		c.Good++
	}
}

// Outcomes returns the outcomes of the calls that ended since it was last
// called.
func (s *Server) Outcomes() []*pb.UpstreamOutcomes {
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

// shareLife is how long a stated share counts: three updates of a hub. An
// upstream that is not listed any more is judged by the entry's own calls.
const shareLife = 1500 * time.Millisecond

// SetErrorShares takes the shares of failed calls at all entries.
func (s *Server) SetErrorShares(shares []*pb.ErrorShare) {
	for _, share := range shares {
		t := s.upstreams.get(share.Id)
		if t == nil || t.born != share.BornMs {
			continue
		}
		if t.othersFail(float64(share.Percent)/100, s.now()) {
			s.opts.Logger.Warn().Str("event", "upstream.failing").Str("upstream", t.id).Uint32("percent", share.Percent).Msg("")
		}
	}
}

// othersFail notes a share of failed calls. It reports whether none was in force.
func (t *target) othersFail(share float64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := now >= t.othersUntil
	t.othersErrors, t.othersUntil = share, now+shareLife
	return fresh
}
