package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// pulse is the longest time between two updates of a stream. A follower
	// takes a stream that is silent for pulseTimeout for lost.
	pulse = 500 * time.Millisecond
	// expiryInterval is the time between looks for silent upstreams.
	expiryInterval = 500 * time.Millisecond
	// gossipRetry is the pause before a stream to another hub is opened again.
	gossipRetry = 250 * time.Millisecond
	// attachedLife is how long a stated number of entries counts.
	attachedLife = 6 * time.Second
	// maxPending bounds the records that wait for one reader. A reader that is
	// further behind gets the whole table again.
	maxPending = 4096
)

// Store is what the hub reads of the replicated document.
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
	// OnReport is called with each report that counts as a sign of life, and
	// with each record of a process that ended or fell silent.
	OnReport func(*pb.UpstreamRecord)
}

// Hub spreads records and documents from one core daemon. mu guards the table
// and the readers' queues; no call is made while it is held.
type Hub struct {
	opts  HubOptions
	start time.Time

	mu      sync.Mutex
	table   *fleet.Table
	readers map[*reader]struct{}
	// attached counts the entries at each other hub, as it last said.
	attached map[string]attachedCount
	// outcomes counts the calls of the attached entries.
	outcomes outcomeTable
	// shares is what entries were told of them at sharesAt. The messages are
	// not changed once they are in the list.
	shares   []*pb.ErrorShare
	sharesAt time.Duration

	stop context.CancelFunc
	ctx  context.Context
	done sync.WaitGroup
}

// attachedCount is the number of entries at a hub, and when it was stated.
type attachedCount struct {
	n  int
	at time.Duration
}

// reader queues records for one stream.
type reader struct {
	wake    chan struct{}
	pending []*pb.UpstreamRecord
	// whole asks for the whole table instead of the pending records.
	whole bool
	// every asks for each report and not only for visible changes.
	every bool
}

// NewHub starts a hub, which Stop ends.
func NewHub(opts HubOptions, server *transport.Server) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		opts: opts, start: time.Now(), table: fleet.NewTable(),
		readers: map[*reader]struct{}{}, attached: map[string]attachedCount{}, outcomes: outcomeTable{}, ctx: ctx, stop: cancel,
	}
	server.Handle(transport.MethodFeed, h.serveFeed)
	server.Handle(transport.MethodGossip, h.serveGossip)
	h.done.Add(1)
	go h.maintain()
	return h
}

// Stop ends the hub's goroutines.
func (h *Hub) Stop() {
	h.stop()
	h.done.Wait()
}

func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Report takes a report from an upstream.
func (h *Hub) Report(r *pb.UpstreamRecord) { h.observe(r) }

// Leave takes the notice that an upstream process ends.
func (h *Hub) Leave(id string, born int64) {
	h.mu.Lock()
	gone := h.table.Leave(id, born, h.now())
	if gone != nil {
		h.queue([]*pb.UpstreamRecord{gone}, true)
	}
	h.mu.Unlock()
	if gone != nil {
		h.logRecord(gone)
		h.opts.OnReport(gone)
	}
}

// DocumentChanged wakes all streams.
func (h *Hub) DocumentChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r := range h.readers {
		r.signal()
	}
}

func (h *Hub) observe(r *pb.UpstreamRecord) {
	h.mu.Lock()
	changed, heard := h.table.Observe(r, h.now())
	if heard {
		h.queue(changed, false)
		h.queueGossip(r)
	}
	h.mu.Unlock()
	h.changed(changed, r, heard)
}

// changed logs visible changes and passes signs of life on.
func (h *Hub) changed(changed []*pb.UpstreamRecord, r *pb.UpstreamRecord, heard bool) {
	for _, c := range changed {
		h.logRecord(c)
		if c != r {
			h.opts.OnReport(c)
		}
	}
	if heard {
		h.opts.OnReport(r)
	}
}

// Records returns all records with their age.
func (h *Hub) Records() []*pb.UpstreamRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Records(h.now())
}

// entries returns the number of entries in the system. Each is attached to
// several hubs.
func (h *Hub) entries() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := h.attachedHere()
	for _, c := range h.attached {
		if h.now()-c.at < attachedLife {
			total += c.n
		}
	}
	return uint32((total + attachments - 1) / attachments)
}

func (h *Hub) attachedHere() int {
	n := 0
	for r := range h.readers {
		if !r.every {
			n++
		}
	}
	return n
}

// queue adds records to the streams of entries, and to those of other hubs if
// asked. The caller holds mu.
func (h *Hub) queue(records []*pb.UpstreamRecord, gossip bool) {
	if len(records) == 0 {
		return
	}
	for r := range h.readers {
		if !r.every || gossip {
			r.add(records)
		}
	}
}

