package core

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/wal"
)

// Guards against syncs missing from the metric: files from both Create and
// OpenAppend must be timed.
func TestSyncsAreTimed(t *testing.T) {
	fs := timedFS{wal.OS{}, metrics.NewDurationHistogram()}
	name := filepath.Join(t.TempDir(), "log")
	created, err := fs.Create(name)
	require.NoError(t, err)
	require.NoError(t, created.Sync())
	require.NoError(t, created.Close())
	opened, err := fs.OpenAppend(name)
	require.NoError(t, err)
	require.NoError(t, opened.Sync())
	require.NoError(t, opened.Close())
	require.EqualValues(t, 2, fs.sync.Value().(metrics.Summary).Count)
	_, err = fs.OpenAppend(name + ".missing")
	require.Error(t, err)
}
