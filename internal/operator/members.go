package operator

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
)

func (c *cli) addMemberCommands(app *kingpin.Application, actions map[string]action) {
	members := app.Command("member", "Manage the members of the control store.")
	list := members.Command("list", "List the members.")
	actions[list.FullCommand()] = c.memberList

	add := members.Command("add", "Add a member that was started with --start join.")
	addID := add.Arg("id", "Member id, never used before.").Required().Uint64()
	addAddress := add.Arg("address", "Internal address (host:port).").Required().String()
	actions[add.FullCommand()] = func(ctx context.Context) (int, error) {
		return c.changeMembers(ctx, &pb.ChangeMembersRequest{Add: &pb.Member{Id: *addID, Address: *addAddress}})
	}
	remove := members.Command("remove", "Remove a member permanently.")
	removeID := remove.Arg("id", "Member id.").Required().Uint64()
	actions[remove.FullCommand()] = func(ctx context.Context) (int, error) {
		return c.changeMembers(ctx, &pb.ChangeMembersRequest{Remove: *removeID})
	}
	replace := members.Command("replace", "Add a member and then remove another.")
	oldID := replace.Arg("old", "Member id to remove.").Required().Uint64()
	newID := replace.Arg("new", "Member id to add, never used before.").Required().Uint64()
	newAddress := replace.Arg("address", "Internal address of the new member.").Required().String()
	actions[replace.FullCommand()] = func(ctx context.Context) (int, error) {
		return c.changeMembers(ctx, &pb.ChangeMembersRequest{Add: &pb.Member{Id: *newID, Address: *newAddress}, Remove: *oldID})
	}
}

func (c *cli) memberList(ctx context.Context) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListMembersResponse], error) {
		return s.ListMembers(ctx, connect.NewRequest(&pb.ListMembersRequest{}))
	})
	if err != nil {
		return ExitOK, err
	}
	return ExitOK, c.printMembers(resp.Msg.Members)
}

// changeMembers retries the change: the store skips each step that an earlier
// attempt has already completed.
func (c *cli) changeMembers(ctx context.Context, req *pb.ChangeMembersRequest) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ChangeMembersResponse], error) {
		return s.ChangeMembers(ctx, connect.NewRequest(req))
	})
	if errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		if req.Add != nil {
			return ExitUnavailable, errors.Wrapf(err, "the change is not complete; steps that were taken stay; check that member %d runs with --start join at %s, "+
				"then repeat the command, with a longer --timeout if its state is large", req.Add.Id, req.Add.Address)
		}
		return ExitUnavailable, errors.Wrap(err, "the change is not complete; repeat the command")
	}
	if err != nil {
		return ExitOK, err
	}
	return ExitOK, c.printMembers(resp.Msg.Members)
}

func (c *cli) printMembers(members []*pb.Member) error {
	if c.output == formatJSON {
		return c.printJSON(&pb.ListMembersResponse{Members: members})
	}
	t := newTable("ID", "ADDRESS", "ROLE", "MATCH")
	for _, m := range members {
		role := "follower"
		if m.Learner {
			role = "learner"
		}
		if m.Leader {
			role = "leader"
		}
		t.addRow(fmt.Sprint(m.Id), m.Address, role, fmt.Sprint(m.Match))
	}
	return t.print(c.stdout)
}
