package wal

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain makes the default run reproducible. To run longer with another seed:
//
//	go test ./wal -run TestCrash -rapid.checks=20000 -rapid.seed=<n>
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

func openWithFaults(t require.TestingT, files *faultFS, segmentBytes int64) *Log {
	l, err := Open("d", Options{FS: files, SegmentBytes: segmentBytes})
	require.NoError(t, err)
	return l
}

func writeEntry(t require.TestingT, l *Log, group GroupID, index uint64) {
	var b Batch
	b.Append(group, Entry{Index: index, Term: 1, Data: fmt.Appendf(nil, "entry %d", index)})
	b.SetHardState(group, HardState{Term: 1, Commit: index})
	require.NoError(t, l.Write(&b))
}

// walModel is the expected content of the log: the acknowledged state of each
// group.
type walModel map[GroupID]GroupState

func (m walModel) clone() walModel {
	c := walModel{}
	for id, g := range m {
		g.Entries = slices.Clone(g.Entries)
		c[id] = g
	}
	return c
}

// Guards against a crash that loses an acknowledged batch, keeps part of an
// unacknowledged one, or leaves a log that can't be opened.
func TestCrashKeepsAcknowledgedBatchesAndNoPartOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		files := newFaultFS()
		model := walModel{1: {}, 2: {}, 3: {}}
		l := openWithFaults(t, files, 300)
		group := func(t *rapid.T) GroupID { return GroupID(rapid.IntRange(1, 3).Draw(t, "group")) }
		// Adds random records to a batch and to the model.
		addRandomRecords := func(t *rapid.T, b *Batch, m walModel) {
			for range rapid.IntRange(1, 3).Draw(t, "groups") {
				id := group(t)
				g := m[id]
				g.HardState = HardState{Term: g.HardState.Term + 1, Vote: uint64(rng.IntN(3)), Commit: g.Snapshot.Index}
				b.SetHardState(id, g.HardState)
				next := g.Snapshot.Index + uint64(rng.IntN(len(g.Entries)+1)) + 1
				for i := range uint64(rng.IntN(4)) {
					e := Entry{Index: next + i, Term: g.HardState.Term, Data: make([]byte, rng.IntN(40))}
					g.Entries = append(slices.Clone(g.Entries[:e.Index-g.Snapshot.Index-1]), e)
					b.Append(id, e)
				}
				m[id] = g
			}
		}
		restart := func(t *rapid.T, allowed ...walModel) {
			files = files.crash(rng)
			l = openWithFaults(t, files, 300)
			recovered := walModel{}
			for id := range model {
				recovered[id] = l.Recover(id)
			}
			for _, m := range allowed {
				if fmt.Sprint(m) == fmt.Sprint(recovered) {
					model = m
					return
				}
			}
			t.Fatalf("recovered %v, want one of %v", recovered, allowed)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				var b Batch
				addRandomRecords(t, &b, model)
				require.NoError(t, l.Write(&b))
			},
			"snapshot": func(t *rapid.T) {
				id := group(t)
				g := model[id]
				if len(g.Entries) == 0 {
					t.Skip("nothing to cover")
				}
				covered := rng.IntN(len(g.Entries))
				at := g.Entries[covered]
				s := Snapshot{Index: at.Index, Term: at.Term, Meta: []byte{1}}
				require.NoError(t, l.WriteSnapshot(id, s.Index, s.Term, []byte("state")))
				if rng.IntN(4) == 0 {
					return
				}
				var b Batch
				b.SetSnapshot(id, s)
				require.NoError(t, l.Write(&b))
				g.Snapshot, g.Entries = s, slices.Clone(g.Entries[covered+1:])
				model[id] = g
			},
			"install": func(t *rapid.T) {
				id := group(t)
				g := model[id]
				g.HardState.Term++
				s := Snapshot{Index: g.Snapshot.Index + uint64(len(g.Entries)) + 5, Term: g.HardState.Term, Meta: []byte{2}}
				require.NoError(t, l.WriteSnapshot(id, s.Index, s.Term, []byte("state")))
				var b Batch
				b.SetSnapshot(id, s)
				b.SetHardState(id, g.HardState)
				require.NoError(t, l.Write(&b))
				g.Snapshot, g.Entries = s, nil
				model[id] = g
			},
			"compact": func(t *rapid.T) { require.NoError(t, l.Compact()) },
			"crash":   func(t *rapid.T) { restart(t, model) },
			"crash in a write": func(t *rapid.T) {
				after := model.clone()
				var b Batch
				addRandomRecords(t, &b, after)
				files.failSync = true
				require.ErrorIs(t, l.Write(&b), ErrFailed)
				restart(t, model, after)
			},
			"disk full": func(t *rapid.T) {
				after := model.clone()
				var b Batch
				addRandomRecords(t, &b, after)
				files.capacityBytes = files.usedBytes + rng.IntN(len(b.encoded))
				err := l.Write(&b)
				files.capacityBytes = 1 << 30
				require.ErrorIs(t, err, ErrDiskFull)
			},
		})
		restart(t, model)
	})
}

