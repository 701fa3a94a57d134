package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// heartbeatTimeout is three heartbeat intervals plus 100 ms. A subscriber that
	// was attached to two failed hubs then attaches to a third one within the 3 s
	// after a fault in which daemons may still act on old state.
	heartbeatTimeout = 1600 * time.Millisecond
	// dialTimeout bounds the opening of a stream to a hub.
	dialTimeout = 700 * time.Millisecond
	// reattachDelay is the mean delay before a subscriber attaches to a hub again.
	reattachDelay = 200 * time.Millisecond
	// hubsPerSubscriber is the number of hubs that a subscriber stays attached to.
	hubsPerSubscriber = 2
	// noLeaderTimeout is how long a subscriber stays attached to a hub that has
	// lost contact with the leader. Other hubs may still be in contact.
	noLeaderTimeout = 1500 * time.Millisecond
)

// behindTimeout is how long a subscriber that knows of a newer document waits for it
// before it leaves the hubs that do not have it.
const behindTimeout = 500 * time.Millisecond

// errHubBehind ends the attachment to a hub without the newest document.
var errHubBehind = errors.New("the hub does not have the newest configuration")

// errNoLeader ends the attachment to a hub without contact with the leader.
var errNoLeader = errors.New("the hub is not in contact with the leader of a majority")

// SubscriberOptions configure a Subscriber.
type SubscriberOptions struct {
	// Seeds returns the session addresses of the seeds in the current settings.
	Seeds     func() []string
	Transport transport.Options
	Logger    *log.Logger
	// OnDocument is called with each document that is newer than the last one.
	OnDocument func(version uint64, body []byte)
	// OnUpstreams is called with the records that changed.
	OnUpstreams func([]*pb.UpstreamRecord)
	// Outcomes returns the outcomes of the entry's calls since the last time it
	// was called, and Reported is called once they have been sent to all hubs in use. A
	// receive from ReportNow makes the subscriber send them at once.
	// OnErrorShares is called with the error shares of upstreams over all entries
	// attached to the hub. All four may be nil.
	Outcomes      func() *pb.OutcomeReport
	Reported      func()
	ReportNow     <-chan struct{}
	OnErrorShares func([]*pb.ErrorShare)
	// OnEvidence is called with changes of what is known about parts of prompts that
	// crash engines. Quarantined returns the parts that the entry knows to be
	// quarantined. Both may be nil.
	OnEvidence  func(*pb.PromptEvidence)
	Quarantined func() []*pb.QuarantinedPart
	// StreamVersions returns the versions of the streams that the entry has begun of late.
	// It may be nil.
	StreamVersions func() []*pb.StreamVersion
	// SoftwareTellsRun reports whether upstreams of a service that are chosen by their software
	// alone go on with each other's runs. If it is nil they do.
	SoftwareTellsRun func(service string) bool
	// EventNumberings returns what the entry knows of how events are numbered, and
	// OnEventNumberings is called with what other entries know. Both may be nil.
	EventNumberings   func() []*pb.EventNumbering
	OnEventNumberings func([]*pb.EventNumbering)
	// OnServiceVersions is called with the software versions in use of late. It may be nil.
	OnServiceVersions func([]*pb.ServiceVersion)
	// RouteServices returns the services that the entry knows routes to have left, and
	// OnRouteServices is called with those that a hub knows, before the document that comes
	// with them. Both may be nil.
	RouteServices   func() []*pb.RouteService
	OnRouteServices func([]*pb.RouteService)
	// OnStatements is called with what upstreams say about the requests that they take.
	// It may be nil.
	OnStatements func([]*pb.UpstreamStatement)
}

