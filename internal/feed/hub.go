package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// heartbeatInterval is the longest time between two updates on a stream to an
	// entry. A subscriber closes a stream that has had no update for
	// heartbeatTimeout.
	heartbeatInterval = 500 * time.Millisecond
	// expiryInterval is the time between sweeps for silent upstreams. Each sweep
	// also adapts the gossip streams to the members of the core.
	expiryInterval = 500 * time.Millisecond
	// gossipRetryDelay is the delay before a failed stream to another hub is
	// opened again.
	gossipRetryDelay = 250 * time.Millisecond
	// gossipDelay is how long a report that changes nothing visible waits for
	// others before it is sent to the other hubs. With hundreds of reports a second,
	// a message for each is most of a core daemon's work.
	gossipDelay = 100 * time.Millisecond
	// minUpdateInterval is the shortest time between two updates on a stream. After
	// a restart of the whole system thousands of upstreams appear within a second,
	// and a message for each of them to each entry would keep a core daemon busy
	// for half a minute.
	minUpdateInterval = 40 * time.Millisecond
	// attachmentCountTTL is how long the count of attached entries that another
	// hub sent is used. Hubs send it at least three times in this period.
	attachmentCountTTL = 6 * time.Second
	// maxPending bounds the records queued for one subscription. A subscription
	// that falls further behind is sent the whole table.
	maxPending = 4096
)

// Store is the part of corestore.Store that the hub uses.
type Store interface {
	Current() corestore.Document
	HasQuorum() bool
	Members() []string
	// Leader returns the leader's session address and term.
	Leader() (address string, term uint64, self bool)
}

// HubOptions configure a Hub.
type HubOptions struct {
	Store Store
	Peers *corestore.Peers
	// Self is the daemon's own session address.
	Self   string
	Logger *log.Logger
	// OnReport is called with each report that counts as a heartbeat, and with
	// the record of each process that has ended or become silent.
	OnReport func(*pb.UpstreamRecord)
	// OnStatement is called when what an upstream says about the requests that it takes
	// changes. It may be nil.
	OnStatement func(*pb.UpstreamStatement)
	// FirstStart is set when the whole system starts for the first time, so that there
	// were no upstreams before.
	FirstStart bool
	// StreamLog stores the versions of streams on the VM's disk, and Stored is what it held
	// when the daemon started. Both may be nil.
	StreamLog *streamlog.Log
	Stored    *streamlog.Stored
	// DecodeRoutes returns the routes of a document; nil if it has none.
	DecodeRoutes func(body []byte) (policy.ResumableRoutes, error)
}

// Hub distributes records and documents from one core daemon. mu guards the
// table, the subscriptions' queues and the counts; no callback or remote call
// is made while it is held.
type Hub struct {
	opts  HubOptions
	start time.Time

	mu            sync.Mutex
	table         *fleet.Table
	subscriptions map[*subscription]struct{}
	// remoteAttachments is the number of entries attached to each other hub, as
	// that hub last reported it, by VM.
	remoteAttachments map[string]attachmentCount
	// outcomes counts the good and failed calls that attached entries reported.
	outcomes outcomeTable
	// cachedShares holds the error shares computed from outcomes at
	// cachedSharesAt. Its messages are shared between streams and not modified.
	cachedShares   []*pb.ErrorShare
	cachedSharesAt time.Duration

	// newestVersion is the highest version of the document that another hub has
	// announced.
	newestVersion uint64
	evidence      promptEvidence
	// statements are what upstreams say about the requests that they take. While this
	// hub leads, schedules hold when those with a limit may be sent requests.
	statements map[processKey]*hubStatement
	schedules  map[processKey]*sendSchedule

	streamVersions policy.StreamVersions
	left           policy.LeftVersions
	lastReports    lastReports
	versionHistory
	routes routeHistory
	eventNumberings
	documents documentEncoder

	older olderReports

	// leavingWrites are the records of leaving processes that were written of late, and
	// leavingConfirmed tells when a majority of the hubs had stored them.
	leavingWrites    map[leavingKey]*leavingWrite
	leavingConfirmed map[leavingKey]time.Duration

	// gossipReceived counts the messages from other hubs.
	gossipReceived atomic.Int64

	stop context.CancelFunc
	ctx  context.Context
	done sync.WaitGroup
}

// attachmentCount is the number of entries attached to a hub and the time at
// which it was reported.
type attachmentCount struct {
	n  int
	at time.Duration
}