// Guards against a torn last write that makes Open fail or leaves part of its
// batch.
func TestTornTailIsTruncatedAtEveryLength(t *testing.T) {
	files := newFaultFS()
	l := openWithFaults(t, files, 1<<20)
	writeEntry(t, l, 1, 1)
	name := files.segmentNames()[0]
	firstFrameEnd := len(files.visible[name].data)
	writeEntry(t, l, 1, 2)
	full := slices.Clone(files.visible[name].data)
	for length := firstFrameEnd; length < len(full); length++ {
		files.editDurable(name, func([]byte) []byte { return slices.Clone(full[:length]) })
		l := openWithFaults(t, files, 1<<20)
		require.Len(t, l.Recover(1).Entries, 1, "length %d", length)
		writeEntry(t, l, 1, 2)
		require.Len(t, openWithFaults(t, files, 1<<20).Recover(1).Entries, 2, "length %d", length)
	}
}

// Guards against silent data loss: if acknowledged data is corrupt, Open must
// fail and report the file and the offset.
func TestOpenFailsOnCorruptionBeforeTheTail(t *testing.T) {
	files := newFaultFS()
	l := openWithFaults(t, files, 200)
	var offsets []int
	for i := range uint64(12) {
		offsets = append(offsets, len(files.visible[files.segmentNames()[0]].data))
		writeEntry(t, l, 1, i+1)
	}
	names := files.segmentNames()
	require.Greater(t, len(names), 1)
	original := slices.Clone(files.visible[names[0]].data)
	frame := 0
	for i := range original {
		for frame+1 < len(offsets) && offsets[frame+1] <= i && offsets[frame+1] > offsets[frame] {
			frame++
		}
		files.editDurable(names[0], func(b []byte) []byte { b[i] ^= 0x10; return b })
		_, err := Open("d", Options{FS: files})
		var corruption *CorruptionError
		require.ErrorAs(t, err, &corruption, "byte %d", i)
		require.Equal(t, filepath.Join("d", filepath.Base(names[0])), corruption.File)
		if i >= offsets[0] {
			require.Equal(t, int64(offsets[frame]), corruption.Offset, "byte %d", i)
		}
		files.editDurable(names[0], func([]byte) []byte { return slices.Clone(original) })
	}
	// A whole frame is missing at the end of a segment that isn't the last.
	files.editDurable(names[0], func(b []byte) []byte { return b[:offsets[frame]] })
	_, err := Open("d", Options{FS: files})
	require.ErrorContains(t, err, "frame")
	files.editDurable(names[0], func([]byte) []byte { return slices.Clone(original) })
	last := names[len(names)-1]
	writeEntry(t, l, 1, 13)
	files.editDurable(last, func(b []byte) []byte { b[frameHeaderBytes] ^= 1; return b })
	_, err = Open("d", Options{FS: files})
	require.ErrorContains(t, err, last)
}