// Subscriber receives updates for one entry from the hubs to which it is
// attached.
type Subscriber struct {
	opts  SubscriberOptions
	start time.Time

	mu          sync.Mutex
	coreMembers []string
	// hubsInUse holds the hubs that the subscriber is attached or attaching to, and
	// detachedAt when the last attachment to each hub ended.
	hubsInUse  map[string]bool
	detachedAt map[string]time.Time
	table      *fleet.Table
	// silent is the silent mark last passed to OnUpstreams, by upstream id.
	silent  map[string]bool
	version uint64
	// firstVersion is that of the first document. Only hubs tell what was in force before.
	firstVersion uint64
	// newestVersion is the highest version that a hub announced, and behindSince
	// when it first exceeded version; zero if it does not.
	newestVersion uint64
	behindSince   time.Time
	// lastContact is when the last update arrived from a hub that was in contact
	// with the leader.
	lastContact time.Time
	// observedSince is the time since which all software versions in use are known,
	// observedAt when an update last said so, and reportsAt when one last came from a hub
	// that receives the reports of all upstreams.
	observedSince, observedAt, reportsAt time.Time
	// leader and term are those of the newest known leader of the core.
	leader string
	term   uint64
	// entryCount is the highest number of entries that a hub reported within
	// entryCountTTL.
	entryCount   uint32
	entryCountAt time.Time
	// streams holds the open streams from hubs, with the hubs' clients.
	streams map[*transport.Stream]*transport.Client
	// permitClient is the client of the leader; nil until a permit was asked for.
	permitClient *transport.Client
	stopped      bool

	stop context.CancelFunc
	done sync.WaitGroup
}

// Subscribe starts a subscriber. Stop ends it.
func Subscribe(opts SubscriberOptions) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	subscriber := &Subscriber{
		opts: opts, start: time.Now(), hubsInUse: map[string]bool{}, detachedAt: map[string]time.Time{},
		table: fleet.NewEntryTable(), silent: map[string]bool{}, streams: map[*transport.Stream]*transport.Client{}, stop: cancel,
	}
	if opts.Outcomes != nil {
		subscriber.done.Add(1)
		go subscriber.reportOutcomes(ctx)
	}
	for range hubsPerSubscriber {
		subscriber.done.Add(1)
		go subscriber.run(ctx)
	}
	return subscriber
}

// Stop closes the streams and waits for the subscriber's goroutines.
func (s *Subscriber) Stop() {
	s.stop()
	s.closeLeaderClient()
	s.done.Wait()
}

// Age returns the time since the last update from a hub that was in contact with
// the leader.
func (s *Subscriber) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastContact)
}

func (s *Subscriber) run(ctx context.Context) {
	defer s.done.Done()
	for ctx.Err() == nil {
		address := s.acquireHub()
		if address != "" {
			err := s.attach(ctx, address)
			s.releaseHub(address)
			if ctx.Err() == nil {
				s.opts.Logger.Warn().Str("event", "feed.lost").Str("hub", address).Err(err).Msg("")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reattachDelay/2 + rand.N(reattachDelay)):
		}
	}
}

// acquireHub chooses a hub that is not in use and marks it as in use. It prefers
// the one whose last attachment ended longest ago.
func (s *Subscriber) acquireHub() string {
	seeds := s.opts.Seeds()
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := slices.Concat(s.coreMembers, seeds)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := ""
	for _, c := range candidates {
		if s.hubsInUse[c] {
			continue
		}
		if best == "" || s.detachedAt[c].Before(s.detachedAt[best]) {
			best = c
		}
	}
	if best != "" {
		s.hubsInUse[best] = true
	}
	return best
}

func (s *Subscriber) releaseHub(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hubsInUse, address)
	s.detachedAt[address] = time.Now()
}

