package entry

import (
	"encoding/json"
	"net/http"
	"net/url"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/route"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// maxAnnouncementBytes is the maximum size of an announcement. It allows about
	// 17,000 cache events of 60 bytes each.
	maxAnnouncementBytes = 1 << 20
	maxNameBytes         = 255
)

var engineRoles = map[string]pb.EngineRole{
	"prefill": pb.EngineRole_ENGINE_ROLE_PREFILL,
	"decode":  pb.EngineRole_ENGINE_ROLE_DECODE,
	"plain":   pb.EngineRole_ENGINE_ROLE_PLAIN,
}

// announce validates an announcement and forwards it to the scheduler of the
// upstream's pool.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set("X-Request-Id", id)
	a := &upstream.Announcement{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(a); err != nil {
		s.fail(w, id, newFailure(http.StatusBadRequest, CodeInvalidJSON, "decoding the announcement: %v", err))
		return
	}
	if err := validateAnnouncement(a).Err(); err != nil {
		s.fail(w, id, newFailure(http.StatusBadRequest, CodeInvalidAnnouncement, "%v", err))
		return
	}
	pool := route.PoolName(a.Service, a.Region)
	req := &pb.AnnounceRequest{Upstreams: []*pb.UpstreamState{stateOf(a)}}
	if err := s.opts.Schedulers.Announce(r.Context(), pool, req); err != nil {
		s.fail(w, id, unavailable(CodeNoScheduler, "forwarding the announcement: %v", err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func validateAnnouncement(a *upstream.Announcement) *finding.List {
	l := &finding.List{}
	for _, f := range []struct{ field, value string }{
		{"id", a.ID}, {"place", a.Place}, {"region", a.Region}, {"service", a.Service},
	} {
		if f.value == "" || len(f.value) > maxNameBytes {
			l.Addf(f.field, "must have 1 to %d bytes", maxNameBytes)
		}
	}
	if u, err := url.Parse(a.URL); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		l.Addf("url", "must be an http or https URL with a host")
	}
	role, ok := engineRoles[a.Role]
	if !ok {
		l.Addf("role", "must be prefill, decode or plain")
	}
	if ok && role != pb.EngineRole_ENGINE_ROLE_PLAIN {
		if len(a.Models) == 0 {
			l.Addf("models", "must name at least one model")
		}
		// A prefill engine reserves no decode memory.
		if a.TotalPieces == 0 && role == pb.EngineRole_ENGINE_ROLE_DECODE {
			l.Addf("total_pieces", "must be over 0 for a decode engine")
		}
		if a.PieceTokens == 0 {
			l.Addf("piece_tokens", "must be over 0")
		}
	}
	return l
}

func stateOf(a *upstream.Announcement) *pb.UpstreamState {
	state := &pb.UpstreamState{
		Id: a.ID, Generation: a.Generation, Url: a.URL, Place: a.Place, Region: a.Region, Service: a.Service,
		Role: engineRoles[a.Role], Models: a.Models, TotalPieces: a.TotalPieces, UsedPieces: a.Load.UsedPieces,
		MaxBatch: a.MaxBatch, Running: a.Load.Running, Queued: a.Load.Queued, LinkBytesPerS: a.LinkBytesPerSecond,
		PieceTokens: a.PieceTokens, KvBytesPerToken: a.KVBytesPerToken, Leaving: a.Leaving, ChecksFencing: a.ChecksFencing,
		LoadAgeMs: a.Load.AgeMillis, PrefillTokensPerS: a.PrefillTokensPerSecond, DecodeUsPerToken: a.DecodeMicrosPerToken,
	}
	for _, e := range a.CacheEvents {
		state.CacheEvents = append(state.CacheEvents, &pb.CacheEvent{Sequence: e.Sequence, PrefixHash: e.PrefixHash, Removed: e.Removed})
	}
	return state
}
