package feed

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// mergeStreamVersions applies the versions of streams that an entry or, unless fromEntry
// is set, another hub reported. What is new is stored and, from an entry, passed on to the
// other hubs.
func (h *Hub) mergeStreamVersions(list []*pb.StreamVersion, fromEntry bool) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var changed []policy.StreamVersion
	var stored []*pb.StreamVersion
	added := false
	for _, m := range list {
		v, known := h.decodeRecord(m)
		added = known && h.seeStream(v) || added
		if known && h.streamVersions.Record(v, now) {
			changed, stored = append(changed, v), append(stored, fleet.EncodeStreamVersion(v, now))
		}
	}
	if added {
		h.signalEntries()
	}
	if len(changed) == 0 {
		return
	}
	if h.opts.StreamLog != nil {
		h.opts.StreamLog.Append(stored)
	}
	if !fromEntry {
		return
	}
	for s := range h.subscriptions {
		if s.allReports {
			s.addStreamVersions(changed)
			h.signalLater(s)
		}
	}
}

// seeStream notes the versions in a record, and reports whether any were new: a response may
// state weights that no report has named, or come from a process that has not reported. The
// caller holds mu.
func (h *Hub) seeStream(v policy.StreamVersion) (added bool) {
	switch {
	case v.Versions.Service == "":
		return false
	case fleet.IsProcessText(v.ID) && !fleet.IsProcessText(v.Versions.Software):
		// It tells the software of a process, and no weights.
		if history := h.byService[v.Versions.Service]; history != nil {
			history.ForgetSoftware(v.ID)
		}
		return false
	}
	return h.seeVersions([]policy.RunVersions{v.Versions}, v.RecordedAt)
}

// addStreamVersions queues versions for the next message to another hub, which may be out
// of reach for long.
func (s *subscription) addStreamVersions(list []policy.StreamVersion) {
	if len(s.streamVersions)+len(list) > maxPending {
		s.streamVersions, s.allStreamVersions = nil, true
	} else if !s.allStreamVersions {
		s.streamVersions = append(s.streamVersions, list...)
	}
}

// streamVersionsForHub returns the versions that are due on a stream to another hub. The
// caller holds mu.
func (h *Hub) streamVersionsForHub(s *subscription, hub *pb.Hello) []*pb.StreamVersion {
	list := s.streamVersions
	if s.allStreamVersions {
		list = h.streamVersions.All(h.now())
	}
	s.streamVersions, s.allStreamVersions = nil, false
	var out []*pb.StreamVersion
	for _, v := range list {
		if v.Versions.Service == "" && fleet.ParseRunText(v.Versions.Software) == nil && !protocol.Of(hub).KeepsRunVersions() {
			// Its entries would take the stream up with any run of the software.
			continue
		}
		out = append(out, fleet.EncodeStreamVersion(v, h.now()))
	}
	return recordsFor(hub, out, h.softwareTellsRun())
}

// serveStreamVersion tells an entry at which versions a stream may go on, after it has kept
// the record that comes with the question. For an entry it asks the other hubs too: gossip
// takes its time, and a stream must not go back to weights that it has left meanwhile.
func (h *Hub) serveStreamVersion(ctx context.Context, req *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
	if req.Record != nil {
		h.mergeStreamVersions([]*pb.StreamVersion{req.Record}, req.AllHubs)
	}
	resp, reading := h.answer(transport.PeerFromContext(ctx), req)
	if req.AllHubs && reading != leftRun {
		h.askOtherHubs(ctx, req, resp)
	}
	return resp, nil
}

// answer returns what the hub itself knows of a stream.
func (h *Hub) answer(peer *pb.Hello, req *pb.StreamVersionRequest) (*pb.StreamVersionResponse, recordReading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := &pb.StreamVersionResponse{}
	if req.UpstreamId != "" {
		resp.Report = h.lastReports.get(req.UpstreamId, h.now())
	}
	v, known := h.streamVersions.Get(req.Id, h.now())
	if !known {
		return resp, unknownRun
	}
	if req.Record == nil {
		// A record that was sent is confirmed as it is.
		v.Versions = h.resolveProcess(v.Versions)
	}
	v, reading := h.readRecord(v)
	resp.Stream = fleet.EncodeStreamVersion(v, h.now())
	switch {
	case protocol.Of(peer).KeepsRunVersions():
	case h.softwareOnlyPeer(peer):
		h.addRunText(resp, v, reading)
	case reading == wholeRun:
		h.addSoftware(resp, v)
	}
	return resp, reading
}

// resolveProcess replaces a process that stands for a software version once the process has
// reported: entries of earlier builds can't. Weights that no response has stated may have
// changed before the report or since, so they are left to entries. The caller holds mu.
func (h *Hub) resolveProcess(v policy.RunVersions) policy.RunVersions {
	if resolved, ok := fleet.ResolveProcess(v, h.reportOf(v.Software)); ok && resolved.Weights == v.Weights {
		return resolved
	}
	return v
}

