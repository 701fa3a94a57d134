package wal

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Errors of the log.
var (
	// ErrDiskFull means that there was no room. Nothing of the batch is
	// stored, and the log remains usable.
	ErrDiskFull = errors.New("disk full")
	// ErrFailed means that a sync or write failed in a way that leaves
	// unknown what is on disk. The process must terminate.
	ErrFailed = errors.New("log failed, the process must terminate")
	// ErrClosed means that Close was called.
	ErrClosed = errors.New("log closed")
)

// DefaultSegmentBytes is the size at which a new segment starts.
const DefaultSegmentBytes = 16 << 20

// maxSpareBytes bounds the buffer that is kept between flushes.
const maxSpareBytes = 1 << 20

// Options holds the settings of a log.
type Options struct {
	// FS is OS when nil.
	FS FS
	// SegmentBytes is DefaultSegmentBytes when zero.
	SegmentBytes int64
}

// groupInfo is the bookkeeping of one group.
type groupInfo struct {
	hardState HardState
	snapshot  Snapshot
	lastIndex uint64
}

// segment is one file of the log.
type segment struct {
	name string
	// lastIndex is the highest entry index of each group in the file.
	lastIndex map[GroupID]uint64
}

// flush is one frame that several callers of Write share.
type flush struct {
	frame   []byte
	changes []change
	done    bool
	err     error
}

// Log is the shared log. Its methods are safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64

	mu sync.Mutex
	// flushed is signalled at the end of each flush.
	flushed sync.Cond
	// flushing tells that one caller writes to the file.
	flushing bool
	next     *flush
	spare    []byte
	failure  error
	closed   bool

	// The fields below belong to the caller that flushes, which changes
	// segments, groups and identity only while it also holds mu.
	file     File
	size     int64
	sequence uint64
	number   uint64
	current  *segment
	segments []*segment
	groups   map[GroupID]*groupInfo
	identity []byte

	recovered map[GroupID]*GroupState
}

// Write stores the batch and returns when it is durable. Concurrent calls share
// one write and one sync. After an error nothing of the batch is acknowledged.
func (l *Log) Write(b *Batch) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.usable(); err != nil {
		return err
	}
	if b.Empty() {
		return nil
	}
	f := l.next
	if f == nil {
		f = &flush{frame: startFrame(l.spare)}
		l.spare = nil
		l.next = f
	}
	if len(f.frame)+len(b.records) > MaxFrameBytes {
		return errors.Errorf("writing a batch of %d bytes: more than a frame holds", len(b.records))
	}
	f.frame = append(f.frame, b.records...)
	f.changes = append(f.changes, b.changes...)
	for l.flushing && !f.done {
		l.flushed.Wait()
	}
	if f.done {
		return f.err
	}
	// This caller does the flush for all that joined it.
	l.flushing = true
	l.next = nil
	err := l.failure
	if err == nil {
		l.mu.Unlock()
		err = l.flush(f)
		l.mu.Lock()
	}
	l.finish(f, err)
	return f.err
}

// usable reports why the log can't be used. The caller holds mu.
func (l *Log) usable() error {
	if l.failure != nil {
		return l.failure
	}
	if l.closed {
		return ErrClosed
	}
	return nil
}

// finish ends a flush. The caller holds mu.
func (l *Log) finish(f *flush, err error) {
	l.flushing = false
	f.done = true
	f.err = err
	if err != nil && !errors.Is(err, ErrDiskFull) {
		if l.failure == nil {
			l.failure = errors.Wrapf(ErrFailed, "%v", err)
		}
		f.err = l.failure
		// Callers that joined the next flush must not start it.
		if l.next != nil {
			l.next.done = true
			l.next.err = l.failure
			l.next = nil
		}
	}
	if cap(f.frame) <= maxSpareBytes {
		l.spare = f.frame
	}
	f.frame = nil
	l.flushed.Broadcast()
}

// flush writes and syncs one frame.
func (l *Log) flush(f *flush) error {
	if l.size >= l.segmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	if err := l.writeFrame(f.frame); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range f.changes {
		l.account(&f.changes[i], l.current)
	}
	return nil
}

