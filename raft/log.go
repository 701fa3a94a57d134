package raft

import (
	"github.com/pkg/errors"
)

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// memoryLog holds the entries since the last compaction.
type memoryLog struct {
	// baseIndex and baseTerm name the entry before the first one held.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// snapshot describes the newest snapshot of the caller.
	snapshot SnapshotMeta
	// stable is the last index that the caller made durable.
	stable    uint64
	committed uint64
	// handedOut is the last index given to the caller to apply.
	handedOut uint64
	// memberships is in index order and never empty; the first one is in
	// force at baseIndex.
	memberships []membershipAt
}

func newMemoryLog(r Restored) (*memoryLog, error) {
	meta := r.Snapshot
	l := &memoryLog{
		baseIndex:   meta.Index,
		baseTerm:    meta.Term,
		snapshot:    meta,
		stable:      meta.Index,
		committed:   meta.Index,
		handedOut:   meta.Index,
		memberships: []membershipAt{{meta.Index, meta.Membership.Clone()}},
	}
	for i := range r.Entries {
		if r.Entries[i].Index != l.lastIndex()+1 {
			return nil, errors.Errorf("restoring raft log: entry %d follows entry %d", r.Entries[i].Index, l.lastIndex())
		}
		if r.Entries[i].Term < l.lastTerm() || r.Entries[i].Term > r.HardState.Term {
			return nil, errors.Errorf("restoring raft log: entry %d has term %d after term %d, member term %d",
				r.Entries[i].Index, r.Entries[i].Term, l.lastTerm(), r.HardState.Term)
		}
		if err := l.append(r.Entries[i]); err != nil {
			return nil, err
		}
	}
	l.stable = l.lastIndex()
	if r.HardState.Commit > l.lastIndex() {
		return nil, errors.Errorf("restoring raft log: commit index %d is after the last entry %d", r.HardState.Commit, l.lastIndex())
	}
	l.committed = max(l.committed, r.HardState.Commit)
	return l, nil
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false when the entry was
// compacted or doesn't exist.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries in [from, to], limited to maxBytes of data but at
// least one entry.
func (l *memoryLog) slice(from, to, maxBytes uint64) []Entry {
	if from > to {
		return nil
	}
	entries := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	var size uint64
	for i := range entries {
		size += uint64(len(entries[i].Data))
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// append adds one entry and records the membership that it sets.
func (l *memoryLog) append(e Entry) error {
	if e.Type == EntryMembership {
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return errors.Wrapf(err, "appending entry %d", e.Index)
		}
		l.memberships = append(l.memberships, membershipAt{e.Index, m})
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncateFrom drops the entries at and after index. Slices handed out earlier
// keep their content, because appends after it must not reuse their memory.
func (l *memoryLog) truncateFrom(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge stores the leader's entries that follow a matching entry. It only
// truncates at a conflict, because an old message may hold fewer entries than
// the log. The entries lie after the committed ones.
func (l *memoryLog) merge(entries []Entry) error {
	for i := range entries {
		e := entries[i]
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncateFrom(e.Index)
		}
		if err := l.append(e); err != nil {
			return err
		}
	}
	return nil
}

// membership returns the membership in force, committed or not.
func (l *memoryLog) membership() Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// membershipIndex returns the index of the entry that set the membership.
func (l *memoryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

// membershipBefore returns the membership in force at index.
func (l *memoryLog) membershipBefore(index uint64) Membership {
	current := l.memberships[0].membership
	for _, at := range l.memberships {
		if at.index > index {
			break
		}
		current = at.membership
	}
	return current
}

// compact drops the entries up to index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	at := membershipAt{index, l.membershipBefore(index)}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
	kept := []membershipAt{at}
	for _, m := range l.memberships {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	l.memberships = kept
}

// restore replaces the whole log by a snapshot.
func (l *memoryLog) restore(meta SnapshotMeta) {
	*l = memoryLog{
		baseIndex:   meta.Index,
		baseTerm:    meta.Term,
		snapshot:    meta,
		stable:      meta.Index,
		committed:   meta.Index,
		handedOut:   meta.Index,
		memberships: []membershipAt{{meta.Index, meta.Membership.Clone()}},
	}
}

// upToDate reports whether a log that ends at (index, term) holds at least
// what this one holds.
func (l *memoryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// lastNotAfterTerm returns the last entry at or before index whose term is at
// most term. It lets a rejected append skip a whole term.
func (l *memoryLog) lastNotAfterTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.baseIndex {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}
