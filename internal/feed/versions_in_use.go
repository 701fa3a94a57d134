package feed

import (
	"context"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// serveVersionsInUse notes versions at which streams are about to begin, and lists those of a
// service that have been in use of late.
func (h *Hub) serveVersionsInUse(ctx context.Context, req *pb.VersionsInUseRequest) (*pb.VersionsInUseResponse, error) {
	if req.Noted != nil {
		h.mu.Lock()
		h.seeServiceVersions([]*pb.ServiceVersion{req.Noted})
		h.mu.Unlock()
	}
	resp := &pb.VersionsInUseResponse{Versions: h.versionsInUse(req.Service)}
	if req.AllHubs {
		h.askOthersInUse(ctx, req, resp)
	}
	return resp, nil
}

// versionsInUse returns the versions of a service that have been in use of late; none for no
// service.
func (h *Hub) versionsInUse(service string) (list []*pb.ServiceVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	history := h.byService[service]
	if history == nil {
		return nil
	}
	for version, at := range history.Versions(h.now()) {
		list = append(list, fleet.EncodeServiceVersion(version, at, h.now()))
	}
	return list
}

// askOthersInUse passes a request on to all other hubs until a majority has answered, and adds
// their versions to the response.
func (h *Hub) askOthersInUse(ctx context.Context, req *pb.VersionsInUseRequest, resp *pb.VersionsInUseResponse) {
	others, hubs := h.otherHubs()
	resp.Answered, resp.Hubs = 1, uint32(hubs)
	answers := make(chan *pb.VersionsInUseResponse, len(others))
	for _, client := range others {
		go func() {
			// It goes on after a majority has answered, so that all hubs in reach note the versions.
			ctx, cancel := context.WithTimeout(h.ctx, otherHubsTimeout)
			defer cancel()
			answer := &pb.VersionsInUseResponse{}
			if client.Call(ctx, transport.MethodVersionsInUse, &pb.VersionsInUseRequest{Noted: req.Noted, Service: req.Service}, answer) != nil {
				// A hub out of reach doesn't count as one that has answered.
				answer = nil
			}
			answers <- answer
		}()
	}
	for range others {
		if 2*resp.Answered > resp.Hubs {
			return
		}
		select {
		case answer := <-answers:
			if answer != nil {
				resp.Answered++
				resp.Versions = append(resp.Versions, answer.Versions...)
			}
		case <-ctx.Done():
			return
		}
	}
}

// NoteVersions tells the hubs of versions at which streams are about to begin, and reports whether
// a majority of them has noted that they are in use.
func (s *Subscriber) NoteVersions(ctx context.Context, v policy.RunVersions) bool {
	_, noted := s.callVersionsInUse(ctx, &pb.VersionsInUseRequest{Noted: fleet.EncodeServiceVersion(v, 0, 0), AllHubs: true})
	return noted
}

// VersionsInUse returns the versions of a service that a majority of the hubs knows to have been in
// use of late. ok is false if no majority has answered.
func (s *Subscriber) VersionsInUse(ctx context.Context, service string) (list []*pb.ServiceVersion, ok bool) {
	resp, ok := s.callVersionsInUse(ctx, &pb.VersionsInUseRequest{Service: service, AllHubs: true})
	return resp.GetVersions(), ok
}

// callVersionsInUse asks the hubs to which the subscriber is attached, and returns the first answer
// for which a majority has been asked. While all of them are of earlier builds, which don't know
// the method, it returns an empty one.
func (s *Subscriber) callVersionsInUse(ctx context.Context, req *pb.VersionsInUseRequest) (*pb.VersionsInUseResponse, bool) {
	s.mu.Lock()
	attached := len(s.streams)
	var clients []*transport.Client
	for _, c := range s.streams {
		if protocol.Of(c.Peer()).KeepsAtMajority() {
			clients = append(clients, c)
		}
	}
	s.mu.Unlock()
	if len(clients) == 0 {
		return nil, attached > 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *pb.VersionsInUseResponse, len(clients))
	for _, c := range clients {
		go func() {
			resp := &pb.VersionsInUseResponse{}
			if c.Call(ctx, transport.MethodVersionsInUse, req, resp) != nil {
				resp = nil
			}
			answers <- resp
		}()
	}
	for range clients {
		if resp := <-answers; 2*resp.GetAnswered() > resp.GetHubs() {
			return resp, true
		}
	}
	return nil, false
}
