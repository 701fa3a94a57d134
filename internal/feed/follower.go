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
	// heartbeatTimeout is three heartbeat intervals plus 100 ms. A follower that
	// was attached to two failed hubs then attaches to a third one within the 3 s
	// after a fault in which daemons may still act on old state (the platform's
	// contactMs).
	heartbeatTimeout = 1600 * time.Millisecond
	// dialTimeout bounds the opening of a stream to a hub.
	dialTimeout = 700 * time.Millisecond
	// reattachDelay is the mean delay before a follower attaches to a hub again.
	reattachDelay = 200 * time.Millisecond
	// hubsPerFollower is the number of hubs that a follower stays attached to.
	hubsPerFollower = 2
	// noLeaderTimeout is how long a follower stays attached to a hub that has lost
	// contact with the leader. Other hubs may still be in contact.
	noLeaderTimeout = 1500 * time.Millisecond
)

// errNoLeader ends the attachment to a hub without contact with the leader.
var errNoLeader = errors.New("the hub is not in contact with the leader of a majority")

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	// Seeds returns the session addresses of the seeds in the current settings.
	Seeds     func() []string
	Transport transport.Options
	Logger    *log.Logger
	// OnDocument is called with each document that is newer than the last one.
	OnDocument func(version uint64, body []byte)
	// OnUpstreams is called with the records that changed.
	OnUpstreams func([]*pb.UpstreamRecord)
	// Outcomes returns the outcomes of the entry's calls since the last time it
	// was called. OnErrorShares is called with the error shares of upstreams
	// over all entries attached to the hub. Both may be nil.
	Outcomes      func() []*pb.UpstreamOutcomes
	OnErrorShares func([]*pb.ErrorShare)
}

// Follower receives updates for one entry from the hubs to which it is attached.
type Follower struct {
	opts  FollowerOptions
	start time.Time

	mu          sync.Mutex
	coreMembers []string
	// hubsInUse holds the hubs that the follower is attached or attaching to, and
	// detachedAt when the last attachment to each hub ended.
	hubsInUse  map[string]bool
	detachedAt map[string]time.Time
	table      *fleet.Table
	// silent is the silent mark last passed to OnUpstreams, by upstream id.
	silent  map[string]bool
	version uint64
	// lastContact is when the last update arrived from a hub that was in contact
	// with the leader.
	lastContact time.Time
	// leader and term are those of the newest known leader of the core.
	leader string
	term   uint64
	// entryCount is the highest number of entries that a hub reported within
	// entryCountTTL.
	entryCount   uint32
	entryCountAt time.Time
	// streams holds the open streams from hubs.
	streams map[*transport.Stream]struct{}

	stop context.CancelFunc
	done sync.WaitGroup
}

// Follow starts a follower. Stop ends it.
func Follow(opts FollowerOptions) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		opts: opts, start: time.Now(), hubsInUse: map[string]bool{}, detachedAt: map[string]time.Time{},
		table: fleet.NewTable(), silent: map[string]bool{}, streams: map[*transport.Stream]struct{}{}, stop: cancel,
	}
	if opts.Outcomes != nil {
		f.done.Add(1)
		go f.reportOutcomes(ctx)
	}
	for range hubsPerFollower {
		f.done.Add(1)
		go f.run(ctx)
	}
	return f
}

// Stop closes the streams and waits for the follower's goroutines.
func (f *Follower) Stop() {
	f.stop()
	f.done.Wait()
}

// Age returns the time since the last update from a hub that was in contact with
// the leader.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastContact)
}

