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

// leading is the soft state of the leader of group 0 in one term. It is
// guarded by Server.mu.
type leading struct {
	// term is 0 while this member has not begun to serve as the leader.
	term  uint64
	since time.Time
	// floor is the version that a daemon must have applied to get a serving
	// lease: an earlier leader, or this one, may have answered that it is in
	// force.
	floor   uint64
	serving map[string]*servingLease
	// acked is closed and replaced when a daemon reports a newer version.
	acked chan struct{}
}

type servingLease struct {
	deadline time.Time
	applied  uint64
	inFlight []*pb.InFlight
}

func newLeading(term, floor uint64, now time.Time) leading {
	return leading{term: term, since: now, floor: floor, serving: map[string]*servingLease{}, acked: make(chan struct{})}
}

// renewServing grants or extends the serving lease of one daemon.
func (s *Server) renewServing(ctx context.Context, req *pb.RenewServingRequest) (*pb.RenewServingResponse, error) {
	arrived := time.Now()
	if req.DaemonId == "" {
		return nil, transport.Errorf(pb.Status_INVALID, "daemon_id is empty")
	}
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stillLeading() {
		return nil, s.notLeader(storeGroup)
	}
	required := s.store.version()
	deadline := s.servingDeadline(req.AppliedVersion, required, arrived)
	ttl := deadline.Sub(arrived)
	if ttl <= 0 {
		// The daemon's earlier lease, if any, runs on unchanged.
		return &pb.RenewServingResponse{RequiredVersion: required}, nil
	}
	l := s.lead.serving[req.DaemonId]
	if l == nil {
		l = &servingLease{}
		s.lead.serving[req.DaemonId] = l
	}
	if deadline.After(l.deadline) {
		l.deadline = deadline
	}
	l.inFlight = req.InFlight
	newer := req.AppliedVersion > l.applied
	// Not the maximum: a daemon that restarted under its id may be behind.
	l.applied = req.AppliedVersion
	if newer {
		close(s.lead.acked)
		s.lead.acked = make(chan struct{})
	}
	return &pb.RenewServingResponse{TtlMs: uint32(ttl.Milliseconds()), RequiredVersion: required}, nil
}

// servingDeadline returns until when a daemon may serve with the version it
// applied. A daemon that is behind may serve for one lifetime after the change
// that it lacks, and not at all once that change was answered as in force.
func (s *Server) servingDeadline(applied, required uint64, arrived time.Time) time.Time {
	full := arrived.Add(s.opts.ServingTTL)
	if applied >= required {
		return full
	}
	committed, ok := s.store.committedAt(applied + 1)
	if applied < s.lead.floor || !ok {
		return time.Time{}
	}
	if limit := committed.Add(s.opts.ServingTTL); limit.Before(full) {
		return limit
	}
	return full
}

// awaitInForce returns nil once every daemon that may serve has applied the
// version.
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

// minInForceWait keeps the wait for a deadline that is just passing from
// spinning.
const minInForceWait = time.Millisecond

// checkInForce returns how long to wait before the next check, 0 when the
// version is in force, in which case older daemons get no lease from now on.
func (s *Server) checkInForce(version uint64, now time.Time) (wait time.Duration, acked <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.term == 0 {
		// Until the next election ends, poll: there is nothing to wait on.
		return s.opts.ServingTTL / 10, nil
	}
	until := s.lead.since.Add(lease.Lengthen(s.opts.ServingTTL))
	for _, l := range s.lead.serving {
		if l.applied < version && l.deadline.After(until) {
			until = l.deadline
		}
	}
	if !until.After(now) {
		s.lead.floor = max(s.lead.floor, version)
		return 0, nil
	}
	return max(until.Sub(now), minInForceWait), s.lead.acked
}

// servingLeases lists the live serving leases by daemon.
func (s *Server) servingLeases(now time.Time) []*pb.ServingLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.ServingLease
	for id, l := range s.lead.serving {
		if left := l.deadline.Sub(now); left > 0 {
			out = append(out, &pb.ServingLease{DaemonId: id, AppliedVersion: l.applied, RemainingMs: uint32(left.Milliseconds())})
		}
	}
	slices.SortFunc(out, func(a, b *pb.ServingLease) int { return strings.Compare(a.DaemonId, b.DaemonId) })
	return out
}

// inFlight sums the requests that live daemons report for a route and service.
// known is false while daemons that served under the previous leader may not
// have reported yet.
func (s *Server) inFlight(route, service string, now time.Time) (count uint32, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lead.serving {
		for _, f := range l.inFlight {
			if f.Route == route && f.Service == service {
				count += f.Count
			}
		}
	}
	settled := s.lead.since.Add(lease.Lengthen(s.opts.ServingTTL))
	return count, s.lead.term != 0 && !now.Before(settled)
}

// expireServing drops leases that ended long ago, so that replaced daemons do
// not accumulate. A daemon without a lease still finishes its requests, so its
// count is kept for a while.
func (s *Server) expireServing(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.lead.serving, func(_ string, l *servingLease) bool {
		return now.Sub(l.deadline) > s.opts.ForgetDaemonAfter
	})
}
