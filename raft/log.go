package raft

import (
	"github.com/pkg/errors"
)

// indexedMembership is a membership with the index of the entry that set it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// memoryLog is the part of the log that is kept in memory: the entries since
// the last compaction.
type memoryLog struct {
	// baseIndex and baseTerm are those of the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// snapshot is the metadata of the caller's newest snapshot.
	snapshot SnapshotMeta
	// stable is the last index that the caller has made durable.
	stable    uint64
	committed uint64
	// applied is the last index that the caller has applied, or the index of a
	// snapshot that replaced the log.
	applied uint64
	// memberships is in index order and never empty. The first one is in
	// effect at baseIndex.
	memberships []indexedMembership
}

func newMemoryLog(r RestoredState) (*memoryLog, error) {
	meta := r.Snapshot
	l := &memoryLog{
		baseIndex:   meta.Index,
		baseTerm:    meta.Term,
		snapshot:    meta,
		stable:      meta.Index,
		committed:   meta.Index,
		applied:     meta.Index,
		memberships: []indexedMembership{{meta.Index, meta.Membership.Clone()}},
	}
	for i := range r.Entries {
		if r.Entries[i].Index != l.lastIndex()+1 {
			return nil, errors.Errorf("restoring raft log: gap or overlap, entry %d follows entry %d", r.Entries[i].Index, l.lastIndex())
		}
		if r.Entries[i].Term < l.lastTerm() || r.Entries[i].Term > r.HardState.Term {
			return nil, errors.Errorf("restoring raft log: entry %d has term %d, want at least the previous entry's term %d and at most the member's term %d",
				r.Entries[i].Index, r.Entries[i].Term, l.lastTerm(), r.HardState.Term)
		}
		if err := l.append(r.Entries[i]); err != nil {
			return nil, err
		}
	}
	l.stable = l.lastIndex()
	if r.HardState.Commit > l.lastIndex() {
		return nil, errors.Errorf("restoring raft log: commit index %d is higher than the last entry's index %d", r.HardState.Commit, l.lastIndex())
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

// term returns the term of the entry at index, or false if the entry was
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

// slice returns the entries from..to, both included. It returns fewer when their
// data exceeds maxBytes, but at least one.
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

// append adds one entry and, for EntryMembership, records the membership.
func (l *memoryLog) append(e Entry) error {
	if e.Type == EntryMembership {
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return errors.Wrapf(err, "appending entry %d", e.Index)
		}
		l.memberships = append(l.memberships, indexedMembership{e.Index, m})
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncateFrom removes the entries from index on. It also limits the capacity of
// the rest, because later appends must not overwrite the memory of slices that
// were returned earlier.
func (l *memoryLog) truncateFrom(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge adds the leader's entries, of which the first one follows an entry that
// matches. It truncates the log only at a conflict, because a delayed message
// may end before the log does. The caller has checked that the entries lie after
// the committed ones.
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

// membership returns the latest membership, committed or not.
func (l *memoryLog) membership() Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// membershipIndex returns the index of the entry that set the latest membership.
func (l *memoryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

// membershipAt returns the membership in effect at index.
func (l *memoryLog) membershipAt(index uint64) Membership {
	current := l.memberships[0].membership
	for _, at := range l.memberships {
		if at.index > index {
			break
		}
		current = at.membership
	}
	return current
}

// compact removes the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	at := indexedMembership{index, l.membershipAt(index)}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
	kept := []indexedMembership{at}
	for _, m := range l.memberships {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	l.memberships = kept
}

// restore replaces the whole log with a snapshot that the next Ready returns. Its
// index counts as stable and applied at once.
func (l *memoryLog) restore(meta SnapshotMeta) {
	*l = memoryLog{
		baseIndex:   meta.Index,
		baseTerm:    meta.Term,
		snapshot:    meta,
		stable:      meta.Index,
		committed:   meta.Index,
		applied:     meta.Index,
		memberships: []indexedMembership{{meta.Index, meta.Membership.Clone()}},
	}
}

// upToDate reports whether a log that ends with (index, term) is at least as
// up-to-date as this one, in the sense of section 5.4.1 of the Raft paper.
func (l *memoryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// findConflictByTerm returns the index and term of the last entry at or before
// index whose term is at most term. Leader and follower use it to skip a whole
// term after a rejected append, instead of one entry at a time.
func (l *memoryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
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
