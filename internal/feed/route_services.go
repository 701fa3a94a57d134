package feed

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/policy"
)

// routeHistory is what a hub knows of the services that routes have led to. The hub's mu
// guards it.
type routeHistory struct {
	services policy.RouteServices
	// current holds the routes of the document with version.
	current policy.ResumableRoutes
	version uint64
	// unknown is set while routes that were in force before version are not known, apart
	// from those before the document restored, which is 0 if there is none.
	unknown  bool
	restored uint64
	// from is the version of the first document since which no routes are missing.
	from uint64
	// generation counts the changes.
	generation uint64
}

// restoreRoutes applies what was stored before the daemon started.
func (h *Hub) restoreRoutes() {
	h.routes.unknown = h.opts.DecodeRoutes != nil && !h.opts.FirstStart
	if h.opts.Stored != nil {
		h.routes.restored = h.opts.Stored.RoutesVersion
		h.mergeRouteServices(h.opts.Stored.Routes)
	}
}

// learnRoutes compares the routes of a document with those of the one before. It is called
// with each document before the hub sends it, so that what any entry has applied is known to
// the hub that it came from. sent is set if the document is about to be sent to an entry.
func (h *Hub) learnRoutes(d corestore.Document, sent bool) {
	if h.opts.DecodeRoutes == nil || d.Version == 0 {
		return
	}
	h.mu.Lock()
	concerns := h.routes.concerns(d.Version, sent)
	h.mu.Unlock()
	if !concerns {
		return
	}
	routes, err := h.opts.DecodeRoutes(d.Body)
	if err != nil {
		// Not expected: documents are checked with the same decoder before they are stored.
		h.opts.Logger.Error().Str("event", "config.undecodable").Uint64("version", d.Version).Err(err).Msg("")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes.concerns(d.Version, sent) {
		if !h.routes.apply(d.Version, routes, err == nil, h.now()) {
			h.observedSince = h.now()
		}
		h.routesChanged()
	}
}

// concerns reports whether a document tells something about routes.
func (r *routeHistory) concerns(version uint64, sent bool) bool {
	if sent {
		return version != r.version
	}
	return version > r.version && !(r.unknown && version < r.restored)
}

// apply takes the routes of a document over. It returns false if routes may be missing that
// were in force before.
func (r *routeHistory) apply(version uint64, routes policy.ResumableRoutes, decoded bool, now time.Duration) bool {
	if version < r.version {
		// A newer document was learned while this one was about to be sent.
		r.services.Applied(routes, r.current, now)
		return decoded
	}
	r.services.Applied(r.current, routes, now)
	r.current, r.version = routes, version
	complete := true
	if r.unknown && version >= r.restored {
		complete = r.restored == version
		r.unknown, r.restored, r.from = false, 0, version
	}
	if !decoded {
		r.unknown, r.restored, complete = true, 0, false
	}
	return complete
}

// covers reports whether another hub's or the disk's knowledge up to a version, and what this
// hub has learned itself, leave no routes out.
func (r *routeHistory) covers(version uint64) bool { return !r.unknown && version >= r.from }

// mergeRouteServices applies what another daemon knows. The caller holds mu, or has not
// started the hub yet.
func (h *Hub) mergeRouteServices(list []*pb.RouteService) {
	changed := false
	for _, m := range list {
		e := policy.RouteService{Route: policy.RouteKey{Host: m.Host, Prefix: m.Prefix}, Service: m.Service, EndedAt: h.now() - milliseconds(m.AgeMs)}
		changed = h.routes.services.Ended(e, h.now()) || changed
	}
	if changed {
		h.routesChanged()
	}
}

// mergeReportedRoutes applies what an entry knows.
func (h *Hub) mergeReportedRoutes(list []*pb.RouteService) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mergeRouteServices(list)
}

// routesChanged passes the services of routes on to hubs, entries and the disk. The caller
// holds mu.
func (h *Hub) routesChanged() {
	h.routes.generation++
	for s := range h.subscriptions {
		h.signalLater(s)
	}
	if h.opts.StreamLog != nil {
		h.opts.StreamLog.HistoryChanged()
	}
}

// statedHistory is what a hub states of versions and routes in one message.
type statedHistory struct {
	versions              []*pb.ServiceVersion
	observedMs, reportsMs uint32
	// routes is empty if the receiver has those of generation.
	routes                    []*pb.RouteService
	routesVersion, generation uint64
	// complete is set if no routes are missing.
	complete bool
}

// stateHistory returns what the hub states of versions and routes to the receiver of a
// subscription. Only the sender of its messages calls it.
func (h *Hub) stateHistory(s *subscription) *statedHistory {
	st := h.statedSince(s.haveRoutes)
	s.haveRoutes = st.generation
	return st
}

// statedSince returns what the hub states to a receiver that has the routes of a generation.
func (h *Hub) statedSince(generation uint64) *statedHistory {
	h.learnRoutes(h.opts.Store.Current(), false)
	for {
		st := h.stateRoutes(generation)
		st.versions, st.observedMs, st.reportsMs = h.encodeHistory()
		if !st.complete {
			st.observedMs = 0
		}
		h.mu.Lock()
		unchanged := h.routes.generation == st.generation
		h.mu.Unlock()
		// The time must not cover routes that are missing in the list.
		if unchanged {
			return st
		}
	}
}

// stateRoutes returns the part that concerns routes.
func (h *Hub) stateRoutes(have uint64) *statedHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := &statedHistory{routesVersion: h.routes.version, generation: h.routes.generation, complete: !h.routes.unknown}
	if have == st.generation {
		return st
	}
	now := h.now()
	for _, e := range h.routes.services.All(now) {
		st.routes = append(st.routes, &pb.RouteService{Host: e.Route.Host, Prefix: e.Route.Prefix, Service: e.Service, AgeMs: remainingMs(now, e.EndedAt)})
	}
	return st
}

func (st *statedHistory) addToUpdate(u *pb.FeedUpdate) {
	u.ServiceVersions, u.ObservedMs, u.ReportsMs = st.versions, st.observedMs, st.reportsMs
	u.RouteServices, u.RoutesVersion = st.routes, st.routesVersion
}

func (st *statedHistory) addToGossip(g *pb.Gossip) {
	g.ServiceVersions, g.ObservedMs, g.ReportsMs = st.versions, st.observedMs, st.reportsMs
	g.RouteServices, g.RoutesVersion = st.routes, st.routesVersion
}

// addHistory adds to a batch what the hub knows of versions and routes.
func (h *Hub) addHistory(b *pb.StreamVersionBatch) {
	st := h.statedSince(0)
	b.ServiceVersions, b.ObservedMs, b.RouteServices, b.RoutesVersion = st.versions, st.observedMs, st.routes, st.routesVersion
}

// announcedVersion returns the highest version that another hub has announced or this one has
// learned. This daemon may be behind it although it is in contact with the leader: a member
// that needs a snapshot receives heartbeats but no entries.
func (h *Hub) announcedVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.newestVersion, h.routes.version)
}
