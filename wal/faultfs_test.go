package wal

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var errSync = errors.New("input/output error")

// faultFS is a file system in memory that loses unsynced data and directory
// entries in a crash, fails syncs and becomes full.
type faultFS struct {
	mu sync.Mutex
	// names is what programs see; durable is what a crash leaves.
	names, durable map[string]*faultFile
	used, capacity int
	failSyncs      bool
	syncs          int
	syncTime       time.Duration
}

// faultFile is the content of one file.
type faultFile struct {
	fs     *faultFS
	data   []byte
	synced []byte
}

func newFaultFS() *faultFS {
	return &faultFS{names: map[string]*faultFile{}, durable: map[string]*faultFile{}, capacity: 1 << 30}
}

// crash returns the file system after a power failure. Of the unsynced changes
// of a directory each survives or not; of the unsynced end of a file a random
// part is kept, with random damage.
func (f *faultFS) crash(rng *rand.Rand) *faultFS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := newFaultFS()
	left := maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		if f.names[name] == nil && rng.IntN(2) == 0 {
			delete(left, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		if f.durable[name] == nil && rng.IntN(2) == 0 {
			left[name] = f.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(left)) {
		file := left[name]
		data := slices.Clone(file.synced)
		if len(file.data) > len(data) && slices.Equal(file.data[:len(data)], data) {
			tail := slices.Clone(file.data[len(data) : len(data)+rng.IntN(len(file.data)-len(data)+1)])
			if len(tail) > 0 && rng.IntN(2) == 0 {
				from := rng.IntN(len(tail))
				clear(tail[from : from+rng.IntN(len(tail)-from)+1])
			}
			data = append(data, tail...)
		}
		copied := &faultFile{fs: after, data: data, synced: slices.Clone(data)}
		after.names[name], after.durable[name] = copied, copied
	}
	return after
}

// change replaces the durable content of a file.
func (f *faultFS) change(name string, edit func([]byte) []byte) {
	file := f.names[name]
	file.data = edit(slices.Clone(file.data))
	file.synced = slices.Clone(file.data)
}

func (f *faultFS) segmentNames() []string {
	names := slices.Sorted(maps.Keys(f.names))
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, segmentSuffix) })
}

func (f *faultFS) MkdirAll(string) error { return nil }

func (f *faultFS) Create(name string) (File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file := &faultFile{fs: f}
	f.names[name] = file
	return file, nil
}

func (f *faultFS) OpenAppend(name string) (File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[name] == nil {
		return nil, fs.ErrNotExist
	}
	return f.names[name], nil
}

func (f *faultFS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[name] == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.names[name].data), nil
}

func (f *faultFS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

func (f *faultFS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[to] = f.names[from]
	delete(f.names, from)
	return nil
}

func (f *faultFS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, name)
	return nil
}

func (f *faultFS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failSyncs {
		return errSync
	}
	maps.DeleteFunc(f.durable, func(name string, _ *faultFile) bool { return filepath.Dir(name) == dir })
	for name, file := range f.names {
		if filepath.Dir(name) == dir {
			f.durable[name] = file
		}
	}
	return nil
}

func (f *faultFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	n := min(len(p), max(0, f.fs.capacity-f.fs.used))
	f.data = append(f.data, p[:n]...)
	f.fs.used += n
	if n < len(p) {
		return n, &fs.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	return n, nil
}

func (f *faultFile) Sync() error {
	time.Sleep(f.fs.syncTime)
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.syncs++
	if f.fs.failSyncs {
		return errSync
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *faultFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.used -= len(f.data) - int(size)
	f.data = slices.Clone(f.data[:size])
	return nil
}

func (f *faultFile) Close() error { return nil }
