package streamlog

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/wal"
)

const (
	// flushInterval is the time for which records wait for others to be written with.
	flushInterval = 100 * time.Millisecond
	// maxQueued limits the records that wait for a stalled disk. The oldest are dropped.
	maxQueued = 16384
	// maxAwaited limits the writes that somebody waits for. Further ones are refused.
	maxAwaited = 4096
	// retention is how long a segment is kept after its last write: the time for which
	// streams are remembered, and a margin for steps of the clock.
	retention = 75 * time.Second
	// A segment ends after segmentPeriod or segmentBytes, whichever comes first, and
	// maxSegments of them are kept.
	segmentPeriod = 30 * time.Second
	segmentBytes  = 4 << 20
	maxSegments   = 5

	segmentPrefix = "versions-"
)

// Options configure a Log.
type Options struct {
	Dir    string
	FS     wal.FS
	Logger *log.Logger
	// Now returns the VM's time of day; nil selects time.Now.
	Now func() time.Time
}

// Stored is what a log held when it was opened, with ages as of then.
type Stored struct {
	Streams []*pb.StreamVersion
	// Services lists the software versions in use when the last batch was written, and
	// Observed the time for which all of them are known, up to now: no stream began after
	// the last batch.
	Services []*pb.ServiceVersion
	Observed time.Duration
	// Routes lists the services that routes had left of late, up to the document with
	// RoutesVersion.
	Routes        []*pb.RouteService
	RoutesVersion uint64
	// Leaving lists the processes that drain or have ended, in the order in which they were
	// stored.
	Leaving []*pb.UpstreamRecord
}

// Log stores records. It is safe for concurrent use.
type Log struct {
	opts Options
	wake chan struct{}
	// urgent ends the wait for further records.
	urgent chan struct{}
	stop   context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	queued  []*pb.StreamVersion
	dropped int
	awaited awaitedWrites
	// addHistory adds to a batch what is stored with each one; nil if nothing is.
	addHistory func(*pb.StreamVersionBatch)
	// historyChanged is set when a batch is due although it may have no records.
	historyChanged bool

	// The fields below belong to the flushing goroutine.

	// restored holds the records that were read at the start, until they are stored again.
	restored        []*pb.StreamVersion
	restoredLeaving []*pb.UpstreamRecord
	current         wal.File
	currentName     string
	openedAt        time.Time
	bytes           int
	// segments lists the other files, oldest first, with the time of their last write.
	segments []segment
	next     uint64
	// failed is set after a write that failed.
	failed bool
}

type segment struct {
	name      string
	writtenAt time.Time
}

// Open reads the records that have not expired, with their ages, and starts a log. Its
// first write stores them again, so that older files can be removed.
func Open(opts Options) (*Log, *Stored, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if err := opts.FS.MkdirAll(opts.Dir); err != nil {
		return nil, nil, errors.Wrap(err, "creating the folder of stream versions")
	}
	names, err := opts.FS.ReadDir(opts.Dir)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listing stream versions")
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Log{opts: opts, wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1), stop: stop, done: make(chan struct{})}
	stored := &Stored{}
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &n); err != nil || !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		l.next = max(l.next, n+1)
		l.segments = append(l.segments, segment{name: name})
		l.readSegment(name, stored)
	}
	if len(stored.Streams)+len(stored.Leaving) > 0 {
		l.restored, l.restoredLeaving = slices.Clone(stored.Streams), slices.Clone(stored.Leaving)
		l.wake <- struct{}{}
	}
	go l.run(ctx)
	return l, stored, nil
}

// SetHistory sets the function that adds to a batch the software versions in use, the
// services that routes have left, and the time for which all are known.
func (l *Log) SetHistory(add func(*pb.StreamVersionBatch)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addHistory = add
}

// HistoryChanged makes the log write a batch also if there are no records. It does not wait.
func (l *Log) HistoryChanged() {
	l.mu.Lock()
	l.historyChanged = true
	l.mu.Unlock()
	l.signal()
}

func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// readSegment adds what a segment holds to stored. Segments are read oldest first.
func (l *Log) readSegment(name string, stored *Stored) {
	data, err := l.opts.FS.ReadFile(l.path(name))
	if err != nil {
		l.opts.Logger.Error().Str("event", "stream_versions.unreadable").Str("file", name).Err(err).Msg("")
		return
	}
	batches, rest := decodeBatches(data)
	if rest > 0 {
		l.opts.Logger.Warn().Str("event", "stream_versions.torn").Str("file", name).Int("bytes", rest).Msg("")
	}
	now := l.opts.Now().UnixMilli()
	for _, b := range batches {
		since := max(0, now-b.WrittenMs)
		for _, r := range b.StreamVersions {
			if age := since + int64(r.AgeMs); age < retention.Milliseconds() {
				r.AgeMs = uint32(age)
				stored.Streams = append(stored.Streams, r)
			}
		}
		for _, r := range b.Leaving {
			if age := since + int64(r.AgeMs); age < retention.Milliseconds() {
				r.AgeMs = uint32(age)
				stored.Leaving = append(stored.Leaving, r)
			}
		}
		stored.Services, stored.Observed = nil, 0
		stored.Routes, stored.RoutesVersion = nil, b.RoutesVersion
		for _, r := range b.RouteServices {
			if age := since + int64(r.AgeMs); age < retention.Milliseconds() {
				r.AgeMs = uint32(age)
				stored.Routes = append(stored.Routes, r)
			}
		}
		if b.ObservedMs > 0 {
			stored.Observed = time.Duration(since+int64(b.ObservedMs)) * time.Millisecond
		}
		for _, v := range b.ServiceVersions {
			if age := since + int64(v.AgeMs); age < retention.Milliseconds() {
				v.AgeMs = uint32(age)
				stored.Services = append(stored.Services, v)
			}
		}
	}
}

