package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

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
