package dev

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
)

// steppedDownOperator answers the first changes as a member that does not lead.
type steppedDownOperator struct {
	godwitwardv1connect.OperatorServiceClient
	refuse []error
	ids    []string
}

func (o *steppedDownOperator) GetConfig(context.Context, *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	return connect.NewResponse(&pb.GetConfigResponse{Config: &pb.Config{Version: 4}}), nil
}

func (o *steppedDownOperator) ChangeConfig(_ context.Context, r *connect.Request[pb.ChangeConfigRequest]) (*connect.Response[pb.ChangeConfigResponse], error) {
	o.ids = append(o.ids, r.Msg.Change.RequestId)
	if n := len(o.ids); n <= len(o.refuse) {
		return nil, o.refuse[n-1]
	}
	return connect.NewResponse(&pb.ChangeConfigResponse{Outcome: &pb.ChangeOutcome{Code: pb.ChangeOutcome_ACCEPTED, Version: 5}}), nil
}

// Guards against a system that does not start because its control member steps down for a
// moment, and against one that hides other errors.
func TestRoutesAreCreatedAfterTheMemberLeadsAgain(t *testing.T) {
	routes := []*pb.Route{{Name: "chat"}}
	notLeader := connect.NewError(connect.CodeFailedPrecondition, errors.New("NOT_LEADER: member 1 does not lead group 0"))
	o := &steppedDownOperator{refuse: []error{notLeader, notLeader}}
	s := &System{cfg: Config{Routes: routes}, Operator: o}
	require.NoError(t, s.putRoutes(t.Context()))
	require.Equal(t, []string{"dev-chat-4", "dev-chat-4", "dev-chat-4"}, o.ids)

	invalid := connect.NewError(connect.CodeInvalidArgument, errors.New("no service"))
	s.Operator = &steppedDownOperator{refuse: []error{invalid}}
	require.ErrorContains(t, s.putRoutes(t.Context()), "creating route chat: invalid_argument: no service")
}
