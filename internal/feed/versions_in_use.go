package feed

import (
	"context"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// serveVersionsInUse notes versions at which streams are about to begin, and lists those of a
// service that have been in use of late. It answers another hub once what it notes is on the disk.
func (h *Hub) serveVersionsInUse(ctx context.Context, req *pb.VersionsInUseRequest) (*pb.VersionsInUseResponse, error) {
	if req.Noted != nil {
		h.mu.Lock()
		h.seeServiceVersions([]*pb.ServiceVersion{req.Noted})
		h.mu.Unlock()
	}
	if !req.AllHubs {
		return h.answerVersionsInUse(ctx, req)
	}
	return h.askAllInUse(ctx, req), nil
}

// answerVersionsInUse returns the versions that this hub knows, once what it has noted is stored.
func (h *Hub) answerVersionsInUse(ctx context.Context, req *pb.VersionsInUseRequest) (*pb.VersionsInUseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, otherHubsTimeout)
	defer cancel()
	if req.Noted != nil {
		if err := h.storeHistory(ctx); err != nil {
			return nil, err
		}
	}
	return &pb.VersionsInUseResponse{Versions: h.versionsInUse(req.Service)}, nil
}

// storeHistory returns nil once the versions in use are on the disk.
func (h *Hub) storeHistory(ctx context.Context) error {
	if h.opts.StreamLog == nil {
		return errNoDisk
	}
	result := make(chan error, 1)
	if err := h.opts.StreamLog.StoreHistory(func(err error) { result <- err }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the disk")
	}
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

// askAllInUse passes a request on to all hubs, this one included, and returns what they answer until
// a majority has.
func (h *Hub) askAllInUse(ctx context.Context, req *pb.VersionsInUseRequest) *pb.VersionsInUseResponse {
	others, hubs := h.otherHubs()
	resp := &pb.VersionsInUseResponse{Hubs: uint32(hubs)}
	if hubs == 0 {
		return resp
	}
	req = &pb.VersionsInUseRequest{Noted: req.Noted, Service: req.Service}
	answers := make(chan *pb.VersionsInUseResponse, hubs)
	ask := func(call func(context.Context) (*pb.VersionsInUseResponse, error)) {
		// It goes on after a majority has answered, so that all hubs in reach note the versions.
		ctx, cancel := context.WithTimeout(h.ctx, otherHubsTimeout)
		defer cancel()
		answer, err := call(ctx)
		if err != nil {
			// A hub out of reach doesn't count as one that has answered.
			answer = nil
		}
		answers <- answer
	}
	go ask(func(ctx context.Context) (*pb.VersionsInUseResponse, error) { return h.answerVersionsInUse(ctx, req) })
	for _, client := range others {
		go ask(func(ctx context.Context) (*pb.VersionsInUseResponse, error) {
			answer := &pb.VersionsInUseResponse{}
			return answer, client.Call(ctx, transport.MethodVersionsInUse, req, answer)
		})
	}
	for range 1 + len(others) {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			resp.Answered++
			resp.Versions = append(resp.Versions, answer.Versions...)
		case <-ctx.Done():
			return resp
		}
		if 2*resp.Answered > resp.Hubs {
			return resp
		}
	}
	return resp
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
