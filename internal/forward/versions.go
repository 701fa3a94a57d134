package forward

import (
	"context"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// StreamVersionSource tells at which versions a stream may go on that another entry served.
type StreamVersionSource interface {
	// StreamVersion returns the newest record for the id of a request that brought events
	// of the stream, without its time. known is false if nobody who could be asked knows
	// it, or the newest record does not tell the versions.
	StreamVersion(ctx context.Context, id string) (v policy.StreamVersion, known bool)
	// RecordStreamVersion keeps a record so that whoever asks for it later gets it or a newer
	// one, and reports whether it did and there is no newer one of other versions.
	RecordStreamVersion(ctx context.Context, v policy.StreamVersion) bool
	// NoteVersions reports whether whoever asks for the versions in use from now on, for about a
	// minute, gets these too.
	NoteVersions(ctx context.Context, v policy.RunVersions) bool
	// VersionsInUse returns the versions of a service that have been in use of late. ok is false if
	// some that NoteVersions has noted may be missing.
	VersionsInUse(ctx context.Context, service string) (list []*pb.ServiceVersion, ok bool)
	// VersionsObserved returns the time for which all versions in use are known, up to now;
	// 0 if they are not.
	VersionsObserved() time.Duration
	// ReportsArrive reports whether the reports of all upstreams arrive.
	ReportsArrive() bool
	// LastReport returns the start of the process whose report is the newest one under an id, in
	// Unix milliseconds, and the time since it arrived at a hub. known is false if nobody who
	// could be asked has one.
	LastReport(ctx context.Context, id string) (bornMs int64, age time.Duration, known bool)
}

const (
	// streamVersionTimeout limits the wait for the answer of a StreamVersionSource.
	streamVersionTimeout = 250 * time.Millisecond
	// reportTimeout limits the time for which the first event of a stream waits until its
	// record was sent.
	reportTimeout = 20 * time.Millisecond
	// maxUnreported limits the records that wait for a report.
	maxUnreported = 4096
	// maxRecordedEventID limits, in bytes, the ids of events in records.
	maxRecordedEventID = 64
	// takeUpStep is added to the number of a stream's record by each request that takes the
	// stream up, so that an earlier answer that goes on does not replace its records.
	takeUpStep = 1 << 10
)

// streamVersions is what the entry knows about the versions of streams. A stream is recorded
// when its first event has arrived, and the record is sent before the event is passed on.
type streamVersions struct {
	mu    sync.Mutex
	known policy.StreamVersions
	// unreported waits for the next report to the hubs.
	unreported []policy.StreamVersion
	// recorded, taken and reported count the records that were made, were taken for a
	// report, and were sent. sent is closed when reported increases. dueSince is the time
	// since which there have been records that were not sent.
	recorded, taken, reported uint64
	sent                      chan struct{}
	dueSince                  time.Duration
	// history is kept by service.
	history map[string]*policy.VersionHistory
	// lateReports are the reports of processes that streams had begun at before, by process
	// text.
	lateReports map[string]*pb.UpstreamRecord
	noted       notedVersions
}

// SetStreamVersionSource makes the server ask src at which versions a stream may go on. It
// must be called before the first request.
func (s *Server) SetStreamVersionSource(src StreamVersionSource) { s.versionSource = src }

// recordStream records v under the ids of requests that bring events of a stream. It returns
// the number to wait for with awaitReport.
func (s *Server) recordStream(ids []string, v policy.StreamVersion) uint64 {
	l := &s.streamVersions
	l.mu.Lock()
	if l.recorded == l.reported {
		l.dueSince = s.now()
	}
	if len(l.unreported) >= maxUnreported {
		// No hub is attached. The next one is sent all that is known.
		l.unreported = nil
	}
	first := v.First
	for _, id := range ids {
		v.ID, v.First, v.RecordedAt = id, "", s.now()
		if id != first {
			v.First = first
		}
		l.known.Record(v, s.now())
		l.unreported = append(l.unreported, v)
		l.recorded++
	}
	// A response may state weights that no report has named, or come from a process that has not
	// reported.
	if fleet.IsProcessText(v.Versions.Software) || v.Versions.Model != "" || v.Versions.Weights != "" {
		l.seen(v.Versions, s.now())
	}
	n := l.recorded
	l.mu.Unlock()
	s.reportNow.signal()
	return n
}

// awaitReport waits until a record was sent to the hubs, but not for long, and not while
// no records are being sent.
func (s *Server) awaitReport(ctx context.Context, n uint64) {
	if s.versionSource == nil || !s.versionSource.ReportsArrive() {
		return
	}
	timeout := time.NewTimer(reportTimeout)
	defer timeout.Stop()
	l := &s.streamVersions
	for {
		l.mu.Lock()
		if l.reported >= n || s.now()-l.dueSince > reportTimeout {
			l.mu.Unlock()
			return
		}
		if l.sent == nil {
			l.sent = make(chan struct{})
		}
		sent := l.sent
		l.mu.Unlock()
		select {
		case <-sent:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Reported is called when what Outcomes returned has been sent to all hubs.
func (s *Server) Reported() {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported, l.dueSince = l.taken, s.now()
	if l.sent != nil {
		close(l.sent)
		l.sent = nil
	}
}

func (s *Server) takeStreamVersions() []*pb.StreamVersion {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	list := s.encodeStreamVersions(l.unreported)
	l.unreported, l.taken = nil, l.recorded
	return list
}

// StreamVersions returns the versions of the streams that the entry has served of late.
func (s *Server) StreamVersions() []*pb.StreamVersion {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.encodeStreamVersions(l.known.All(s.now()))
}

func (s *Server) encodeStreamVersions(list []policy.StreamVersion) []*pb.StreamVersion {
	var out []*pb.StreamVersion
	for _, v := range list {
		out = append(out, fleet.EncodeStreamVersion(v, s.now()))
	}
	return out
}

// seeVersions adds the versions of reported processes to the history of their services.
func (s *Server) seeVersions(records []*pb.UpstreamRecord) {
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		for _, v := range fleet.AllRunVersions(r) {
			l.seen(v, s.now())
		}
		l.noteLateReport(r)
		if fleet.LacksWeights(r) {
			l.history[r.Service].SeenUnknown(s.now())
		}
	}
}

// SetServiceVersions adds versions that hubs know to have been in use.
func (s *Server) SetServiceVersions(list []*pb.ServiceVersion) {
	// A hub may not have got the report of a process yet that this entry has.
	reported := map[string]bool{}
	for _, t := range s.upstreams.all() {
		reported[fleet.ProcessText(t.id, t.bornMs)] = t.bornMs != 0
	}
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range list {
		v, at := fleet.DecodeServiceVersion(m, s.now())
		if !reported[v.Software] {
			l.seen(v, at)
		}
	}
}

// seen adds versions to the history of their service. The caller holds mu.
func (l *streamVersions) seen(v policy.RunVersions, at time.Duration) {
	if l.history == nil {
		l.history = map[string]*policy.VersionHistory{}
	}
	if l.history[v.Service] == nil {
		l.history[v.Service] = &policy.VersionHistory{}
	}
	l.history[v.Service].Seen(v, at)
}

// onlyVersions returns the versions for a model at a service's upstreams if there have been
// no others for as long as a stream may last, as far as is known for sure.
func (s *Server) onlyVersions(service, model string) (policy.RunVersions, bool) {
	if s.versionSource == nil {
		return policy.RunVersions{}, false
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
		return policy.RunVersions{}, false
	}
	return h.Only(model, s.now(), observed)
}

// onlyVersions returns the only versions at which a stream of a service can have begun. Those of a
// process that has reported to other hubs, or not at all, are known to a majority of them.
func (x *exchange) onlyVersions(service string) (only policy.RunVersions, ok bool) {
	if only, ok = x.s.onlyVersions(service, x.info.Model); !ok {
		return only, false
	}
	ctx, cancel := context.WithTimeout(x.ctx, streamVersionTimeout)
	defer cancel()
	list, ok := x.s.versionSource.VersionsInUse(ctx, service)
	if !ok {
		return only, false
	}
	x.s.SetServiceVersions(list)
	return x.s.onlyVersions(service, x.info.Model)
}

// versionSources for the log line of a run.
const (
	versionsFromOwnRecord = "own"
	versionsFromHubs      = "hubs"
	versionsOfOnly        = "only"
)

// reasonVersionsNotNoted is the reason of a stream that has not begun, since the hubs don't know
// that versions of the upstream are in use.
const reasonVersionsNotNoted = "versions_not_noted"

// findStream returns the newest record of the stream that the caller takes up. If nobody
// knows it, but it can have begun at one service and its only versions, it has these.
func (x *exchange) findStream() (v policy.StreamVersion, known bool) {
	if id := x.info.StreamID; id != "" {
		v, known = x.findRecord(id)
		if known && v.First != "" {
			if first, knownFirst := x.findRecord(v.First); first.Attempt > v.Attempt {
				first.First = v.First
				v, known = first, knownFirst
			}
		}
		if known {
			switch {
			case v.ChangedAfter == "" || x.info.LastEventID == "":
			case !follows(x.info.LastEventID, v.ChangedAfter):
				// The caller has no event with the newer weights.
				v.Versions.Weights = v.EarlierWeights
				return v, v.EarlierWeights != ""
			case !ordered(x.info.LastEventID, v.ChangedAfter):
				// It may have one or not.
				return v, false
			}
			return v, true
		}
	}
	services, known := x.s.possibleServices(x.route)
	if !known || len(services) != 1 {
		return policy.StreamVersion{}, false
	}
	v.Versions, known = x.onlyVersions(services[0])
	x.versionsFrom = versionsOfOnly
	// What arrived after the services were read may be why all versions are known.
	again, complete := x.s.possibleServices(x.route)
	return v, known && complete && slices.Equal(again, services) && x.s.config.Load() == x.config
}

// findRecord returns the newest record under an id, which the entry or a hub has, and keeps where
// it was found.
func (x *exchange) findRecord(id string) (v policy.StreamVersion, known bool) {
	v, x.versionsFrom, known = x.lookUpRecord(id)
	return v, known
}

// lookUpRecord returns the newest record under an id and who has it.
func (x *exchange) lookUpRecord(id string) (v policy.StreamVersion, from string, known bool) {
	l := &x.s.streamVersions
	l.mu.Lock()
	v, known = l.known.Get(id, x.s.now())
	l.mu.Unlock()
	if x.s.versionSource == nil {
		return v, versionsFromOwnRecord, known
	}
	ctx, cancel := context.WithTimeout(x.ctx, streamVersionTimeout)
	defer cancel()
	if newest, knownToHub := x.s.versionSource.StreamVersion(ctx, id); newest.Attempt > v.Attempt || knownToHub && !known {
		return newest, versionsFromHubs, knownToHub
	}
	return v, versionsFromOwnRecord, known
}

const (
	// settleTime is the time after its start in which an entry may not know yet what the
	// hubs do, and settleInterval the time between its attempts to learn it.
	settleTime     = 5 * time.Second
	settleInterval = 25 * time.Millisecond
)

// awaitStream returns the record of the stream that the caller takes up. An entry that has
// just started waits for contact with the hubs, as it does for its first configuration.
func (x *exchange) awaitStream() (v policy.StreamVersion, known bool) {
	until := time.Now().Add(x.remaining() / configWaitDivisor)
	for {
		v, known = x.findStream()
		if known || x.s.versionSource == nil || x.s.versionSource.VersionsObserved() > 0 || x.s.now() > settleTime || time.Now().After(until) {
			return v, known
		}
		select {
		case <-x.ctx.Done():
			return v, false
		case <-time.After(settleInterval):
		}
	}
}

// pinStream finds the service and the versions at which a stream goes on that the caller
// takes up. If it returns false it has refused the request: they are not known, or no
// upstream has them.
func (x *exchange) pinStream() bool {
	if x.info.LastEventID == "" {
		return true
	}
	v, known := x.awaitStream()
	if !known {
		x.refuse("stream_version_unknown", x.untilKnown())
		return false
	}
	v.Versions = x.findProcess(v.Versions)
	x.run = &v.Versions
	x.recordNumber, x.firstID = v.Attempt+takeUpStep, v.First
	if x.firstID == "" && x.versionsFrom != versionsOfOnly {
		x.firstID = v.ID
	}
	// The caller may name this request next, also if it is refused.
	x.recordRun()
	if !slices.Contains(x.route.services(), v.Versions.Service) {
		x.refuse("stream_service_gone", x.capRetryAfter(streamGoneRetryAfter))
		return false
	}
	x.awaitProcess()
	if fleet.IsProcessText(x.run.Software) {
		x.refuse("stream_version_unknown", x.retryAfter())
		return false
	}
	x.service = x.config.Services[v.Versions.Service]
	if v.Versions.Model != x.info.Model || !x.versionServed() {
		x.refuse("stream_version_gone", x.capRetryAfter(streamGoneRetryAfter))
		return false
	}
	return true
}

// untilKnown returns the Retry-After of a stream that nobody knows: the time after which its
// service has had only one version for as long as a stream may last, if the caller waits that long.
// Otherwise it is refused as any request: the caller may begin anew.
func (x *exchange) untilKnown() time.Duration {
	services, known := x.s.possibleServices(x.route)
	if !known || len(services) != 1 || x.s.versionSource == nil {
		return x.retryAfter()
	}
	observed := x.s.versionSource.VersionsObserved()
	l := &x.s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history[services[0]]
	if h == nil || observed == 0 {
		return x.retryAfter()
	}
	wait, known := h.OnlyAfter(x.info.Model, x.s.now(), observed)
	if !known || wait >= time.Until(x.callerDeadline) {
		return x.retryAfter()
	}
	// capRetryAfter shortens it by up to retryAfterSpread.
	return x.capRetryAfter(time.Duration(float64(wait) / (1 - retryAfterSpread)))
}

const (
	// maxReportWait, and the caller's remaining time divided by reportWaitDivisor, limit how long
	// a take-up waits for a report. Callers leave a stream after two seconds without an event.
	maxReportWait     = time.Second
	reportWaitDivisor = 4
)

// awaitProcess waits for the report of the process that stands for the software of the stream that
// the caller takes up. It comes within seconds of the start of the process, so the caller waits for
// a while, which takes no engine, rather than try again.
func (x *exchange) awaitProcess() {
	until := time.Now().Add(min(maxReportWait, x.remaining()/reportWaitDivisor))
	for x.reportDue(x.run.Software) && time.Now().Before(until) {
		select {
		case <-x.ctx.Done():
			return
		case <-time.After(settleInterval):
		}
		x.resolveRun()
	}
}

// reportDue reports whether software is a process whose report may arrive soon. None arrives once
// a later process has reported under the id, and that of a process that tells no start takes long.
func (x *exchange) reportDue(software string) bool {
	id, bornMs, unresolved := fleet.ParseProcessText(software)
	if !unresolved || bornMs <= 0 || x.outOfContact() {
		return false
	}
	t := x.s.upstreams.get(id)
	return t == nil || t.bornMs < bornMs
}

// streamGoneRetryAfter is the Retry-After of a stream that no upstream can go on with: its
// versions have left, and come back at best with a new process.
const streamGoneRetryAfter = 5 * time.Second

// versionServed reports whether an upstream with the versions of the stream takes requests.
func (x *exchange) versionServed() bool {
	if x.run == nil {
		return true
	}
	for _, t := range x.s.upstreams.list(x.service.Name) {
		t.mu.Lock()
		serves := x.run.MayGoOnAt(fleet.RunVersions(t.record, x.info.Model)) && t.record.Phase == pb.UpstreamPhase_UPSTREAM_READY && t.record.Stage == engineStage(x.service) &&
			!t.misdirected && !t.stated.Leaving
		t.mu.Unlock()
		if serves && !t.processDoubtful() {
			return true
		}
	}
	return false
}

// fitsVersion reports whether a target may serve the stream. A process that starts again
// under its id may run other software; without contact with a hub no report tells.
func (x *exchange) fitsVersion(t *target) bool {
	return x.run == nil || x.run.MayGoOnAt(fleet.RunVersions(t.currentRecord(), x.info.Model)) && !(t.mayHaveRestarted(x.s.now()) && x.outOfContact()) && !t.processDoubtful()
}

// likelyFits reports whether a target has the weights of the stream, as far as the process has
// stated any. Schedulers of builds before protocol.RunVersions choose by software alone.
func (x *exchange) likelyFits(t *target) bool {
	filter := upstreamFilter{run: x.run}
	return filter.likely(t, x.s.now())
}

// outOfContact reports whether no reports of upstreams arrive.
func (x *exchange) outOfContact() bool {
	return x.s.versionSource == nil || !x.s.versionSource.ReportsArrive()
}

// versionsOf returns the versions of the run that a response comes from. An upstream that
// was asked for a version of its weights rejects the request if it has another one.
func (x *exchange) versionsOf(res *upstreamResponse) policy.RunVersions {
	v := x.processVersions(res.target, res.conn)
	switch {
	case res.info.Weights != "":
		v.Weights = res.info.Weights
	case res.expectedWeights != "":
		v.Weights = res.expectedWeights
	}
	return v
}

// recordRun records the versions of the stream under the ids of this request, of the one
// that the caller takes up and of the first one, and returns the number to wait for.
func (x *exchange) recordRun() uint64 {
	ids := []string{x.info.ID}
	// A new stream, and versions that were not found under the id, tell nothing about what the
	// id names.
	if x.info.LastEventID != "" && x.versionsFrom != versionsOfOnly {
		ids = append(ids, x.info.StreamID, x.firstID)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return x.s.recordStream(ids, policy.StreamVersion{
		First: x.firstID, Versions: *x.run, Attempt: x.recordNumber, ChangedAfter: x.changedAfter, EarlierWeights: x.earlierWeights,
	})
}

// admitVersions reports whether an event of a run with the versions v may be relayed, and
// ties the rest of the stream to them. first is set for the first event of the run. Weights
// may change later in a run: the engine itself goes on with the text that it has written.
// Nobody else must go back to the weights that it has left, so the event waits until a
// majority of the hubs knows the change. last is the id of the event before: a caller that
// has no later one can go on at the earlier weights.
func (x *exchange) admitVersions(v policy.RunVersions, first bool, last string) bool {
	switch {
	case x.run == nil && !x.mayBeginAt(v):
		x.reason = reasonVersionsNotNoted
		return false
	case x.run == nil:
		x.run, x.recordNumber, x.firstID = &v, 1, x.info.ID
		n := x.recordRun()
		if x.route.Repeatable() {
			x.s.awaitReport(x.ctx, n)
		}
		return true
	case v == *x.run:
		return true
	case first:
		x.reason = "other_versions"
		return false
	}
	before, changedAfter, earlier := *x.run, x.changedAfter, x.earlierWeights
	x.run, x.changedAfter, x.earlierWeights = &v, "", ""
	if utf8.ValidString(last) && len(last) <= maxRecordedEventID {
		x.changedAfter, x.earlierWeights = last, before.Weights
	}
	if changedAfter != "" {
		// The caller may lack the change before too, and then has text of other weights.
		x.earlierWeights = ""
	}
	x.recordNumber++
	x.recordRun()
	if !x.route.Repeatable() || x.recordConfirmed() {
		return true
	}
	x.run, x.changedAfter, x.earlierWeights = &before, changedAfter, earlier
	x.recordNumber++
	x.recordRun()
	x.reason = "weights_not_recorded"
	return false
}

// recordConfirmed has the newest record of the stream kept where all who take it up find it,
// under the id that each of its records names.
func (x *exchange) recordConfirmed() bool {
	if x.s.versionSource == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(x.ctx, streamVersionTimeout)
	defer cancel()
	v := policy.StreamVersion{ID: x.info.ID, Versions: *x.run, Attempt: x.recordNumber, ChangedAfter: x.changedAfter, EarlierWeights: x.earlierWeights}
	if x.firstID != "" {
		v.ID = x.firstID
	}
	return x.s.versionSource.RecordStreamVersion(ctx, v)
}
