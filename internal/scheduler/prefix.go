package scheduler

import (
	"slices"
	"sync"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// minIndexed and maxIndexed bound the prefixes indexed for one engine.
	minIndexed = 256
	maxIndexed = 4096
	// trustAfter is the number of consecutive events after a gap from which
	// the index of an engine is believed again.
	trustAfter = 16
	// hintPart is the part of a cached prefix that counts while the index is
	// only a hint.
	hintPart = 0.5
)

// prefixTable is the index of the prompt prefixes in the engines' caches.
type prefixTable struct {
	mu     sync.Mutex
	byHash map[uint64][]*member
}

// prefixState is one engine's part of the index.
type prefixState struct {
	// sequence of the last cache event.
	sequence uint64
	started  bool
	// run counts consecutive events since the last gap.
	run int
	// hint is set while events were lost and the index may be wrong.
	hint bool
	// order lists indexed hashes, oldest first, to bound their number.
	order []uint64
}

// cachedPrefix is the number of leading pieces that an engine has cached.
type cachedPrefix struct {
	m      *member
	pieces int
}

// apply takes over cache events. Repeated events are ignored; a gap makes the
// engine's index a hint until events arrive consistently again.
func (t *prefixTable) apply(m *member, events []*pb.CacheEvent) {
	s := &m.prefix
	for _, e := range events {
		if s.started && e.Sequence <= s.sequence {
			continue
		}
		if s.started && e.Sequence != s.sequence+1 {
			s.hint = true
			s.run = 0
		}
		s.started = true
		s.sequence = e.Sequence
		s.run++
		if s.run >= trustAfter {
			s.hint = false
		}
		if e.Removed {
			t.remove(m, e.PrefixHash)
			continue
		}
		t.insert(m, e.PrefixHash)
	}
}

// remember indexes the prefixes of a prompt whose prefill finished, ahead of
// the engine's own event.
func (t *prefixTable) remember(m *member, hashes []uint64) {
	for _, h := range hashes {
		t.insert(m, h)
	}
}

func (t *prefixTable) insert(m *member, hash uint64) {
	list := t.byHash[hash]
	if slices.Contains(list, m) {
		return
	}
	t.byHash[hash] = append(list, m)
	s := &m.prefix
	s.order = append(s.order, hash)
	limit := min(max(2*m.view.TotalPieces, minIndexed), maxIndexed)
	for len(s.order) > limit {
		t.unlink(m, s.order[0])
		s.order = s.order[1:]
	}
}

func (t *prefixTable) remove(m *member, hash uint64) {
	if !t.unlink(m, hash) {
		return
	}
	if i := slices.Index(m.prefix.order, hash); i >= 0 {
		m.prefix.order = slices.Delete(m.prefix.order, i, i+1)
	}
}

func (t *prefixTable) unlink(m *member, hash uint64) bool {
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
func (t *prefixTable) forget(m *member) {
	for _, h := range m.prefix.order {
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