func (h *Hub) queueGossip(record *pb.UpstreamRecord) {
	for r := range h.readers {
		if r.every {
			r.add([]*pb.UpstreamRecord{record})
		}
	}
}

func (r *reader) add(records []*pb.UpstreamRecord) {
	if len(r.pending)+len(records) > maxPending {
		r.pending, r.whole = nil, true
	} else if !r.whole {
		r.pending = append(r.pending, records...)
	}
	r.signal()
}

func (r *reader) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (h *Hub) logRecord(r *pb.UpstreamRecord) {
	h.opts.Logger.Info().Str("event", "upstream.changed").Str("upstream", r.Id).Str("service", r.Service).
		Str("address", r.Address).Str("phase", r.Phase.String()).Bool("silent", r.Silent).
		Int64("born_ms", r.BornMs).Uint64("sequence", r.Sequence).Msg("")
}

func (h *Hub) open(every bool) *reader {
	r := &reader{wake: make(chan struct{}, 1), whole: true, every: every}
	r.signal()
	h.mu.Lock()
	h.readers[r] = struct{}{}
	h.mu.Unlock()
	return r
}

func (h *Hub) close(r *reader) {
	h.mu.Lock()
	delete(h.readers, r)
	h.mu.Unlock()
}

// take returns the records for one update.
func (h *Hub) take(r *reader) []*pb.UpstreamRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := r.pending
	r.pending = nil
	if r.whole {
		r.whole = false
		return h.table.Records(h.now())
	}
	return records
}

// serveFeed streams updates to one entry.
func (h *Hub) serveFeed(ctx context.Context, st *transport.Stream) error {
	req := &pb.FeedRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	r := h.open(false)
	defer h.close(r)
	go h.readOutcomes(st)
	have := req.HaveVersion
	var core []string
	ticker := time.NewTicker(pulse)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.ctx.Done():
			return nil
		case <-r.wake:
		case <-ticker.C:
		}
		u := &pb.FeedUpdate{Upstreams: h.take(r), Quorate: h.opts.Store.HasQuorum(), Entries: h.entries(), ErrorShares: h.errorShares()}
		u.Leader, u.Term, _ = h.opts.Store.Leader()
		if d := h.opts.Store.Current(); d.Version > have {
			u.Document = &pb.Document{Version: d.Version, Body: d.Body}
			have = d.Version
		}
		if members := h.opts.Store.Members(); !slices.Equal(members, core) {
			core = members
			u.Core = members
		}
		if err := st.Send(u); err != nil {
			return err
		}
	}
}

// serveGossip takes records from another hub. They are not passed on: each hub
// sends what it heard itself to all others.
func (h *Hub) serveGossip(ctx context.Context, st *transport.Stream) error {
	for {
		g := &pb.Gossip{}
		if err := st.Recv(g); err != nil {
			return nil
		}
		for _, r := range g.Upstreams {
			h.observeGossip(r)
		}
		h.mu.Lock()
		h.attached[transport.PeerFrom(ctx).Vm] = attachedCount{int(g.Attached), h.now()}
		h.mu.Unlock()
	}
}

func (h *Hub) observeGossip(r *pb.UpstreamRecord) {
	h.mu.Lock()
	changed, heard := h.table.Observe(r, h.now())
	h.queue(changed, false)
	h.mu.Unlock()
	h.changed(changed, r, heard)
}

// maintain marks silent upstreams and keeps one gossip stream to each other
// hub. It ends with Stop.
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
		h.keepStreams(streams)
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
	h.queue(silent, false)
	h.mu.Unlock()
	for _, r := range silent {
		h.logRecord(r)
		h.opts.OnReport(r)
	}
}

func (h *Hub) keepStreams(streams map[string]context.CancelFunc) {
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

// gossipTo sends every report that arrives here to one other hub.
func (h *Hub) gossipTo(ctx context.Context, address string) {
	r := h.open(true)
	defer h.close(r)
	for ctx.Err() == nil {
		h.gossipStream(ctx, address, r)
		select {
		case <-ctx.Done():
		case <-time.After(gossipRetry):
		}
	}
}

func (h *Hub) gossipStream(ctx context.Context, address string, r *reader) {
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
	r.whole = true
	h.mu.Unlock()
	r.signal()
	ticker := time.NewTicker(attachedLife / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
		}
		records := h.take(r)
		h.mu.Lock()
		attached := uint32(h.attachedHere())
		h.mu.Unlock()
		if err := st.Send(&pb.Gossip{Upstreams: records, Attached: attached}); err != nil {
			return
		}
	}
}
