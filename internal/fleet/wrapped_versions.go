package fleet

import (
	"encoding/base64"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Builds before protocol.RunVersions keep and pass on only the id, the software version, the
// number and the age of a record. To them it is sent a second time, wrapped: under an id of
// its own, with all of it in the text of the software version.
const (
	// wrappedIDPrefix begins the ids of wrapped records. No header holds the character, so no
	// caller can name such an id.
	wrappedIDPrefix = "\x01"
	// wrappedFormat begins the texts of wrapped records.
	wrappedFormat = "record-1 "
)

// WrappedID returns the id of the wrapped form of a record.
func WrappedID(id string) string { return wrappedIDPrefix + id }

// WithWrapped returns records and the wrapped form of each.
func WithWrapped(list []*pb.StreamVersion) []*pb.StreamVersion {
	both := make([]*pb.StreamVersion, 0, 2*len(list))
	for _, m := range list {
		both = append(both, m)
		if wrapped := wrap(m); wrapped != nil {
			both = append(both, wrapped)
		}
	}
	return both
}

// wrap returns the wrapped form of a record; nil if it cannot be encoded. The text does not
// change with the age, so that a receiver passes each record on once.
func wrap(m *pb.StreamVersion) *pb.StreamVersion {
	ageless := proto.CloneOf(m)
	ageless.AgeMs = 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(ageless)
	if err != nil {
		return nil
	}
	return &pb.StreamVersion{
		Id: WrappedID(m.Id), Version: wrappedFormat + base64.RawStdEncoding.EncodeToString(encoded), Attempt: m.Attempt, AgeMs: m.AgeMs,
	}
}

// Unwrap returns the record that a wrapped one holds; nil if it is none.
func Unwrap(m *pb.StreamVersion) *pb.StreamVersion {
	id, wrapped := strings.CutPrefix(m.GetId(), wrappedIDPrefix)
	text, known := strings.CutPrefix(m.GetVersion(), wrappedFormat)
	if !wrapped || !known {
		return nil
	}
	encoded, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	whole := &pb.StreamVersion{}
	if proto.Unmarshal(encoded, whole) != nil || whole.Id != id {
		return nil
	}
	whole.AgeMs = m.AgeMs
	return whole
}