// attach applies the updates of one hub until the stream fails or the hub has
// been out of contact with the leader for noLeaderTimeout.
func (s *Subscriber) attach(ctx context.Context, address string) error {
	client := transport.NewClient(address, s.opts.Transport)
	defer client.Close()
	openCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	st, err := client.Open(openCtx, transport.MethodFeed)
	cancel()
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, client.Close)
	defer stop()
	watchdog := time.AfterFunc(heartbeatTimeout, client.Close)
	defer watchdog.Stop()
	s.mu.Lock()
	haveVersion := s.version
	s.mu.Unlock()
	req := &pb.FeedRequest{HaveVersion: haveVersion, ReadsDeflated: true}
	if s.opts.Quarantined != nil {
		req.Quarantined = s.opts.Quarantined()
	}
	if s.opts.StreamVersions != nil {
		req.StreamVersions = recordsFor(client.Peer(), s.opts.StreamVersions(), s.softwareTellsRun)
	}
	if s.opts.RouteServices != nil {
		req.RouteServices = s.opts.RouteServices()
	}
	if s.opts.EventNumberings != nil {
		req.EventNumberings = s.opts.EventNumberings()
	}
	if err := st.Send(req); err != nil {
		return err
	}
	defer s.addStream(st, client)()
	s.opts.Logger.Info().Str("event", "feed.attached").Str("hub", address).Str("hub_build", client.Peer().Build).Uint32("hub_protocol_level", client.Peer().Level).Uint64("version", haveVersion).Msg("")
	lastQuorum := time.Now()
	for {
		u := &pb.FeedUpdate{}
		if err := st.Recv(u); err != nil {
			return err
		}
		watchdog.Reset(heartbeatTimeout)
		if err := s.apply(u); err != nil {
			return err
		}
		if s.behind(u.Version) {
			return errHubBehind
		}
		if u.Quorate {
			lastQuorum = time.Now()
		} else if time.Since(lastQuorum) > noLeaderTimeout {
			return errNoLeader
		}
	}
}

// apply merges one update into the subscriber's state and calls the callbacks. It returns
// an error if the document cannot be read.
func (s *Subscriber) apply(u *pb.FeedUpdate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	newDocument := u.Document != nil && u.Document.Version > s.version
	var body []byte
	if newDocument {
		var err error
		if body, err = documentBody(u.Document); err != nil {
			return err
		}
	}
	if len(u.Core) > 0 {
		s.coreMembers = u.Core
	}
	if u.Quorate {
		s.lastContact = time.Now()
	}
	if s.firstVersion == 0 && u.Document != nil {
		s.firstVersion, s.observedSince = u.Document.Version, time.Now()
	}
	s.recordObservation(time.Now(), u)
	if u.Leader != "" && u.Term >= s.term {
		s.leader, s.term = u.Leader, u.Term
	}
	s.updateEntryCount(u.Entries)
	if s.opts.OnEventNumberings != nil {
		// Before the first configuration, with which the entry begins to serve.
		s.opts.OnEventNumberings(u.EventNumberings)
	}
	changed := append(s.merge(u.Upstreams, u.Quorate), s.mergeNotices(u.LeaveNotices)...)
	if newDocument {
		s.version = u.Document.Version
		// The callback runs under the lock, so that versions arrive in order.
		s.opts.OnDocument(u.Document.Version, body)
	}
	s.newestVersion = max(s.newestVersion, u.NewestVersion)
	if s.version >= s.newestVersion {
		s.behindSince = time.Time{}
	} else if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
	if len(changed) > 0 {
		s.opts.OnUpstreams(changed)
	}
	if s.opts.OnErrorShares != nil {
		s.opts.OnErrorShares(u.ErrorShares)
	}
	if s.opts.OnStatements != nil {
		s.opts.OnStatements(u.Statements)
	}
	if s.opts.OnEvidence != nil && u.Evidence != nil {
		s.opts.OnEvidence(u.Evidence)
	}
	return nil
}

// maxObservationGap is the longest time without contact after which the first update still
// lists all versions that a stream may have begun at: hubs keep those of the last 60 s.
const maxObservationGap = 30 * time.Second

// reportPeriod is the time in which every upstream reports: a report interval of 1.2 s, and
// 1 s in which it may retry at the next hub. A hub that has started later, and has no table
// of another one, does not know of a process that has replaced one meanwhile.
const reportPeriod = 2200 * time.Millisecond

// recordObservation records for how long versions and upstreams have been observed, by an
// update. The caller holds mu.
func (s *Subscriber) recordObservation(now time.Time, u *pb.FeedUpdate) {
	if u.ObservedMs > 0 && u.RoutesVersion >= s.firstVersion {
		if now.Sub(s.observedAt) > maxObservationGap {
			s.observedSince = now
		}
		if since := now.Add(-milliseconds(u.ObservedMs)); since.Before(s.observedSince) {
			s.observedSince = since
		}
		s.observedAt = now
	}
	if milliseconds(u.ReportsMs) >= reportPeriod {
		s.reportsAt = now
	}
	if s.opts.OnServiceVersions != nil {
		s.opts.OnServiceVersions(u.ServiceVersions)
	}
	if s.opts.OnRouteServices != nil && len(u.RouteServices) > 0 {
		s.opts.OnRouteServices(u.RouteServices)
	}
}

