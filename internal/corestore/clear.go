package corestore

import (
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// clearingMarker is the name of a file that is in the store directory while the other
// files there are removed. Without it, the files of which a loss of power has left only
// some would be taken for those of a damaged member.
const clearingMarker = "clearing"

// clearDir removes the files of a member that no longer takes part in the group.
func (s *Store) clearDir() error {
	fs, dir := s.opts.FS, s.opts.Dir
	marker, err := fs.Create(dir + "/" + clearingMarker)
	if err == nil {
		err = marker.Close()
	}
	// Removing files gives a full disk the space that it lacks.
	if err != nil && !errors.Is(err, syscall.ENOSPC) {
		return errors.Wrap(err, "marking the store directory")
	}
	if err := fs.SyncDir(dir); err != nil {
		return errors.Wrap(err, "syncing the marked store directory")
	}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "listing the store directory")
	}
	if err := s.removeFiles(slices.DeleteFunc(names, func(name string) bool { return name == clearingMarker })); err != nil {
		return err
	}
	if marker == nil {
		return nil
	}
	return s.removeFiles([]string{clearingMarker})
}

func (s *Store) removeFiles(names []string) error {
	for _, name := range names {
		if err := s.opts.FS.Remove(s.opts.Dir + "/" + name); err != nil {
			return errors.Wrap(err, "clearing the store directory")
		}
	}
	return errors.Wrap(s.opts.FS.SyncDir(s.opts.Dir), "syncing the cleared store directory")
}

// finishClearing removes what a loss of power has left of a directory that was being
// cleared.
func (s *Store) finishClearing() error {
	if err := s.opts.FS.MkdirAll(s.opts.Dir); err != nil {
		return errors.Wrap(err, "creating the store directory")
	}
	names, err := s.opts.FS.ReadDir(s.opts.Dir)
	if err != nil {
		return errors.Wrap(err, "listing the store directory")
	}
	if !slices.Contains(names, clearingMarker) {
		return nil
	}
	return s.clearDir()
}
