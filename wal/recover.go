package wal

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// CorruptionError means that data which may have been acknowledged is corrupt.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// GroupState is the state of one group that Open read from the log.
type GroupState struct {
	HardState HardState
	// Snapshot has index zero if there is none.
	Snapshot Snapshot
	// Entries are the entries after the snapshot, without gaps.
	Entries []Entry
}

// Open opens the log in dir, or creates it if there is none. It truncates a torn
// write at the end and returns a CorruptionError for any other corruption.
func Open(dir string, options Options) (*Log, error) {
	l := &Log{
		fs:           options.FS,
		dir:          dir,
		segmentBytes: options.SegmentBytes,
		nextSequence: 1,
		groups:       map[GroupID]*groupInfo{},
		recovered:    map[GroupID]*GroupState{},
	}
	l.flushed.L = &l.mu
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.segmentBytes == 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.open(); err != nil {
		return nil, errors.Wrap(err, "opening log")
	}
	return l, nil
}

func (l *Log) open() error {
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return err
	}
	// The directory itself must survive a crash as well.
	if err := l.fs.SyncDir(filepath.Dir(l.dir)); err != nil {
		return errors.Wrap(err, "syncing parent directory")
	}
	numbers, err := l.listSegments()
	if err != nil {
		return err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return errors.Errorf("segment %s is missing", segmentName(numbers[i-1]+1))
		}
		if err := l.readSegment(number, i == 0, i == len(numbers)-1); err != nil {
			return err
		}
	}
	if err := l.checkGroups(); err != nil {
		return err
	}
	if len(numbers) == 0 {
		return l.rotate()
	}
	return l.openLastSegment(numbers[len(numbers)-1])
}

// listSegments returns the sorted segment numbers and removes temporary files
// left by a crash.
func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return nil, errors.Wrap(err, "removing temporary file")
			}
			continue
		}
		base, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return nil, errors.Errorf("unexpected file %s", name)
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// readSegment replays a segment. first and last say whether it is the oldest or
// the newest one; only the newest may end with a torn write.
func (l *Log) readSegment(number uint64, first, last bool) error {
	name := segmentName(number)
	path := filepath.Join(l.dir, name)
	content, err := l.fs.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading segment")
	}
	current := &segment{name: name, lastIndex: map[GroupID]uint64{}}
	l.segments = append(l.segments, current)
	l.currentSegment = current
	offset := 0
	for offset < len(content) {
		payload, sequence, size, ok := parseFrame(content[offset:])
		if !ok {
			if offset > 0 && last && !l.hasLaterFrame(content[offset:]) {
				break
			}
			return &CorruptionError{File: path, Offset: int64(offset), Reason: "invalid frame before the end of the log"}
		}
		if first && offset == 0 {
			l.nextSequence = sequence
		}
		if sequence != l.nextSequence {
			return &CorruptionError{File: path, Offset: int64(offset), Reason: fmt.Sprintf("frame %d, expected frame %d", sequence, l.nextSequence)}
		}
		if err := l.replay(payload, current); err != nil {
			return &CorruptionError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		l.nextSequence++
		offset += size
	}
	if offset == 0 {
		return &CorruptionError{File: path, Offset: 0, Reason: "segment has no first frame"}
	}
	l.size = int64(offset)
	return nil
}

// hasLaterFrame reports whether a valid frame of a later flush starts anywhere
// after the start of b. A flush starts only after the previous one was synced, so
// such a frame proves that the invalid frame at the start of b had been durable.
func (l *Log) hasLaterFrame(b []byte) bool {
	for i := 1; i+frameHeaderBytes <= len(b); i++ {
		_, sequence, _, ok := parseFrame(b[i:])
		if ok && sequence > l.nextSequence {
			return true
		}
	}
	return false
}

func (l *Log) replay(payload []byte, s *segment) error {
	r := recordReader{rest: payload}
	for len(r.rest) > 0 {
		rec, err := r.next()
		if err != nil {
			return err
		}
		if err := l.replayRecord(&rec); err != nil {
			return err
		}
		l.applyRecord(&rec, s)
	}
	return nil
}

func (l *Log) replayRecord(rec *decodedRecord) error {
	if rec.kind == recordIdentity {
		return nil
	}
	g := l.recovered[rec.group]
	if g == nil {
		g = &GroupState{}
		l.recovered[rec.group] = g
	}
	switch rec.kind {
	case recordHardState:
		g.HardState = rec.hardState
	case recordEntry:
		return g.append(rec.entry)
	case recordSnapshot:
		g.applySnapshot(rec.snapshot)
	}
	return nil
}

// append adds an entry and removes those with the same or a higher index.
func (g *GroupState) append(e Entry) error {
	if len(g.Entries) == 0 {
		// The oldest segment may start with entries before the snapshot,
		// whose record is in a later segment.
		g.Entries = append(g.Entries, e)
		return nil
	}
	first := g.Entries[0].Index
	if e.Index > first+uint64(len(g.Entries)) {
		return errors.Errorf("entry %d follows entry %d", e.Index, first+uint64(len(g.Entries))-1)
	}
	keep := 0
	if e.Index > first {
		keep = int(e.Index - first)
	}
	g.Entries = append(g.Entries[:keep], e)
	return nil
}

// applySnapshot sets the snapshot and removes the entries that it replaces.
func (g *GroupState) applySnapshot(s Snapshot) {
	g.Snapshot = s
	if len(g.Entries) == 0 {
		return
	}
	first := g.Entries[0].Index
	last := first + uint64(len(g.Entries)) - 1
	if first > s.Index {
		return
	}
	if s.Index > last || g.Entries[s.Index-first].Term != s.Term {
		g.Entries = nil
		return
	}
	g.Entries = slices.Clone(g.Entries[s.Index-first+1:])
}

// checkGroups verifies that each group's entries directly follow its snapshot and
// that the snapshot file is valid.
func (l *Log) checkGroups() error {
	for _, id := range slices.Sorted(maps.Keys(l.recovered)) {
		g := l.recovered[id]
		if len(g.Entries) > 0 && g.Entries[0].Index != g.Snapshot.Index+1 {
			return errors.Errorf("group %d: entry %d follows snapshot %d", id, g.Entries[0].Index, g.Snapshot.Index)
		}
		if g.Snapshot.Index == 0 {
			continue
		}
		if _, err := l.readSnapshotFile(snapshotName(id, g.Snapshot.Index, g.Snapshot.Term)); err != nil {
			return errors.Wrapf(err, "group %d", id)
		}
	}
	return nil
}

// openLastSegment opens the last segment for appending and truncates a torn write
// at its end.
func (l *Log) openLastSegment(number uint64) error {
	l.segmentNumber = number
	name := l.currentSegment.name
	file, err := l.fs.OpenAppend(filepath.Join(l.dir, name))
	if err != nil {
		return errors.Wrap(err, "opening last segment")
	}
	l.file = file
	if err := file.Truncate(l.size); err != nil {
		return errors.Wrapf(err, "truncating %s", name)
	}
	// If an earlier process crashed before its sync, the data that was just
	// read may exist only in the page cache. It must be durable before it is
	// used.
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing %s", name)
	}
	return errors.Wrap(l.fs.SyncDir(l.dir), "syncing directory")
}

// Recover returns the state of a group that Open read and releases its memory. A
// second call for the same group returns the zero value.
func (l *Log) Recover(group GroupID) GroupState {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.recovered[group]
	delete(l.recovered, group)
	if g == nil {
		return GroupState{}
	}
	return *g
}
