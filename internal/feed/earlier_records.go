package feed

import (
	"slices"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// Records of entries that compare software versions only name no service. Their version is a
// software version, or the run text that the entry was told in its place. Hubs keep them as
// they are, so that they replace earlier records, and decode a run text when they are asked.

// earlierTakeUp is the number of the record that such an entry makes when it takes up a stream
// of another one.
const earlierTakeUp = 1 << 20

// decodeRecord returns a record that an entry or a hub has sent, or that was stored, as it is
// kept. known is false if it tells nothing. The caller holds mu.
func (h *Hub) decodeRecord(m *pb.StreamVersion) (v policy.StreamVersion, known bool) {
	now := h.now()
	v, whole := fleet.DecodeStreamVersion(m, now)
	if whole {
		return v, true
	}
	if v.Versions.Software == fleet.OtherSoftware {
		// It goes with a whole record.
		return v, false
	}
	earlier, found := h.streamVersions.Get(v.ID, now)
	v.First = earlier.First
	// Where the software tells the run, a take-up with the same software is of the same run.
	if found && h.restored && v.Attempt == earlierTakeUp && earlier.Versions.Service != "" && earlier.Versions.Software == v.Versions.Software &&
		earlier.ChangedAfter == "" && h.softwareTellsRun()(earlier.Versions.Service) {
		v.Versions = earlier.Versions
	}
	return v, true
}

// noteLeftVersions notes the versions that a process leaves with a report. One without weights
// may hide a change. The caller holds mu.
func (h *Hub) noteLeftVersions(r *pb.UpstreamRecord) {
	known := h.table.Get(r.Id)
	if known == nil || known.BornMs != r.BornMs || known.Sequence >= r.Sequence || slices.Equal(known.Weights, r.Weights) && slices.Equal(known.Models, r.Models) {
		return
	}
	next := fleet.AllRunVersions(r)
	for _, v := range fleet.AllRunVersions(known) {
		if v.Weights != "" && !slices.Contains(next, v) {
			h.left.Left(v, h.now())
		}
	}
}

// recordReading is what a hub can tell by a record.
type recordReading int

const (
	// unknownRun: others may have the whole record, or have run since it was made.
	unknownRun recordReading = iota
	// leftRun: the stream may have gone on with other weights.
	leftRun
	// runTextOnly: the run text holds, but does not tell the model.
	runTextOnly
	wholeRun
)

// readRecord decodes the run text of a record without a service. The caller holds mu.
func (h *Hub) readRecord(v policy.StreamVersion) (policy.StreamVersion, recordReading) {
	if v.Versions.Service != "" {
		return v, wholeRun
	}
	r := fleet.ParseRunText(v.Versions.Software)
	if r == nil || r.Service == "" {
		return v, unknownRun
	}
	versions := fleet.AllRunVersions(r)
	for _, each := range versions {
		if h.left.MayHaveChanged(each, v.RecordedAt) {
			return v, leftRun
		}
	}
	switch {
	case v.RecordedAt < 0:
		// The hub does not know which versions were left before it started.
		return v, unknownRun
	case len(r.Models) > 1 || len(r.Models) == 1 && versions[0].Weights == "":
		return v, runTextOnly
	}
	v.Versions = versions[0]
	return v, wholeRun
}

// softwareOnlyPeer reports whether a peer is an entry that is told run texts. The caller holds
// mu.
func (h *Hub) softwareOnlyPeer(peer *pb.Hello) bool {
	for s := range h.subscriptions {
		if s.softwareOnly && s.entry.GetVm() == peer.GetVm() && s.entry.GetDaemonId() == peer.GetDaemonId() {
			return true
		}
	}
	return false
}

// addRunText adds to an answer the run text by which an entry that compares software only
// knows the run of a stream. It cannot tell a caller that has text of earlier weights from
// others. The caller holds mu.
func (h *Hub) addRunText(resp *pb.StreamVersionResponse, v policy.StreamVersion, reading recordReading) {
	switch {
	case reading == runTextOnly:
		resp.SoftwareKnown, resp.SoftwareVersion = true, v.Versions.Software
	case reading == wholeRun && v.ChangedAfter == "":
		resp.SoftwareKnown, resp.SoftwareVersion = true, h.runTextOf(v.Versions)
	}
}

// runTextOf returns the run text of the upstreams with some versions, preferably of one that
// takes requests. The caller holds mu.
func (h *Hub) runTextOf(v policy.RunVersions) string {
	var ready, others []string
	for _, r := range h.table.Records(h.now()) {
		switch {
		case fleet.RunVersions(r, v.Model) != v || fleet.LacksWeights(r):
		case r.Phase == pb.UpstreamPhase_UPSTREAM_READY && r.Stage != pb.EngineStage_ENGINE_STAGE_PREFILL:
			ready = append(ready, fleet.RunText(r))
		default:
			others = append(others, fleet.RunText(r))
		}
	}
	for _, texts := range [][]string{ready, others} {
		if len(texts) > 0 {
			return slices.Min(texts)
		}
	}
	return fleet.OtherSoftware
}
