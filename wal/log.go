package wal

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Errors returned by the methods of Log.
var (
	// ErrDiskFull means that the disk has no space left. Nothing of the batch
	// is stored, and the log remains usable.
	ErrDiskFull = errors.New("disk full")
	// ErrFailed means that a write or sync failed and the state on disk is
	// unknown. The process must terminate.
	ErrFailed = errors.New("log failed, the process must terminate")
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("log closed")
)

// DefaultSegmentBytes is the default segment size at which the log starts a new
// segment.
const DefaultSegmentBytes = 16 << 20

// maxSpareBufferBytes is the maximum capacity of a frame buffer that is reused
// for a later flush.
const maxSpareBufferBytes = 1 << 20

// Options holds the settings of a log.
type Options struct {
	// FS defaults to OS.
	FS FS
	// SegmentBytes is the segment size at which the log starts a new segment.
	// It defaults to DefaultSegmentBytes.
	SegmentBytes int64
}

// groupInfo is the latest state of one group that the log keeps in memory.
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

// pendingFrame collects the batches of several callers of Write for one flush.
type pendingFrame struct {
	frame   []byte
	records []decodedRecord
	// done means that the flush has ended with err.
	done bool
	err  error
}

// Log is a write-ahead log shared by several groups. Its methods are safe for
// concurrent use.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64

	mu sync.Mutex
	// flushed is signalled at the end of each flush.
	flushed sync.Cond
	// flushing means that one caller of Write is flushing a frame.
	flushing bool
	// nextFrame collects batches for the next flush; nil if there are none.
	nextFrame *pendingFrame
	// spareBuffer is reused for the next frame.
	spareBuffer []byte
	// failure wraps ErrFailed. Once it is set, checkUsable returns it.
	failure error
	closed  bool

	// The fields below are used only by the caller that flushes, except for
	// segments, groups and identity, which other calls also use. These three
	// are changed only under mu.
	file File
	// size is the length of the current segment in bytes.
	size int64
	// nextSequence is the sequence number of the next frame.
	nextSequence   uint64
	segmentNumber  uint64
	currentSegment *segment
	// segments are in order and end with currentSegment.
	segments []*segment
	groups   map[GroupID]*groupInfo
	identity []byte

	// recovered holds what Open found for each group until Recover takes it.
	recovered map[GroupID]*GroupState
}

// Write stores the batch and returns when it is durable. Concurrent calls share
// one write and one sync. If it returns an error, the caller must not acknowledge
// any part of the batch.
func (l *Log) Write(b *Batch) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkUsable(); err != nil {
		return err
	}
	if b.Empty() {
		return nil
	}
	f := l.nextFrame
	if f == nil {
		f = &pendingFrame{frame: startFrame(l.spareBuffer)}
		l.spareBuffer = nil
		l.nextFrame = f
	}
	if len(f.frame)+len(b.encoded) > MaxFrameBytes {
		return errors.Errorf("writing a batch of %d bytes: exceeds the space left in the frame", len(b.encoded))
	}
	f.frame = append(f.frame, b.encoded...)
	f.records = append(f.records, b.decoded...)
	for l.flushing && !f.done {
		l.flushed.Wait()
	}
	if f.done {
		return f.err
	}
	// This caller flushes the frame for all callers that share it.
	l.flushing = true
	l.nextFrame = nil
	err := l.failure
	if err == nil {
		l.mu.Unlock()
		err = l.flush(f)
		l.mu.Lock()
	}
	l.completeFlush(f, err)
	return f.err
}

// checkUsable returns an error if the log has failed or is closed. The caller
// holds mu.
func (l *Log) checkUsable() error {
	if l.failure != nil {
		return l.failure
	}
	if l.closed {
		return ErrClosed
	}
	return nil
}

// completeFlush records the result of a flush and wakes the waiting callers. The
// caller holds mu.
func (l *Log) completeFlush(f *pendingFrame, err error) {
	l.flushing = false
	f.done = true
	f.err = err
	if err != nil && !errors.Is(err, ErrDiskFull) {
		if l.failure == nil {
			l.failure = errors.Wrapf(ErrFailed, "%v", err)
		}
		f.err = l.failure
		// Callers that share the next frame must not flush it.
		if l.nextFrame != nil {
			l.nextFrame.done = true
			l.nextFrame.err = l.failure
			l.nextFrame = nil
		}
	}
	if cap(f.frame) <= maxSpareBufferBytes {
		l.spareBuffer = f.frame
	}
	f.frame = nil
	l.flushed.Broadcast()
}

// flush writes and syncs one frame, in a new segment if the current one is full.
func (l *Log) flush(f *pendingFrame) error {
	if l.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.writeFrame(f.frame); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range f.records {
		l.applyRecord(&f.records[i], l.currentSegment)
	}
	return nil
}

// writeFrame writes one frame at the end of the current segment and syncs it.
func (l *Log) writeFrame(frame []byte) error {
	finishFrame(frame, l.nextSequence)
	_, err := l.file.Write(frame)
	if err != nil {
		return l.rollbackWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing %s", l.currentSegment.name)
	}
	l.size += int64(len(frame))
	l.nextSequence++
	return nil
}

// rollbackWrite truncates a partial write if the disk is full. After any other
// error the log can't be used further.
func (l *Log) rollbackWrite(cause error) error {
	if !errors.Is(cause, syscall.ENOSPC) {
		return errors.Wrapf(cause, "writing %s", l.currentSegment.name)
	}
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrapf(err, "truncating a partial write in %s on a full disk", l.currentSegment.name)
	}
	return errors.Wrapf(ErrDiskFull, "writing %s", l.currentSegment.name)
}

// applyRecord updates the in-memory state of the log with a record in segment s.
func (l *Log) applyRecord(rec *decodedRecord, s *segment) {
	if rec.kind == recordIdentity {
		l.identity = rec.identity
		return
	}
	g := l.group(rec.group)
	switch rec.kind {
	case recordHardState:
		g.hardState = rec.hardState
	case recordEntry:
		g.lastIndex = rec.entry.Index
		s.lastIndex[rec.group] = max(s.lastIndex[rec.group], rec.entry.Index)
	case recordSnapshot:
		g.snapshot = rec.snapshot
		g.lastIndex = max(g.lastIndex, rec.snapshot.Index)
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

// rotate starts a new segment. The file is written with its first frame and
// synced under a temporary name before it is renamed, so that no segment without
// a first frame ever exists.
func (l *Log) rotate() error {
	name := segmentName(l.segmentNumber + 1)
	frame := startFrame(nil)
	frame = append(frame, l.checkpoint().encoded...)
	finishFrame(frame, l.nextSequence)
	file, err := l.createDurable(name, frame)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Wrapf(err, "closing %s", l.currentSegment.name)
		}
	}
	l.file = file
	l.size = int64(len(frame))
	l.segmentNumber++
	l.nextSequence++
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentSegment = &segment{name: name, lastIndex: map[GroupID]uint64{}}
	l.segments = append(l.segments, l.currentSegment)
	return nil
}

// checkpoint returns a batch with the identity and with the hard state and
// snapshot position of all groups, but no entries.
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

// createDurable creates a file with the given content, syncs it and its
// directory, and returns it open for appending. If the disk is full, it removes
// the temporary file.
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

// Identity returns the bytes last stored with Batch.SetIdentity, or nil.
func (l *Log) Identity() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]byte(nil), l.identity...)
}

// Close waits for pending writes and closes the log.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flushing || l.nextFrame != nil {
		l.flushed.Wait()
	}
	if l.closed {
		return nil
	}
	l.closed = true
	return errors.Wrap(l.file.Close(), "closing the log")
}
