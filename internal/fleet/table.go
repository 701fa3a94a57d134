package fleet

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// SilenceLimit is the time without a report after which an upstream is
	// marked silent: three report intervals of 1.2 s and the 1 s in which a
	// report may try its next daemon.
	SilenceLimit = 4600 * time.Millisecond
	// forgetAfter is how long a record without reports is kept. Late reports
	// of an ended process arrive seconds late; afterwards they are harmless,
	// because each call names the process that it expects.
	forgetAfter = 90 * time.Second
)

// entry is one record with the local time at which its report arrived.
type entry struct {
	record *pb.UpstreamRecord
	heard  time.Duration
}

// Table is the list of upstreams. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// owner names the newest process at each address.
	owner map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, owner: map[string]string{}}
}

// Observe takes a report. It returns the records that changed for readers, the
// report's own and that of a process it replaced at its address. heard tells
// whether the report is newer than what is known, so that it counts as a sign
// of life.
func (t *Table) Observe(r *pb.UpstreamRecord, now time.Duration) (changed []*pb.UpstreamRecord, heard bool) {
	at := now - time.Duration(r.AgeMs)*time.Millisecond
	known := t.entries[r.Id]
	if known != nil && !newer(r, known.record) {
		return nil, false
	}
	if t.shadowed(r) {
		return nil, false
	}
	changed = t.takeAddress(r, at)
	next := &entry{record: r, heard: at}
	next.record.Silent = false
	t.entries[r.Id] = next
	if known == nil || visible(known.record, r) {
		changed = append(changed, r)
	}
	return changed, true
}

// newer orders reports of one id: by process start, then by number. The end of
// a process is final.
func newer(r, known *pb.UpstreamRecord) bool {
	if r.BornMs != known.BornMs {
		return r.BornMs > known.BornMs
	}
	if known.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return false
	}
	if r.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return true
	}
	return r.Sequence > known.Sequence
}

// visible reports whether readers see a difference between two reports.
func visible(a, b *pb.UpstreamRecord) bool {
	return a.Phase != b.Phase || a.Address != b.Address || a.Service != b.Service ||
		a.Stage != b.Stage || a.BornMs != b.BornMs || a.Silent || a.Slots != b.Slots || a.Place != b.Place
}

// shadowed reports whether a younger process uses the report's address. A
// report that a partition held up may arrive after its sender has ended.
func (t *Table) shadowed(r *pb.UpstreamRecord) bool {
	owner := t.entries[t.owner[r.Address]]
	return owner != nil && owner.record.Id != r.Id && owner.record.Address == r.Address &&
		owner.record.BornMs > r.BornMs
}

// takeAddress marks the previous process at the report's address as gone.
func (t *Table) takeAddress(r *pb.UpstreamRecord, at time.Duration) []*pb.UpstreamRecord {
	if r.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return nil
	}
	previous := t.entries[t.owner[r.Address]]
	t.owner[r.Address] = r.Id
	if previous == nil || previous.record.Id == r.Id || previous.record.Address != r.Address ||
		previous.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return nil
	}
	return []*pb.UpstreamRecord{t.end(previous, at)}
}

// end replaces a record by one of the ended process.
func (t *Table) end(e *entry, at time.Duration) *pb.UpstreamRecord {
	gone := clone(e.record)
	gone.Phase = pb.UpstreamPhase_UPSTREAM_GONE
	t.entries[gone.Id] = &entry{record: gone, heard: at}
	return gone
}

// Leave takes the notice that a process ends. It returns nil when nothing is
// known of the process or it is known to have ended. born is 0 when the notice
// does not tell the process start.
func (t *Table) Leave(id string, born int64, now time.Duration) *pb.UpstreamRecord {
	known := t.entries[id]
	if known == nil || known.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
		return nil
	}
	if born != 0 && born < known.record.BornMs {
		return nil
	}
	return t.end(known, now)
}

// Expire marks upstreams without recent reports as silent and forgets old
// records. It returns the records that became silent.
func (t *Table) Expire(now time.Duration) []*pb.UpstreamRecord {
	var silent []*pb.UpstreamRecord
	for id, e := range t.entries {
		quiet := now - e.heard
		if quiet > forgetAfter {
			delete(t.entries, id)
			if t.owner[e.record.Address] == id {
				delete(t.owner, e.record.Address)
			}
			continue
		}
		if quiet <= SilenceLimit || e.record.Silent || e.record.Phase == pb.UpstreamPhase_UPSTREAM_GONE {
			continue
		}
		marked := clone(e.record)
		marked.Silent = true
		e.record = marked
		silent = append(silent, marked)
	}
	return silent
}

// Records returns copies of all records with their present age.
func (t *Table) Records(now time.Duration) []*pb.UpstreamRecord {
	records := make([]*pb.UpstreamRecord, 0, len(t.entries))
	for _, e := range t.entries {
		r := clone(e.record)
		r.AgeMs = uint32(max(0, now-e.heard) / time.Millisecond)
		records = append(records, r)
	}
	return records
}

// Get returns the record of an id, or nil.
func (t *Table) Get(id string) *pb.UpstreamRecord {
	if e := t.entries[id]; e != nil {
		return e.record
	}
	return nil
}

func clone(r *pb.UpstreamRecord) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{
		Id: r.Id, Service: r.Service, Address: r.Address, Place: r.Place, Phase: r.Phase, Stage: r.Stage,
		BornMs: r.BornMs, Sequence: r.Sequence, Slots: r.Slots, Silent: r.Silent, AgeMs: r.AgeMs, Models: r.Models,
	}
}
