package core

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// earlierDisk is a data folder as gw-core of an earlier build left it; see
// testdata/disks/README.md.
type earlierDisk struct {
	commit string
	// member is its id, and version that of the document that it published last.
	member, version uint64
	// streams is the number of its records of streams, and complete whether they tell the
	// service and the weights.
	streams  int
	complete bool
}

var earlierDisks = []earlierDisk{
	{"f24dbb7", 9206766117035442177, 7, 0, false},
	{"1fe24a9", 9207047606405300469, 23, 0, false},
	{"e38435b", 9207329066988863489, 6, 81, false},
	{"bb1a31f", 9207610557299581755, 3, 96, false},
	{"5e4e59b", 9207892032939387916, 5, 96, true},
	{"88d5563", 9208173491918995457, 4, 109, true},
}

// copyDisk copies a data folder, which a daemon changes as it reads it.
func copyDisk(t *testing.T, commit string) string {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata/disks", commit))))
	return dir
}

// Guards against an acknowledged configuration, a member id or a membership that is lost when
// a daemon of an earlier build is replaced on its disk.
func TestStoreOfAnEarlierBuildIsRead(t *testing.T) {
	const self = "127.0.0.1:1"
	for _, disk := range earlierDisks {
		t.Run(disk.commit, func(t *testing.T) {
			dir := copyDisk(t, disk.commit) + storeDir
			require.Equal(t, disk.version, newestDocument(t, dir))
			var out bytes.Buffer
			peers := corestore.NewPeers(self, 1, transport.Options{})
			defer peers.Close()
			store, err := corestore.Start(corestore.Options{
				Dir: dir, Address: self, Seeds: func() []string { return nil }, FaultTolerance: 2, Peers: peers,
				Logger: settings.NewLogger(&out), OnDocument: func(corestore.Document) {}, OnFatal: func(err error) { t.Error(err) },
			}, transport.NewServer(transport.Options{}))
			require.NoError(t, err)
			require.Contains(t, out.String(), fmt.Sprintf("event=store.started mode=restored member=%d ", disk.member))
			// The address that it has here, and those of the five members.
			require.Eventually(t, func() bool { return len(store.Members()) == 1+5 }, 5*time.Second, 10*time.Millisecond, "members %v", store.Members())
			// The last document is committed again by a majority.
			require.Eventually(t, func() bool { return store.Current().Version+1 >= disk.version }, 5*time.Second, 10*time.Millisecond)
			require.NoError(t, store.Stop())
		})
	}
}

// newestDocument returns the highest version of a document in a log.
func newestDocument(t *testing.T, dir string) (newest uint64) {
	l, err := wal.Open(dir, wal.Options{})
	require.NoError(t, err)
	defer l.Close()
	const group = 1
	for _, e := range l.Recover(group).Entries {
		if raft.EntryType(e.Type) == raft.EntryNormal && len(e.Data) > 0 {
			version, _ := binary.Uvarint(e.Data)
			newest = max(newest, version)
		}
	}
	return newest
}

// Guards against streams that cannot be taken up after all daemons of an earlier build were
// replaced, and against one whose record does not tell all versions and is taken for complete.
func TestStreamsOfAnEarlierBuildAreRead(t *testing.T) {
	for _, disk := range earlierDisks {
		t.Run(disk.commit, func(t *testing.T) {
			dir := copyDisk(t, disk.commit) + streamLogDir
			l, stored, err := streamlog.Open(streamlog.Options{Dir: dir, FS: wal.OS{}, Logger: &log.Logger{Level: log.PanicLevel}, Now: func() time.Time { return lastWrite(t, dir) }})
			require.NoError(t, err)
			defer l.Close()
			require.Equal(t, disk.streams, len(stored.Streams))
			known := 0
			for _, m := range stored.Streams {
				require.Empty(t, m.ProtoReflect().GetUnknown())
				if v, complete := fleet.DecodeStreamVersion(m, 0); complete && v.Versions.Weights != "" {
					known++
				}
			}
			if !disk.complete {
				require.Zero(t, known)
				// The time for which all versions are known counts only from a known document.
				require.Zero(t, stored.RoutesVersion)
				return
			}
			require.Equal(t, disk.streams, known)
			require.NotZero(t, stored.RoutesVersion)
			require.NotZero(t, stored.Observed)
			for _, v := range stored.Services {
				require.NotEmpty(t, v.Service)
			}
		})
	}
}

// lastWrite returns the time of the last batch in a folder of stream versions. Their records
// have not expired then.
func lastWrite(t *testing.T, dir string) time.Time {
	names, err := filepath.Glob(filepath.Join(dir, "versions-*"))
	require.NoError(t, err)
	last, headerBytes := time.Now(), 8
	for _, name := range names {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		// A batch follows its length and its checksum.
		for len(data) > 0 {
			n := headerBytes + int(binary.LittleEndian.Uint32(data))
			b := &pb.StreamVersionBatch{}
			require.NoError(t, proto.Unmarshal(data[headerBytes:n], b))
			last, data = time.UnixMilli(b.WrittenMs), data[n:]
		}
	}
	return last
}
