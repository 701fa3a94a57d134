package scheduler

import (
	"slices"
	"sync"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// minIndexed and maxIndexed bound the number of prefixes indexed for one
	// engine.
	minIndexed = 256
	maxIndexed = 4096
	// minConsecutiveEvents is the number of consecutive events after a gap from
	// which on an engine's index is reliable again.
	minConsecutiveEvents = 16
	// unreliablePart is the part of a cached prefix that counts while the index
	// is unreliable.
	unreliablePart = 0.5
)

// prefixTable is the index of the prompt prefixes in the engines' caches.
type prefixTable struct {
	mu     sync.Mutex
	byHash map[uint64][]*upstreamRecord
}

// prefixState is one engine's part of the index.
type prefixState struct {
	// sequence is the number of the last cache event, valid if hasSequence is
	// set.
	sequence    uint64
	hasSequence bool
	// consecutive counts the events since the last gap.
	consecutive int
	// unreliable is set while the index may be wrong because events were lost.
	unreliable bool
	// insertionOrder lists the indexed hashes, oldest first, to bound their
	// number.
	insertionOrder []uint64
}

// cachedPrefix is the number of leading pieces of a prompt that an engine has
// cached.
type cachedPrefix struct {
	m      *upstreamRecord
	pieces int
}

// applyEvents applies cache events. Repeated events are ignored. After a gap
// the engine's index is unreliable until minConsecutiveEvents have arrived.
func (t *prefixTable) applyEvents(m *upstreamRecord, events []*pb.CacheEvent) {
	s := &m.prefix
	for _, e := range events {
		if s.hasSequence && e.Sequence <= s.sequence {
			continue
		}
		if s.hasSequence && e.Sequence != s.sequence+1 {
			s.unreliable = true
			s.consecutive = 0
		}
		s.hasSequence = true
		s.sequence = e.Sequence
		s.consecutive++
		if s.consecutive >= minConsecutiveEvents {
			s.unreliable = false
		}
		if e.Removed {
			t.remove(m, e.PrefixHash)
			continue
		}
		t.insert(m, e.PrefixHash)
	}
}

// insertAll indexes the prefixes of a prompt whose prefill finished, before the
// engine's own events arrive.
func (t *prefixTable) insertAll(m *upstreamRecord, hashes []uint64) {
	for _, h := range hashes {
		t.insert(m, h)
	}
}

func (t *prefixTable) insert(m *upstreamRecord, hash uint64) {
	list := t.byHash[hash]
	if slices.Contains(list, m) {
		return
	}
	t.byHash[hash] = append(list, m)
	s := &m.prefix
	s.insertionOrder = append(s.insertionOrder, hash)
	limit := min(max(2*m.view.TotalPieces, minIndexed), maxIndexed)
	for len(s.insertionOrder) > limit {
		t.unlink(m, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
}

func (t *prefixTable) remove(m *upstreamRecord, hash uint64) {
	if !t.unlink(m, hash) {
		return
	}
	if i := slices.Index(m.prefix.insertionOrder, hash); i >= 0 {
		m.prefix.insertionOrder = slices.Delete(m.prefix.insertionOrder, i, i+1)
	}
}

func (t *prefixTable) unlink(m *upstreamRecord, hash uint64) bool {
	list := t.byHash[hash]
	i := slices.Index(list, m)
	if i < 0 {
		return false
	}
	if len(list) == 1 {
		delete(t.byHash, hash)
		return true
	}
	t.byHash[hash] = slices.Delete(list, i, i+1)
	return true
}

// forget removes an engine from the index.
func (t *prefixTable) forget(m *upstreamRecord) {
	for _, h := range m.prefix.insertionOrder {
		t.unlink(m, h)
	}
	m.prefix = prefixState{}
}

// lookup returns the engines that have leading pieces of a prompt cached. It
// stops at the first piece that no engine has.
func (t *prefixTable) lookup(hashes []uint64, out []cachedPrefix) []cachedPrefix {
	out = out[:0]
	for i, h := range hashes {
		found := false
		for _, m := range t.byHash[h] {
			if i == 0 {
				out = append(out, cachedPrefix{m: m, pieces: 1})
				found = true
				continue
			}
			for j := range out {
				if out[j].m == m && out[j].pieces == i {
					out[j].pieces++
					found = true
				}
			}
		}
		if !found {
			break
		}
	}
	return out
}
