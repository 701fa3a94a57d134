package feed

import (
	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// maxNumberings limits the services and versions whose numbering a hub keeps.
const maxNumberings = 1024

// numberingKey is a service and a software version.
type numberingKey struct{ service, version string }

// eventNumberings is what entries have told of how events are numbered. The hub's mu guards
// it.
type eventNumberings struct {
	numberings map[numberingKey]hubNumbering
	// numberingsChanged counts the changes.
	numberingsChanged uint64
}

// hubNumbering holds the newest of what was told.
type hubNumbering struct {
	steps, starts policy.NumberingState
	// revision is numberingsChanged after the last change.
	revision uint64
}

// mergeNumberings applies what an entry or, unless fromEntry is set, another hub knows. If
// that is news it wakes the streams to entries and, with fromEntry, those to other hubs.
func (h *Hub) mergeNumberings(list []*pb.EventNumbering, fromEntry bool) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, m := range list {
		changed = h.mergeNumbering(m) || changed
	}
	if !changed {
		return
	}
	for s := range h.subscriptions {
		if !s.allReports || fromEntry {
			s.signal()
		}
	}
}

// mergeNumbering reports whether the numbering was not known. The caller holds mu.
func (h *Hub) mergeNumbering(m *pb.EventNumbering) bool {
	key := numberingKey{m.Service, m.Version}
	next, exists := h.numberings[key]
	steps := next.steps.Merge(policy.NumberingState{Changes: m.Steps, Alone: m.StepsAlone})
	starts := next.starts.Merge(policy.NumberingState{Changes: m.Starts, Alone: m.StartsAlone})
	if !steps && !starts {
		return false
	}
	if h.numberings == nil {
		h.numberings = map[numberingKey]hubNumbering{}
	}
	if !exists && len(h.numberings) >= maxNumberings {
		// Entries that know the one that makes room keep it, and tell it to other hubs.
		for other := range h.numberings {
			delete(h.numberings, other)
			break
		}
	}
	h.numberingsChanged++
	next.revision = h.numberingsChanged
	h.numberings[key] = next
	return true
}

// numberingsSince returns what has changed after a revision, all for 0, and the revision up
// to which that is complete.
func (h *Hub) numberingsSince(revision uint64) ([]*pb.EventNumbering, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.numberingsChanged {
		return nil, revision
	}
	var list []*pb.EventNumbering
	for key, n := range h.numberings {
		if n.revision > revision {
			list = append(list, &pb.EventNumbering{
				Service: key.service, Version: key.version, Steps: n.steps.Changes, StepsAlone: n.steps.Alone,
				Starts: n.starts.Changes, StartsAlone: n.starts.Alone,
			})
		}
	}
	return list, h.numberingsChanged
}
