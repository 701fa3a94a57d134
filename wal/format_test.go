package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// storedByEarlierBuild holds the files that writeExample wrote at cad4224.
const storedByEarlierBuild = "testdata/cad4224"

// writeExample stores records of all types, and a snapshot.
func writeExample(t *testing.T, dir string) {
	l, err := Open(dir, Options{})
	require.NoError(t, err)
	write := func(fill func(*Batch)) {
		b := &Batch{}
		fill(b)
		require.NoError(t, l.Write(b))
	}
	write(func(b *Batch) { b.SetIdentity([]byte("identity")) })
	write(func(b *Batch) {
		b.SetHardState(0, HardState{Term: 300, Vote: 1 << 40, Commit: 2})
		b.Append(0, Entry{Index: 1, Term: 1, Type: 1})
		b.Append(0, Entry{Index: 2, Term: 300, Type: 2, Data: []byte("membership")})
		b.Append(0, Entry{Index: 3, Term: 300, Data: []byte("command")})
		b.Append(1, Entry{Index: 1, Term: 7, Data: []byte("another group")})
	})
	require.NoError(t, l.WriteSnapshot(0, 2, 300, []byte("state")))
	write(func(b *Batch) { b.SetSnapshot(0, Snapshot{Index: 2, Term: 300, Meta: []byte("meta")}) })
	require.NoError(t, l.Close())
}

func filesOf(t *testing.T, dir string) map[string][]byte {
	files := map[string][]byte{}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		files[e.Name()] = content
	}
	return files
}

// Guards against a log that builds in service do not read after a step back, or that differs
// from theirs in what it reads.
func TestEarlierBuildsAndThisOneReadTheSameLog(t *testing.T) {
	dir := t.TempDir()
	writeExample(t, dir)
	written, stored := filesOf(t, dir), filesOf(t, storedByEarlierBuild)
	require.NotEmpty(t, stored)
	for name, content := range stored {
		require.True(t, bytes.Equal(content, written[name]), "file %s differs", name)
	}
	require.Len(t, written, len(stored))

	l, err := Open(dir, Options{})
	require.NoError(t, err)
	require.Equal(t, "identity", string(l.Identity()))
	g := l.Recover(0)
	require.Equal(t, HardState{Term: 300, Vote: 1 << 40, Commit: 2}, g.HardState)
	require.Equal(t, []Entry{{Index: 3, Term: 300, Data: []byte("command")}}, g.Entries)
	s, data, err := l.ReadSnapshot(0)
	require.NoError(t, err)
	require.Equal(t, Snapshot{Index: 2, Term: 300, Meta: []byte("meta")}, s)
	require.Equal(t, "state", string(data))
	require.NoError(t, l.Close())
}
