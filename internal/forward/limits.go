package forward

import (
	"net/http"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// recordLimit records what a response to a request sent at sentAt states about the
// requests that its upstream takes.
func (s *Server) recordLimit(t *target, opts *SendOptions, resp *http.Response, info *ResponseInfo, sentAt time.Duration) {
	if !fromProcess(opts, resp, info) {
		return
	}
	stated := policy.NoStatedLimit(sentAt)
	if info.RateLimit != nil {
		if info.RateLimit.Err != nil {
			s.opts.Logger.Warn().Str("event", "upstream.limit_invalid").Str("upstream", t.id).Err(info.RateLimit.Err).Msg("")
			return
		}
		stated = policy.NewStatedLimit(info.RateLimit.PerSecond, sentAt)
	}
	changed := s.updateLimit(t, stated, "response")
	if changed || stated.PerSecond > 0 {
		s.limitReports.add(t)
	}
	if changed {
		s.reportNow.signal()
	}
}

// fromProcess reports whether a response comes from the upstream process that it was
// expected from, and not from another one or an intermediary.
func fromProcess(opts *SendOptions, resp *http.Response, info *ResponseInfo) bool {
	if resp.StatusCode == http.StatusMisdirectedRequest || info.ContentEncoded {
		return false
	}
	return info.FromUpstream || info.NotRun || opts.Prefill && resp.StatusCode < 300
}

// updateLimit applies a stated limit. source tells where it was learned.
func (s *Server) updateLimit(t *target, stated policy.StatedLimit, source string) bool {
	now := s.now()
	t.mu.Lock()
	changed := t.limit.Update(stated)
	sends := t.recentSends.Count(now)
	t.mu.Unlock()
	if changed {
		s.opts.Logger.Warn().Str("event", "upstream.limit").Str("upstream", t.id).Float64("per_second", stated.PerSecond).
			Int64("age_ms", (now-stated.SentAt).Milliseconds()).Str("source", source).Int("sent_4s", sends).Msg("")
	}
	return changed
}

// limitReports holds the targets that have stated or ended a limit in a response to this
// entry since the previous report.
type limitReports struct {
	mu      sync.Mutex
	targets map[*target]bool
}

func (l *limitReports) add(t *target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[t] = true
}

// takeLimits returns the limits that are to be reported.
func (s *Server) takeLimits() []*pb.StatedLimit {
	l := &s.limitReports
	l.mu.Lock()
	targets := l.targets
	l.targets = map[*target]bool{}
	l.mu.Unlock()
	var list []*pb.StatedLimit
	for t := range targets {
		u := t.limitedUpstream(s.now())
		list = append(list, &pb.StatedLimit{Id: u.ID, BornMs: u.BornMs, PerSecond: u.PerSecond, AgeMs: uint32(max(0, u.Age).Milliseconds())})
	}
	return list
}

// SetLimits applies the limits that a feed hub knows.
func (s *Server) SetLimits(limits []*pb.StatedLimit) {
	for _, l := range limits {
		if t := s.upstreams.get(l.Id); t != nil && t.bornMs == l.BornMs {
			s.updateLimit(t, policy.StatedLimit{PerSecond: l.PerSecond, SentAt: s.now() - time.Duration(l.AgeMs)*time.Millisecond}, "hub")
		}
	}
}

// limitedUpstream is an upstream that states a limit, for the metrics.
type limitedUpstream struct {
	PerSecond float64 `json:"per_second"`
	// Sent is the number of requests that this entry sent there in the latest 4 s.
	Sent int `json:"sent_4s"`
}

func (s *Server) limitedUpstreams() map[string]limitedUpstream {
	list := map[string]limitedUpstream{}
	for _, t := range s.upstreams.all() {
		t.mu.Lock()
		if t.limit.PerSecond > 0 {
			list[t.id] = limitedUpstream{PerSecond: t.limit.PerSecond, Sent: t.recentSends.Count(s.now())}
		}
		t.mu.Unlock()
	}
	return list
}

// countSend counts a request that is about to be sent.
func (t *target) countSend(now time.Duration) {
	t.mu.Lock()
	t.recentSends.Add(now)
	t.mu.Unlock()
}
