package streamlog

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/wal"
)

var discard = &log.Logger{Level: log.PanicLevel}

func open(t require.TestingT, dir string, fs wal.FS, now func() time.Time) (*Log, map[string]*pb.StreamVersion) {
	l, stored, err := Open(Options{Dir: dir, FS: fs, Logger: discard, Now: now})
	require.NoError(t, err)
	byID := map[string]*pb.StreamVersion{}
	for _, r := range stored.Streams {
		byID[r.Id] = r
	}
	return l, byID
}

func batch(n int) []*pb.StreamVersion {
	return []*pb.StreamVersion{{Id: fmt.Sprint("s-", n), Version: "v1", Attempt: 2, AgeMs: 30}}
}

func files(t *testing.T, dir string) []string {
	list, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	require.NoError(t, err)
	return list
}

// Guards against records that are lost with the process, and against records and files that
// are kept for ever.
func TestRecordsSurviveRestartsUntilTheyExpire(t *testing.T) {
	dir, now := t.TempDir(), time.Unix(1000, 0)
	clock := func() time.Time { return now }
	for n := range 4 {
		l, records := open(t, dir, wal.OS{}, clock)
		require.Len(t, records, n)
		for i := range n {
			r := records[fmt.Sprint("s-", i)]
			require.Equal(t, "v1", r.Version)
			require.Equal(t, uint32(2), r.Attempt)
			require.Equal(t, uint32((n-i)*10_000+30), r.AgeMs)
		}
		l.Append(batch(n))
		l.Close()
		require.Len(t, files(t, dir), 1, "older files are removed once their records are stored again")
		now = now.Add(10 * time.Second)
	}
	now = now.Add(retention - 20*time.Second)
	l, records := open(t, dir, wal.OS{}, clock)
	require.Len(t, records, 1)
	l.Close()
	now = now.Add(-time.Hour)
	l, records = open(t, dir, wal.OS{}, clock)
	require.Len(t, records, 1, "after a step of the clock")
	l.Close()
}

// Guards against a tail that was torn by a loss of power and that costs earlier records, or
// ends the daemon.
func TestTornTailCostsOnlyItsBatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(rt, err)
		var data []byte
		ends := []int{}
		for n := range 3 {
			frame, err := encodeBatch(&pb.StreamVersionBatch{WrittenMs: time.Now().UnixMilli(), StreamVersions: batch(n)})
			require.NoError(rt, err)
			data = append(data, frame...)
			ends = append(ends, len(data))
		}
		at := rapid.IntRange(0, len(data)-1).Draw(rt, "at")
		if rapid.Bool().Draw(rt, "cut") {
			data = data[:at]
		} else {
			data[at] ^= 0x5a
		}
		require.NoError(rt, os.WriteFile(filepath.Join(dir, segmentPrefix+"7"), data, 0o600))
		l, records := open(rt, dir, wal.OS{}, nil)
		l.Close()
		for n, end := range ends {
			require.Equal(rt, end <= at, records[fmt.Sprint("s-", n)] != nil, "batch %d", n)
		}
	})
}

// fullFS is a disk that is full while full is set.
type fullFS struct {
	wal.OS
	full atomic.Bool
}

func (f *fullFS) Create(name string) (wal.File, error) {
	if f.full.Load() {
		return nil, errors.New("no space left on device")
	}
	return f.OS.Create(name)
}

// Guards against a full disk that ends the log, or that loses what was stored before.
func TestFullDiskCostsOnlyItsBatches(t *testing.T) {
	dir, fs := t.TempDir(), &fullFS{}
	l, _ := open(t, dir, fs, nil)
	l.Append(batch(0))
	l.Close()
	fs.full.Store(true)
	l, _ = open(t, dir, fs, nil)
	l.Append(batch(1))
	l.Close()
	require.Len(t, files(t, dir), 1)
	fs.full.Store(false)
	l, records := open(t, dir, fs, nil)
	require.Len(t, records, 1)
	l.Append(batch(2))
	l.Close()
	l, records = open(t, dir, fs, nil)
	require.Len(t, records, 2)
	l.Close()
}

// fullFile is a file to which nothing can be added while its disk is full.
type fullFile struct {
	wal.File
	full *atomic.Bool
}

func (f *fullFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// fullOnWriteFS is a disk that, while it is full, takes new files but no bytes.
type fullOnWriteFS struct {
	wal.OS
	full atomic.Bool
}

func (f *fullOnWriteFS) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)
	return &fullFile{file, &f.full}, err
}

// Guards against empty files of a full disk that take the place of those with records.
func TestFullDiskDoesNotCostEarlierRecords(t *testing.T) {
	dir, fs := t.TempDir(), &fullOnWriteFS{}
	l := &Log{opts: Options{Dir: dir, FS: fs, Logger: discard, Now: time.Now}, wake: make(chan struct{}, 1)}
	for n := range 3 * maxSegments {
		fs.full.Store(n > 0)
		l.Append(batch(n))
		l.flush()
	}
	l.closeSegment()
	require.Len(t, files(t, dir), 1)
	l, records := open(t, dir, fs, nil)
	require.NotNil(t, records["s-0"])
	l.Close()
}

