package core

import (
	"time"

	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/wal"
)

// timedFS measures how long files take to become durable. A disk that stalls
// shows there before the store loses its leader.
type timedFS struct {
	wal.FS
	sync *metrics.Timing
}

// Create implements wal.FS.
func (t timedFS) Create(name string) (wal.File, error) { return t.timed(t.FS.Create(name)) }

// OpenAppend implements wal.FS.
func (t timedFS) OpenAppend(name string) (wal.File, error) { return t.timed(t.FS.OpenAppend(name)) }

func (t timedFS) timed(f wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return timedFile{f, t.sync}, nil
}

type timedFile struct {
	wal.File
	sync *metrics.Timing
}

// Sync implements wal.File.
func (f timedFile) Sync() error {
	began := time.Now()
	err := f.File.Sync()
	f.sync.Add(time.Since(began))
	return err
}
