package control

import (
	"sync/atomic"
	"time"

	"godwitward.example/godwitward/wal"
)

// SyncStats counts and times the syncs of log and snapshot files since the
// start.
type SyncStats struct {
	Count     int64 `json:"count"`
	TotalUS   int64 `json:"total_us"`
	LongestUS int64 `json:"longest_us"`
	Failures  int64 `json:"failures"`
}

// timedFS is a file system that counts and times the syncs of its files.
type timedFS struct {
	wal.FS
	count     atomic.Int64
	totalUS   atomic.Int64
	longestUS atomic.Int64
	failures  atomic.Int64
}

// Create implements wal.FS.
func (t *timedFS) Create(name string) (wal.File, error) {
	f, err := t.FS.Create(name)
	return t.wrapFile(f, err)
}

// OpenAppend implements wal.FS.
func (t *timedFS) OpenAppend(name string) (wal.File, error) {
	f, err := t.FS.OpenAppend(name)
	return t.wrapFile(f, err)
}

func (t *timedFS) wrapFile(f wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &timedFile{File: f, fs: t}, nil
}

func (t *timedFS) stats() SyncStats {
	return SyncStats{
		Count: t.count.Load(), TotalUS: t.totalUS.Load(), LongestUS: t.longestUS.Load(), Failures: t.failures.Load(),
	}
}

type timedFile struct {
	wal.File
	fs *timedFS
}

// Sync implements wal.File.
func (f *timedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	elapsedUS := time.Since(start).Microseconds()
	f.fs.count.Add(1)
	f.fs.totalUS.Add(elapsedUS)
	for {
		longestUS := f.fs.longestUS.Load()
		if elapsedUS <= longestUS || f.fs.longestUS.CompareAndSwap(longestUS, elapsedUS) {
			break
		}
	}
	if err != nil {
		f.fs.failures.Add(1)
	}
	return err
}
