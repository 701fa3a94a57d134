package fleet

import (
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// SilentAfter is the time without a report after which an upstream is
	// marked silent: three report intervals of 1.2 s, plus 1 s in which an
	// upstream may retry a report at the next daemon.
	SilentAfter = 4600 * time.Millisecond
	// forgetAfter is how long a record is kept after its last report. Reports
	// of an ended process may arrive seconds late. One that arrives after its
	// record was deleted is harmless, because each call names the process that
	// it expects.
	forgetAfter = 90 * time.Second
	// MaxReportDelay is how late a report may arrive: the platform delays them by seconds.
	MaxReportDelay = 10 * time.Second
	// entrySlack is how much later than the first core daemon an entry may learn of a report or
	// a silence.
	entrySlack = 2 * time.Second
)

// tableEntry is a record and the local time at which its report reached the
// first core daemon.
type tableEntry struct {
	record     *pb.UpstreamRecord
	receivedAt time.Duration
}

// Table is the table of upstreams. It is not safe for concurrent use.
type Table struct {
	byID map[string]*tableEntry
	// owner maps each address to the id of the newest process there.
	owner map[string]string
	// notices are those of processes that are not known, by id.
	notices map[string]notice
	// lateFor is how long after the newest report of a process that tells no start one with a
	// lower sequence number may be a late report of the same process.
	lateFor time.Duration
}

// NewTable returns an empty table of a core daemon.
func NewTable() *Table {
	return &Table{byID: map[string]*tableEntry{}, owner: map[string]string{}, notices: map[string]notice{}, lateFor: MaxReportDelay}
}

// NewEntryTable returns an empty table of an entry, which follows the core daemons.
func NewEntryTable() *Table {
	t := NewTable()
	t.lateFor -= entrySlack
	return t
}

// Observe applies a report. It returns the records that changed visibly: the
// record of the report itself and that of a process replaced at its address.
// accepted reports whether the report is newer than the stored record and so
// counts as a heartbeat. One that is not may still tell versions that the stored
// record lacks. Observe completes r, and marks it as ended if notice of leaving was given for
// its process before.
func (t *Table) Observe(r *pb.UpstreamRecord, now time.Duration) (changed []*pb.UpstreamRecord, accepted bool) {
	at := now - time.Duration(r.AgeMs)*time.Millisecond
	if t.applyNotice(r, at) {
		return nil, false
	}
	known := t.byID[r.Id]
	known.completeSoftware(r)
	if known != nil && !t.newer(r, at, known) {
		return known.learnVersions(r), false
	}
	if t.superseded(r) {
		return nil, false
	}
	changed = t.claimAddress(r, at)
	next := &tableEntry{record: r, receivedAt: at}
	next.record.Silent = false
	t.byID[r.Id] = next
	if known == nil || differs(known.record, r) {
		changed = append(changed, r)
	}
	return changed, true
}

// newer reports whether r, received at a time, is newer than the known report of the same id. The
// process start decides first, then the sequence number; no report of a process is newer than its
// end.
func (t *Table) newer(r *pb.UpstreamRecord, at time.Duration, e *tableEntry) bool {
	known := e.record
	switch {
	case r.BornMs != known.BornMs:
		return r.BornMs > known.BornMs
	case r.BornMs == 0 && t.succeeds(r, at, known, e.receivedAt):
		return true
	case r.BornMs == 0 && t.succeeds(known, e.receivedAt, r, at):
		return false
	case known.Phase == pb.UpstreamPhase_UPSTREAM_GONE:
		return false
	case r.Phase == pb.UpstreamPhase_UPSTREAM_GONE:
		return true
	}
	return r.Sequence > known.Sequence
}

// succeeds reports whether r is a report of a later process than earlier, where neither states a
// start: the sequence number begins anew, and earlier was received too long ago for r to be a
// late report of the same process.
func (t *Table) succeeds(r *pb.UpstreamRecord, at time.Duration, earlier *pb.UpstreamRecord, earlierAt time.Duration) bool {
	return r.Phase != pb.UpstreamPhase_UPSTREAM_GONE && r.Sequence <= earlier.Sequence && at-earlierAt > t.lateFor
}

// differs reports whether b, a newer report, changes what subscribers see of a.
func differs(a, b *pb.UpstreamRecord) bool {
	return a.Phase != b.Phase || a.Address != b.Address || a.Service != b.Service ||
		a.Stage != b.Stage || a.BornMs != b.BornMs || a.Silent || a.Slots != b.Slots || a.Place != b.Place || a.SoftwareVersion != b.SoftwareVersion ||
		!slices.Equal(a.Models, b.Models) || !slices.Equal(a.Weights, b.Weights)
}

// superseded reports whether a process that started later has claimed the
// report's address. A report delayed by a network partition may arrive after its
// sender has ended.
func (t *Table) superseded(r *pb.UpstreamRecord) bool {
	owner := t.byID[t.owner[r.Address]]
	return owner != nil && owner.record.Id != r.Id && owner.record.Address == r.Address &&
		owner.record.BornMs > r.BornMs
}

// claimAddress makes the report's process the owner of its address, unless the
// report says that the process has ended. It marks the previous owner as gone and
// returns that record, if there was one.
func (t *Table) claimAddress(r *pb.UpstreamRecord, at time.Duration) []*pb.UpstreamRecord {
	if r.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return nil
	}
	previous := t.byID[t.owner[r.Address]]
	t.owner[r.Address] = r.Id
	if previous == nil || previous.record.Id == r.Id || previous.record.Address != r.Address ||
		previous.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return nil
	}
	return []*pb.UpstreamRecord{t.markGone(previous, at)}
}