// VersionsObserved returns the time for which all software versions in use and all services
// of routes are known, 0 without contact with a hub that knows them, and while other daemons
// may use a newer document.
func (s *Subscriber) VersionsObserved() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.updatedBy(s.observedAt) || s.version < s.newestVersion {
		return 0
	}
	return time.Since(s.observedSince)
}

// ReportsArrive reports whether the reports of all upstreams arrive.
func (s *Subscriber) ReportsArrive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updatedBy(s.reportsAt)
}

// updatedBy reports whether an update at a time is recent enough and its hub is still
// attached. The caller holds mu.
func (s *Subscriber) updatedBy(at time.Time) bool {
	return len(s.streams) > 0 && time.Since(at) <= heartbeatTimeout
}

// behind reports whether the subscriber has lacked the newest document for
// behindTimeout and a hub with the given version cannot send it.
func (s *Subscriber) behind(hubVersion uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.behindSince.IsZero() && time.Since(s.behindSince) > behindTimeout && hubVersion < s.newestVersion
}

// entryCountTTL is how long the highest reported number of entries is used. A
// lower number may only mean that entries are restarting, and each of them will
// use its share of the retry budget again.
const entryCountTTL = 20 * time.Second

func (s *Subscriber) updateEntryCount(n uint32) {
	if n >= s.entryCount || time.Since(s.entryCountAt) > entryCountTTL {
		s.entryCount, s.entryCountAt = n, time.Now()
	}
}

// Entries returns the number of entries in the system, 0 when unknown.
func (s *Subscriber) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.entryCount)
}

// CoreMembers returns the session addresses of the core daemons; none before the first
// update.
func (s *Subscriber) CoreMembers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.coreMembers)
}

// Leader returns the session address and the term of the core's leader.
func (s *Subscriber) Leader() (address string, term uint64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, s.term, s.leader != ""
}

// merge returns copies of the records that changed; the copies are not modified
// afterwards. The silent mark of a record counts only if the hub is in contact
// with the leader, because any other hub may itself be partitioned off.
func (s *Subscriber) merge(records []*pb.UpstreamRecord, hasQuorum bool) []*pb.UpstreamRecord {
	var changed []*pb.UpstreamRecord
	now := time.Since(s.start)
	for _, r := range records {
		silent := r.Silent && hasQuorum
		if s.table.ForgetBefore(r, s.silent[r.Id], now) {
			delete(s.silent, r.Id)
		}
		updates, accepted := s.table.Observe(r, now)
		known := s.table.Get(r.Id)
		if known == nil || known.BornMs != r.BornMs {
			continue
		}
		if !accepted && known.Sequence != r.Sequence {
			silent = s.silent[r.Id]
		}
		if !accepted && len(updates) == 0 && s.silent[r.Id] == silent {
			continue
		}
		if len(updates) == 0 {
			updates = []*pb.UpstreamRecord{known}
		}
		s.silent[r.Id] = silent
		for _, update := range updates {
			update = proto.CloneOf(update)
			if update.Id == r.Id {
				update.Silent = silent
			}
			changed = append(changed, update)
		}
	}
	return changed
}

// mergeNotices applies notices of leaving of processes that a hub does not know, and returns the
// records of those that this entry knew.
func (s *Subscriber) mergeNotices(notices []*pb.UpstreamRecord) []*pb.UpstreamRecord {
	var changed []*pb.UpstreamRecord
	now := time.Since(s.start)
	for _, n := range notices {
		if gone := s.table.Leave(n.Id, n.BornMs, now-milliseconds(n.AgeMs)); gone != nil && !fleet.IsNotice(gone) {
			changed = append(changed, proto.CloneOf(gone))
		}
	}
	return changed
}
