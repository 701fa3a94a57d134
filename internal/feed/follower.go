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
	// pulseTimeout is three missed pulses. A follower attached to two hubs
	// then finds a third one well before it counts as out of contact (3 s).
	pulseTimeout = 1600 * time.Millisecond
	// dialTimeout bounds the connection to a hub.
	dialTimeout = 700 * time.Millisecond
	// redialPause separates attempts to attach.
	redialPause = 200 * time.Millisecond
	// attachments is the number of hubs that a follower is attached to.
	attachments = 2
	// patience is how long a follower stays with a hub that hears no leader
	// while others may.
	patience = 1500 * time.Millisecond
)

// errNoLeader ends the attachment to a hub that hears no leader.
var errNoLeader = errors.New("the hub hears no leader of a majority")

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	// Seeds returns the session addresses that the settings name at present.
	Seeds     func() []string
	Transport transport.Options
	Logger    *log.Logger
	// OnDocument is called for each document that is newer than the last one.
	OnDocument func(version uint64, body []byte)
	// OnUpstreams is called with changed records.
	OnUpstreams func([]*pb.UpstreamRecord)
	// Outcomes returns the outcomes of the entry's calls since it was last
	// called, and OnErrorShares takes those of all entries. Both may be nil.
	Outcomes      func() []*pb.UpstreamOutcomes
	OnErrorShares func([]*pb.ErrorShare)
}

// Follower keeps an entry up to date.
type Follower struct {
	opts  FollowerOptions
	start time.Time

	mu      sync.Mutex
	core    []string
	used    map[string]bool
	failed  map[string]time.Time
	table   *fleet.Table
	silent  map[string]bool
	version uint64
	// contact is when an update last arrived from a hub that hears a leader.
	contact time.Time
	// leader and term name the newest known leader of the core.
	leader string
	term   uint64
	// entries is the highest number of entries that was stated lately.
	entries   uint32
	entriesAt time.Time
	// streams are the attachments in use.
	streams map[*transport.Stream]struct{}

	stop context.CancelFunc
	done sync.WaitGroup
}

// Follow starts a follower, which Stop ends.
func Follow(opts FollowerOptions) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		opts: opts, start: time.Now(), used: map[string]bool{}, failed: map[string]time.Time{},
		table: fleet.NewTable(), silent: map[string]bool{}, streams: map[*transport.Stream]struct{}{}, stop: cancel,
	}
	if opts.Outcomes != nil {
		f.done.Add(1)
		go f.report(ctx)
	}
	for range attachments {
		f.done.Add(1)
		go f.run(ctx)
	}
	return f
}

// Stop ends the streams.
func (f *Follower) Stop() {
	f.stop()
	f.done.Wait()
}

// Age returns the time since a hub that hears a leader was last heard.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contact)
}

func (f *Follower) run(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		address := f.choose()
		if address != "" {
			err := f.attach(ctx, address)
			f.release(address)
			if ctx.Err() == nil {
				f.opts.Logger.Warn().Str("event", "feed.lost").Str("hub", address).Err(err).Msg("")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause/2 + rand.N(redialPause)):
		}
	}
}

// choose takes the hub that failed longest ago, of those not in use.
func (f *Follower) choose() string {
	seeds := f.opts.Seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := slices.Concat(f.core, seeds)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := ""
	for _, c := range candidates {
		if f.used[c] {
			continue
		}
		if best == "" || f.failed[c].Before(f.failed[best]) {
			best = c
		}
	}
	if best != "" {
		f.used[best] = true
	}
	return best
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.used, address)
	f.failed[address] = time.Now()
}

// attach reads one hub's stream until it fails or the hub stays without a
// leader.
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
	watchdog := time.AfterFunc(pulseTimeout, client.Close)
	defer watchdog.Stop()
	f.mu.Lock()
	have := f.version
	f.mu.Unlock()
	if err := st.Send(&pb.FeedRequest{HaveVersion: have}); err != nil {
		return err
	}
	defer f.attached(st)()
	f.opts.Logger.Info().Str("event", "feed.attached").Str("hub", address).Uint64("version", have).Msg("")
	quorateAt := time.Now()
	for {
		u := &pb.FeedUpdate{}
		if err := st.Recv(u); err != nil {
			return err
		}
		watchdog.Reset(pulseTimeout)
		f.apply(u)
		if u.Quorate {
			quorateAt = time.Now()
		} else if time.Since(quorateAt) > patience {
			return errNoLeader
		}
	}
}

// apply merges one update.
func (f *Follower) apply(u *pb.FeedUpdate) {
	f.mu.Lock()
	if len(u.Core) > 0 {
		f.core = u.Core
	}
	if u.Quorate {
		f.contact = time.Now()
	}
	if u.Leader != "" && u.Term >= f.term {
		f.leader, f.term = u.Leader, u.Term
	}
	f.countEntries(u.Entries)
	changed := f.merge(u.Upstreams, u.Quorate)
	newer := u.Document != nil && u.Document.Version > f.version
	if newer {
		f.version = u.Document.Version
		// The callback keeps the order of versions, so it runs under the lock.
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

// entriesLife is how long the highest stated number of entries counts: entries
// that are restarting come back and spend their part again.
const entriesLife = 20 * time.Second

func (f *Follower) countEntries(n uint32) {
	if n >= f.entries || time.Since(f.entriesAt) > entriesLife {
		f.entries, f.entriesAt = n, time.Now()
	}
}

// Entries returns the number of entries in the system, 0 when unknown.
func (f *Follower) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.entries)
}

// Leader returns the session address and the term of the core's leader.
func (f *Follower) Leader() (address string, term uint64, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.term, f.leader != ""
}

// merge returns the records that are news, as copies that are not changed
// afterwards. Only a hub that hears a leader is
// believed when it calls an upstream silent: the others may be cut off.
func (f *Follower) merge(records []*pb.UpstreamRecord, quorate bool) []*pb.UpstreamRecord {
	var changed []*pb.UpstreamRecord
	now := time.Since(f.start)
	for _, r := range records {
		silent := r.Silent && quorate
		news, heard := f.table.Observe(r, now)
		known := f.table.Get(r.Id)
		if known == nil || known.BornMs != r.BornMs {
			continue
		}
		if !heard && (known.Sequence != r.Sequence || f.silent[r.Id] == silent) {
			continue
		}
		if len(news) == 0 {
			news = []*pb.UpstreamRecord{known}
		}
		f.silent[r.Id] = silent
		for _, n := range news {
			n = proto.CloneOf(n)
			if n.Id == r.Id {
				n.Silent = silent
			}
			changed = append(changed, n)
		}
	}
	return changed
}
