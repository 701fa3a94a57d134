package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/timeline"
)

func (c *cli) addUpstreamList(parent *kingpin.CmdClause, actions map[string]action) {
	cmd := parent.Command("list", "List upstreams as their schedulers see them.")
	pool := cmd.Flag("pool", "Pool (service/region); all by default.").String()
	actions[cmd.FullCommand()] = func(ctx context.Context) (int, error) { return c.upstreamList(ctx, *pool) }
}

func (c *cli) addRuntimeCommands(app *kingpin.Application, actions map[string]action) {
	c.addEngineOrder(app, actions)
	leases := app.Command("lease", "Read leases.").Command("list", "List pool leases and serving leases.")
	actions[leases.FullCommand()] = c.leaseList

	requests := app.Command("request", "Read requests.").Command("list", "List requests in flight.")
	pool := requests.Flag("pool", "Pool (service/region); all by default.").String()
	actions[requests.FullCommand()] = func(ctx context.Context) (int, error) { return c.requestList(ctx, *pool) }

	events := app.Command("timeline", "Print recent events of the control members.")
	filter := &pb.EventsRequest{}
	events.Flag("request", "Only events of this request.").StringVar(&filter.RequestId)
	events.Flag("upstream", "Only events of this upstream.").StringVar(&filter.Upstream)
	events.Flag("lease", "Only events of this lease, for example draftwell/dohoku#4.").StringVar(&filter.Lease)
	events.Flag("limit", "Number of events from each member.").Default("100").Uint32Var(&filter.Limit)
	actions[events.FullCommand()] = func(ctx context.Context) (int, error) { return c.eventTimeline(ctx, filter) }
}

var engineRoles = map[string]pb.EngineRole{
	"prefill": pb.EngineRole_ENGINE_ROLE_PREFILL,
	"decode":  pb.EngineRole_ENGINE_ROLE_DECODE,
}

func (c *cli) addEngineOrder(app *kingpin.Application, actions map[string]action) {
	cmd := app.Command("engine", "Manage engines.").Command("order", "Send an order to an engine through its scheduler.")
	pool := cmd.Flag("pool", "Pool (service/region).").Required().String()
	upstream := cmd.Flag("upstream", "Upstream id of the engine.").Required().String()
	role := cmd.Flag("set-role", "New role.").Enum("prefill", "decode")
	load := cmd.Flag("load-model", "Model to load.").String()
	unload := cmd.Flag("unload-model", "Model to unload.").String()
	adapter := cmd.Flag("load-adapter", "Adapter to load.").String()
	deadline := cmd.Flag("deadline", "Longest time for the engine to carry out the order.").Default("5s").Duration()
	actions[cmd.FullCommand()] = func(ctx context.Context) (int, error) {
		order := &pb.EngineOrder{UpstreamId: *upstream, DeadlineMs: uint32(deadline.Milliseconds()), RequestId: c.requestID}
		orderCount := 0
		setOrder := func(value string, apply func()) {
			if value != "" {
				orderCount++
				apply()
			}
		}
		setOrder(*role, func() { order.Order = &pb.EngineOrder_SetRole{SetRole: engineRoles[*role]} })
		setOrder(*load, func() { order.Order = &pb.EngineOrder_LoadModel{LoadModel: *load} })
		setOrder(*unload, func() { order.Order = &pb.EngineOrder_UnloadModel{UnloadModel: *unload} })
		setOrder(*adapter, func() { order.Order = &pb.EngineOrder_LoadAdapter{LoadAdapter: *adapter} })
		if orderCount != 1 {
			return ExitUsage, errors.New("exactly one of --set-role, --load-model, --unload-model and --load-adapter is required")
		}
		return c.sendEngineOrder(ctx, *pool, order)
	}
}

func (c *cli) sendEngineOrder(ctx context.Context, pool string, order *pb.EngineOrder) (int, error) {
	if order.RequestId == "" {
		order.RequestId = newRequestID()
	}
	resp, err := retryIfNotExecuted(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.OrderEngineResponse], error) {
		return s.OrderEngine(ctx, connect.NewRequest(&pb.OrderEngineRequest{Pool: pool, Order: order}))
	})
	if err != nil {
		return ExitOK, errors.Wrapf(err, "order %s", order.RequestId)
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	c.printMessage("%s", resp.Msg.Result)
	return ExitOK, nil
}

