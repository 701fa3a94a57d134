package fleet

import (
	"encoding/base64"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Daemons of builds before protocol.RunVersions keep a stream to engines of equal software
// versions, and may join it from several services or weights. A run text stands for all of
// these in the place of the software version.

// runTextPrefix begins run texts. Reported versions may hold any character, so a text is taken
// for one only where an entry of such a build sent it.
const runTextPrefix = "\x01run-1 "

// RunText returns the run text of an upstream. Those of two upstreams are equal if a stream
// of any model may move between them. Where an earlier build dropped the weights of a
// model, it may not leave the process: who compares the texts does not ask for the weights.
func RunText(r *pb.UpstreamRecord) string {
	versions := &pb.UpstreamRecord{Service: r.Service, SoftwareVersion: r.SoftwareVersion, Models: r.Models, Weights: r.Weights}
	if LacksWeights(r) {
		versions.Id, versions.BornMs = r.Id, r.BornMs
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(versions)
	if err != nil {
		// Not expected: the record was received in the same encoding.
		return r.SoftwareVersion
	}
	return runTextPrefix + base64.RawStdEncoding.EncodeToString(encoded)
}

// ParseRunText returns a record with the versions that a run text stands for; nil if the text
// is none.
func ParseRunText(text string) *pb.UpstreamRecord {
	text, found := strings.CutPrefix(text, runTextPrefix)
	if !found {
		return nil
	}
	encoded, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	r := &pb.UpstreamRecord{}
	if proto.Unmarshal(encoded, r) != nil {
		return nil
	}
	return r
}