// Guards against records that are read, and are lost with the files from which they come:
// more than wait for a disk, and those of a disk that is full at the start.
func TestRecordsThatWereReadAreStoredBeforeTheirFilesGo(t *testing.T) {
	dir, fs := t.TempDir(), &fullFS{}
	const count = maxQueued + 1000
	var list []*pb.StreamVersion
	for n := range count {
		list = append(list, batch(n)...)
	}
	frame, err := encodeBatch(&pb.StreamVersionBatch{WrittenMs: time.Now().UnixMilli(), StreamVersions: list})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, segmentPrefix+"7"), frame, 0o600))
	for _, full := range []bool{true, false, false} {
		fs.full.Store(full)
		l, records := open(t, dir, fs, nil)
		require.GreaterOrEqual(t, len(records), count)
		time.Sleep(2 * flushInterval)
		fs.full.Store(false)
		l.Append(batch(count))
		l.Close()
	}
	require.Len(t, files(t, dir), 1)
}

// Guards against files that grow without bound at the highest rate of streams.
func TestFilesAreBounded(t *testing.T) {
	dir, now := t.TempDir(), time.Unix(1000, 0)
	l := &Log{opts: Options{Dir: dir, FS: wal.OS{}, Logger: discard, Now: func() time.Time { return now }}}
	for n := range 300 {
		for i := range 600 {
			l.queued = append(l.queued, batch(n*600+i)...)
		}
		l.flush()
		now = now.Add(time.Second)
	}
	total := int64(0)
	for _, name := range files(t, dir) {
		info, err := os.Stat(name)
		require.NoError(t, err)
		total += info.Size()
	}
	require.LessOrEqual(t, len(files(t, dir)), maxSegments)
	require.LessOrEqual(t, total, int64(maxSegments*segmentBytes))
	for range 3 {
		l.Append(batch(1))
	}
	require.Len(t, l.queued, 3)
	l.queued = make([]*pb.StreamVersion, maxQueued)
	l.wake = make(chan struct{}, 1)
	l.Append(batch(2))
	require.Len(t, l.queued, maxQueued)
	require.Equal(t, 1, l.dropped)
}

// Guards against versions in use that are forgotten with the process, and against an
// observed time that a torn batch or an older one has.
func TestVersionsInUseAreThoseOfTheLastBatch(t *testing.T) {
	dir, now := t.TempDir(), time.Unix(1000, 0)
	opts := Options{Dir: dir, FS: wal.OS{}, Logger: discard, Now: func() time.Time { return now }}
	l, _, err := Open(opts)
	require.NoError(t, err)
	l.SetHistory(func(b *pb.StreamVersionBatch) {
		b.ServiceVersions, b.ObservedMs = []*pb.ServiceVersion{{Service: "s", Version: "v1", AgeMs: 300}}, uint32(time.Minute.Milliseconds())
	})
	l.Append(batch(0))
	l.Close()
	now = now.Add(2 * time.Second)
	l, stored, err := Open(opts)
	require.NoError(t, err)
	require.Equal(t, time.Minute+2*time.Second, stored.Observed)
	require.Len(t, stored.Services, 1)
	require.Equal(t, uint32(2300), stored.Services[0].AgeMs)
	l.SetHistory(func(*pb.StreamVersionBatch) {})
	l.Append(batch(1))
	l.Close()
	l, stored, err = Open(opts)
	require.NoError(t, err)
	require.Zero(t, stored.Observed, "the last batch was written without contact")
	l.Close()
}

// Guards against services of routes that are forgotten with the process because no stream
// began after a change, and against those of an earlier batch.
func TestServicesOfRoutesAreStoredWithoutStreams(t *testing.T) {
	dir, now := t.TempDir(), time.Unix(1000, 0)
	opts := Options{Dir: dir, FS: wal.OS{}, Logger: discard, Now: func() time.Time { return now }}
	l, _, err := Open(opts)
	require.NoError(t, err)
	l.SetHistory(func(b *pb.StreamVersionBatch) {
		b.RouteServices, b.RoutesVersion = []*pb.RouteService{{Host: "h", Prefix: "/a/", Service: "old", AgeMs: 300}, {Host: "h", Prefix: "/a/", Service: "older", AgeMs: 74_000}}, 7
	})
	l.HistoryChanged()
	l.Close()
	now = now.Add(2 * time.Second)
	l, stored, err := Open(opts)
	require.NoError(t, err)
	require.Equal(t, uint64(7), stored.RoutesVersion)
	require.Len(t, stored.Routes, 1)
	require.Equal(t, "old", stored.Routes[0].Service)
	require.Equal(t, uint32(2300), stored.Routes[0].AgeMs)
	l.SetHistory(func(b *pb.StreamVersionBatch) { b.RoutesVersion = 9 })
	l.HistoryChanged()
	l.Close()
	l, stored, err = Open(opts)
	require.NoError(t, err)
	require.Equal(t, uint64(9), stored.RoutesVersion)
	require.Empty(t, stored.Routes)
	l.Close()
	require.Len(t, files(t, dir), 1)
}
