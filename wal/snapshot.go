package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	segmentSuffix   = ".wal"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	// snapshotMagic is at the start of each snapshot file. The CRC32C checksum
	// of the data and the data follow it.
	snapshotMagic       = 0x50534757 // "GWSP"
	snapshotHeaderBytes = 8
)

func snapshotName(group GroupID, index, term uint64) string {
	return fmt.Sprintf("%08x-%016x-%016x%s", uint32(group), index, term, snapshotSuffix)
}

// WriteSnapshot stores the data of a snapshot durably in a separate file. The
// snapshot takes effect when a batch with SetSnapshot is written.
func (l *Log) WriteSnapshot(group GroupID, index, term uint64, data []byte) error {
	l.mu.Lock()
	err := l.checkUsable()
	l.mu.Unlock()
	if err != nil {
		return err
	}
	content := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(data))
	binary.LittleEndian.PutUint32(content, snapshotMagic)
	binary.LittleEndian.PutUint32(content[4:], crc32.Checksum(data, castagnoli))
	content = append(content, data...)
	file, err := l.createDurable(snapshotName(group, index, term), content)
	if err == nil {
		err = errors.Wrap(file.Close(), "closing snapshot")
	}
	if err != nil && !errors.Is(err, ErrDiskFull) {
		return l.markFailed(err)
	}
	return err
}

// markFailed makes every later checkUsable fail with ErrFailed, and returns that
// error.
func (l *Log) markFailed(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = errors.Wrapf(ErrFailed, "%v", err)
	}
	return l.failure
}

// ReadSnapshot returns the group's current snapshot and its data. The index is
// zero if there is none.
func (l *Log) ReadSnapshot(group GroupID) (Snapshot, []byte, error) {
	l.mu.Lock()
	err := l.checkUsable()
	var s Snapshot
	if g := l.groups[group]; g != nil {
		s = g.snapshot
	}
	l.mu.Unlock()
	if err != nil || s.Index == 0 {
		return Snapshot{}, nil, err
	}
	data, err := l.readSnapshotFile(snapshotName(group, s.Index, s.Term))
	return s, data, err
}

func (l *Log) readSnapshotFile(name string) ([]byte, error) {
	path := filepath.Join(l.dir, name)
	content, err := l.fs.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading snapshot")
	}
	if len(content) < snapshotHeaderBytes || binary.LittleEndian.Uint32(content) != snapshotMagic {
		return nil, &CorruptionError{File: path, Offset: 0, Reason: "not a snapshot file"}
	}
	data := content[snapshotHeaderBytes:]
	if binary.LittleEndian.Uint32(content[4:]) != crc32.Checksum(data, castagnoli) {
		return nil, &CorruptionError{File: path, Offset: snapshotHeaderBytes, Reason: "checksum mismatch"}
	}
	return data, nil
}

// Compact removes the oldest segments, as long as each holds only entries that
// the snapshots of their groups cover, and outdated snapshot files.
func (l *Log) Compact() error {
	l.mu.Lock()
	if err := l.checkUsable(); err != nil {
		l.mu.Unlock()
		return err
	}
	var names []string
	for len(l.segments) > 1 && len(l.pinning(l.segments[0])) == 0 {
		names = append(names, l.segments[0].name)
		l.segments = l.segments[1:]
	}
	l.mu.Unlock()
	for _, name := range names {
		if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
			return errors.Wrap(err, "removing segment")
		}
		// Without a sync after each removal a crash could leave an older
		// segment and lose a newer one, which Open reports as a missing
		// segment.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.markFailed(errors.Wrap(err, "syncing directory"))
		}
	}
	return l.removeOldSnapshots()
}

// removeOldSnapshots removes the snapshot files that are older than the group's
// current snapshot. The record of a newer file may not be written yet.
func (l *Log) removeOldSnapshots() error {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return errors.Wrap(err, "listing snapshots")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, snapshotSuffix) || !l.isSuperseded(name) {
			continue
		}
		if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
			return errors.Wrap(err, "removing snapshot")
		}
	}
	return nil
}

func (l *Log) isSuperseded(name string) bool {
	var group uint32
	var index, term uint64
	if _, err := fmt.Sscanf(name, "%08x-%016x-%016x"+snapshotSuffix, &group, &index, &term); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[GroupID(group)]
	return g != nil && index < g.snapshot.Index
}

// pinning returns the groups with entries in the segment that their snapshots
// don't cover. The caller holds mu.
func (l *Log) pinning(s *segment) []GroupID {
	var groups []GroupID
	for _, id := range slices.Sorted(maps.Keys(s.lastIndex)) {
		if s.lastIndex[id] > l.groups[id].snapshot.Index {
			groups = append(groups, id)
		}
	}
	return groups
}

// Pinning returns the groups that need a newer snapshot before the oldest segment
// can be removed, and the number of segments.
func (l *Log) Pinning() (groups []GroupID, segments int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pinning(l.segments[0]), len(l.segments)
}
