package control

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// watchLeaderCheckInterval is the time between two leadership checks of an idle
// watch, which ends when this member no longer leads.
const watchLeaderCheckInterval = time.Second

// updateSince returns the update for a watcher that has the given configuration
// version and lease generation, nil when it is up to date. It also returns the
// new lease generation and a channel that is closed on the next change.
func (s *store) updateSince(have, haveLeaseGen uint64) (u *pb.WatchUpdate, leaseGen uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.config.Version
	if have >= version && haveLeaseGen == s.leaseGen {
		return nil, haveLeaseGen, s.changed
	}
	u = &pb.WatchUpdate{Version: max(version, have)}
	if have < version {
		s.fillConfig(u, have)
	}
	if haveLeaseGen != s.leaseGen {
		u.LeasesChanged = true
		for _, rec := range s.leases.Held() {
			u.Leases = append(u.Leases, leaseMessage(rec))
		}
	}
	return u, s.leaseGen, s.changed
}

// fillConfig adds the changes after version have, or the whole configuration
// when that is smaller or the history does not reach back that far.
func (s *store) fillConfig(u *pb.WatchUpdate, have uint64) {
	if have+1 < s.firstVersion() {
		u.Config = s.config
		return
	}
	missing := s.history[have+1-s.firstVersion():]
	size := 0
	for _, item := range missing {
		size += item.bytes
	}
	if size > s.configBytes {
		u.Config = s.config
		return
	}
	for _, item := range missing {
		u.Changes = append(u.Changes, item.change)
	}
}

// watch sends the configuration and the pool leases at once and after each
// change, until the client closes the stream or this member no longer leads.
func (s *Server) watch(ctx context.Context, st *transport.Stream) error {
	req := &pb.WatchRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	if err := s.ensureLeading(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The client sends nothing more: Recv returns when the client closes
		// the stream, or when the handler ends.
		defer cancel()
		_ = st.Recv(&pb.Empty{})
	}()
	return s.sendUpdates(ctx, st, req.HaveVersion)
}

func (s *Server) sendUpdates(ctx context.Context, st *transport.Stream, have uint64) error {
	// No store reaches the largest generation, so the first update always
	// includes the leases.
	leaseGen := ^uint64(0)
	ticker := time.NewTicker(watchLeaderCheckInterval)
	defer ticker.Stop()
	for {
		u, gen, changed := s.store.updateSince(have, leaseGen)
		if u != nil {
			if err := st.Send(u); err != nil {
				return err
			}
			have, leaseGen = u.Version, gen
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if _, self, _ := s.replicator.Leader(storeGroup); !self {
				return s.notLeaderError(storeGroup)
			}
		}
	}
}
