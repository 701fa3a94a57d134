package forward

import (
	"context"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// StreamVersionSource tells at which software version a stream began that another entry
// served.
type StreamVersionSource interface {
	// StreamVersion returns the version for the id of the request that brought the first
	// event. known is false if nobody who could be asked knows it.
	StreamVersion(ctx context.Context, id string) (version string, known bool)
	// VersionsObserved returns the time for which all software versions in use are known, up
	// to now; 0 if they are not.
	VersionsObserved() time.Duration
	// ReportsArrive reports whether the reports of all upstreams arrive.
	ReportsArrive() bool
}

// streamVersionTimeout limits the wait for the answer of a StreamVersionSource.
const streamVersionTimeout = 250 * time.Millisecond

// maxUnreported limits the versions that wait for a report.
const maxUnreported = 4096

// streamVersions is what the entry knows about the versions of streams. Each is reported
// when the request is sent that may bring the first event, so that others know it before
// the caller has an event.
type streamVersions struct {
	mu    sync.Mutex
	known policy.StreamVersions
	// unreported waits for the next report to the hubs.
	unreported []policy.StreamVersion
	// history is kept by service.
	history map[string]*policy.VersionHistory
}

// SetStreamVersionSource makes the server ask src at which version a stream began. It must
// be called before the first request.
func (s *Server) SetStreamVersionSource(src StreamVersionSource) { s.versionSource = src }

// recordStreamVersion records that a request is about to be sent that may bring the first
// event of a stream.
func (s *Server) recordStreamVersion(id, version string, attempt int) {
	l := &s.streamVersions
	l.mu.Lock()
	v := policy.StreamVersion{ID: id, Version: version, Attempt: attempt, RecordedAt: s.now()}
	l.known.Record(v, s.now())
	if len(l.unreported) >= maxUnreported {
		// No hub is attached. The next one is sent all that is known.
		l.unreported = nil
	}
	l.unreported = append(l.unreported, v)
	l.mu.Unlock()
	s.reportNow.signal()
}

func (s *Server) takeStreamVersions() []*pb.StreamVersion {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	list := s.encodeStreamVersions(l.unreported)
	l.unreported = nil
	return list
}

// StreamVersions returns the versions of the streams that the entry has begun of late.
func (s *Server) StreamVersions() []*pb.StreamVersion {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.encodeStreamVersions(l.known.All(s.now()))
}

func (s *Server) encodeStreamVersions(list []policy.StreamVersion) []*pb.StreamVersion {
	var out []*pb.StreamVersion
	for _, v := range list {
		out = append(out, &pb.StreamVersion{Id: v.ID, Version: v.Version, Attempt: uint32(v.Attempt), AgeMs: uint32((s.now() - v.RecordedAt).Milliseconds())})
	}
	return out
}

// seeVersions adds the versions of reported processes to the history of their services.
func (s *Server) seeVersions(records []*pb.UpstreamRecord) {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.seen(r.Service, r.SoftwareVersion, s.now())
	}
}

// SetServiceVersions adds versions that hubs know to have been in use.
func (s *Server) SetServiceVersions(list []*pb.ServiceVersion) {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range list {
		l.seen(v.Service, v.Version, s.now()-time.Duration(v.AgeMs)*time.Millisecond)
	}
}

// seen adds a version to the history of a service. The caller holds mu.
func (l *streamVersions) seen(service, version string, at time.Duration) {
	if l.history[service] == nil {
		l.history[service] = &policy.VersionHistory{}
	}
	l.history[service].Seen(version, at)
}

// onlyVersion returns the version of a service's upstreams if there has been no other one
// for as long as a stream may last, as far as is known for sure.
func (s *Server) onlyVersion(service string) (string, bool) {
	if s.versionSource == nil {
		return "", false
	}
	observed := s.versionSource.VersionsObserved()
	for _, t := range s.upstreams.list(service) {
		s.seeVersions([]*pb.UpstreamRecord{t.currentRecord()})
	}
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history[service]
	if h == nil {
		return "", false
	}
	return h.Only(s.now(), observed)
}

