package control

import (
	"sync/atomic"
	"time"

	"godwitward.example/godwitward/wal"
)

// SyncStats describe the syncs of the log and the snapshots since the start.
type SyncStats struct {
	Count     int64 `json:"count"`
	TotalUS   int64 `json:"total_us"`
	LongestUS int64 `json:"longest_us"`
	Failures  int64 `json:"failures"`
}

// timedFS measures the syncs of the files of a file system.
type timedFS struct {
	wal.FS
	count    atomic.Int64
	total    atomic.Int64
	longest  atomic.Int64
	failures atomic.Int64
}

// Create implements wal.FS.
func (t *timedFS) Create(name string) (wal.File, error) {
	f, err := t.FS.Create(name)
	return t.timed(f, err)
}

// OpenAppend implements wal.FS.
func (t *timedFS) OpenAppend(name string) (wal.File, error) {
	f, err := t.FS.OpenAppend(name)
	return t.timed(f, err)
}

func (t *timedFS) timed(f wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &timedFile{File: f, fs: t}, nil
}

func (t *timedFS) stats() SyncStats {
	return SyncStats{
		Count: t.count.Load(), TotalUS: t.total.Load(), LongestUS: t.longest.Load(), Failures: t.failures.Load(),
	}
}

type timedFile struct {
	wal.File
	fs *timedFS
}

// Sync implements wal.File.
func (f *timedFile) Sync() error {
	began := time.Now()
	err := f.File.Sync()
	took := time.Since(began).Microseconds()
	f.fs.count.Add(1)
	f.fs.total.Add(took)
	for {
		longest := f.fs.longest.Load()
		if took <= longest || f.fs.longest.CompareAndSwap(longest, took) {
			break
		}
	}
	if err != nil {
		f.fs.failures.Add(1)
	}
	return err
}
