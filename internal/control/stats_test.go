package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/wal"
)

// Guards against store metrics that lack a group, a commit or a sync.
func TestVarsOfCluster(t *testing.T) {
	s := startTestStore(t, 1, nil)
	ctx := timeoutContext(t, 20*time.Second)
	srv := s.leader().srv
	require.Eventually(t, func() bool { return srv.ensureLeading(ctx) == nil }, 10*time.Second, 10*time.Millisecond)
	before := srv.Stats()
	got, err := srv.acquireLease(ctx, &pb.AcquireLeaseRequest{Name: "p", Holder: "a"})
	require.NoError(t, err)
	require.True(t, got.Granted)
	var after Stats
	require.NoError(t, json.Unmarshal([]byte(srv.Vars().String()), &after))
	require.Equal(t, before.Proposals+1, after.Proposals)
	require.Equal(t, 1, after.PoolLeases)
	require.Len(t, after.Groups, len(srv.shards)+1)
	require.Len(t, after.Ledger, len(srv.shards))
	require.Equal(t, GroupStats{Leader: 1, Leads: true, Term: after.Term}, after.Groups[0])
	require.Greater(t, after.Syncs.Count, before.Syncs.Count)
	require.Positive(t, after.Syncs.TotalUS)
	require.LessOrEqual(t, after.Syncs.LongestUS, after.Syncs.TotalUS)
	require.Zero(t, after.Syncs.Failures)
}

type failingSyncFile struct{ wal.File }

func (failingSyncFile) Sync() error { return errors.New("I/O error") }

// Guards against a failed sync that is reported as successful.
func TestTimedSyncReturnsFailure(t *testing.T) {
	fs := &timedFS{}
	f, err := fs.wrapFile(failingSyncFile{}, nil)
	require.NoError(t, err)
	require.Error(t, f.Sync())
	require.Equal(t, int64(1), fs.stats().Failures)
	_, err = fs.wrapFile(nil, errors.New("no such file"))
	require.Error(t, err)
}
