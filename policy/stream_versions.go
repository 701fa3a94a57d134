package policy

import (
	"maps"
	"slices"
	"time"
)

const (
	// streamVersionTTL is how long the versions of a stream are remembered.
	// Callers wait for the end of a stream for less.
	streamVersionTTL = time.Minute
	// maxStreamVersions limits the streams that are remembered. The oldest are dropped.
	maxStreamVersions = 100_000
)

// StreamVersion tells at which versions a stream may go on.
type StreamVersion struct {
	// ID is the id of a request of the caller that brought events of the stream.
	ID string
	// First is the id of the first of these requests, as far as is known; empty for the
	// first one. The newest record of a stream is kept under it too.
	First    string
	Versions RunVersions
	// ChangedAfter is the id of the last event before the weights changed in the middle of a
	// run, and EarlierWeights those up to it; empty if they have not. Without EarlierWeights a
	// caller that has no later event cannot go on: the weights of its text are not known.
	ChangedAfter, EarlierWeights string
	// Attempt is the number of the record. A later one replaces the earlier ones.
	Attempt int
	// RecordedAt is when the stream was last known to be in use.
	RecordedAt time.Duration
}

// StreamVersions remembers at which versions streams may go on. It is not safe for
// concurrent use.
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
	if ok && !v.replaces(known) {
		return false
	}
	if s.byID == nil {
		s.byID = map[string]StreamVersion{}
	}
	s.byID[v.ID] = v
	s.order = append(s.order, v)
	s.prune(now)
	return !ok || known.Versions != v.Versions || known.Attempt != v.Attempt
}

// replaces reports whether a record replaces another one of its id. Of two with the same
// number, one without a service may have passed a daemon that dropped the rest.
func (v StreamVersion) replaces(known StreamVersion) bool {
	whole, knownWhole := v.Versions.Service != "", known.Versions.Service != ""
	switch {
	case v.Attempt != known.Attempt:
		return v.Attempt > known.Attempt
	case whole != knownWhole:
		return whole
	}
	return v.RecordedAt > known.RecordedAt
}

// Get returns the record of a stream, if there is one.
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

// seenTolerance is the difference up to which two times count as the same: a time that
// daemons pass on to each other grows by the time of transfer.
const seenTolerance = time.Second

// VersionHistory tells which versions the upstreams of a service have had.
type VersionHistory struct {
	seenAt map[RunVersions]time.Duration
	// unknownAt is when a process was last in use whose versions are not known, if unknown is
	// set.
	unknownAt time.Duration
	unknown   bool
}

// Seen records that a process with the versions was in use at a time, and reports whether
// they were new.
func (h *VersionHistory) Seen(v RunVersions, at time.Duration) bool {
	if h.seenAt == nil {
		h.seenAt = map[RunVersions]time.Duration{}
	}
	known, ok := h.seenAt[v]
	if !ok {
		// Where versions are only recorded, nothing else removes them.
		h.Versions(at)
	}
	if !ok || at > known+seenTolerance {
		h.seenAt[v] = at
	}
	return !ok
}

// ForgetSoftware removes a software version that stood for one not known yet, and reports
// whether it was there.
func (h *VersionHistory) ForgetSoftware(software string) bool {
	seen := len(h.seenAt)
	for v := range h.seenAt {
		if v.Software == software {
			delete(h.seenAt, v)
		}
	}
	return len(h.seenAt) < seen
}

// SeenUnknown records that a process was in use at a time that may have had any versions.
func (h *VersionHistory) SeenUnknown(at time.Duration) {
	h.unknown, h.unknownAt = true, max(h.unknownAt, at)
}

// Versions returns the versions that have been in use for as long as a stream may last, and
// when each was last seen.
func (h *VersionHistory) Versions(now time.Duration) map[RunVersions]time.Duration {
	for v, at := range h.seenAt {
		if now-at > streamVersionTTL+seenTolerance {
			delete(h.seenAt, v)
		}
	}
	return h.seenAt
}

// Only returns the versions for a model if no others have been in use for as long as a
// stream may last. observed is the time for which all versions in use have been seen: a
// process that has just started may have missed some.
func (h *VersionHistory) Only(model string, now, observed time.Duration) (only RunVersions, ok bool) {
	if observed < streamVersionTTL || h.unknown && now-h.unknownAt <= streamVersionTTL+seenTolerance {
		return RunVersions{}, false
	}
	for v := range h.Versions(now) {
		v, serves := v.WithModel(model)
		if !serves || ok && v == only {
			continue
		}
		if ok {
			return RunVersions{}, false
		}
		only, ok = v, true
	}
	return only, ok
}

// OnlyAfter returns the time after which Only tells the versions for a model if no others than the
// newest are seen from now on. ok is false if none are known.
func (h *VersionHistory) OnlyAfter(model string, now, observed time.Duration) (wait time.Duration, ok bool) {
	wait = max(0, streamVersionTTL-observed)
	forgotten := func(at time.Duration) time.Duration { return at + streamVersionTTL + seenTolerance - now }
	if h.unknown {
		wait = max(wait, forgotten(h.unknownAt))
	}
	seenAt := map[RunVersions]time.Duration{}
	for v, at := range h.Versions(now) {
		v, serves := v.WithModel(model)
		if known, ok := seenAt[v]; serves && (!ok || at > known) {
			seenAt[v] = at
		}
	}
	if n := len(seenAt); n > 1 {
		wait = max(wait, forgotten(slices.Sorted(maps.Values(seenAt))[n-2]))
	}
	return wait, len(seenAt) > 0
}
