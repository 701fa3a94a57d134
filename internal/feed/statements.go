package feed

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// endedStatementTTL is how long the end of a limit is told, so that a late response does
// not bring the limit back.
const endedStatementTTL = 30 * time.Second

// hubStatement is what an upstream process says about the requests that it takes.
// fromEntry is set if an entry reported it to this hub: only then is it told to other
// hubs, because its age grows less exact with each daemon that it passes.
type hubStatement struct {
	policy.UpstreamStatement
	fromEntry bool
}

// says reports whether the statement, unlike none at all, changes what daemons do.
func (s *hubStatement) says() bool { return s.Limit > 0 || s.Leaving }

// mergeStatements applies statements that an entry or, unless fromEntry is set, another
// hub reported. If one has changed it wakes the streams to entries and, with fromEntry,
// those to the other hubs.
func (h *Hub) mergeStatements(list []*pb.UpstreamStatement, fromEntry bool) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	var changed []*pb.UpstreamStatement
	for _, s := range list {
		if h.mergeStatement(s, fromEntry) {
			changed = append(changed, s)
		}
	}
	if len(changed) > 0 {
		h.statementsChanged(fromEntry)
	}
	h.mu.Unlock()
	for _, s := range changed {
		h.opts.Logger.Info().Str("event", "upstream.states").Str("upstream", s.Id).Int64("born_ms", s.BornMs).
			Float64("limit", s.Limit).Bool("leaving", s.Leaving).Msg("")
		if h.opts.OnStatement != nil {
			h.opts.OnStatement(s)
		}
	}
}

// mergeStatement reports whether a statement changed what is known. The caller holds mu.
func (h *Hub) mergeStatement(s *pb.UpstreamStatement, fromEntry bool) bool {
	if r := h.table.Get(s.Id); r == nil || r.BornMs != s.BornMs {
		return false
	}
	key := processKey{s.Id, s.BornMs}
	next := hubStatement{h.decodeStatement(s), fromEntry}
	known := h.statements[key]
	if known == nil {
		if next.says() {
			h.statements[key] = &next
		}
		return next.says()
	}
	sentAt := known.SentAt
	changed := known.Update(next.UpstreamStatement)
	if changed || known.SentAt != sentAt {
		known.fromEntry = fromEntry
	}
	return changed
}

// statementsChanged wakes the streams to entries and, with toHubs, those to the other
// hubs. The caller holds mu.
func (h *Hub) statementsChanged(toHubs bool) {
	for s := range h.subscriptions {
		s.statementsDue = s.statementsDue || s.allReports && toHubs
		if !s.allReports || toHubs {
			s.signal()
		}
	}
}

func (h *Hub) decodeStatement(s *pb.UpstreamStatement) policy.UpstreamStatement {
	return policy.UpstreamStatement{Limit: s.Limit, Leaving: s.Leaving, SentAt: h.now() - milliseconds(s.AgeMs)}
}

// encodeStatements returns the statements with their current ages, all or only those
// that entries reported to this hub. The caller holds mu.
func (h *Hub) encodeStatements(all bool) []*pb.UpstreamStatement {
	var list []*pb.UpstreamStatement
	for key, s := range h.statements {
		if all || s.fromEntry {
			list = append(list, &pb.UpstreamStatement{Id: key.id, BornMs: key.bornMs, Limit: s.Limit, AgeMs: remainingMs(h.now(), s.SentAt), Leaving: s.Leaving})
		}
	}
	return list
}

// Statements returns what upstreams say about the requests that they take.
func (h *Hub) Statements() []*pb.UpstreamStatement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encodeStatements(true)
}

// statementsForHub returns the statements that are due on a stream to another hub. The
// caller holds mu.
func (h *Hub) statementsForHub(s *subscription) []*pb.UpstreamStatement {
	if !s.statementsDue {
		return nil
	}
	s.statementsDue = false
	return h.encodeStatements(false)
}

// pruneStatements drops what belongs to processes that have ended, and what is no longer
// needed.
func (h *Hub) pruneStatements() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for key, s := range h.statements {
		r := h.table.Get(key.id)
		gone := r == nil || r.BornMs != key.bornMs || r.Phase == pb.UpstreamPhase_UPSTREAM_GONE
		if gone || !s.says() && now-s.SentAt > endedStatementTTL {
			delete(h.statements, key)
		}
	}
	for key, s := range h.schedules {
		if now-s.usedAt > scheduleTTL {
			delete(h.schedules, key)
		}
	}
}
