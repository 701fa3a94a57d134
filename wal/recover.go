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

// CorruptionError means that data which may have been acknowledged is damaged.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// GroupState is what the log holds of one group when it is opened.
type GroupState struct {
	HardState HardState
	// Snapshot has index zero when there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Open opens the log in dir and creates it if there is none. It truncates a
// torn write at the end and returns a CorruptionError for other damage.
func Open(dir string, options Options) (*Log, error) {
	l := &Log{
		fs:           options.FS,
		dir:          dir,
		segmentBytes: options.SegmentBytes,
		sequence:     1,
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
	// The directory's own entry must survive a crash as well.
	if err := l.fs.SyncDir(filepath.Dir(l.dir)); err != nil {
		return errors.Wrap(err, "syncing parent directory")
	}
	numbers, err := l.list()
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
		return l.roll()
	}
	return l.openLast(numbers[len(numbers)-1])
}

// list returns the segment numbers in order and removes unfinished files.
func (l *Log) list() ([]uint64, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return nil, errors.Wrap(err, "removing unfinished file")
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

// readSegment replays one file. Only the last file may end in a torn write.
func (l *Log) readSegment(number uint64, first, last bool) error {
	name := segmentName(number)
	path := filepath.Join(l.dir, name)
	content, err := l.fs.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading segment")
	}
	current := &segment{name: name, lastIndex: map[GroupID]uint64{}}
	l.segments = append(l.segments, current)
	l.current = current
	offset := 0
	for offset < len(content) {
		payload, sequence, size, ok := parseFrame(content[offset:])
		if !ok {
			if offset > 0 && last && !l.frameFollows(content[offset:]) {
				break
			}
			return &CorruptionError{File: path, Offset: int64(offset), Reason: "invalid frame before the end of the log"}
		}
		if first && offset == 0 {
			l.sequence = sequence
		}
		if sequence != l.sequence {
			return &CorruptionError{File: path, Offset: int64(offset), Reason: fmt.Sprintf("frame %d where frame %d is due", sequence, l.sequence)}
		}
		if err := l.replay(payload, current); err != nil {
			return &CorruptionError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		l.sequence++
		offset += size
	}
	if offset == 0 {
		return &CorruptionError{File: path, Offset: 0, Reason: "segment without a first frame"}
	}
	l.size = int64(offset)
	return nil
}

// frameFollows reports whether a valid frame of a later flush starts anywhere
// after the start of b. A flush starts only after the one before it was synced,
// so such a frame proves that the invalid one had been durable.
func (l *Log) frameFollows(b []byte) bool {
	for i := 1; i+frameHeaderBytes <= len(b); i++ {
		_, sequence, _, ok := parseFrame(b[i:])
		if ok && sequence > l.sequence {
			return true
		}
	}
	return false
}

func (l *Log) replay(payload []byte, s *segment) error {
	r := recordReader{rest: payload}
	for len(r.rest) > 0 {
		c, err := r.next()
		if err != nil {
			return err
		}
		if err := l.replayRecord(&c); err != nil {
			return err
		}
		l.account(&c, s)
	}
	return nil
}

func (l *Log) replayRecord(c *change) error {
	if c.kind == recordIdentity {
		return nil
	}
	g := l.recovered[c.group]
	if g == nil {
		g = &GroupState{}
		l.recovered[c.group] = g
	}
	switch c.kind {
	case recordHardState:
		g.HardState = c.hardState
	case recordEntry:
		return g.append(c.entry)
	case recordSnapshot:
		g.cut(c.snapshot)
	}
	return nil
}

// append adds an entry in place of those with the same or a higher index.
func (g *GroupState) append(e Entry) error {
	if len(g.Entries) == 0 {
		// The first entries of the oldest segment may lie before the
		// snapshot whose record comes in a later segment.
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

// cut drops what the snapshot replaces.
func (g *GroupState) cut(s Snapshot) {
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

// checkGroups verifies that each group's entries follow its snapshot and that
// the snapshot is readable.
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

// openLast opens the last segment for appending, without its torn end.
func (l *Log) openLast(number uint64) error {
	l.number = number
	name := l.current.name
	file, err := l.fs.OpenAppend(filepath.Join(l.dir, name))
	if err != nil {
		return errors.Wrap(err, "opening last segment")
	}
	l.file = file
	if err := file.Truncate(l.size); err != nil {
		return errors.Wrapf(err, "truncating %s", name)
	}
	// What was read may only be in the page cache if an earlier process
	// crashed before its sync; it must be durable before it is acted upon.
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing %s", name)
	}
	return errors.Wrap(l.fs.SyncDir(l.dir), "syncing directory")
}

// Recover returns what Open found for a group and releases its memory.
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
