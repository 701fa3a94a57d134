package feed

import (
	"context"
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
)

// serveGossip applies the records sent by another hub. It does not forward them
// to other hubs, because each hub sends its upstreams' reports to all others.
func (h *Hub) serveGossip(ctx context.Context, st *transport.Stream) error {
	for {
		g := &pb.Gossip{}
		if err := h.recvWhole(ctx, st, g); err != nil {
			return nil
		}
		h.gossipReceived.Add(1)
		for _, r := range g.Upstreams {
			h.applyGossip(r)
		}
		for _, n := range g.LeaveNotices {
			h.leave(n.Id, n.BornMs, milliseconds(n.AgeMs), false)
		}
		h.mergeEvidence(g.Evidence)
		h.mergeStatements(g.Statements, false)
		h.mergeStreamVersions(g.StreamVersions, false)
		h.mergeNumberings(g.EventNumberings, false)
		h.mu.Lock()
		h.remoteAttachments[transport.PeerFromContext(ctx).Vm] = attachmentCount{int(g.Attached), h.now()}
		h.newestVersion = max(h.newestVersion, g.Version)
		h.mergeHistory(g)
		h.mu.Unlock()
	}
}

func (h *Hub) applyGossip(r *pb.UpstreamRecord) { h.applyFromHub(r, false) }

// applyFromHub applies a record that another hub sent. Visible changes are passed on to the other
// hubs if toHubs is set.
func (h *Hub) applyFromHub(r *pb.UpstreamRecord, toHubs bool) {
	h.mu.Lock()
	h.noteLeftVersions(r)
	changed, accepted := h.observe(r)
	h.seeReport(r, h.now()-milliseconds(r.AgeMs))
	h.keepLeaving(changed)
	h.enqueueUpdates(changed, toHubs)
	h.mu.Unlock()
	h.notifyChanged(changed, r, accepted)
}

func (h *Hub) updateGossipStreams(streams map[string]context.CancelFunc) {
	members := h.opts.Store.Members()
	for _, address := range members {
		if address == h.opts.Self || streams[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		streams[address] = cancel
		h.done.Add(1)
		go func() {
			defer h.done.Done()
			h.gossipTo(ctx, address)
		}()
	}
	for address, cancel := range streams {
		if !slices.Contains(members, address) {
			cancel()
			delete(streams, address)
		}
	}
}

// gossipTo sends every report that upstreams send to this hub on to one other
// hub, and the whole table whenever the stream is opened.
func (h *Hub) gossipTo(ctx context.Context, address string) {
	s := h.subscribe(nil)
	defer h.unsubscribe(s)
	for ctx.Err() == nil {
		h.runGossipStream(ctx, address, s)
		select {
		case <-ctx.Done():
		case <-time.After(gossipRetryDelay):
		}
	}
}

func (h *Hub) runGossipStream(ctx context.Context, address string, s *subscription) {
	client := h.opts.Peers.Client(address)
	if client == nil {
		return
	}
	openCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	st, err := client.Open(openCtx, transport.MethodGossip)
	cancel()
	if err != nil {
		return
	}
	defer st.Close()
	h.mu.Lock()
	s.sendAll, s.evidenceDue, s.statementsDue, s.allStreamVersions, s.haveRoutes, s.numberingRevision = true, true, true, true, 0, 0
	h.mu.Unlock()
	s.signal()
	ticker := time.NewTicker(attachmentCountTTL / 3)
	defer ticker.Stop()
	var lastSent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
		if !h.awaitTurn(ctx, lastSent) {
			return
		}
		lastSent = time.Now()
		records, notices := fleet.SplitNotices(h.takePending(s))
		h.mu.Lock()
		attached, evidence, statements, versions := uint32(h.localAttachments()), h.evidenceForHub(s), h.statementsForHub(s), h.streamVersionsForHub(s, client.Peer())
		h.mu.Unlock()
		g := &pb.Gossip{Upstreams: records, LeaveNotices: notices, Attached: attached, Version: h.opts.Store.Current().Version, Evidence: evidence, Statements: statements, StreamVersions: versions}
		h.stateHistory(s).addToGossip(g)
		g.EventNumberings, s.numberingRevision = h.numberingsSince(s.numberingRevision)
		if err := st.Send(g); err != nil {
			return
		}
	}
}

// otherHubs returns clients of the other hubs in reach that keep what a majority must know, and the
// number of all such hubs, this one included; 0 if this daemon has not joined the core, so that it
// does not know the others. Hubs without an open session count as out of reach:
// a dial that ends with the call would delay the next one. Those of earlier builds don't count.
func (h *Hub) otherHubs() (inReach []*transport.Client, hubs int) {
	hubs = 1
	for _, address := range h.opts.Store.Members() {
		if address == h.opts.Self {
			continue
		}
		switch client := h.opts.Peers.Client(address); {
		case client == nil || !client.Connected():
			hubs++
		case protocol.Of(client.Peer()).KeepsAtMajority():
			hubs++
			inReach = append(inReach, client)
		}
	}
	if hubs == 1 && !h.opts.Store.HasQuorum() {
		return nil, 0
	}
	return inReach, hubs
}
