package corestore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/raft"
)

// Put stores a document if its version is higher than the stored one, and
// returns the version in force. The error is nil only if a majority has synced
// that state to disk.
func (s *Store) Put(ctx context.Context, d Document) (version uint64, err error) {
	err = s.runAtLeader(ctx, func(ctx context.Context, node *replica.Node) error {
		version, err = s.propose(ctx, node, d)
		return err
	}, func(ctx context.Context, leader *transport.Client) error {
		reply := &pb.PutDocumentReply{}
		err := leader.Call(ctx, transport.MethodPutDocument, &pb.PutDocumentRequest{Document: &pb.Document{Version: d.Version, Body: d.Body}}, reply)
		version = reply.Version
		return err
	})
	return version, err
}

// Get returns the newest document. Its version is 0 if none was ever stored.
func (s *Store) Get(ctx context.Context) (d Document, err error) {
	err = s.runAtLeader(ctx, func(ctx context.Context, node *replica.Node) error {
		d, err = s.read(ctx, node)
		return err
	}, func(ctx context.Context, leader *transport.Client) error {
		reply := &pb.GetDocumentReply{}
		err := leader.Call(ctx, transport.MethodGetDocument, &pb.GetDocumentRequest{}, reply)
		if reply.Document != nil {
			d = Document{Version: reply.Document.Version, Body: reply.Document.Body}
		}
		return err
	})
	return d, err
}

// runAtLeader calls local if this member leads, and otherwise remote with a
// session to the leader. It retries until ctx ends or the store stops, because
// the leader may change.
func (s *Store) runAtLeader(ctx context.Context, local func(context.Context, *replica.Node) error, remote func(context.Context, *transport.Client) error) error {
	var lastErr error
	for {
		lastErr = s.tryAtLeader(ctx, local, remote)
		if lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrUnavailable, "%v", lastErr)
		case <-s.stop:
			return errors.Wrap(ErrUnavailable, "stopping")
		case <-time.After(leaderRetryInterval):
		}
	}
}

func (s *Store) tryAtLeader(ctx context.Context, local func(context.Context, *replica.Node) error, remote func(context.Context, *transport.Client) error) error {
	node := s.currentNode()
	if _, leads := node.Leads(documentGroup); leads {
		return local(ctx, node)
	}
	leader := node.Leader(documentGroup)
	if leader == raft.None {
		return errors.New("no leader known")
	}
	client := s.opts.Peers.Client(memberAddress(leader, s.self.Port()))
	if client == nil {
		return errors.Errorf("no session to the leader %d", leader)
	}
	callCtx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	return remote(callCtx, client)
}

// propose commits a document to the raft log. This member must be the leader.
func (s *Store) propose(ctx context.Context, node *replica.Node, d Document) (uint64, error) {
	if s.forming() {
		return 0, errors.New("the group is still forming")
	}
	start := time.Now()
	result, err := node.Propose(ctx, documentGroup, encodeDocument(d))
	if err != nil {
		return 0, err
	}
	if s.opts.OnCommit != nil {
		s.opts.OnCommit(time.Since(start))
	}
	version, _ := result.(uint64)
	return version, nil
}

// forming reports whether this daemon started recently and the group still has
// fewer voters than its fault tolerance needs. A document accepted then could be
// lost: one stored on two of three disks does not survive the loss of two disks.
func (s *Store) forming() bool {
	voters := len(s.status.Load().Membership.Voters)
	return voters < s.requiredVoters() && time.Since(s.started) < formationTimeout
}

// requiredVoters returns the number of voters of which a majority remains after
// the tolerated number of losses.
func (s *Store) requiredVoters() int { return 2*s.opts.FaultTolerance + 1 }

func (s *Store) read(ctx context.Context, node *replica.Node) (Document, error) {
	if err := node.ReadIndex(ctx, documentGroup); err != nil {
		return Document{}, err
	}
	return s.state.document(), nil
}

// CommittedVersion returns the version in force, confirmed by a majority after the call
// began. It fails if this member does not lead.
func (s *Store) CommittedVersion(ctx context.Context) (uint64, error) {
	node := s.currentNode()
	if _, leads := node.Leads(documentGroup); !leads {
		return 0, errors.Wrap(ErrUnavailable, "this member does not lead")
	}
	d, err := s.read(ctx, node)
	return d.Version, err
}

func (s *Store) handlePut(ctx context.Context, req *pb.PutDocumentRequest) (*pb.PutDocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	version, err := s.propose(ctx, s.currentNode(), Document{Version: req.Document.GetVersion(), Body: req.Document.GetBody()})
	if err != nil {
		return nil, transport.Errorf(pb.Status_UNAVAILABLE, "%v", err)
	}
	return &pb.PutDocumentReply{Version: version}, nil
}

func (s *Store) handleGet(ctx context.Context, _ *pb.GetDocumentRequest) (*pb.GetDocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	d, err := s.read(ctx, s.currentNode())
	if err != nil {
		return nil, transport.Errorf(pb.Status_UNAVAILABLE, "%v", err)
	}
	return &pb.GetDocumentReply{Document: &pb.Document{Version: d.Version, Body: d.Body}}, nil
}
