package fleet

import (
	"encoding/base64"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Hubs of builds before protocol.RunVersions keep and pass on only the id, the software version, the
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

// OtherSoftware is a software version that no process has.
const OtherSoftware = "\x01other"

// WithWrapped returns records and the wrapped form of each. Hubs that keep only a part of
// them pass the software on to entries that choose upstreams by nothing else. Of a service at
// which that may lead to another run, which tellsRun reports, they get a later record with a
// version that no upstream has. It names no service, so others leave it out.
func WithWrapped(list []*pb.StreamVersion, tellsRun func(service string) bool) []*pb.StreamVersion {
	all := make([]*pb.StreamVersion, 0, 3*len(list))
	tells := map[string]bool{}
	for _, m := range list {
		all = append(all, m)
		if _, asked := tells[m.Service]; !asked {
			tells[m.Service] = tellsRun(m.Service)
		}
		if !tells[m.Service] {
			all = append(all, &pb.StreamVersion{Id: m.Id, Version: OtherSoftware, Attempt: m.Attempt + 1, AgeMs: m.AgeMs})
		}
		if wrapped := wrap(m); wrapped != nil {
			all = append(all, wrapped)
		}
	}
	return all
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
