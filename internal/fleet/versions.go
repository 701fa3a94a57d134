package fleet

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// RunVersions returns the versions of an upstream for requests for a model. For a request
// that names none, the weights are known if the upstream has one model.
func RunVersions(r *pb.UpstreamRecord, model string) policy.RunVersions {
	v := policy.RunVersions{Service: r.Service, Software: r.SoftwareVersion, Model: model}
	for i, name := range r.Models {
		if i < len(r.Weights) && (name == model || model == "" && len(r.Models) == 1) {
			v.Weights = r.Weights[i]
		}
	}
	return v
}

// WeightsDropped reports whether a hub of a build before protocol.RunVersions has left out
// the weights of a report. Reports have a text for each model, empty if it tells none.
func WeightsDropped(r *pb.UpstreamRecord) bool { return len(r.Weights) < len(r.Models) }

// AllRunVersions returns the versions of an upstream for each of its models.
func AllRunVersions(r *pb.UpstreamRecord) []policy.RunVersions {
	if len(r.Models) == 0 {
		return []policy.RunVersions{RunVersions(r, "")}
	}
	list := make([]policy.RunVersions, 0, len(r.Models))
	for _, model := range r.Models {
		list = append(list, RunVersions(r, model))
	}
	return list
}

// EncodeStreamVersion returns a record as it is sent at a time.
func EncodeStreamVersion(v policy.StreamVersion, now time.Duration) *pb.StreamVersion {
	return &pb.StreamVersion{
		Id: v.ID, FirstId: v.First, ChangedAfter: v.ChangedAfter, EarlierWeights: v.EarlierWeights, Attempt: uint32(v.Attempt), AgeMs: uint32(max(0, now-v.RecordedAt).Milliseconds()),
		Service: v.Versions.Service, Version: v.Versions.Software, Model: v.Versions.Model, Weights: v.Versions.Weights,
	}
}

// DecodeStreamVersion returns a record that was received at a time, wrapped or not. known is
// false if it does not tell the service.
func DecodeStreamVersion(m *pb.StreamVersion, now time.Duration) (v policy.StreamVersion, known bool) {
	if m == nil {
		return policy.StreamVersion{}, false
	}
	if whole := Unwrap(m); whole != nil {
		m = whole
	}
	return policy.StreamVersion{
		ID: m.Id, First: m.FirstId, ChangedAfter: m.ChangedAfter, EarlierWeights: m.EarlierWeights, Attempt: int(m.Attempt), RecordedAt: now - time.Duration(m.AgeMs)*time.Millisecond,
		Versions: policy.RunVersions{Service: m.Service, Software: m.Version, Model: m.Model, Weights: m.Weights},
	}, m.Service != ""
}

// EncodeServiceVersion returns versions in use, last seen at a time, as they are sent now.
func EncodeServiceVersion(v policy.RunVersions, at, now time.Duration) *pb.ServiceVersion {
	return &pb.ServiceVersion{
		Service: v.Service, Version: v.Software, Model: v.Model, Weights: v.Weights, AgeMs: uint32(max(0, now-at).Milliseconds()),
	}
}

// DecodeServiceVersion returns versions in use and when they were last seen.
func DecodeServiceVersion(m *pb.ServiceVersion, now time.Duration) (policy.RunVersions, time.Duration) {
	return policy.RunVersions{Service: m.Service, Software: m.Version, Model: m.Model, Weights: m.Weights}, now - time.Duration(m.AgeMs)*time.Millisecond
}
