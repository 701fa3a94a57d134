package fleet

import (
	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
)

// keepsVersions reports whether the daemons that a record comes from keep all versions that
// an upstream reports. Those before protocol levels that do send a list of weights which is
// as long as that of the models.
func keepsVersions(r *pb.UpstreamRecord) bool {
	return protocol.Level(r.Level).KeepsRunVersions() || len(r.Models) > 0 && len(r.Weights) == len(r.Models)
}

// LacksWeights reports whether an older daemon may have left out the weights of the models
// that an upstream reported.
func LacksWeights(r *pb.UpstreamRecord) bool { return len(r.Models) > 0 && !keepsVersions(r) }
