package feed

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// maxObserved limits the time for which a hub states that it knows all software versions.
// Streams are remembered for less.
const maxObserved = 10 * time.Minute

// versionHistory is what a hub knows of the software versions that have been in use. The
// hub's mu guards it.
type versionHistory struct {
	// byService holds the versions of each service.
	byService map[string]*policy.VersionHistory
	// observedSince is the time since which all versions are known, from this hub's own
	// table, that of another hub, or its disk.
	observedSince time.Duration
	// reportsSince is the time since which the table has held all upstreams.
	reportsSince time.Duration
	// restored is set once what was stored has been applied.
	restored bool
	// succeeded holds the last reports of processes that have been replaced under their ids, by
	// process text.
	succeeded map[string]*pb.UpstreamRecord
}

// restoreVersions applies what was stored before the daemon started.
func (h *Hub) restoreVersions() {
	h.byService = map[string]*policy.VersionHistory{}
	h.restoreRoutes()
	if h.opts.FirstStart {
		h.observedSince, h.reportsSince = -maxObserved, -maxObserved
	}
	if h.opts.Stored != nil {
		h.restoreLeaving(h.opts.Stored.Leaving)
		h.observedSince = min(h.observedSince, -h.opts.Stored.Observed)
		h.seeServiceVersions(h.opts.Stored.Services)
		for _, m := range h.opts.Stored.Streams {
			v, known := h.decodeRecord(m)
			if known {
				h.streamVersions.Record(v, h.now())
				h.seeStream(v)
			}
		}
	}
	h.restored = true
	if h.opts.StreamLog != nil {
		h.opts.StreamLog.SetHistory(h.addHistory)
	}
}

// seeVersions records that a process with some versions was in use, and reports whether any
// were new. The caller holds mu.
func (h *Hub) seeVersions(versions []policy.RunVersions, at time.Duration) (added bool) {
	for _, v := range versions {
		if h.hasReported(v.Software) {
			continue
		}
		if h.byService[v.Service] == nil {
			h.byService[v.Service] = &policy.VersionHistory{}
		}
		if !h.byService[v.Service].Seen(v, at) {
			continue
		}
		added = true
		if h.restored && h.opts.StreamLog != nil {
			h.opts.StreamLog.HistoryChanged()
		}
	}
	return added
}

// signalEntries wakes the streams to entries. The caller holds mu.
func (h *Hub) signalEntries() {
	for s := range h.subscriptions {
		if !s.allReports {
			s.signal()
		}
	}
}

// hasReported reports whether a software version stands for a process whose report has arrived,
// or whose software an entry has found. The caller holds mu.
func (h *Hub) hasReported(software string) bool {
	if !fleet.IsProcessText(software) {
		return false
	}
	_, found := h.streamVersions.Get(software, h.now())
	return found || h.reportOf(software) != nil
}

// reportOf returns the report of the process that a software version stands for; nil if it has
// not arrived, or the version stands for none. The caller holds mu.
func (h *Hub) reportOf(software string) *pb.UpstreamRecord {
	id, bornMs, unresolved := fleet.ParseProcessText(software)
	if !unresolved {
		return nil
	}
	if r := h.table.Get(id); r.GetBornMs() == bornMs && fleet.TellsSoftware(r) {
		return r
	}
	return h.succeeded[software]
}

// maxSucceeded limits the reports of processes that are kept beside those of their successors.
const maxSucceeded = 1024

// keepSucceeded keeps a report that another start of its process replaces, or has replaced:
// streams may go on at its software. The caller holds mu.
func (h *Hub) keepSucceeded(r *pb.UpstreamRecord) {
	if !fleet.TellsSoftware(r) {
		return
	}
	if h.succeeded == nil || len(h.succeeded) >= maxSucceeded {
		h.succeeded = map[string]*pb.UpstreamRecord{}
	}
	h.succeeded[fleet.ProcessText(r.Id, r.BornMs)] = r
}

// observe applies a report to the table. The caller holds mu.
func (h *Hub) observe(r *pb.UpstreamRecord) (changed []*pb.UpstreamRecord, accepted bool) {
	known := h.table.Get(r.Id)
	changed, accepted = h.table.Observe(r, h.now())
	switch {
	case known == nil || known.BornMs == r.BornMs:
		if accepted && r.BornMs == 0 && r.Sequence < known.GetSequence() {
			// What its predecessor has stated has the same key.
			delete(h.statements, processKey{r.Id, 0})
			delete(h.schedules, processKey{r.Id, 0})
		}
	case accepted:
		h.keepSucceeded(known)
	default:
		h.keepSucceeded(r)
	}
	return changed, accepted
}

// seeReport records the versions of a process that has reported. The caller holds mu.
func (h *Hub) seeReport(r *pb.UpstreamRecord, at time.Duration) {
	h.seeVersions(fleet.AllRunVersions(r), at)
	// It is nil if the report names its own process as the software. One without a start does
	// not tell of which process it is.
	if history := h.byService[r.Service]; history != nil && fleet.TellsSoftware(r) {
		history.ForgetSoftware(fleet.ProcessText(r.Id, r.BornMs))
	}
}

func (h *Hub) seeServiceVersions(list []*pb.ServiceVersion) {
	added := false
	for _, m := range list {
		v, at := fleet.DecodeServiceVersion(m, h.now())
		added = h.seeVersions([]policy.RunVersions{v}, at) || added
	}
	if added {
		h.signalEntries()
	}
}

// mergeHistory applies what another hub knows. The caller holds mu.
func (h *Hub) mergeHistory(g *pb.Gossip) {
	h.seeServiceVersions(g.ServiceVersions)
	h.mergeRouteServices(g.RouteServices)
	if h.routes.covers(g.RoutesVersion) {
		h.observedSince = min(h.observedSince, h.now()-milliseconds(g.ObservedMs))
	}
	h.reportsSince = min(h.reportsSince, h.now()-milliseconds(g.ReportsMs))
}

// encodeHistory returns the versions in use of late, the time for which all are known, and
// the time for which all upstreams are. Out of contact both times are 0: some upstreams may
// report to other hubs only.
func (h *Hub) encodeHistory() (versions []*pb.ServiceVersion, observedMs, reportsMs uint32) {
	quorate, members := h.opts.Store.HasQuorum(), len(h.opts.Store.Members())
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for service, history := range h.byService {
		for version, at := range history.Versions(now) {
			versions = append(versions, fleet.EncodeServiceVersion(version, at, now))
		}
		if len(history.Versions(now)) == 0 {
			delete(h.byService, service)
		}
	}
	if !h.inContact(quorate, members) {
		return versions, 0, 0
	}
	return versions, uint32(min(now-h.observedSince, maxObserved).Milliseconds()), uint32(min(now-h.reportsSince, maxObserved).Milliseconds())
}

// electionPeriod is the time after the start of a hub in which the core may have no leader
// although a majority of it runs.
const electionPeriod = 5 * time.Second

// inContact reports whether the hub knows what a majority of the hubs does. One that has
// just started needs the table of another one for that, also if it knows a leader; those of
// a majority do without one. The caller holds mu.
func (h *Hub) inContact(quorate bool, members int) bool {
	heard := 0
	for _, c := range h.remoteAttachments {
		if h.now()-c.at < attachmentCountTTL {
			heard++
		}
	}
	if quorate {
		return heard > 0 || members == 1
	}
	return h.now() < electionPeriod && heard+1 > members/2
}
