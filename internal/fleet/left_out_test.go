package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
)

// engine is a report of a process of engine id, as the present build passes it on.
func engine(id string, bornMs int64, sequence uint64) *pb.UpstreamRecord {
	r := report(id, bornMs, sequence)
	r.Address = "10.0.0.1:" + id
	r.Models, r.Weights, r.SoftwareVersion, r.Level = []string{"m"}, []string{"1"}, "v1", uint32(protocol.Current)
	return r
}

// withoutVersions is a record as a daemon passes it on that knows no versions.
func withoutVersions(r *pb.UpstreamRecord) *pb.UpstreamRecord {
	r.Weights, r.SoftwareVersion, r.Level = nil, "", 0
	return r
}

func versionsOf(t *Table, id string) RunVersionsText {
	v := RunVersions(t.Get(id), "m")
	return RunVersionsText{v.Software, v.Weights}
}

// RunVersionsText is a software version and one of weights.
type RunVersionsText struct{ software, weights string }

// Guards against streams that go on at another software version, since an older daemon left
// the versions of all upstreams out and they seem to be equal.
func TestUpstreamsWithoutASoftwareVersionOfOlderDaemonsDiffer(t *testing.T) {
	table := NewTable()
	table.Observe(withoutVersions(engine("a", 1, 1)), 0)
	table.Observe(withoutVersions(engine("b", 1, 1)), 0)
	a, b := RunVersions(table.Get("a"), "m"), RunVersions(table.Get("b"), "m")
	require.False(t, a.MayGoOnAt(b), "%+v and %+v may be different versions", a, b)
	other := NewTable()
	other.Observe(withoutVersions(engine("a", 1, 7)), 0)
	require.True(t, a.MayGoOnAt(RunVersions(other.Get("a"), "m")), "a stream goes on at its process, also at other entries")
	table.Observe(withoutVersions(engine("a", 2, 1)), 0)
	require.False(t, a.MayGoOnAt(RunVersions(table.Get("a"), "m")), "a later process may have another version")

	reported := engine("c", 1, 1)
	reported.SoftwareVersion = ""
	table.Observe(reported, 0)
	require.Empty(t, table.Get("c").SoftwareVersion, "the upstream reports none")
}

// Guards against versions that are lost, for as long as an upstream does not change, at a
// daemon that hears of the same report from a newer daemon and from an older one.
func TestVersionsThatADaemonLeavesOutAreLearnedFromOthers(t *testing.T) {
	for _, c := range []struct {
		name    string
		records []*pb.UpstreamRecord
		want    RunVersionsText
	}{
		{name: "older daemon first", records: []*pb.UpstreamRecord{withoutVersions(engine("a", 1, 5)), engine("a", 1, 5)}, want: RunVersionsText{"v1", "1"}},
		{name: "newer daemon first", records: []*pb.UpstreamRecord{engine("a", 1, 5), withoutVersions(engine("a", 1, 5))}, want: RunVersionsText{"v1", "1"}},
		{name: "older daemon has a later report", records: []*pb.UpstreamRecord{withoutVersions(engine("a", 1, 6)), engine("a", 1, 5)}, want: RunVersionsText{software: "v1"}},
		{name: "weights may have changed", records: []*pb.UpstreamRecord{engine("a", 1, 5), withoutVersions(engine("a", 1, 6))}, want: RunVersionsText{software: "v1"}},
		{name: "told again", records: []*pb.UpstreamRecord{engine("a", 1, 5), withoutVersions(engine("a", 1, 6)), engine("a", 1, 7)}, want: RunVersionsText{"v1", "1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			var last []*pb.UpstreamRecord
			before := RunVersionsText{}
			for _, r := range c.records {
				if table.Get("a") != nil {
					before = versionsOf(table, "a")
				}
				last, _ = table.Observe(r, 0)
			}
			require.Equal(t, c.want, versionsOf(table, "a"))
			require.Equal(t, before != c.want, len(last) > 0, "a change is visible, and nothing else")
		})
	}
}

// Guards against fields that a daemon drops when it passes a record on.
func TestCopiesOfRecordsAreWhole(t *testing.T) {
	r := &pb.UpstreamRecord{}
	fields := r.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList():
			r.ProtoReflect().Mutable(f).List().Append(protoreflect.ValueOfString("x"))
		case f.Kind() == protoreflect.StringKind:
			r.ProtoReflect().Set(f, protoreflect.ValueOfString("x"))
		case f.Kind() == protoreflect.BoolKind:
			r.ProtoReflect().Set(f, protoreflect.ValueOfBool(true))
		case f.Kind() == protoreflect.EnumKind:
			r.ProtoReflect().Set(f, protoreflect.ValueOfEnum(1))
		case f.Kind() == protoreflect.Int64Kind:
			r.ProtoReflect().Set(f, protoreflect.ValueOfInt64(1))
		case f.Kind() == protoreflect.Uint64Kind:
			r.ProtoReflect().Set(f, protoreflect.ValueOfUint64(1))
		default:
			r.ProtoReflect().Set(f, protoreflect.ValueOfUint32(1))
		}
	}
	require.True(t, proto.Equal(r, clone(r)), "%v", clone(r))
}
