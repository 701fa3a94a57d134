package fleet

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// maxNotices limits the notices of processes that are not known. Anyone who reaches a core daemon
// can give notice for any id.
const maxNotices = 4096

// notice is a notice of leaving of a process that is not known: its report may still arrive, and
// other daemons may know it.
type notice struct {
	// bornMs is 0 if the notice does not tell the start of the process.
	bornMs int64
	at     time.Duration
}

func (n notice) record(id string, now time.Duration) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{Id: id, BornMs: n.bornMs, Phase: pb.UpstreamPhase_UPSTREAM_GONE, AgeMs: uint32(max(0, now-n.at) / time.Millisecond)}
}

// IsNotice reports whether a record is a notice of leaving of a process that is not known. It
// holds nothing but the id, the start and the age.
func IsNotice(r *pb.UpstreamRecord) bool {
	return r.Phase == pb.UpstreamPhase_UPSTREAM_GONE && r.Address == ""
}

// SplitNotices returns the notices among records apart from the others.
func SplitNotices(records []*pb.UpstreamRecord) (others, notices []*pb.UpstreamRecord) {
	for _, r := range records {
		if IsNotice(r) {
			notices = append(notices, r)
		} else {
			others = append(others, r)
		}
	}
	return others, notices
}

// Notices returns the notices of processes that are not known, with their current age.
func (t *Table) Notices(now time.Duration) []*pb.UpstreamRecord {
	list := make([]*pb.UpstreamRecord, 0, len(t.notices))
	for id, n := range t.notices {
		list = append(list, n.record(id, now))
	}
	return list
}

// keepNotice keeps a notice of a process that is not known. It returns nil if it is kept already,
// or there is no room.
func (t *Table) keepNotice(id string, bornMs int64, at time.Duration) *pb.UpstreamRecord {
	if len(t.notices) >= maxNotices {
		t.expireNotices(at)
	}
	known, kept := t.notices[id]
	switch {
	case !kept && len(t.notices) >= maxNotices:
		return nil
	case kept && bornMs != 0 && bornMs <= known.bornMs:
		return nil
	case kept && bornMs == known.bornMs && at-known.at < time.Second:
		// It was sent again, or has come through another daemon.
		return nil
	}
	n := notice{bornMs, at}
	t.notices[id] = n
	return n.record(id, at)
}

// applyNotice applies a notice that is kept for the id of a report, received at a time. A report of
// the process that has left becomes that of its end, if it is known for certain to be of that
// process. drop is set if the report must not be applied.
func (t *Table) applyNotice(r *pb.UpstreamRecord, at time.Duration) (drop bool) {
	n, kept := t.notices[r.Id]
	if !kept {
		return false
	}
	// A process that starts again under the id is told from the one that has left by its start,
	// or else by the time: no report arrives later than that.
	late := at-n.at <= t.lateFor
	switch {
	case r.Phase == pb.UpstreamPhase_UPSTREAM_GONE:
		if r.BornMs >= n.bornMs {
			delete(t.notices, r.Id)
		}
		return false
	case n.bornMs != 0 && r.BornMs == n.bornMs:
		r.Phase = pb.UpstreamPhase_UPSTREAM_GONE
	case n.bornMs != 0 && r.BornMs != 0:
		drop = r.BornMs < n.bornMs
	default:
		drop = late
	}
	if !drop {
		delete(t.notices, r.Id)
	}
	return drop
}

func (t *Table) expireNotices(now time.Duration) {
	for id, n := range t.notices {
		if now-n.at > forgetAfter {
			delete(t.notices, id)
		}
	}
}