func (c *cli) upstreamList(ctx context.Context, pool string) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListUpstreamsResponse], error) {
		return s.ListUpstreams(ctx, connect.NewRequest(&pb.ListUpstreamsRequest{Pool: pool}))
	})
	if err != nil {
		return ExitOK, err
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	t := newTable("POOL", "ID", "ROLE", "PLACE", "HEALTH", "PIECES", "HELD", "HOLDS", "RUNNING", "URL")
	for _, p := range resp.Msg.Pools {
		for _, u := range p.Upstreams {
			state := u.GetState()
			t.addRow(p.Pool, state.GetId(), shortEnumName(state.GetRole().String()), state.GetPlace(), u.Health.String(),
				fmt.Sprint(state.GetTotalPieces()), fmt.Sprint(u.HeldPieces), fmt.Sprint(u.Holds), fmt.Sprint(state.GetRunning()), state.GetUrl())
		}
	}
	return ExitOK, t.print(c.stdout)
}

func (c *cli) leaseList(ctx context.Context) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListLeasesResponse], error) {
		return s.ListLeases(ctx, connect.NewRequest(&pb.ListLeasesRequest{}))
	})
	if err != nil {
		return ExitOK, err
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	pools := newTable("POOL", "HOLDER", "ADDRESS", "TOKEN")
	for _, l := range resp.Msg.Pools {
		pools.addRow(l.Name, l.Holder, l.Address, fmt.Sprint(l.FencingToken))
	}
	serving := newTable("DAEMON", "APPLIED VERSION", "REMAINING")
	for _, l := range resp.Msg.Serving {
		serving.addRow(l.DaemonId, fmt.Sprint(l.AppliedVersion), (time.Duration(l.RemainingMs) * time.Millisecond).String())
	}
	if err := pools.print(c.stdout); err != nil {
		return ExitOK, err
	}
	fmt.Fprintln(c.stdout)
	return ExitOK, serving.print(c.stdout)
}

func (c *cli) requestList(ctx context.Context, pool string) (int, error) {
	resp, err := retry(ctx, c.control, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListRequestsResponse], error) {
		return s.ListRequests(ctx, connect.NewRequest(&pb.ListRequestsRequest{Pool: pool}))
	})
	if err != nil {
		return ExitOK, err
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	t := newTable("REQUEST", "ATTEMPT", "CLASS", "STAGE", "PREFILL", "DECODE", "PIECES")
	for _, h := range resp.Msg.Holds {
		t.addRow(h.RequestId, fmt.Sprint(h.Attempt), shortEnumName(h.RequestClass.String()), h.Stage.String(), h.PrefillId, h.DecodeId, fmt.Sprint(h.Pieces))
	}
	return ExitOK, t.print(c.stdout)
}

// eventTimeline merges the events of all members given by --address. Members
// that do not answer are reported on standard error; the events of the others
// are still printed.
func (c *cli) eventTimeline(ctx context.Context, filter *pb.EventsRequest) (int, error) {
	var events []*pb.Event
	answered := 0
	for _, address := range c.control.addresses {
		resp, err := c.control.clientFor(address).GetEvents(ctx, connect.NewRequest(filter))
		if err != nil {
			fmt.Fprintf(c.stderr, "%s: %v\n", address, err)
			continue
		}
		answered++
		events = append(events, resp.Msg.Events...)
	}
	if answered == 0 {
		return ExitUnavailable, errors.New("no control member answered")
	}
	slices.SortStableFunc(events, func(a, b *pb.Event) int {
		if timeline.Before(a.Time, b.Time) {
			return -1
		}
		if timeline.Before(b.Time, a.Time) {
			return 1
		}
		return 0
	})
	if c.output == formatJSON {
		return ExitOK, c.printJSON(&pb.EventsResponse{Events: events})
	}
	t := newTable("TIME", "PROCESS", "EVENT", "REQUEST", "UPSTREAM", "LEASE", "ATTRIBUTES")
	for _, e := range events {
		t.addRow(formatTime(e.Time.GetWallUs()/1000), e.Process, e.Kind, e.RequestId, e.Upstream, e.Lease, formatAttributes(e))
	}
	return ExitOK, t.print(c.stdout)
}

func formatAttributes(e *pb.Event) string {
	parts := make([]string, len(e.Attributes))
	for i, a := range e.Attributes {
		parts[i] = a.Key + "=" + a.Value
	}
	return strings.Join(parts, " ")
}