// subscription queues the records for one stream, to an entry or to another
// hub.
type subscription struct {
	wake    chan struct{}
	pending []*pb.UpstreamRecord
	// sendAll is set when the next update must carry the whole table instead of
	// the pending records.
	sendAll bool
	// allReports is set for streams to other hubs. They carry every report that
	// upstreams send to this hub, whereas streams to entries carry only visible
	// changes.
	allReports bool
	// entry is the receiver unless it is a hub, and softwareOnly is set if it compares software
	// versions only.
	entry        *pb.Hello
	softwareOnly bool
	// delayed is set while a signal is due after gossipDelay.
	delayed bool
	// evidenceDue and statementsDue are set when the next message to another hub must carry
	// the evidence on parts of prompts, or the statements of upstreams.
	evidenceDue, statementsDue bool
	// streamVersions are due in the next message to another hub, or all of them.
	streamVersions    []policy.StreamVersion
	allStreamVersions bool
	// haveRoutes is the generation of the hub's routeHistory that the receiver has.
	haveRoutes uint64
	// numberingRevision is that of the last event numbering sent to another hub.
	numberingRevision uint64
}

// NewHub starts a hub and registers its streams. Stop ends it.
func NewHub(opts HubOptions, server *transport.Server) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		opts: opts, start: time.Now(), lastReports: newLastReports(), table: fleet.NewTable(),
		subscriptions: map[*subscription]struct{}{}, remoteAttachments: map[string]attachmentCount{}, outcomes: outcomeTable{}, ctx: ctx, stop: cancel,
		evidence: promptEvidence{quarantine: policy.NewPromptQuarantine()}, statements: map[processKey]*hubStatement{}, schedules: map[processKey]*sendSchedule{},
		leavingWrites: map[leavingKey]*leavingWrite{}, leavingConfirmed: map[leavingKey]time.Duration{},
	}
	h.restoreVersions()
	h.learnRoutes(opts.Store.Current(), false)
	server.Handle(transport.MethodFeed, h.serveFeed)
	server.Handle(transport.MethodGossip, h.serveGossip)
	transport.HandleUnary(server, transport.MethodSendPermit, h.serveSendPermit)
	transport.HandleUnary(server, transport.MethodStreamVersion, h.serveStreamVersion)
	transport.HandleUnary(server, transport.MethodStoreLeaving, h.serveStoreLeaving)
	transport.HandleUnary(server, transport.MethodVersionsInUse, h.serveVersionsInUse)
	h.done.Add(1)
	go h.maintain()
	return h
}

// Stop ends the hub's goroutines and waits for them.
func (h *Hub) Stop() {
	h.stop()
	h.done.Wait()
}

func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Report applies a report that an upstream sent to this daemon.
func (h *Hub) Report(r *pb.UpstreamRecord) {
	r.Level = uint32(protocol.Current)
	h.applyReport(r)
}

// Leave marks an upstream process as gone after it said that it is ending.
func (h *Hub) Leave(id string, bornMs int64) { h.leave(id, bornMs, 0, true) }

// leave applies a notice of leaving that was given some time ago. One of a process that the hub
// does not know is passed on to other hubs if toHubs is set.
func (h *Hub) leave(id string, bornMs int64, age time.Duration, toHubs bool) {
	h.mu.Lock()
	known := h.table.Get(id)
	gone := h.table.Leave(id, bornMs, h.now()-age)
	switch {
	case gone == nil:
	case fleet.IsNotice(gone):
		h.enqueueUpdates([]*pb.UpstreamRecord{gone}, toHubs)
	default:
		if gone.BornMs != known.BornMs {
			h.keepSucceeded(known)
		}
		// It may be the first that is heard of the process.
		h.seeReport(gone, h.now())
		h.enqueueUpdates([]*pb.UpstreamRecord{gone}, true)
	}
	if gone != nil {
		h.keepLeaving([]*pb.UpstreamRecord{gone})
	}
	h.mu.Unlock()
	if gone == nil {
		return
	}
	h.logRecord(gone)
	if !fleet.IsNotice(gone) {
		h.opts.OnReport(gone)
	}
}

// StoreChanged wakes all streams, so that those to entries send the newest document
// and leader.
func (h *Hub) StoreChanged() {
	h.learnRoutes(h.opts.Store.Current(), false)
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscriptions {
		s.signal()
	}
}

