package control

import (
	"expvar"
	"time"

	"godwitward.example/godwitward/ledger"
)

// Stats is a snapshot of a member's state. The daemon publishes it as a metric.
type Stats struct {
	// Leader is the id of the leader of group 0, 0 when unknown. Leads reports
	// whether it is this member.
	Leader uint64 `json:"leader"`
	Leads  bool   `json:"leads"`
	Term   uint64 `json:"term"`
	// Version is the configuration version that this member has applied.
	Version uint64 `json:"version"`
	// History is the number of changes kept, Outcomes the number of request
	// ids whose outcome is recorded.
	History  int `json:"history"`
	Outcomes int `json:"outcomes"`
	// PoolLeases counts the leases that have a holder.
	PoolLeases int `json:"pool_leases"`
	// Groups has one element for each replicated group. Group 0 holds the
	// configuration and the leases.
	Groups []GroupStats `json:"groups"`
	// Proposals counts the commands that this member proposed and committed
	// since its start.
	Proposals int64 `json:"proposals"`
	// Syncs is zero for a store without a disk.
	Syncs SyncStats `json:"syncs"`
	// Serving counts the unexpired serving leases, Lagging those of daemons
	// that have not acknowledged Version. Both are 0 on a follower, for a former
	// leader once the leases that it granted have expired.
	Serving int `json:"serving"`
	Lagging int `json:"lagging"`
	// Ledger has one element for each shard.
	Ledger []LedgerStats `json:"ledger"`
}

// GroupStats is the leadership of one group as known to this member.
type GroupStats struct {
	Leader uint64 `json:"leader"`
	Leads  bool   `json:"leads"`
	Term   uint64 `json:"term"`
}

// LedgerStats is the size of one ledger shard. Claims of new keys fail as full
// when they would raise Bytes above MaxBytes.
type LedgerStats struct {
	Entries    int   `json:"entries"`
	Tombstones int   `json:"tombstones"`
	Bytes      int64 `json:"bytes"`
	MaxBytes   int64 `json:"max_bytes"`
}

// Stats returns the member's current state.
func (s *Server) Stats() Stats {
	out := s.store.stats()
	out.Leader, out.Leads, out.Term = s.replicator.Leader(storeGroup)
	for g := range uint32(len(s.shards) + 1) {
		st := GroupStats{}
		st.Leader, st.Leads, st.Term = s.replicator.Leader(g)
		out.Groups = append(out.Groups, st)
	}
	out.Proposals = s.proposals.Load()
	if s.cluster != nil {
		out.Syncs = s.cluster.fs.stats()
	}
	for _, l := range s.servingLeases(time.Now()) {
		out.Serving++
		if l.AppliedVersion < out.Version {
			out.Lagging++
		}
	}
	for _, sh := range s.shards {
		out.Ledger = append(out.Ledger, sh.stats())
	}
	return out
}

// Vars returns Stats as an expvar metric.
func (s *Server) Vars() expvar.Var {
	return expvar.Func(func() any { return s.Stats() })
}

func (s *store) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Version:    s.config.Version,
		History:    len(s.history),
		Outcomes:   len(s.outcomes),
		PoolLeases: len(s.leases.Held()),
	}
}

func (s *shard) stats() LedgerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.ledger.Stats()
	return LedgerStats{Entries: st.Entries, Tombstones: st.Tombstones, Bytes: st.Bytes, MaxBytes: s.maxBytes}
}

// maxLedgerBytes returns the memory bound of a ledger with the given limits.
func maxLedgerBytes(limits ledger.Limits) int64 {
	if limits.MaxBytes <= 0 {
		return ledger.DefaultMaxBytes
	}
	return limits.MaxBytes
}
