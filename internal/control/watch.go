package control

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// watchCheck is the time between two looks at the leadership while nothing
// changes, so that watchers of a deposed leader move on.
const watchCheck = time.Second

// update returns what a watcher lacks that has a version and a generation of
// leases, nil when it lacks nothing, with the new values and the channel that
// announces the next change.
func (s *store) update(have, haveLeases uint64) (u *pb.WatchUpdate, leaseGen uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.config.Version
	if have >= version && haveLeases == s.leaseGen {
		return nil, haveLeases, s.changed
	}
	u = &pb.WatchUpdate{Version: max(version, have)}
	if have < version {
		s.fillConfig(u, have)
	}
	if haveLeases != s.leaseGen {
		u.LeasesChanged = true
		for _, rec := range s.leases.Held() {
			u.Leases = append(u.Leases, leaseMessage(rec))
		}
	}
	return u, s.leaseGen, s.changed
}

// fillConfig adds the changes since the version, or the whole configuration
// when that is smaller or the history does not reach back.
func (s *store) fillConfig(u *pb.WatchUpdate, have uint64) {
	if have+1 < s.firstVersion() {
		u.Config = s.config
		return
	}
	missing := s.history[have+1-s.firstVersion():]
	size := 0
	for _, item := range missing {
		size += item.size
	}
	if size > s.size {
		u.Config = s.config
		return
	}
	for _, item := range missing {
		u.Changes = append(u.Changes, item.change)
	}
}

// watch sends the configuration and the pool leases at once and after each
// change, until the client leaves or this member no longer leads.
func (s *Server) watch(ctx context.Context, st *transport.Stream) error {
	req := &pb.WatchRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	if err := s.begin(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The client sends nothing more: this returns when it closes the
		// stream, at the latest when the handler ends.
		defer cancel()
		_ = st.Recv(&pb.Empty{})
	}()
	return s.sendUpdates(ctx, st, req.HaveVersion)
}

func (s *Server) sendUpdates(ctx context.Context, st *transport.Stream, have uint64) error {
	// No generation is this large, so the first update carries the leases.
	leaseGen := ^uint64(0)
	ticker := time.NewTicker(watchCheck)
	defer ticker.Stop()
	for {
		u, gen, changed := s.store.update(have, leaseGen)
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
			if _, self, _ := s.repl.Leader(storeGroup); !self {
				return s.notLeader(storeGroup)
			}
		}
	}
}
