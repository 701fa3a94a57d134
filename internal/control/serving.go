package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/lease"
)

// leaderState is the soft state that the leader of group 0 keeps during one
// term. It is guarded by Server.mu.
type leaderState struct {
	// term is 0 until this member has served as the leader.
	term      uint64
	startedAt time.Time
	// minVersion is the lowest version with which a daemon gets a serving lease:
	// this leader or an earlier one may have reported it as in force.
	minVersion uint64
	serving    map[string]*servingLease
	// acked is closed and replaced when a daemon reports a newer version.
	acked chan struct{}
}

type servingLease struct {
	deadline time.Time
	applied  uint64
	inFlight []*pb.InFlight
}

func newLeaderState(term, minVersion uint64, now time.Time) leaderState {
	return leaderState{term: term, startedAt: now, minVersion: minVersion, serving: map[string]*servingLease{}, acked: make(chan struct{})}
}

// renewServing grants or extends the serving lease of one daemon.
func (s *Server) renewServing(ctx context.Context, req *pb.RenewServingRequest) (*pb.RenewServingResponse, error) {
	arrived := time.Now()
	if req.DaemonId == "" {
		return nil, transport.Errorf(pb.Status_INVALID, "daemon_id is empty")
	}
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stillLeading() {
		return nil, s.notLeaderError(storeGroup)
	}
	required := s.store.version()
	deadline := s.servingDeadline(req.AppliedVersion, required, arrived)
	ttl := deadline.Sub(arrived)
	if ttl <= 0 {
		// A lease granted to the daemon earlier stays valid until its deadline.
		return &pb.RenewServingResponse{RequiredVersion: required}, nil
	}
	l := s.leader.serving[req.DaemonId]
	if l == nil {
		l = &servingLease{}
		s.leader.serving[req.DaemonId] = l
	}
	if deadline.After(l.deadline) {
		l.deadline = deadline
	}
	l.inFlight = req.InFlight
	newer := req.AppliedVersion > l.applied
	// The version may decrease: a daemon that restarted under the same id may
	// be behind.
	l.applied = req.AppliedVersion
	if newer {
		close(s.leader.acked)
		s.leader.acked = make(chan struct{})
	}
	return &pb.RenewServingResponse{TtlMs: uint32(ttl.Milliseconds()), RequiredVersion: required}, nil
}

// servingDeadline returns until when a daemon may serve with the version it
// applied. A daemon that is behind may serve for one TTL after the first change
// that it lacks was applied here, and not at all once that change was reported
// as in force or is no longer in the history.
func (s *Server) servingDeadline(applied, required uint64, arrived time.Time) time.Time {
	fullDeadline := arrived.Add(s.opts.ServingTTL)
	if applied >= required {
		return fullDeadline
	}
	appliedAt, ok := s.store.appliedAt(applied + 1)
	if applied < s.leader.minVersion || !ok {
		return time.Time{}
	}
	if limit := appliedAt.Add(s.opts.ServingTTL); limit.Before(fullDeadline) {
		return limit
	}
	return fullDeadline
}

// awaitInForce returns nil once every daemon that may hold a serving lease,
// possibly from an earlier leader, has applied the version.
func (s *Server) awaitInForce(ctx context.Context, version uint64) error {
	for {
		wait, acked := s.checkInForce(version, time.Now())
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-acked:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// minInForceWait prevents a busy loop when a deadline is about to pass.
const minInForceWait = time.Millisecond

// checkInForce returns how long to wait before the next check, or 0 when the
// version is in force. In that case it also raises minVersion, so that daemons
// with an older version get no further lease.
func (s *Server) checkInForce(version uint64, now time.Time) (wait time.Duration, acked <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader.term == 0 {
		// This member has not led yet, and nothing signals the start of its
		// first term, so poll.
		return s.opts.ServingTTL / 10, nil
	}
	until := s.leader.startedAt.Add(lease.Lengthen(s.opts.ServingTTL))
	for _, l := range s.leader.serving {
		if l.applied < version && l.deadline.After(until) {
			until = l.deadline
		}
	}
	if !until.After(now) {
		s.leader.minVersion = max(s.leader.minVersion, version)
		return 0, nil
	}
	return max(until.Sub(now), minInForceWait), s.leader.acked
}

// servingLeases lists the unexpired serving leases, ordered by daemon id.
func (s *Server) servingLeases(now time.Time) []*pb.ServingLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.ServingLease
	for id, l := range s.leader.serving {
		if remaining := l.deadline.Sub(now); remaining > 0 {
			out = append(out, &pb.ServingLease{DaemonId: id, AppliedVersion: l.applied, RemainingMs: uint32(remaining.Milliseconds())})
		}
	}
	slices.SortFunc(out, func(a, b *pb.ServingLease) int { return strings.Compare(a.DaemonId, b.DaemonId) })
	return out
}

// inFlight sums the requests in flight that daemons report for a route and
// service. known is false while daemons that served under the previous leader
// may not have reported yet.
func (s *Server) inFlight(route, service string, now time.Time) (count uint32, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leader.serving {
		for _, f := range l.inFlight {
			if f.Route == route && f.Service == service {
				count += f.Count
			}
		}
	}
	allReportedAt := s.leader.startedAt.Add(lease.Lengthen(s.opts.ServingTTL))
	return count, s.leader.term != 0 && !now.Before(allReportedAt)
}

// expireServing removes serving leases that expired more than ForgetDaemonAfter
// ago, so that replaced daemons do not accumulate. Until then the in-flight
// count is kept, because a daemon without a lease still finishes its requests.
func (s *Server) expireServing(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.leader.serving, func(_ string, l *servingLease) bool {
		return now.Sub(l.deadline) > s.opts.ForgetDaemonAfter
	})
}