// streamVersion returns the version at which the stream began that the caller takes up.
func (x *exchange) streamVersion() (string, bool) {
	if id := x.info.StreamID; id != "" {
		l := &x.s.streamVersions
		l.mu.Lock()
		v, known := l.known.Get(id, x.s.now())
		l.mu.Unlock()
		if known {
			return v.Version, true
		}
		if x.s.versionSource != nil {
			ctx, cancel := context.WithTimeout(x.ctx, streamVersionTimeout)
			version, known := x.s.versionSource.StreamVersion(ctx, id)
			cancel()
			if known {
				return version, true
			}
		}
	}
	return x.s.onlyVersion(x.service.Name)
}

const (
	// settleTime is the time after its start in which an entry may not know yet what the
	// hubs do, and settleInterval the time between its attempts to learn it.
	settleTime     = 5 * time.Second
	settleInterval = 25 * time.Millisecond
)

// awaitStreamVersion returns the version at which the stream began that the caller takes
// up. An entry that has just started waits for contact with the hubs, as it does for its
// first configuration.
func (x *exchange) awaitStreamVersion() (version string, known bool) {
	until := time.Now().Add(x.remaining() / configWaitDivisor)
	for {
		version, known = x.streamVersion()
		if known || x.s.versionSource == nil || x.s.versionSource.VersionsObserved() > 0 || x.s.now() > settleTime || time.Now().After(until) {
			return version, known
		}
		select {
		case <-x.ctx.Done():
			return "", false
		case <-time.After(settleInterval):
		}
	}
}

// pinVersion finds the version at which a stream began that the caller takes up. If it
// returns false it has refused the request: the version is not known, so the stream might
// go on at another one, or no upstream has it.
func (x *exchange) pinVersion() bool {
	if x.info.LastEventID == "" {
		return true
	}
	version, known := x.awaitStreamVersion()
	if !known {
		x.refuse("stream_version_unknown", x.retryAfter())
		return false
	}
	x.version = &version
	if !x.versionServed() {
		x.refuse("stream_version_gone", x.capRetryAfter(streamGoneRetryAfter))
		return false
	}
	return true
}

// streamGoneRetryAfter is the Retry-After of a stream that no upstream can go on with: its
// version has left, and comes back at best with a new process.
const streamGoneRetryAfter = 5 * time.Second

// versionServed reports whether an upstream of the request's version takes requests.
func (x *exchange) versionServed() bool {
	if x.version == nil {
		return true
	}
	for _, t := range x.s.upstreams.list(x.service.Name) {
		t.mu.Lock()
		serves := t.record.SoftwareVersion == *x.version && t.record.Phase == pb.UpstreamPhase_UPSTREAM_READY && t.record.Stage == engineStage(x.service) &&
			!t.misdirected && !t.stated.Leaving
		t.mu.Unlock()
		if serves {
			return true
		}
	}
	return false
}

// fitsVersion reports whether a target may serve the stream. A process that starts again
// under its id may run other software; without contact with a hub nobody tells.
func (x *exchange) fitsVersion(t *target) bool {
	return x.version == nil || t.softwareVersion() == *x.version && !(t.mayHaveRestarted(x.s.now()) && x.outOfContact())
}

// outOfContact reports whether no reports of upstreams arrive.
func (x *exchange) outOfContact() bool {
	return x.s.versionSource == nil || !x.s.versionSource.ReportsArrive()
}

// pinVersionOf keeps the rest of a stream, whose first event a target has sent, at the
// target's version.
func (x *exchange) pinVersionOf(t *target) {
	if x.version == nil {
		version := t.softwareVersion()
		x.version = &version
	}
}

// recordVersion records the version of a stream before it is sent to a target.
func (x *exchange) recordVersion(t *target) {
	switch {
	case x.version == nil:
		x.versionsRecorded++
		x.s.recordStreamVersion(x.info.ID, t.softwareVersion(), x.versionsRecorded)
	case x.info.StreamID != "":
		// The caller may take the stream up again.
		x.s.recordStreamVersion(x.info.StreamID, *x.version, finalAttempt)
	}
}

// finalAttempt is the attempt of a stream whose version cannot change any more.
const finalAttempt = 1 << 20