func (h *Hub) applyReport(r *pb.UpstreamRecord) {
	h.mu.Lock()
	h.noteLeftVersions(r)
	known := h.table.Get(r.Id)
	changed, accepted := h.observe(r)
	dropped := uint64(0)
	if accepted {
		h.lastReports.note(r, h.now())
	} else {
		dropped = h.older.count(r, known, h.now())
	}
	// Streams may have begun at a process whose report arrives after that of its successor.
	h.seeReport(r, h.now())
	if accepted {
		h.keepLeaving(changed)
		h.enqueueUpdates(changed, false)
		h.enqueueGossip(r, len(changed) > 0)
	}
	h.mu.Unlock()
	if dropped > 0 {
		h.opts.Logger.Info().Str("event", "upstream.report_older").Str("upstream", r.Id).Uint64("sequence", r.Sequence).Int64("born_ms", r.BornMs).
			Uint64("known_sequence", known.GetSequence()).Int64("known_born_ms", known.GetBornMs()).Str("known_phase", known.GetPhase().String()).Uint64("dropped", dropped).Msg("")
	}
	h.notifyChanged(changed, r, accepted)
}

// notifyChanged logs visible changes and calls OnReport.
func (h *Hub) notifyChanged(changed []*pb.UpstreamRecord, r *pb.UpstreamRecord, accepted bool) {
	for _, c := range changed {
		h.logRecord(c)
		if c != r {
			h.opts.OnReport(c)
		}
	}
	if accepted {
		h.opts.OnReport(r)
	}
}

// GossipReceived returns the number of messages received from other hubs.
func (h *Hub) GossipReceived() int64 { return h.gossipReceived.Load() }

// entryCount estimates the number of entries in the system from the attachments
// at all hubs. Each entry is attached to hubsPerSubscriber hubs.
func (h *Hub) entryCount() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := h.localAttachments()
	for _, c := range h.remoteAttachments {
		if h.now()-c.at < attachmentCountTTL {
			total += c.n
		}
	}
	return uint32((total + hubsPerSubscriber - 1) / hubsPerSubscriber)
}

func (h *Hub) localAttachments() int {
	n := 0
	for s := range h.subscriptions {
		if !s.allReports {
			n++
		}
	}
	return n
}

// enqueueUpdates queues records for the streams to entries, and if toHubs is set
// also for those to other hubs. The caller holds mu.
func (h *Hub) enqueueUpdates(records []*pb.UpstreamRecord, toHubs bool) {
	if len(records) == 0 {
		return
	}
	for s := range h.subscriptions {
		if !s.allReports || toHubs {
			s.enqueue(records)
		}
	}
}

// enqueueGossip queues a report for the other hubs. One that changes something
// visible is sent at once. The caller holds mu.
func (h *Hub) enqueueGossip(record *pb.UpstreamRecord, visible bool) {
	for s := range h.subscriptions {
		switch {
		case !s.allReports:
		case visible:
			s.enqueue([]*pb.UpstreamRecord{record})
		default:
			s.add([]*pb.UpstreamRecord{record})
			h.signalLater(s)
		}
	}
}

// signalLater signals a subscription after gossipDelay. The caller holds mu.
func (h *Hub) signalLater(s *subscription) {
	if s.delayed {
		return
	}
	s.delayed = true
	time.AfterFunc(gossipDelay, func() {
		h.mu.Lock()
		s.delayed = false
		h.mu.Unlock()
		s.signal()
	})
}

func (s *subscription) enqueue(records []*pb.UpstreamRecord) {
	s.add(records)
	s.signal()
}

// add queues records for the next update.
func (s *subscription) add(records []*pb.UpstreamRecord) {
	if len(s.pending)+len(records) > maxPending {
		s.pending, s.sendAll = nil, true
	} else if !s.sendAll {
		s.pending = append(s.pending, records...)
	}
}

func (s *subscription) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (h *Hub) logRecord(r *pb.UpstreamRecord) {
	h.opts.Logger.Info().Str("event", "upstream.changed").Str("upstream", r.Id).Str("service", r.Service).
		Str("address", r.Address).Str("phase", r.Phase.String()).Bool("silent", r.Silent).
		Str("version", r.SoftwareVersion).Strs("weights", r.Weights).Int64("born_ms", r.BornMs).Uint64("sequence", r.Sequence).Msg("")
}

