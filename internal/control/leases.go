package control

import (
	"context"
	"fmt"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/lease"
)

// startLeaseTerm starts a term in which every pool lease counts as renewed at
// now, and returns the configuration version.
func (s *store) startLeaseTerm(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.BecomeLeader(now)
	return s.config.Version
}

func (s *store) decideAcquire(req *pb.AcquireLeaseRequest, now time.Time) lease.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Acquire(req.Name, req.Holder, req.Address, req.Preference, now)
}

func (s *store) confirmLease(name, holder string, token uint64, requestedAt time.Time) (lease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Renew(name, holder, token, requestedAt)
}

func (s *Server) acquireLease(ctx context.Context, req *pb.AcquireLeaseRequest) (*pb.LeaseResponse, error) {
	arrived := time.Now()
	if req.Name == "" || req.Holder == "" {
		return nil, transport.Errorf(pb.Status_INVALID, "lease name or holder is empty")
	}
	if err := s.ensureLeading(ctx); err != nil {
		return nil, err
	}
	term := s.term()
	d := s.store.decideAcquire(req, arrived)
	switch d.Action {
	case lease.Propose:
		return s.proposeLease(ctx, term, d.Command, arrived)
	case lease.Confirm:
		return s.confirmLease(ctx, req.Name, req.Holder, d.Record.Token, arrived)
	}
	return &pb.LeaseResponse{Lease: leaseMessage(d.Record)}, nil
}

func (s *Server) proposeLease(ctx context.Context, term uint64, c lease.Command, arrived time.Time) (*pb.LeaseResponse, error) {
	msg := &pb.PoolLease{Name: c.Name, Holder: c.Holder, Address: c.Address, FencingToken: c.Replaces}
	data, err := encodeWithPrefix(commandAcquireLease, term, msg)
	if err != nil {
		return nil, err
	}
	res, err := s.propose(ctx, storeGroup, data)
	if err != nil {
		return nil, err
	}
	r, ok := res.(leaseResult)
	if !ok || !r.ok {
		return &pb.LeaseResponse{Lease: leaseMessage(r.record)}, nil
	}
	s.recordEvent("lease.granted", leaseLabel(r.record), "holder", r.record.Holder)
	return s.grantLease(r.record, arrived)
}

// renewLease extends a lease without a log entry: confirming the leadership
// after the request arrived proves that no other leader has let the lease
// expire.
func (s *Server) renewLease(ctx context.Context, req *pb.RenewLeaseRequest) (*pb.LeaseResponse, error) {
	return s.confirmLease(ctx, req.Name, req.Holder, req.FencingToken, time.Now())
}

func (s *Server) confirmLease(ctx context.Context, name, holder string, token uint64, arrived time.Time) (*pb.LeaseResponse, error) {
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	return s.grantLease(lease.Record{Name: name, Holder: holder, Token: token}, arrived)
}

func (s *Server) grantLease(want lease.Record, arrived time.Time) (*pb.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stillLeading() {
		return nil, s.notLeaderError(storeGroup)
	}
	rec, ok := s.store.confirmLease(want.Name, want.Holder, want.Token, arrived)
	resp := &pb.LeaseResponse{Granted: ok, Lease: leaseMessage(rec)}
	if ok {
		resp.TtlMs = uint32(s.opts.LeaseTTL.Milliseconds())
	}
	return resp, nil
}

// releaseLease ends a lease at once. Releasing a lease that is not held also
// succeeds, because a release may be retried after a lost response.
func (s *Server) releaseLease(ctx context.Context, req *pb.ReleaseLeaseRequest) (*pb.Empty, error) {
	if err := s.ensureLeading(ctx); err != nil {
		return nil, err
	}
	data, err := encodeCommand(commandReleaseLease, req)
	if err != nil {
		return nil, err
	}
	res, err := s.propose(ctx, storeGroup, data)
	if err != nil {
		return nil, err
	}
	if r, ok := res.(leaseResult); ok && r.ok {
		s.recordEvent("lease.released", leaseLabel(r.record), "holder", req.Holder)
	}
	return &pb.Empty{}, nil
}

func (s *Server) term() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.term
}

func leaseLabel(rec lease.Record) string {
	return fmt.Sprintf("%s#%d", rec.Name, rec.Token)
}