const (
	// otherHubsTimeout limits the wait for the other hubs. An entry waits for longer.
	otherHubsTimeout = 200 * time.Millisecond
	// askAgainInterval is the time after which a hub that has not kept a record is asked again:
	// builds that don't know the field get it by gossip.
	askAgainInterval = 25 * time.Millisecond
)

// askOtherHubs passes a question on to all other hubs, and adds what they know to the
// response. It returns once a majority has answered, if the stream is known then: a change of
// weights is passed on only after a majority has kept it. Hubs without an open session count
// as out of reach: a dial that ends with the question would delay the next one, for gossip and
// consensus too, which keep sessions to all hubs.
func (h *Hub) askOtherHubs(ctx context.Context, req *pb.StreamVersionRequest, resp *pb.StreamVersionResponse) {
	ctx, cancel := context.WithTimeout(ctx, otherHubsTimeout)
	defer cancel()
	members := h.opts.Store.Members()
	answers := make(chan *pb.StreamVersionResponse, len(members))
	failed := make(chan struct{}, len(members))
	waiting := 0
	for _, address := range members {
		client := h.opts.Peers.Client(address)
		if address == h.opts.Self || client == nil || !client.Connected() {
			continue
		}
		waiting++
		go func() {
			if answer, err := askHub(ctx, client, &pb.StreamVersionRequest{Id: req.Id, Record: req.Record, UpstreamId: req.UpstreamId}); err == nil {
				answers <- answer
			} else {
				// A hub out of reach doesn't count as one that has answered.
				failed <- struct{}{}
			}
		}()
	}
	resp.Answered, resp.Hubs = 1, uint32(len(members))
	for ; waiting > 0 && (resp.Stream.GetService() == "" || 2*resp.Answered <= resp.Hubs); waiting-- {
		select {
		case answer := <-answers:
			resp.Answered++
			if replaces(answer.Stream, resp.Stream) {
				resp.Stream = answer.Stream
			}
			resp.Report = newerReport(resp.Report, answer.Report)
		case <-failed:
		case <-ctx.Done():
			return
		}
	}
}

// replaces reports whether a record replaces another one. Of two with the same number, one
// without a service may have passed a hub that dropped the rest.
func replaces(m, known *pb.StreamVersion) bool {
	if m.GetAttempt() == known.GetAttempt() {
		return m.GetService() != "" && known.GetService() == ""
	}
	return m.GetAttempt() > known.GetAttempt()
}

// askHub asks a hub about a stream. If it is to keep a record, it is asked until it has it or
// a later one.
func askHub(ctx context.Context, client *transport.Client, req *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
	for {
		answer, err := callStreamVersion(ctx, client, req)
		if err != nil || req.Record == nil || answer.Stream.GetAttempt() >= req.Record.Attempt {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(askAgainInterval):
		}
	}
}

// RecordStreamVersion reports whether a majority of the hubs keeps a record of a stream, so
// that all who ask for it from now on get it or a later one. It is false also if there is a
// later one of other versions.
func (s *Subscriber) RecordStreamVersion(ctx context.Context, v policy.StreamVersion) bool {
	kept, keptByOne, denied := false, false, false
	for _, answer := range s.askHubs(ctx, &pb.StreamVersionRequest{Id: v.ID, Record: fleet.EncodeStreamVersion(v, v.RecordedAt), AllHubs: true}) {
		newest, known := fleet.DecodeStreamVersion(answer.GetStream(), 0)
		switch {
		case !known || newest.Attempt < v.Attempt:
		case newest.Versions != v.Versions:
			return false
		case answer.Hubs == 0:
			// A hub that asks no others tells only that it has the record.
			keptByOne = true
		case 2*answer.Answered > answer.Hubs:
			kept = true
		default:
			denied = true
		}
	}
	return kept || keptByOne && !denied
}

// StreamVersion asks the hubs at which versions a stream may go on, and returns the newest
// record. The time in the record is the age. known is false if it does not tell the versions.
func (s *Subscriber) StreamVersion(ctx context.Context, id string) (newest policy.StreamVersion, known bool) {
	var stream *pb.StreamVersion
	for _, answer := range s.askHubs(ctx, &pb.StreamVersionRequest{Id: id, AllHubs: true}) {
		if replaces(answer.GetStream(), stream) {
			stream = answer.Stream
		}
	}
	return fleet.DecodeStreamVersion(stream, 0)
}

// askHubs sends a question to the hubs to which the subscriber is attached, and returns the
// answers. A hub out of reach gives none.
func (s *Subscriber) askHubs(ctx context.Context, req *pb.StreamVersionRequest) []*pb.StreamVersionResponse {
	s.mu.Lock()
	clients := make([]*transport.Client, 0, len(s.streams))
	for _, c := range s.streams {
		clients = append(clients, c)
	}
	s.mu.Unlock()
	answers := make(chan *pb.StreamVersionResponse, len(clients))
	for _, c := range clients {
		go func() {
			resp, err := askHub(ctx, c, req)
			if err != nil {
				resp = nil
			}
			answers <- resp
		}()
	}
	var list []*pb.StreamVersionResponse
	for range clients {
		if answer := <-answers; answer != nil {
			list = append(list, answer)
		}
	}
	return list
}