// subscribe adds a subscription of an entry, or of another hub if entry is nil.
func (h *Hub) subscribe(entry *pb.Hello) *subscription {
	s := &subscription{wake: make(chan struct{}, 1), sendAll: true, entry: entry, allReports: entry == nil}
	s.signal()
	h.mu.Lock()
	h.subscriptions[s] = struct{}{}
	h.mu.Unlock()
	return s
}

func (h *Hub) unsubscribe(s *subscription) {
	h.mu.Lock()
	delete(h.subscriptions, s)
	h.mu.Unlock()
}

// takePending removes and returns the records and notices for the next update.
func (h *Hub) takePending(s *subscription) []*pb.UpstreamRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := s.pending
	s.pending = nil
	if s.sendAll {
		s.sendAll = false
		return append(h.table.Records(h.now()), h.table.Notices(h.now())...)
	}
	return records
}

// serveFeed streams updates to one entry.
func (h *Hub) serveFeed(ctx context.Context, st *transport.Stream) error {
	req := &pb.FeedRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	h.mu.Lock()
	h.evidenceChanged(h.mergeQuarantined(req.Quarantined), false)
	h.mu.Unlock()
	h.mergeStreamVersions(req.StreamVersions, true)
	h.mergeReportedRoutes(req.RouteServices)
	h.mergeNumberings(req.EventNumberings, true)
	s := h.subscribe(transport.PeerFromContext(ctx))
	defer h.unsubscribe(s)
	h.recogniseEntry(ctx, s, req.StreamVersions)
	go h.receiveOutcomes(ctx, st, s)
	haveVersion := req.HaveVersion
	var haveEvidence, haveNumberings uint64
	var sentMembers []string
	var lastSent time.Time
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
		}
		if !h.awaitTurn(ctx, lastSent) {
			return nil
		}
		lastSent = time.Now()
		u := &pb.FeedUpdate{Quorate: h.opts.Store.HasQuorum(), Entries: h.entryCount(), ErrorShares: h.errorShares(), Statements: h.Statements()}
		u.Upstreams, u.LeaveNotices = fleet.SplitNotices(h.takePending(s))
		d := h.opts.Store.Current()
		h.learnRoutes(d, d.Version > haveVersion)
		h.stateHistory(s).addToUpdate(u)
		u.Leader, u.Term, _ = h.opts.Store.Leader()
		u.Version, u.NewestVersion = d.Version, max(d.Version, h.announcedVersion())
		if d.Version > haveVersion {
			u.Document = h.documents.encode(d, req.ReadsDeflated)
			haveVersion = d.Version
		}
		u.Evidence, haveEvidence = h.evidenceForEntry(haveEvidence)
		u.EventNumberings, haveNumberings = h.numberingsSince(haveNumberings)
		if members := h.opts.Store.Members(); !slices.Equal(members, sentMembers) {
			sentMembers = members
			u.Core = members
		}
		h.adaptUpdate(s, u)
		if err := st.Send(u); err != nil {
			return err
		}
	}
}

// awaitTurn waits until minUpdateInterval after the last update. It returns false
// when ctx or the hub ends.
func (h *Hub) awaitTurn(ctx context.Context, last time.Time) bool {
	wait := minUpdateInterval - time.Since(last)
	if wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-h.ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// recvWhole receives the next message that can be decoded. Others are logged and left out:
// a stream that ended would be opened again and send the same message first.
func (h *Hub) recvWhole(ctx context.Context, st *transport.Stream, m proto.Message) error {
	for {
		err := st.Recv(m)
		if !transport.IsUndecodable(err) {
			return err
		}
		proto.Reset(m)
		h.opts.Logger.Warn().Str("event", "message.undecodable").Str("sender", transport.PeerFromContext(ctx).Vm).Err(err).Msg("")
	}
}

// maintain periodically marks silent upstreams and opens or closes gossip
// streams, so that there is one to each other hub. It ends with Stop.
func (h *Hub) maintain() {
	defer h.done.Done()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	streams := map[string]context.CancelFunc{}
	defer func() {
		for _, cancel := range streams {
			cancel()
		}
	}()
	for {
		h.expire()
		h.decideQuarantine()
		h.pruneStatements()
		h.updateGossipStreams(streams)
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Hub) expire() {
	h.mu.Lock()
	silent := h.table.Expire(h.now())
	h.lastReports.sweep(h.now())
	h.sweepLeaving()
	h.enqueueUpdates(silent, false)
	h.mu.Unlock()
	for _, r := range silent {
		h.logRecord(r)
		h.opts.OnReport(r)
	}
}
