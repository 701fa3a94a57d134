package streamlog

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/wal"
)

// leave appends the record of an ended process and waits for the result of the write.
func leave(t *testing.T, l *Log, id string) error {
	result := make(chan error, 1)
	require.NoError(t, l.AppendLeaving(&pb.UpstreamRecord{Id: id, Phase: pb.UpstreamPhase_UPSTREAM_GONE, BornMs: 7}, func(err error) { result <- err }))
	select {
	case err := <-result:
		return err
	case <-time.After(5 * time.Second):
		return errors.New("the record was not written")
	}
}

// Guards against a notice of leaving that is forgotten with the process, also if the daemon
// starts several times or does not end in order, and against one that is kept for ever.
func TestLeavingProcessesSurviveRestartsUntilTheyExpire(t *testing.T) {
	dir, now := t.TempDir(), time.Unix(1000, 0)
	opts := Options{Dir: dir, FS: wal.OS{}, Logger: discard, Now: func() time.Time { return now }}
	killed, _, err := Open(opts)
	require.NoError(t, err)
	defer killed.Close()
	require.NoError(t, leave(t, killed, "a"))
	for range 2 {
		now = now.Add(10 * time.Second)
		l, stored, err := Open(opts)
		require.NoError(t, err)
		require.Len(t, stored.Leaving, 1)
		require.Equal(t, "a", stored.Leaving[0].Id)
		require.EqualValues(t, 7, stored.Leaving[0].BornMs)
		l.Close()
		require.Len(t, files(t, dir), 1, "older files are removed once their records are stored again")
	}
	now = now.Add(retention)
	l, stored, err := Open(opts)
	require.NoError(t, err)
	require.Empty(t, stored.Leaving)
	l.Close()
}

// Guards against a notice that counts as stored although the disk has refused it.
func TestLeavingProcessesThatAreNotStoredAreReported(t *testing.T) {
	fs := &fullFS{}
	l, _ := open(t, t.TempDir(), fs, nil)
	defer l.Close()
	fs.full.Store(true)
	require.ErrorContains(t, leave(t, l, "a"), "no space left")
	fs.full.Store(false)
	require.NoError(t, leave(t, l, "b"))
}

// Guards against writes that wait for a stalled disk without bound.
func TestAwaitedWritesAreBounded(t *testing.T) {
	l := &Log{}
	for range maxAwaited {
		require.NoError(t, l.AppendLeaving(&pb.UpstreamRecord{}, func(error) {}))
	}
	require.Error(t, l.AppendLeaving(&pb.UpstreamRecord{}, func(error) {}))
	require.Error(t, l.StoreHistory(func(error) {}))
}

// Guards against versions in use that count as stored before they are on the disk.
func TestHistoryIsOnTheDiskOnceItIsReported(t *testing.T) {
	fs := &fullFS{}
	dir := t.TempDir()
	l, _ := open(t, dir, fs, nil)
	defer l.Close()
	l.SetHistory(func(b *pb.StreamVersionBatch) {
		b.ServiceVersions, b.ObservedMs = []*pb.ServiceVersion{{Service: "s", Version: "v2"}}, 1
	})
	store := func() error {
		result := make(chan error, 1)
		require.NoError(t, l.StoreHistory(func(err error) { result <- err }))
		return <-result
	}
	fs.full.Store(true)
	require.Error(t, store())
	fs.full.Store(false)
	require.NoError(t, store())
	second, stored, err := Open(Options{Dir: dir, FS: fs, Logger: discard})
	require.NoError(t, err)
	defer second.Close()
	require.Len(t, stored.Services, 1)
	require.Equal(t, "v2", stored.Services[0].Version)
}
