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

// faultFS is an in-memory file system that simulates the loss of unsynced data
// and directory entries in a crash, failed syncs and a full disk.
type faultFS struct {
	mu sync.Mutex
	// visible holds the files that processes see, durable the directory
	// entries that survive a crash.
	visible, durable         map[string]*faultFile
	usedBytes, capacityBytes int
	failSync                 bool
	syncs                    int
	syncTime                 time.Duration
}

// faultFile is a file with its current and its durable content.
type faultFile struct {
	fs     *faultFS
	data   []byte
	synced []byte
}

func newFaultFS() *faultFS {
	return &faultFS{visible: map[string]*faultFile{}, durable: map[string]*faultFile{}, capacityBytes: 1 << 30}
}

// crash returns the file system after a power failure. Each unsynced change of a
// directory survives at random. Of the unsynced end of a file a random part
// survives, possibly corrupted.
func (f *faultFS) crash(rng *rand.Rand) *faultFS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := newFaultFS()
	surviving := maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		if f.visible[name] == nil && rng.IntN(2) == 0 {
			delete(surviving, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.visible)) {
		if f.durable[name] == nil && rng.IntN(2) == 0 {
			surviving[name] = f.visible[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(surviving)) {
		file := surviving[name]
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
		after.visible[name], after.durable[name] = copied, copied
	}
	return after
}

// editDurable changes the current and the durable content of a file.
func (f *faultFS) editDurable(name string, edit func([]byte) []byte) {
	file := f.visible[name]
	file.data = edit(slices.Clone(file.data))
	file.synced = slices.Clone(file.data)
}

func (f *faultFS) segmentNames() []string {
	names := slices.Sorted(maps.Keys(f.visible))
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, segmentSuffix) })
}

func (f *faultFS) MkdirAll(string) error { return nil }

func (f *faultFS) Create(name string) (File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file := &faultFile{fs: f}
	f.visible[name] = file
	return file, nil
}

func (f *faultFS) OpenAppend(name string) (File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.visible[name] == nil {
		return nil, fs.ErrNotExist
	}
	return f.visible[name], nil
}

func (f *faultFS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.visible[name] == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.visible[name].data), nil
}

func (f *faultFS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.visible)) {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

func (f *faultFS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.visible[to] = f.visible[from]
	delete(f.visible, from)
	return nil
}

func (f *faultFS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.visible, name)
	return nil
}

func (f *faultFS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failSync {
		return errSync
	}
	maps.DeleteFunc(f.durable, func(name string, _ *faultFile) bool { return filepath.Dir(name) == dir })
	for name, file := range f.visible {
		if filepath.Dir(name) == dir {
			f.durable[name] = file
		}
	}
	return nil
}

func (f *faultFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	n := min(len(p), max(0, f.fs.capacityBytes-f.fs.usedBytes))
	f.data = append(f.data, p[:n]...)
	f.fs.usedBytes += n
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
	if f.fs.failSync {
		return errSync
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *faultFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.usedBytes -= len(f.data) - int(size)
	f.data = slices.Clone(f.data[:size])
	return nil
}

func (f *faultFile) Close() error { return nil }
