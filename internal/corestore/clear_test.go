package corestore

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/wal"
)

var errPowerLost = errors.New("the power is lost")

// oneRemovalDisk loses power while files are removed: only the removal of the file named
// survives.
type oneRemovalDisk struct {
	wal.OS
	survives string
	lost     bool
}

func (d *oneRemovalDisk) Remove(name string) error {
	if filepath.Base(name) == d.survives {
		d.lost = true
		return d.OS.Remove(name)
	}
	return nil
}

func (d *oneRemovalDisk) SyncDir(dir string) error {
	if d.lost {
		return errPowerLost
	}
	return d.OS.SyncDir(dir)
}

// Guards against a daemon that cannot start again because it lost power while it removed
// the files of a member that is no longer one.
func TestPowerLostWhileAMembersFilesAreRemoved(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.waitVoters(3)
	for version := range uint64(4) {
		body := string(bytes.Repeat([]byte{'x'}, 2<<20))
		require.Eventually(t, func() bool { _, err := c.put(1, version+1, body); return err == nil }, 30*time.Second, tick)
	}
	dir := c.dirs[3] + "/store"
	require.Eventually(t, func() bool { return len(glob(t, dir+"/*.snap")) > 0 }, repairTimeout, tick)
	c.stop(3)
	names, err := wal.OS{}.ReadDir(dir)
	require.NoError(t, err)
	require.Greater(t, len(names), 1)
	for _, name := range names {
		c.dirs[3] = t.TempDir()
		require.NoError(t, os.CopyFS(c.dirs[3]+"/store", os.DirFS(dir)))
		removed := &Store{opts: Options{Dir: c.dirs[3] + "/store", FS: &oneRemovalDisk{survives: name}}}
		require.ErrorIs(t, removed.clearDir(), errPowerLost)
		c.start(3, false)
		require.Greater(t, uint32(c.stores[3].currentNode().ID()), uint32(bootstrapNonce), "a member with a new id, without %s", name)
		c.stop(3)
	}
}

func glob(t *testing.T, pattern string) []string {
	names, err := filepath.Glob(pattern)
	require.NoError(t, err)
	return names
}
