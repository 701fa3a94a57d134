package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control/changeset"
)

// requestIDBytes is the length of a generated request id before hex encoding.
const requestIDBytes = 16

// changeFlags are common to all commands that change the configuration.
type changeFlags struct {
	dryRun      bool
	baseVersion uint64
}

func (f *changeFlags) add(cmd *kingpin.CmdClause) {
	cmd.Flag("dry-run", "Validate only; nothing is changed.").BoolVar(&f.dryRun)
	cmd.Flag("base-version", "Version that the change replaces; the current one by default.").Uint64Var(&f.baseVersion)
}

func (c *cli) addRouteCommands(app *kingpin.Application, actions map[string]action) {
	routes := app.Command("route", "Manage routes.")
	c.addRoutePut(routes.Command("put", "Create or replace a route."), actions)
	c.addRouteCutover(routes, actions)

	var deleteFlags changeFlags
	del := routes.Command("delete", "Delete a route.")
	delName := del.Arg("name", "Route name.").Required().String()
	deleteFlags.add(del)
	actions[del.FullCommand()] = func(ctx context.Context) (int, error) {
		return c.changeConfig(ctx, &pb.ConfigChange{Change: &pb.ConfigChange_DeleteRoute{DeleteRoute: *delName}}, deleteFlags)
	}

	get := routes.Command("get", "Print one route.")
	getName := get.Arg("name", "Route name.").Required().String()
	actions[get.FullCommand()] = func(ctx context.Context) (int, error) { return c.routeGet(ctx, *getName) }

	list := routes.Command("list", "List the routes.")
	actions[list.FullCommand()] = c.routeList

	diff := routes.Command("diff", "Show what a route file would change.")
	diffFile := diff.Flag("file", "Route as protobuf JSON; - reads standard input.").Short('f').Required().String()
	actions[diff.FullCommand()] = func(ctx context.Context) (int, error) { return c.routeDiff(ctx, *diffFile) }
}

func (c *cli) addRoutePut(cmd *kingpin.CmdClause, actions map[string]action) {
	var flags changeFlags
	file := cmd.Flag("file", "Route as protobuf JSON; - reads standard input.").Short('f').Required().String()
	flags.add(cmd)
	actions[cmd.FullCommand()] = func(ctx context.Context) (int, error) {
		r, err := c.readRoute(*file)
		if err != nil {
			return ExitInvalid, err
		}
		return c.changeConfig(ctx, &pb.ConfigChange{Change: &pb.ConfigChange_PutRoute{PutRoute: r}}, flags)
	}
}

func (c *cli) addRouteCutover(routes *kingpin.CmdClause, actions map[string]action) {
	var flags changeFlags
	cmd := routes.Command("cutover", "Move a route to another service, or show how far a cutover is.")
	name := cmd.Arg("name", "Route name.").Required().String()
	to := cmd.Flag("to", "Service that receives new work; without it the progress is shown.").String()
	flags.add(cmd)
	actions[cmd.FullCommand()] = func(ctx context.Context) (int, error) {
		if *to == "" {
			return c.cutoverStatus(ctx, *name)
		}
		return c.changeConfig(ctx, &pb.ConfigChange{Change: &pb.ConfigChange_Cutover{
			Cutover: &pb.RouteCutover{Route: *name, ToService: *to},
		}}, flags)
	}
}

func (c *cli) addDrainCommands(app *kingpin.Application, actions map[string]action) {
	upstreams := app.Command("upstream", "Manage upstreams.")
	c.addUpstreamList(upstreams, actions)
	c.addDrain(upstreams, "upstream id", func(id string) *pb.Drain { return &pb.Drain{UpstreamId: id} }, actions)
	places := app.Command("place", "Manage places.")
	c.addDrain(places, "place", func(name string) *pb.Drain { return &pb.Drain{Place: name} }, actions)
}

// addDrain adds the drain and return commands for upstreams or places. newDrain
// builds the drain from the command's argument.
func (c *cli) addDrain(parent *kingpin.CmdClause, argHelp string, newDrain func(string) *pb.Drain, actions map[string]action) {
	var drainFlags, returnFlags changeFlags
	drainCmd := parent.Command("drain", "Keep new work away.")
	drainArg := drainCmd.Arg("name", "The "+argHelp+".").Required().String()
	drainFlags.add(drainCmd)
	actions[drainCmd.FullCommand()] = func(ctx context.Context) (int, error) {
		return c.changeConfig(ctx, &pb.ConfigChange{Change: &pb.ConfigChange_AddDrain{AddDrain: newDrain(*drainArg)}}, drainFlags)
	}
	returnCmd := parent.Command("return", "Allow new work again.")
	returnArg := returnCmd.Arg("name", "The "+argHelp+".").Required().String()
	returnFlags.add(returnCmd)
	actions[returnCmd.FullCommand()] = func(ctx context.Context) (int, error) {
		return c.changeConfig(ctx, &pb.ConfigChange{Change: &pb.ConfigChange_RemoveDrain{RemoveDrain: newDrain(*returnArg)}}, returnFlags)
	}
}

func (c *cli) readRoute(file string) (*pb.Route, error) {
	raw, err := c.readFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading route")
	}
	if file == "-" || file == "" {
		file = "from standard input"
	}
	r := &pb.Route{}
	return r, errors.Wrapf(protojson.Unmarshal(raw, r), "reading route %s", file)
}