// markGone replaces a record by a copy that marks its process as ended.
func (t *Table) markGone(e *tableEntry, at time.Duration) *pb.UpstreamRecord {
	gone := clone(e.record)
	gone.Phase, gone.AgeMs = pb.UpstreamPhase_UPSTREAM_GONE, 0
	t.byID[gone.Id] = &tableEntry{record: gone, receivedAt: at}
	return gone
}

// Leave marks a process as gone after it gave notice at a time that it is ending, and
// returns its record, or the notice (IsNotice) if the process is unknown. It returns nil when
// the process is already gone or older than the known one, and when there is no room for the
// notice. bornMs is 0 when the notice does not include the process start.
func (t *Table) Leave(id string, bornMs int64, at time.Duration) *pb.UpstreamRecord {
	known := t.byID[id]
	switch {
	case known == nil:
		return t.keepNotice(id, bornMs, at)
	case bornMs != 0 && bornMs < known.record.BornMs:
		return nil
	case bornMs == 0 && known.receivedAt-at > t.lateFor:
		// The record is of a later process.
		return nil
	case known.record.BornMs != 0 && bornMs > known.record.BornMs:
		return t.markUnreportedGone(known, bornMs, at)
	case known.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE:
		return nil
	}
	return t.markGone(known, at)
}

// Ended returns the record that marks a process as ended after Leave was called for it; nil if a
// later process has replaced it under its id. ok is false if there is no such record.
func (t *Table) Ended(id string, bornMs int64, now time.Duration) (r *pb.UpstreamRecord, ok bool) {
	known := t.byID[id]
	switch {
	case known == nil:
		n, kept := t.notices[id]
		return n.record(id, now), kept
	case bornMs != 0 && bornMs < known.record.BornMs:
		return nil, true
	}
	return known.record, known.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE
}

// markUnreportedGone marks a process as ended that replaced a known one and has not reported:
// its reports may still arrive. It keeps nothing of what its predecessor reported of itself,
// and no protocol level, so that a late report completes the software version.
func (t *Table) markUnreportedGone(predecessor *tableEntry, bornMs int64, at time.Duration) *pb.UpstreamRecord {
	known := predecessor.record
	gone := &pb.UpstreamRecord{Id: known.Id, Service: known.Service, Address: known.Address, Place: known.Place, Phase: pb.UpstreamPhase_UPSTREAM_GONE, BornMs: bornMs}
	gone.SoftwareVersion = UnknownSoftware(gone)
	t.byID[gone.Id] = &tableEntry{record: gone, receivedAt: at}
	return gone
}

// Expire marks upstreams without recent reports as silent and deletes old
// records. It returns the records that became silent.
func (t *Table) Expire(now time.Duration) []*pb.UpstreamRecord {
	t.expireNotices(now)
	var silent []*pb.UpstreamRecord
	for id, e := range t.byID {
		sinceReport := now - e.receivedAt
		if sinceReport > forgetAfter {
			t.forget(id, e)
			continue
		}
		if sinceReport <= SilentAfter || e.record.Silent || e.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
			continue
		}
		marked := clone(e.record)
		marked.Silent, marked.AgeMs = true, uint32(sinceReport.Milliseconds())
		e.record = marked
		silent = append(silent, marked)
	}
	return silent
}

// ForgetBefore deletes the record of r's id from the table of an entry if the core daemons have
// forgotten it before they received r: of a process that has ended or, if silent is set, is silent.
// It reports whether it did.
func (t *Table) ForgetBefore(r *pb.UpstreamRecord, silent bool, now time.Duration) bool {
	e := t.byID[r.Id]
	if e == nil || !silent && e.record.Phase != pb.UpstreamPhase_UPSTREAM_GONE {
		return false
	}
	at := now - time.Duration(r.AgeMs)*time.Millisecond
	if at-e.receivedAt < forgetAfter-entrySlack {
		return false
	}
	t.forget(r.Id, e)
	return true
}

func (t *Table) forget(id string, e *tableEntry) {
	delete(t.byID, id)
	if t.owner[e.record.Address] == id {
		delete(t.owner, e.record.Address)
	}
}

// Records returns copies of all records with their current age.
func (t *Table) Records(now time.Duration) []*pb.UpstreamRecord {
	records := make([]*pb.UpstreamRecord, 0, len(t.byID))
	for _, e := range t.byID {
		r := clone(e.record)
		r.AgeMs = uint32(max(0, now-e.receivedAt) / time.Millisecond)
		records = append(records, r)
	}
	return records
}

// Serves reports whether the newest process at an address has not ended.
func (t *Table) Serves(address string) bool {
	e := t.byID[t.owner[address]]
	return e != nil && e.record.Address == address && e.record.Phase != pb.UpstreamPhase_UPSTREAM_GONE
}

// Get returns the record of an id, or nil.
func (t *Table) Get(id string) *pb.UpstreamRecord {
	if e := t.byID[id]; e != nil {
		return e.record
	}
	return nil
}

func clone(r *pb.UpstreamRecord) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{
		Id: r.Id, Service: r.Service, Address: r.Address, Place: r.Place, Phase: r.Phase, Stage: r.Stage,
		BornMs: r.BornMs, Sequence: r.Sequence, Slots: r.Slots, Silent: r.Silent, AgeMs: r.AgeMs, Models: r.Models, Weights: r.Weights, SoftwareVersion: r.SoftwareVersion,
		Level: r.Level,
	}
}
