package policy

import "time"

const (
	// streamVersionTTL is how long it is remembered at which version a stream began.
	// Callers wait for the end of a stream for less.
	streamVersionTTL = time.Minute
	// maxStreamVersions limits the streams that are remembered. The oldest are dropped.
	maxStreamVersions = 100_000
)

// StreamVersion is the software version at which a stream began.
type StreamVersion struct {
	// ID is the id of the caller's request that brings the first event.
	ID      string
	Version string
	// Attempt is the number of the entry's attempt at the caller's request. A later one
	// replaces the earlier ones, which brought no event.
	Attempt int
	// RecordedAt is when the stream was last known to be in use.
	RecordedAt time.Duration
}

// StreamVersions remembers at which software version streams began. What engines of two
// versions write does not fit together, so a stream that broke off goes on at its own. It
// is not safe for concurrent use.
type StreamVersions struct {
	byID map[string]StreamVersion
	// order lists the records from the oldest to the newest, with those that were
	// replaced.
	order []StreamVersion
}

// Record adds a record and reports whether it tells anything new.
func (s *StreamVersions) Record(v StreamVersion, now time.Duration) bool {
	if now-v.RecordedAt > streamVersionTTL {
		return false
	}
	known, ok := s.byID[v.ID]
	if ok && (v.Attempt < known.Attempt || v.Attempt == known.Attempt && v.RecordedAt <= known.RecordedAt) {
		return false
	}
	if s.byID == nil {
		s.byID = map[string]StreamVersion{}
	}
	s.byID[v.ID] = v
	s.order = append(s.order, v)
	s.prune(now)
	return !ok || known.Version != v.Version
}

// Get returns the version at which a stream began, if that is known.
func (s *StreamVersions) Get(id string, now time.Duration) (StreamVersion, bool) {
	s.prune(now)
	v, ok := s.byID[id]
	return v, ok
}

// All returns all records.
func (s *StreamVersions) All(now time.Duration) []StreamVersion {
	s.prune(now)
	list := make([]StreamVersion, 0, len(s.byID))
	for _, v := range s.byID {
		list = append(list, v)
	}
	return list
}

func (s *StreamVersions) prune(now time.Duration) {
	n := 0
	for n < len(s.order) && (now-s.order[n].RecordedAt > streamVersionTTL || len(s.order)-n > maxStreamVersions) {
		if v := s.order[n]; s.byID[v.ID] == v {
			delete(s.byID, v.ID)
		}
		n++
	}
	s.order = s.order[n:]
}

// VersionHistory tells which software versions of a service have been in use.
type VersionHistory struct {
	seenAt map[string]time.Duration
}

// Seen records that a process of a version was in use at a time.
func (h *VersionHistory) Seen(version string, at time.Duration) {
	if h.seenAt == nil {
		h.seenAt = map[string]time.Duration{}
	}
	if known, ok := h.seenAt[version]; !ok || at > known {
		h.seenAt[version] = at
	}
}

// Versions returns the versions that have been in use for as long as a stream may last, and
// when each was last seen.
func (h *VersionHistory) Versions(now time.Duration) map[string]time.Duration {
	for v, at := range h.seenAt {
		if now-at > streamVersionTTL {
			delete(h.seenAt, v)
		}
	}
	return h.seenAt
}

// Only returns the version if no other one has been in use for as long as a stream may
// last. observed is the time for which all versions in use have been seen: a process that
// has just started may have missed some.
func (h *VersionHistory) Only(now, observed time.Duration) (version string, ok bool) {
	if observed < streamVersionTTL {
		return "", false
	}
	for v := range h.Versions(now) {
		if ok {
			return "", false
		}
		version, ok = v, true
	}
	return version, ok
}