// Guards against treating a missing file as an empty part of the log.
func TestOpenFailsOnMissingFiles(t *testing.T) {
	files := newFaultFS()
	l := openWithFaults(t, files, 100)
	for i := range uint64(9) {
		writeEntry(t, l, 1, i+1)
	}
	require.NoError(t, l.WriteSnapshot(1, 2, 1, []byte("state")))
	var b Batch
	b.SetSnapshot(1, Snapshot{Index: 2, Term: 1})
	require.NoError(t, l.Write(&b))
	segment := files.segmentNames()[1]
	snapshot := filepath.Join("d", snapshotName(1, 2, 1))
	for _, name := range []string{segment, snapshot} {
		file := files.visible[name]
		delete(files.visible, name)
		_, err := Open("d", Options{FS: files})
		require.ErrorContains(t, err, filepath.Base(name))
		files.visible[name] = file
	}
	files.editDurable(snapshot, func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
	_, err := Open("d", Options{FS: files})
	var corruption *CorruptionError
	require.ErrorAs(t, err, &corruption)
}

// Guards against using the log after a failed sync: a later sync may succeed
// although the earlier data was lost.
func TestEveryCallFailsAfterAFailedSync(t *testing.T) {
	files := newFaultFS()
	l := openWithFaults(t, files, 1<<20)
	writeEntry(t, l, 1, 1)
	files.failSync = true
	var b Batch
	b.SetHardState(1, HardState{Term: 9})
	require.ErrorIs(t, l.Write(&b), ErrFailed)
	files.failSync = false
	require.ErrorIs(t, l.Write(&b), ErrFailed)
	require.ErrorIs(t, l.WriteSnapshot(1, 1, 1, nil), ErrFailed)
	require.ErrorIs(t, l.Compact(), ErrFailed)
	_, _, err := l.ReadSnapshot(1)
	require.ErrorIs(t, err, ErrFailed)
}

// Guards against a full disk that leaves a partial batch, against acknowledging
// that batch, and against a log that stays unusable after space becomes free.
func TestFullDiskStoresNothingAndLaterWritesSucceed(t *testing.T) {
	files := newFaultFS()
	l := openWithFaults(t, files, 150)
	writeEntry(t, l, 1, 1)
	for freeBytes := range 120 {
		files.capacityBytes = files.usedBytes + freeBytes
		var b Batch
		b.Append(1, Entry{Index: 2, Term: 1, Data: make([]byte, 200)})
		require.ErrorIs(t, l.Write(&b), ErrDiskFull)
		require.ErrorIs(t, l.WriteSnapshot(1, 1, 1, make([]byte, 200)), ErrDiskFull)
		files.capacityBytes = 1 << 30
		require.Len(t, openWithFaults(t, files, 150).Recover(1).Entries, 1)
	}
	writeEntry(t, l, 1, 2)
	require.Len(t, openWithFaults(t, files, 150).Recover(1).Entries, 2)
}

// Guards against a separate sync for each concurrent caller.
func TestConcurrentWritesShareSyncs(t *testing.T) {
	files := newFaultFS()
	files.syncTime = 2 * time.Millisecond
	l := openWithFaults(t, files, 1<<20)
	before := files.syncs
	var wg sync.WaitGroup
	for g := range GroupID(64) {
		wg.Go(func() {
			for i := range uint64(5) {
				writeEntry(t, l, g, i+1)
			}
		})
	}
	wg.Wait()
	require.Less(t, files.syncs-before, 64*5/4)
	require.NoError(t, l.Close())
	reopened := openWithFaults(t, files, 1<<20)
	for g := range GroupID(64) {
		require.Len(t, reopened.Recover(g).Entries, 5)
	}
}

// Guards against callers that wait forever when the shared sync fails.
func TestConcurrentWritesAllFailWithTheSync(t *testing.T) {
	files := newFaultFS()
	files.syncTime = time.Millisecond
	l := openWithFaults(t, files, 1<<20)
	files.failSync = true
	failures := make(chan error, 32)
	for g := range GroupID(32) {
		go func() {
			var b Batch
			b.SetHardState(g, HardState{Term: 1})
			failures <- l.Write(&b)
		}()
	}
	for range 32 {
		require.ErrorIs(t, <-failures, ErrFailed)
	}
}

// Guards against a log that keeps growing although its groups take snapshots.
func TestCompactRemovesCoveredSegmentsAndSnapshots(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir, Options{SegmentBytes: 500})
	require.NoError(t, err)
	writeEntry(t, l, 2, 1)
	for i := range uint64(100) {
		writeEntry(t, l, 1, i+1)
	}
	snapshot := func(group GroupID, index uint64) {
		require.NoError(t, l.WriteSnapshot(group, index, 1, []byte("state")))
		var b Batch
		b.SetSnapshot(group, Snapshot{Index: index, Term: 1})
		require.NoError(t, l.Write(&b))
		require.NoError(t, l.Compact())
	}
	snapshot(1, 50)
	snapshot(1, 100)
	groups, _ := l.Pinning()
	require.Equal(t, []GroupID{2}, groups, "the group that keeps the oldest segment")
	snapshot(2, 1)
	groups, segments := l.Pinning()
	require.Empty(t, groups)
	require.Equal(t, 1, segments)
	require.NoError(t, l.Close())
	names, err := OS{}.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, names, 3, "one segment and one snapshot of each group")
	l, err = Open(dir, Options{})
	require.NoError(t, err)
	require.Equal(t, uint64(100), l.Recover(1).Snapshot.Index)
	require.Equal(t, uint64(1), l.Recover(2).HardState.Term)
	require.NoError(t, l.Close())
	require.True(t, errors.Is(l.Compact(), ErrClosed))
}

// Guards against corrupt input that makes Open panic or hang.
func FuzzOpen(f *testing.F) {
	files := newFaultFS()
	l := openWithFaults(f, files, 1<<20)
	for i := range uint64(3) {
		writeEntry(f, l, 1, i+1)
	}
	f.Add(files.visible[files.segmentNames()[0]].data)
	f.Fuzz(func(t *testing.T, content []byte) {
		files := newFaultFS()
		file := &faultFile{fs: files, data: content}
		files.visible[filepath.Join("d", segmentName(1))] = file
		l, err := Open("d", Options{FS: files})
		if err == nil {
			l.Recover(1)
		}
	})
}
