package wal

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// FS is the set of file system operations that the log uses. Tests replace it to
// simulate the loss of unsynced writes, failed syncs and a full disk.
type FS interface {
	// MkdirAll creates a directory and any missing parents.
	MkdirAll(dir string) error
	// Create creates a file or truncates an existing one, and opens it for
	// appending.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the sorted names of the entries of a directory.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of the entries of a
	// directory durable.
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	io.WriteCloser
	Sync() error
	// Truncate shortens the file to size. The next write appends there.
	Truncate(size int64) error
}

// OS implements FS on the file system of the operating system.
type OS struct{}

// Permissions of the directories and files that the log creates.
const (
	dirMode  = 0o755
	fileMode = 0o644
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return openFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// OpenAppend implements FS.
func (OS) OpenAppend(name string) (File, error) {
	return openFile(name, os.O_WRONLY|os.O_APPEND)
}

func openFile(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	closeErr := f.Close()
	if err != nil {
		return err
	}
	return errors.Wrap(closeErr, "closing directory")
}
