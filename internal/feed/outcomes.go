package feed

import (
	"context"
	"maps"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// outcomeReportInterval is the time between two reports of an entry. The
	// outcomes reach the other entries at the same hub within 0.9 s: the sum of
	// this interval, cachedSharesMaxAge and heartbeatInterval.
	outcomeReportInterval = 300 * time.Millisecond
	// minReportedShare is the share of failed calls from which entries are told
	// of an upstream. Some requests fail at every upstream, at some services up
	// to a tenth.
	minReportedShare = 0.3
)

// processKey identifies one process of an upstream by its id and start time.
type processKey struct {
	id     string
	bornMs int64
}

// outcomeTable counts calls by upstream process. Processes without recent calls
// are deleted, so that the table does not grow without bound.
type outcomeTable map[processKey]*policy.Outcomes

func (t outcomeTable) add(o *pb.UpstreamOutcomes, now time.Duration) {
	key := processKey{o.Id, o.BornMs}
	if t[key] == nil {
		t[key] = &policy.Outcomes{}
	}
	t[key].Add(int(o.Good), int(o.Failed), now)
}

func (t outcomeTable) shares(now time.Duration) []*pb.ErrorShare {
	var list []*pb.ErrorShare
	for key, o := range t {
		if o.Decayed(now) {
			delete(t, key)
		} else if share := o.ErrorShare(now); share >= minReportedShare {
			list = append(list, &pb.ErrorShare{Id: key.id, BornMs: key.bornMs, Percent: uint32(100 * share)})
		}
	}
	return list
}

// receiveOutcomes adds an entry's reports to the counts until its stream ends.
func (h *Hub) receiveOutcomes(ctx context.Context, st *transport.Stream, s *subscription) {
	for {
		report := &pb.OutcomeReport{}
		if h.recvWhole(ctx, st, report) != nil {
			return
		}
		h.mu.Lock()
		for _, o := range report.Outcomes {
			h.outcomes.add(o, h.now())
		}
		h.mu.Unlock()
		h.reportEvidence(report)
		h.mergeStatements(report.Statements, true)
		h.recogniseEntry(ctx, s, report.StreamVersions)
		h.mergeStreamVersions(report.StreamVersions, true)
		h.mergeReportedRoutes(report.RouteServices)
		h.mergeNumberings(report.EventNumberings, true)
	}
}

// cachedSharesMaxAge is how old the error shares in an update may be. One cached
// list serves the streams of all entries.
const cachedSharesMaxAge = 100 * time.Millisecond

func (h *Hub) errorShares() []*pb.ErrorShare {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.now(); now-h.cachedSharesAt >= cachedSharesMaxAge {
		h.cachedShares, h.cachedSharesAt = h.outcomes.shares(now), now
	}
	return h.cachedShares
}

// reportOutcomes sends the outcomes of the entry's calls to every hub that it is
// attached to, so that each hub has the outcomes of a sample of all entries.
func (s *Subscriber) reportOutcomes(ctx context.Context) {
	defer s.done.Done()
	ticker := time.NewTicker(outcomeReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.ReportNow:
		case <-ticker.C:
		}
		streams := s.openStreams()
		if len(streams) == 0 {
			continue
		}
		report := s.opts.Outcomes()
		if len(report.Outcomes) == 0 && len(report.Crashes) == 0 && len(report.SoundParts) == 0 && len(report.Statements) == 0 && len(report.StreamVersions) == 0 && len(report.RouteServices) == 0 && len(report.EventNumberings) == 0 {
			continue
		}
		for st, client := range streams {
			// If the stream has failed, attach sees the error and ends.
			_ = st.Send(s.reportFor(client.Peer(), report))
		}
		if s.opts.Reported != nil {
			s.opts.Reported()
		}
	}
}

// openStreams returns the open streams with the hubs' clients.
func (s *Subscriber) openStreams() map[*transport.Stream]*transport.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.streams)
}

// addStream adds a stream to those that receive reports. The returned function
// removes it.
func (s *Subscriber) addStream(st *transport.Stream, client *transport.Client) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[st] = client
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, st)
	}
}
