package fleet

import (
	"fmt"

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

// lacksSoftware reports whether an older daemon may have left out the software version that
// an upstream reported.
func lacksSoftware(r *pb.UpstreamRecord) bool {
	return !keepsVersions(r) && (r.SoftwareVersion == "" || r.SoftwareVersion == UnknownSoftware(r))
}

// UnknownSoftware stands for the software version of a process that is not known: no other
// process has it.
func UnknownSoftware(r *pb.UpstreamRecord) string {
	return fmt.Sprintf("unknown version of %s, started at %d", r.Id, r.BornMs)
}

// sameProcess reports whether two reports are of one process, whose software is the same.
func sameProcess(a, b *pb.UpstreamRecord) bool {
	return a.Id == b.Id && a.BornMs == b.BornMs && a.BornMs != 0
}

// completeSoftware sets the software version of a report that lacks it. e may be nil.
func (e *tableEntry) completeSoftware(r *pb.UpstreamRecord) {
	switch {
	case !lacksSoftware(r):
	case e != nil && sameProcess(e.record, r):
		r.SoftwareVersion = e.record.SoftwareVersion
	default:
		r.SoftwareVersion = UnknownSoftware(r)
	}
}

// learnVersions takes the versions that a record lacks from a report of the same process that
// is not newer. The weights may have changed since an earlier one.
func (e *tableEntry) learnVersions(r *pb.UpstreamRecord) (changed []*pb.UpstreamRecord) {
	if keepsVersions(e.record) || lacksSoftware(r) || !sameProcess(e.record, r) {
		return nil
	}
	next := clone(e.record)
	next.SoftwareVersion = r.SoftwareVersion
	if r.Sequence == next.Sequence && keepsVersions(r) {
		next.Models, next.Weights, next.Level = r.Models, r.Weights, r.Level
	}
	if !differs(e.record, next) {
		return nil
	}
	e.record = next
	return []*pb.UpstreamRecord{next}
}
