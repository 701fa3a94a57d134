package operator

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control/changeset"
)

func (c *cli) addConfigCommands(app *kingpin.Application, actions map[string]action) {
	config := app.Command("config", "Read or check the configuration.")
	get := config.Command("get", "Print the whole configuration.")
	actions[get.FullCommand()] = func(ctx context.Context) (int, error) {
		cfg, err := c.getConfig(ctx)
		if err != nil {
			return ExitOK, err
		}
		return ExitOK, c.printJSON(cfg)
	}
	watch := config.Command("watch", "Print each new version of the configuration until --timeout has passed.")
	actions[watch.FullCommand()] = c.configWatch
	history := config.Command("history", "List changes, newest first.")
	limit := history.Flag("limit", "Number of changes.").Default("20").Uint32()
	route := history.Flag("route", "Only changes of this route.").String()
	actions[history.FullCommand()] = func(ctx context.Context) (int, error) { return c.configHistory(ctx, *limit, *route) }
	c.addConfigCheck(config, actions)
}

func (c *cli) routeGet(ctx context.Context, name string) (int, error) {
	cfg, err := c.getConfig(ctx)
	if err != nil {
		return ExitOK, err
	}
	r := changeset.FindRoute(cfg, name)
	if r == nil {
		return ExitInvalid, errors.Errorf("no route is named %s", name)
	}
	return ExitOK, c.printJSON(r)
}

func (c *cli) routeList(ctx context.Context) (int, error) {
	cfg, err := c.getConfig(ctx)
	if err != nil {
		return ExitOK, err
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(cfg)
	}
	t := newTable("NAME", "PATH", "KIND", "SERVICE", "REGION", "CLASS", "CUTOVER FROM")
	for _, r := range cfg.Routes {
		t.addRow(r.Name, r.Path, shortEnumName(r.Kind.String()), r.Service, r.Region, shortEnumName(r.RequestClass.String()), r.Cutover.GetFromService())
	}
	// Deferred, so that the drains are printed after the table.
	for _, d := range cfg.Drains {
		defer c.printMessage("drained: %s", drainName(d))
	}
	return ExitOK, t.print(c.stdout)
}

func (c *cli) routeDiff(ctx context.Context, file string) (int, error) {
	r, err := c.readRoute(file)
	if err != nil {
		return ExitInvalid, err
	}
	cfg, err := c.getConfig(ctx)
	if err != nil {
		return ExitOK, err
	}
	res := changeset.Apply(cfg, &pb.ConfigChange{Change: &pb.ConfigChange_PutRoute{PutRoute: r}})
	if res.Code != pb.ChangeOutcome_ACCEPTED {
		c.printFindings(res.Findings)
		return ExitInvalid, errors.New("the route does not fit the configuration")
	}
	_, err = fmt.Fprint(c.stdout, diffConfigs(cfg, res.Config))
	return ExitOK, err
}

func (c *cli) configWatch(ctx context.Context) (int, error) {
	for {
		err := c.watchOnce(ctx)
		if ctx.Err() != nil {
			return ExitOK, nil
		}
		if !retryable(err) {
			return ExitUnavailable, err
		}
		c.control.switchTarget(err)
		_ = sleep(ctx, retryDelay)
	}
}

func (c *cli) watchOnce(ctx context.Context) error {
	stream, err := c.control.currentClient().WatchConfig(ctx, connect.NewRequest(&pb.WatchConfigRequest{}))
	if err != nil {
		return err
	}
	defer stream.Close()
	var last *pb.Config
	for stream.Receive() {
		cfg := stream.Msg().Config
		if c.output == formatJSON {
			if err := c.printJSON(cfg); err != nil {
				return err
			}
		} else {
			c.printMessage("version %d: %d routes, %d drains", cfg.Version, len(cfg.Routes), len(cfg.Drains))
			if last != nil {
				fmt.Fprint(c.stdout, diffConfigs(last, cfg))
			}
		}
		last = cfg
	}
	return stream.Err()
}

func (c *cli) configHistory(ctx context.Context, limit uint32, route string) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.GetHistoryResponse], error) {
		return s.GetHistory(ctx, connect.NewRequest(&pb.GetHistoryRequest{Limit: limit, Route: route}))
	})
	if err != nil {
		return ExitOK, err
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	t := newTable("VERSION", "TIME", "OPERATOR", "REQUEST", "CHANGE")
	for _, e := range resp.Msg.Entries {
		t.addRow(fmt.Sprint(e.Version), formatTime(e.Change.TimeMs), e.Change.Operator, e.Change.RequestId, describeChange(e.Change))
	}
	return ExitOK, t.print(c.stdout)
}

func (c *cli) cutoverStatus(ctx context.Context, name string) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.CutoverStatusResponse], error) {
		return s.CutoverStatus(ctx, connect.NewRequest(&pb.CutoverStatusRequest{Route: name}))
	})
	if err != nil {
		return ExitOK, err
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	if resp.Msg.Cutover == nil {
		c.printMessage("no cutover is in progress")
		return ExitOK, nil
	}
	c.printMessage("from %s to %s: %d requests remain on the old service, complete: %t",
		resp.Msg.Cutover.FromService, resp.Msg.Cutover.ToService, resp.Msg.Remaining, resp.Msg.Complete)
	return ExitOK, nil
}

func describeChange(change *pb.ConfigChange) string {
	switch x := change.GetChange().(type) {
	case *pb.ConfigChange_PutRoute:
		return "put route " + x.PutRoute.GetName()
	case *pb.ConfigChange_DeleteRoute:
		return "delete route " + x.DeleteRoute
	case *pb.ConfigChange_AddDrain:
		return "drain " + drainName(x.AddDrain)
	case *pb.ConfigChange_RemoveDrain:
		return "return " + drainName(x.RemoveDrain)
	case *pb.ConfigChange_Cutover:
		return "cut over route " + x.Cutover.GetRoute() + " to " + x.Cutover.GetToService()
	}
	return "unknown change"
}