func (f *Follower) run(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		address := f.acquireHub()
		if address != "" {
			err := f.attach(ctx, address)
			f.releaseHub(address)
			if ctx.Err() == nil {
				f.opts.Logger.Warn().Str("event", "feed.lost").Str("hub", address).Err(err).Msg("")
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
func (f *Follower) acquireHub() string {
	seeds := f.opts.Seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := slices.Concat(f.coreMembers, seeds)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := ""
	for _, c := range candidates {
		if f.hubsInUse[c] {
			continue
		}
		if best == "" || f.detachedAt[c].Before(f.detachedAt[best]) {
			best = c
		}
	}
	if best != "" {
		f.hubsInUse[best] = true
	}
	return best
}

func (f *Follower) releaseHub(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hubsInUse, address)
	f.detachedAt[address] = time.Now()
}

// attach applies the updates of one hub until the stream fails or the hub has
// been out of contact with the leader for noLeaderTimeout.
func (f *Follower) attach(ctx context.Context, address string) error {
	client := transport.NewClient(address, f.opts.Transport)
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
	f.mu.Lock()
	haveVersion := f.version
	f.mu.Unlock()
	if err := st.Send(&pb.FeedRequest{HaveVersion: haveVersion}); err != nil {
		return err
	}
	defer f.addStream(st)()
	f.opts.Logger.Info().Str("event", "feed.attached").Str("hub", address).Uint64("version", haveVersion).Msg("")
	lastQuorum := time.Now()
	for {
		u := &pb.FeedUpdate{}
		if err := st.Recv(u); err != nil {
			return err
		}
		watchdog.Reset(heartbeatTimeout)
		f.apply(u)
		if u.Quorate {
			lastQuorum = time.Now()
		} else if time.Since(lastQuorum) > noLeaderTimeout {
			return errNoLeader
		}
	}
}

// apply merges one update into the follower's state and calls the callbacks.
func (f *Follower) apply(u *pb.FeedUpdate) {
	f.mu.Lock()
	if len(u.Core) > 0 {
		f.coreMembers = u.Core
	}
	if u.Quorate {
		f.lastContact = time.Now()
	}
	if u.Leader != "" && u.Term >= f.term {
		f.leader, f.term = u.Leader, u.Term
	}
	f.updateEntryCount(u.Entries)
	changed := f.merge(u.Upstreams, u.Quorate)
	newDocument := u.Document != nil && u.Document.Version > f.version
	if newDocument {
		f.version = u.Document.Version
		// The callback runs under the lock, so that versions arrive in order.
		f.opts.OnDocument(u.Document.Version, u.Document.Body)
	}
	if len(changed) > 0 {
		f.opts.OnUpstreams(changed)
	}
	if f.opts.OnErrorShares != nil {
		f.opts.OnErrorShares(u.ErrorShares)
	}
	f.mu.Unlock()
}

// entryCountTTL is how long the highest reported number of entries is used. A
// lower number may only mean that entries are restarting, and each of them will
// use its share of the retry budget again.
const entryCountTTL = 20 * time.Second

func (f *Follower) updateEntryCount(n uint32) {
	if n >= f.entryCount || time.Since(f.entryCountAt) > entryCountTTL {
		f.entryCount, f.entryCountAt = n, time.Now()
	}
}

// Entries returns the number of entries in the system, 0 when unknown.
func (f *Follower) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.entryCount)
}

// Leader returns the session address and the term of the core's leader.
func (f *Follower) Leader() (address string, term uint64, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.term, f.leader != ""
}

// merge returns copies of the records that changed; the copies are not modified
// afterwards. The silent mark of a record counts only if the hub is in contact
// with the leader, because any other hub may itself be partitioned off.
func (f *Follower) merge(records []*pb.UpstreamRecord, hasQuorum bool) []*pb.UpstreamRecord {
	var changed []*pb.UpstreamRecord
	now := time.Since(f.start)
	for _, r := range records {
		silent := r.Silent && hasQuorum
		updates, accepted := f.table.Observe(r, now)
		known := f.table.Get(r.Id)
		if known == nil || known.BornMs != r.BornMs {
			continue
		}
		if !accepted && (known.Sequence != r.Sequence || f.silent[r.Id] == silent) {
			continue
		}
		if len(updates) == 0 {
			updates = []*pb.UpstreamRecord{known}
		}
		f.silent[r.Id] = silent
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
