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
	actions[cmd.FullCommand()] = func(ctx context.Context) (int, error) { return c.upstreams(ctx, *pool) }
}

func (c *cli) addRuntimeCommands(app *kingpin.Application, actions map[string]action) {
	c.addOrder(app, actions)
	leases := app.Command("lease", "Read leases.").Command("list", "List pool leases and serving leases.")
	actions[leases.FullCommand()] = c.leases

	requests := app.Command("request", "Read requests.").Command("list", "List requests in flight.")
	pool := requests.Flag("pool", "Pool (service/region); all by default.").String()
	actions[requests.FullCommand()] = func(ctx context.Context) (int, error) { return c.requests(ctx, *pool) }

	events := app.Command("timeline", "Print recent events of the control members.")
	filter := &pb.EventsRequest{}
	events.Flag("request", "Only events of this request.").StringVar(&filter.RequestId)
	events.Flag("upstream", "Only events of this upstream.").StringVar(&filter.Upstream)
	events.Flag("lease", "Only events of this lease, for example draftwell/dohoku#4.").StringVar(&filter.Lease)
	events.Flag("limit", "Number of events from each member.").Default("100").Uint32Var(&filter.Limit)
	actions[events.FullCommand()] = func(ctx context.Context) (int, error) { return c.timeline(ctx, filter) }
}

var roles = map[string]pb.EngineRole{
	"prefill": pb.EngineRole_ENGINE_ROLE_PREFILL,
	"decode":  pb.EngineRole_ENGINE_ROLE_DECODE,
}

func (c *cli) addOrder(app *kingpin.Application, actions map[string]action) {
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
		given := 0
		set := func(value string, apply func()) {
			if value != "" {
				given++
				apply()
			}
		}
		set(*role, func() { order.Order = &pb.EngineOrder_SetRole{SetRole: roles[*role]} })
		set(*load, func() { order.Order = &pb.EngineOrder_LoadModel{LoadModel: *load} })
		set(*unload, func() { order.Order = &pb.EngineOrder_UnloadModel{UnloadModel: *unload} })
		set(*adapter, func() { order.Order = &pb.EngineOrder_LoadAdapter{LoadAdapter: *adapter} })
		if given != 1 {
			return ExitUsage, errors.New("exactly one of --set-role, --load-model, --unload-model and --load-adapter is required")
		}
		return c.order(ctx, *pool, order)
	}
}

func (c *cli) order(ctx context.Context, pool string, order *pb.EngineOrder) (int, error) {
	if order.RequestId == "" {
		order.RequestId = newRequestID()
	}
	resp, err := redirect(ctx, c.ring, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.OrderEngineResponse], error) {
		return s.OrderEngine(ctx, connect.NewRequest(&pb.OrderEngineRequest{Pool: pool, Order: order}))
	})
	if err != nil {
		return ExitOK, errors.Wrapf(err, "order %s", order.RequestId)
	}
	if c.output == formatJSON {
		return ExitOK, c.printJSON(resp.Msg)
	}
	c.say("%s", resp.Msg.Result)
	return ExitOK, nil
}

func (c *cli) upstreams(ctx context.Context, pool string) (int, error) {
	resp, err := retry(ctx, c.ring, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListUpstreamsResponse], error) {
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
			st := u.GetState()
			t.row(p.Pool, st.GetId(), short(st.GetRole().String()), st.GetPlace(), u.Health.String(),
				fmt.Sprint(st.GetTotalPieces()), fmt.Sprint(u.HeldPieces), fmt.Sprint(u.Holds), fmt.Sprint(st.GetRunning()), st.GetUrl())
		}
	}
	return ExitOK, t.print(c.stdout)
}

func (c *cli) leases(ctx context.Context) (int, error) {
	resp, err := retry(ctx, c.ring, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListLeasesResponse], error) {
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
		pools.row(l.Name, l.Holder, l.Address, fmt.Sprint(l.FencingToken))
	}
	serving := newTable("DAEMON", "APPLIED VERSION", "REMAINING")
	for _, l := range resp.Msg.Serving {
		serving.row(l.DaemonId, fmt.Sprint(l.AppliedVersion), (time.Duration(l.RemainingMs) * time.Millisecond).String())
	}
	if err := pools.print(c.stdout); err != nil {
		return ExitOK, err
	}
	fmt.Fprintln(c.stdout)
	return ExitOK, serving.print(c.stdout)
}

func (c *cli) requests(ctx context.Context, pool string) (int, error) {
	resp, err := retry(ctx, c.ring, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) (*connect.Response[pb.ListRequestsResponse], error) {
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
		t.row(h.RequestId, fmt.Sprint(h.Attempt), short(h.RequestClass.String()), h.Stage.String(), h.PrefillId, h.DecodeId, fmt.Sprint(h.Pieces))
	}
	return ExitOK, t.print(c.stdout)
}

// timeline merges the events of all given members. Members that do not answer
// are named; the others are still shown.
func (c *cli) timeline(ctx context.Context, filter *pb.EventsRequest) (int, error) {
	var events []*pb.Event
	answered := 0
	for _, a := range c.ring.addresses {
		resp, err := c.ring.at(a).GetEvents(ctx, connect.NewRequest(filter))
		if err != nil {
			fmt.Fprintf(c.stderr, "%s: %v\n", a, err)
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
		t.row(formatTime(e.Time.GetWallUs()/1000), e.Process, e.Kind, e.RequestId, e.Upstream, e.Lease, attributes(e))
	}
	return ExitOK, t.print(c.stdout)
}

func attributes(e *pb.Event) string {
	parts := make([]string, len(e.Attributes))
	for i, a := range e.Attributes {
		parts[i] = a.Key + "=" + a.Value
	}
	return strings.Join(parts, " ")
}
