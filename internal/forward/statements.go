package forward

import (
	"net/http"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// recordStatement records what a response to a request sent at sentAt says about the
// requests that its upstream takes.
func (s *Server) recordStatement(t *target, opts *SendOptions, resp *http.Response, info *ResponseInfo, sentAt time.Duration) {
	if resp.StatusCode == http.StatusMisdirectedRequest || info.ContentEncoded {
		// Another process or an intermediary has answered.
		return
	}
	if fromProcess(opts, resp, info) {
		s.pause(t, info.Pause)
	}
	stated := policy.UpstreamStatement{Leaving: info.Leaving, SentAt: sentAt}
	switch limit := info.RateLimit; {
	case limit == nil && !info.Leaving && !fromProcess(opts, resp, info):
		// Not a word of the upstream's own, so it does not end a limit.
		return
	case limit != nil && limit.Err != nil:
		s.opts.Logger.Warn().Str("event", "upstream.limit_invalid").Str("upstream", t.id).Err(limit.Err).Msg("")
		t.mu.Lock()
		stated.Limit = t.stated.Limit
		t.mu.Unlock()
	case limit != nil:
		stated.Limit = policy.StatedLimit(limit.PerSecond)
	}
	changed := s.updateStatement(t, stated, "response")
	if changed || stated.Limit > 0 || stated.Leaving {
		s.statementReports.add(t)
	}
	if changed {
		s.reportNow.signal()
	}
}

// maxPause bounds the time for which an upstream gets no request because it asked for
// none. It may then ask again.
const maxPause = time.Minute

// pause keeps requests from a target that has turned one away and wants none for some
// time; 0 means that it did not say so.
func (s *Server) pause(t *target, d time.Duration) {
	if d <= 0 {
		return
	}
	until := s.now() + min(d, maxPause)
	t.mu.Lock()
	t.pausedUntil = max(t.pausedUntil, until)
	t.mu.Unlock()
	s.opts.Logger.Warn().Str("event", "upstream.paused").Str("upstream", t.id).Int64("ms", d.Milliseconds()).Msg("")
}

// pauseEnd returns the time until the first of a service's paused upstreams takes
// requests again; 0 if none is paused or another upstream takes requests.
func (u *upstreams) pauseEnd(service string, now time.Duration) time.Duration {
	var first time.Duration
	for _, t := range u.list(service) {
		t.mu.Lock()
		left := t.pausedUntil - now
		takesRequests := left <= 0 && !t.stated.Leaving && !t.misdirected && t.record.Phase == pb.UpstreamPhase_UPSTREAM_READY
		t.mu.Unlock()
		if takesRequests {
			return 0
		}
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// limited reports whether the target states a limit.
func (t *target) limited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated.Limit > 0
}

// refusesWork reports whether the target has said that it is about to end, or that it
// wants no request for some time.
func (t *target) refusesWork(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated.Leaving || now < t.pausedUntil
}

// reportsLeaving reports whether the process has told the core that it drains or ends.
func (t *target) reportsLeaving() bool {
	phase := t.currentRecord().Phase
	return phase == pb.UpstreamPhase_UPSTREAM_DRAINING || phase == pb.UpstreamPhase_UPSTREAM_GONE
}

// fromProcess reports whether a response shows that the upstream itself has sent it.
func fromProcess(opts *SendOptions, resp *http.Response, info *ResponseInfo) bool {
	return info.FromUpstream || info.NotRun || opts.Prefill && resp.StatusCode < 300
}

// updateStatement applies a statement and reports whether anything changed. source tells
// where it was learned.
func (s *Server) updateStatement(t *target, stated policy.UpstreamStatement, source string) bool {
	now := s.now()
	t.mu.Lock()
	changed := t.stated.Update(stated)
	known := t.stated
	sends := t.recentSends.Count(now)
	t.mu.Unlock()
	if changed {
		s.opts.Logger.Warn().Str("event", "upstream.states").Str("upstream", t.id).Float64("limit", known.Limit).Bool("leaving", known.Leaving).
			Int64("age_ms", (now-stated.SentAt).Milliseconds()).Str("source", source).Int("sent_4s", sends).Msg("")
	}
	return changed
}

// statementReports holds the targets that have stated something, or ended a limit, in a
// response to this entry since the previous report.
type statementReports struct {
	mu      sync.Mutex
	targets map[*target]bool
}

func (l *statementReports) add(t *target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[t] = true
}

// takeStatements returns the statements that are to be reported.
func (s *Server) takeStatements() []*pb.UpstreamStatement {
	l := &s.statementReports
	l.mu.Lock()
	targets := l.targets
	l.targets = map[*target]bool{}
	l.mu.Unlock()
	var list []*pb.UpstreamStatement
	for t := range targets {
		t.mu.Lock()
		stated := t.stated
		t.mu.Unlock()
		age := max(0, s.now()-stated.SentAt)
		list = append(list, &pb.UpstreamStatement{Id: t.id, BornMs: t.bornMs, Limit: stated.Limit, AgeMs: uint32(age.Milliseconds()), Leaving: stated.Leaving})
	}
	return list
}

// SetStatements applies the statements of upstreams that a feed hub knows.
func (s *Server) SetStatements(list []*pb.UpstreamStatement) {
	for _, st := range list {
		if t := s.upstreams.get(st.Id); t != nil && t.bornMs == st.BornMs {
			age := time.Duration(st.AgeMs) * time.Millisecond
			s.updateStatement(t, policy.UpstreamStatement{Limit: st.Limit, Leaving: st.Leaving, SentAt: s.now() - age}, "hub")
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
		if t.stated.Limit > 0 {
			list[t.id] = limitedUpstream{PerSecond: t.stated.Limit, Sent: t.recentSends.Count(s.now())}
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