// writeFrame writes one frame at the end of the current segment and syncs it.
func (l *Log) writeFrame(frame []byte) error {
	finishFrame(frame, l.sequence)
	_, err := l.file.Write(frame)
	if err != nil {
		return l.undoWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing %s", l.current.name)
	}
	l.size += int64(len(frame))
	l.sequence++
	return nil
}

// undoWrite cuts off a partial write after the disk became full. Every other
// failure is final.
func (l *Log) undoWrite(cause error) error {
	if !errors.Is(cause, syscall.ENOSPC) {
		return errors.Wrapf(cause, "writing %s", l.current.name)
	}
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrapf(err, "cutting off a partial write in %s on a full disk", l.current.name)
	}
	return errors.Wrapf(ErrDiskFull, "writing %s", l.current.name)
}

// account applies one record to the bookkeeping.
func (l *Log) account(c *change, s *segment) {
	if c.kind == recordIdentity {
		l.identity = c.identity
		return
	}
	g := l.group(c.group)
	switch c.kind {
	case recordHardState:
		g.hardState = c.hardState
	case recordEntry:
		g.lastIndex = c.entry.Index
		s.lastIndex[c.group] = max(s.lastIndex[c.group], c.entry.Index)
	case recordSnapshot:
		g.snapshot = c.snapshot
		g.lastIndex = max(g.lastIndex, c.snapshot.Index)
	}
}

func (l *Log) group(id GroupID) *groupInfo {
	g := l.groups[id]
	if g == nil {
		g = &groupInfo{}
		l.groups[id] = g
	}
	return g
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x.wal", number) }

// roll starts a new segment. The new file gets its first frame and is synced
// under a temporary name, so that a segment without one is never seen.
func (l *Log) roll() error {
	name := segmentName(l.number + 1)
	frame := startFrame(nil)
	frame = append(frame, l.checkpoint().records...)
	finishFrame(frame, l.sequence)
	file, err := l.createDurable(name, frame)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Wrapf(err, "closing %s", l.current.name)
		}
	}
	l.file = file
	l.size = int64(len(frame))
	l.number++
	l.sequence++
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = &segment{name: name, lastIndex: map[GroupID]uint64{}}
	l.segments = append(l.segments, l.current)
	return nil
}

// checkpoint returns a batch that repeats the small state of all groups.
func (l *Log) checkpoint() *Batch {
	b := &Batch{}
	if l.identity != nil {
		b.SetIdentity(l.identity)
	}
	for id, g := range l.groups {
		b.SetHardState(id, g.hardState)
		if g.snapshot.Index > 0 {
			b.SetSnapshot(id, g.snapshot)
		}
	}
	return b
}

// createDurable creates a file with the content, syncs it and its directory
// entry, and leaves it open for appending. When the disk is full, the file is
// removed again.
func (l *Log) createDurable(name string, content []byte) (File, error) {
	path := filepath.Join(l.dir, name)
	temporary := path + temporarySuffix
	file, err := l.fs.Create(temporary)
	if err == nil {
		_, err = file.Write(content)
	}
	if err != nil {
		if !errors.Is(err, syscall.ENOSPC) {
			return nil, errors.Wrapf(err, "writing %s", name)
		}
		if file != nil {
			_ = file.Close()
			_ = l.fs.Remove(temporary)
		}
		return nil, errors.Wrapf(ErrDiskFull, "writing %s", name)
	}
	if err := file.Sync(); err != nil {
		return nil, errors.Wrapf(err, "syncing %s", name)
	}
	if err := l.fs.Rename(temporary, path); err != nil {
		return nil, errors.Wrapf(err, "renaming %s", temporary)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return nil, errors.Wrapf(err, "syncing directory %s", l.dir)
	}
	return file, nil
}

// Identity returns the bytes that SetIdentity stored last, or nil.
func (l *Log) Identity() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]byte(nil), l.identity...)
}

// Close waits for a running flush and closes the log.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flushing || l.next != nil {
		l.flushed.Wait()
	}
	if l.closed {
		return nil
	}
	l.closed = true
	return errors.Wrap(l.file.Close(), "closing the log")
}
