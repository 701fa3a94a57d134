package feed

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// reportInterval is the time between two reports of an entry: a failing
	// upstream is known everywhere within two of them.
	reportInterval = 300 * time.Millisecond
	// notableShare is the part of failed calls from which entries are told. Some
	// requests fail at every upstream, up to a tenth at the users' services.
	notableShare = 0.3
)

// upstreamStart names one start of an upstream process.
type upstreamStart struct {
	id   string
	born int64
}

// outcomeTable counts calls by upstream process. Upstreams without recent calls
// are forgotten, so that it does not grow with the fleet's past.
type outcomeTable map[upstreamStart]*policy.Outcomes

func (t outcomeTable) add(o *pb.UpstreamOutcomes, now time.Duration) {
	key := upstreamStart{o.Id, o.BornMs}
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
		} else if share := o.ErrorShare(now); share >= notableShare {
			list = append(list, &pb.ErrorShare{Id: key.id, BornMs: key.born, Percent: uint32(100 * share)})
		}
	}
	return list
}

// readOutcomes takes an entry's reports until its stream ends.
func (h *Hub) readOutcomes(st *transport.Stream) {
	for {
		report := &pb.OutcomeReport{}
		if st.Recv(report) != nil {
			return
		}
		h.mu.Lock()
		for _, o := range report.Outcomes {
			h.outcomes.add(o, h.now())
		}
		h.mu.Unlock()
	}
}

// sharesAge is how old the list of shares may be that an update carries. One
// list serves the streams of all entries.
const sharesAge = 100 * time.Millisecond

func (h *Hub) errorShares() []*pb.ErrorShare {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.now(); now-h.sharesAt >= sharesAge {
		h.shares, h.sharesAt = h.outcomes.shares(now), now
	}
	return h.shares
}

// report sends the outcomes of the entry's calls to every hub that it is
// attached to, so that each of them knows a part of all entries.
func (f *Follower) report(ctx context.Context) {
	defer f.done.Done()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		outcomes := f.opts.Outcomes()
		if len(outcomes) == 0 {
			continue
		}
		for _, st := range f.openStreams() {
			// A stream that fails ends its attachment.
			_ = st.Send(&pb.OutcomeReport{Outcomes: outcomes})
		}
	}
}

func (f *Follower) openStreams() []*transport.Stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*transport.Stream, 0, len(f.streams))
	for st := range f.streams {
		list = append(list, st)
	}
	return list
}

// attached adds a stream to those that receive reports; the returned function
// takes it out again.
func (f *Follower) attached(st *transport.Stream) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[st] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.streams, st)
	}
}