func (c *cli) readFile(file string) ([]byte, error) {
	// kingpin passes a lone "-" as an empty value.
	if file == "-" || file == "" {
		return io.ReadAll(c.stdin)
	}
	return os.ReadFile(file)
}

func (c *cli) getConfig(ctx context.Context) (*pb.Config, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.GetConfigResponse], error) {
		return s.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
	})
	if err != nil {
		return nil, errors.Wrap(err, "reading configuration")
	}
	return resp.Msg.Config, nil
}

// changeConfig prints the effect of a change and sends it. A retry after a lost
// response carries the same request id, so the store applies the change once.
func (c *cli) changeConfig(ctx context.Context, change *pb.ConfigChange, flags changeFlags) (int, error) {
	cfg, err := c.getConfig(ctx)
	if err != nil {
		return ExitUnavailable, err
	}
	change.RequestId = c.requestID
	if change.RequestId == "" {
		change.RequestId = newRequestID()
	}
	change.BaseVersion = flags.baseVersion
	if change.BaseVersion == 0 {
		change.BaseVersion = cfg.Version
	}
	if c.output == formatTable {
		c.printDiff(cfg, change)
	}
	resp, err := c.sendChange(ctx, change, flags.dryRun)
	if err != nil {
		return c.handleChangeError(change, err)
	}
	return c.handleChangeResponse(change, resp, flags.dryRun)
}

// minResendTime is the remaining time below which sendChange does not ask again
// whether an accepted change is in force.
const minResendTime = time.Second

// sendChange sends a change, and sends it again while it is accepted but not in
// force and at least minResendTime remains. A dry run is sent once.
func (c *cli) sendChange(ctx context.Context, change *pb.ConfigChange, dryRun bool) (*pb.ChangeConfigResponse, error) {
	for {
		resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ChangeConfigResponse], error) {
			return s.ChangeConfig(ctx, connect.NewRequest(&pb.ChangeConfigRequest{Change: change, DryRun: dryRun}))
		})
		if err != nil {
			return nil, err
		}
		pending := !dryRun && resp.Msg.Outcome.GetCode() == pb.ChangeOutcome_ACCEPTED && !resp.Msg.InForce
		deadline, _ := ctx.Deadline()
		if !pending || time.Until(deadline) < minResendTime {
			return resp.Msg, nil
		}
	}
}

// handleChangeError returns the exit code and error for a ChangeConfig call that
// failed. Only the codes listed here mean that the last attempt committed nothing;
// after any other, the outcome is unknown.
func (c *cli) handleChangeError(change *pb.ConfigChange, err error) (int, error) {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return ExitInvalid, err
	case connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeFailedPrecondition:
		return ExitUnavailable, err
	}
	return ExitUnconfirmed, errors.Wrapf(err, "the outcome is not known; repeat the command with --request-id %s", change.RequestId)
}

func (c *cli) handleChangeResponse(change *pb.ConfigChange, resp *pb.ChangeConfigResponse, dryRun bool) (int, error) {
	if c.output == formatJSON {
		if err := c.printJSON(resp); err != nil {
			return ExitOK, err
		}
	}
	outcome := resp.Outcome
	switch outcome.GetCode() {
	case pb.ChangeOutcome_ACCEPTED:
		return c.handleAccepted(change, resp, dryRun)
	case pb.ChangeOutcome_VERSION_CONFLICT:
		c.printMissedChanges(outcome)
		return ExitConflict, errors.Errorf("version %d was replaced; the current version is %d", change.BaseVersion, outcome.Version)
	}
	c.printFindings(outcome.GetFindings())
	return ExitInvalid, errors.Errorf("the change was refused: %s", outcome.GetCode())
}

func (c *cli) handleAccepted(change *pb.ConfigChange, resp *pb.ChangeConfigResponse, dryRun bool) (int, error) {
	switch {
	case dryRun:
		c.printMessage("valid; nothing was changed")
	case resp.InForce:
		c.printMessage("version %d is in force (request id %s)", resp.Outcome.Version, change.RequestId)
	default:
		return ExitUnconfirmed, errors.Errorf("version %d is accepted and not yet confirmed in force; repeat the command with --request-id %s", resp.Outcome.Version, change.RequestId)
	}
	return ExitOK, nil
}

// printMessage prints a line in table format and nothing in JSON format.
func (c *cli) printMessage(format string, args ...any) {
	if c.output == formatTable {
		fmt.Fprintf(c.stdout, format+"\n", args...)
	}
}

func (c *cli) printFindings(findings []*pb.Finding) {
	for _, f := range findings {
		fmt.Fprintf(c.stderr, "%s: %s\n", f.Field, f.Message)
	}
}

func (c *cli) printMissedChanges(outcome *pb.ChangeOutcome) {
	for _, m := range outcome.Missed {
		fmt.Fprintf(c.stderr, "missed change by %s at %s: %s\n", m.Operator, formatTime(m.TimeMs), describeChange(m))
	}
}

// printDiff shows the effect of a change on the configuration.
func (c *cli) printDiff(cfg *pb.Config, change *pb.ConfigChange) {
	res := changeset.Apply(cfg, change)
	if res.Code != pb.ChangeOutcome_ACCEPTED {
		return
	}
	fmt.Fprint(c.stdout, diffConfigs(cfg, res.Config))
}

func newRequestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
