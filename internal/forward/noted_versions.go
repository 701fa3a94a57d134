package forward

import (
	"context"
	"maps"
	"time"

	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

const (
	// noteInterval is the time after which versions are noted again, and noteValidity the time for
	// which hubs know them at least: they list what was in use in the last minute, and a stream
	// that has begun at them may still be taken up.
	noteInterval = 15 * time.Second
	noteValidity = 40 * time.Second
	// noteRetryInterval is the time after a failed try in which no other one is made.
	noteRetryInterval = 50 * time.Millisecond
	// maxNoted limits the versions that are kept.
	maxNoted = 1024
)

// notedVersions tells at which versions streams of this entry may begin: a majority of the hubs
// knows that they are in use. Otherwise an entry that takes such a stream up, and finds no record
// of it, might take the other versions of the service for the only ones.
type notedVersions map[policy.RunVersions]*notedVersion

type notedVersion struct {
	// notedAt is when a majority had them noted last, if noted is set.
	notedAt time.Duration
	noted   bool
	// triedAt is when the last try ended, and trying is closed when the present one does.
	triedAt time.Duration
	trying  chan struct{}
}

// suffices reports whether streams may begin at versions without another try. Processes that have
// reported keep their versions known; what stands for one that has not is forgotten.
func (n *notedVersion) suffices(v policy.RunVersions, now time.Duration) bool {
	return n.noted && (!fleet.IsProcessText(v.Software) || now-n.notedAt < noteValidity)
}

// noteVersions reports whether a stream may begin at versions, after it has tried to have them
// noted by a majority of the hubs.
func (s *Server) noteVersions(ctx context.Context, v policy.RunVersions) bool {
	if s.versionSource == nil {
		return true
	}
	l := &s.streamVersions
	l.mu.Lock()
	now := s.now()
	n := l.notedVersion(v, now)
	suffices := n.suffices(v, now)
	if due := !n.noted || now-n.notedAt >= noteInterval; due && n.trying == nil && (n.triedAt == 0 || now-n.triedAt >= noteRetryInterval) {
		n.trying = make(chan struct{})
		go s.tryNote(v, n)
	}
	trying := n.trying
	l.mu.Unlock()
	if suffices || trying == nil {
		return suffices
	}
	select {
	case <-trying:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return n.suffices(v, s.now())
}

// tryNote has versions noted once, for all streams that wait for it.
func (s *Server) tryNote(v policy.RunVersions, n *notedVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), streamVersionTimeout)
	defer cancel()
	noted := s.versionSource.NoteVersions(ctx, v)
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	n.triedAt = s.now()
	if noted {
		n.noted, n.notedAt = true, n.triedAt
	}
	close(n.trying)
	n.trying = nil
}

// notedVersion returns what is known of versions. The caller holds mu.
func (l *streamVersions) notedVersion(v policy.RunVersions, now time.Duration) *notedVersion {
	if l.noted[v] == nil {
		if len(l.noted) >= maxNoted {
			l.noted.forgetProcesses(now)
		}
		if l.noted == nil || len(l.noted) >= maxNoted {
			l.noted = notedVersions{}
		}
		l.noted[v] = &notedVersion{}
	}
	return l.noted[v]
}

// forgetProcesses removes what stood for processes that had not reported.
func (l notedVersions) forgetProcesses(now time.Duration) {
	maps.DeleteFunc(l, func(v policy.RunVersions, n *notedVersion) bool {
		return fleet.IsProcessText(v.Software) && !n.suffices(v, now)
	})
}

// mayBeginAt reports whether the stream may begin at versions. If a process has reported them, it
// waits for hubs that have just started.
func (x *exchange) mayBeginAt(v policy.RunVersions) bool {
	if x.run != nil || !x.route.Repeatable() {
		// Its versions are recorded, or nobody takes it up.
		return true
	}
	if x.noteUntil.IsZero() {
		x.noteUntil = time.Now().Add(min(maxReportWait, x.remaining()/reportWaitDivisor))
	}
	for !x.s.noteVersions(x.ctx, v) {
		if fleet.IsProcessText(v.Software) || x.ctx.Err() != nil || time.Now().After(x.noteUntil) {
			return false
		}
		select {
		case <-x.ctx.Done():
		case <-time.After(noteRetryInterval):
		}
	}
	return true
}
