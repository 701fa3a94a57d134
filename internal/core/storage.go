package core

import (
	"time"

	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/wal"
)

// timedFS measures the duration of file syncs. A stalled disk shows in this
// metric before the store loses contact with its leader.
type timedFS struct {
	wal.FS
	sync *metrics.DurationHistogram
}

// Create implements wal.FS.
func (t timedFS) Create(name string) (wal.File, error) { return t.wrapFile(t.FS.Create(name)) }

// OpenAppend implements wal.FS.
func (t timedFS) OpenAppend(name string) (wal.File, error) { return t.wrapFile(t.FS.OpenAppend(name)) }

func (t timedFS) wrapFile(f wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return timedFile{f, t.sync}, nil
}

type timedFile struct {
	wal.File
	sync *metrics.DurationHistogram
}

// Sync implements wal.File.
func (f timedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.sync.Record(time.Since(start))
	return err
}