// Append queues records for the next write. It does not wait.
func (l *Log) Append(records []*pb.StreamVersion) {
	l.mu.Lock()
	l.queued = append(l.queued, records...)
	if excess := len(l.queued) - maxQueued; excess > 0 {
		l.queued = l.queued[excess:]
		l.dropped += excess
	}
	l.mu.Unlock()
	l.signal()
}

// Close writes what is queued and stops the log.
func (l *Log) Close() {
	l.stop()
	<-l.done
}

func (l *Log) run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.urgent:
			l.flush()
		case <-l.wake:
			select {
			case <-ctx.Done():
			case <-l.urgent:
			case <-time.After(flushInterval):
			}
			l.flush()
		}
	}
	l.flush()
	l.closeSegment()
}

// flush writes what is queued, and before it what was read at the start. After a failure the
// queued records are dropped, and the next ones go to a new file.
func (l *Log) flush() {
	l.mu.Lock()
	records, dropped, addHistory, historyChanged := l.queued, l.dropped, l.addHistory, l.historyChanged
	awaited := l.awaited
	l.queued, l.dropped, l.historyChanged, l.awaited = nil, 0, false, awaitedWrites{}
	l.mu.Unlock()
	if dropped > 0 {
		l.opts.Logger.Warn().Str("event", "stream_versions.dropped").Int("records", dropped).Msg("")
	}
	records = slices.Concat(l.restored, records)
	leaving := slices.Concat(l.restoredLeaving, awaited.leaving)
	if len(records)+len(leaving) == 0 && !historyChanged {
		return
	}
	batch := &pb.StreamVersionBatch{StreamVersions: records, Leaving: leaving}
	if addHistory != nil {
		addHistory(batch)
	}
	err := l.write(batch)
	if err != nil {
		l.closeSegment()
	} else {
		l.restored, l.restoredLeaving = nil, nil
	}
	awaited.written(err)
	// One line for each series of failures, which a full disk may make long.
	if err != nil && !l.failed {
		l.opts.Logger.Error().Str("event", "stream_versions.not_stored").Int("records", len(records)).Int("leaving", len(leaving)).Err(err).Msg("")
	}
	l.failed = err != nil
	l.removeExpired()
}

func (l *Log) write(batch *pb.StreamVersionBatch) error {
	now := l.opts.Now()
	batch.WrittenMs = now.UnixMilli()
	frame, err := encodeBatch(batch)
	if err != nil {
		return err
	}
	if l.current != nil && (now.Sub(l.openedAt).Abs() > segmentPeriod || l.bytes+len(frame) > segmentBytes) {
		l.closeSegment()
	}
	if l.current == nil {
		if err := l.openSegment(now); err != nil {
			return err
		}
	}
	if _, err := l.current.Write(frame); err != nil {
		return errors.Wrap(err, "writing stream versions")
	}
	if err := l.current.Sync(); err != nil {
		return errors.Wrap(err, "syncing stream versions")
	}
	l.bytes += len(frame)
	return nil
}

func (l *Log) openSegment(now time.Time) error {
	name := fmt.Sprintf("%s%016d", segmentPrefix, l.next)
	l.next++
	f, err := l.opts.FS.Create(l.path(name))
	if err != nil {
		return errors.Wrap(err, "creating a file of stream versions")
	}
	l.current, l.currentName, l.openedAt, l.bytes = f, name, now, 0
	return errors.Wrap(l.opts.FS.SyncDir(l.opts.Dir), "syncing the folder of stream versions")
}

// closeSegment ends the current file. One of which no batch was stored is removed: on a full
// disk such files would take the place of those with records.
func (l *Log) closeSegment() {
	if l.current == nil {
		return
	}
	_ = l.current.Close()
	if l.bytes == 0 {
		l.remove(l.currentName)
		l.current = nil
		return
	}
	l.segments = append(l.segments, segment{l.currentName, l.opts.Now()})
	l.current = nil
}

// removeExpired removes files whose records have all expired, and the oldest ones beyond
// maxSegments. Those found at the start can go once their records are stored again.
func (l *Log) removeExpired() {
	var kept []segment
	for i, s := range l.segments {
		expired := s.writtenAt.IsZero() && l.restored == nil && l.restoredLeaving == nil && !l.failed || !s.writtenAt.IsZero() && l.opts.Now().Sub(s.writtenAt).Abs() > retention
		if !expired && len(l.segments)-i < maxSegments {
			kept = append(kept, s)
			continue
		}
		l.remove(s.name)
	}
	l.segments = kept
}

func (l *Log) remove(name string) {
	if err := l.opts.FS.Remove(l.path(name)); err != nil {
		l.opts.Logger.Warn().Str("event", "stream_versions.not_removed").Str("file", name).Err(err).Msg("")
	}
}

func (l *Log) path(name string) string { return l.opts.Dir + "/" + name }
