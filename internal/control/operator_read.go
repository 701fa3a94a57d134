package control

import (
	"context"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/changeset"
	"godwitward.example/godwitward/internal/transport"
)

// forwardTimeout bounds one call to a scheduler.
const forwardTimeout = 5 * time.Second

// GetConfig returns the current configuration.
func (o *operators) GetConfig(ctx context.Context, _ *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	cfg, _ := o.store.current()
	return connect.NewResponse(&pb.GetConfigResponse{Config: cfg}), nil
}

// WatchConfig sends the configuration at once and after each change.
func (o *operators) WatchConfig(ctx context.Context, _ *connect.Request[pb.WatchConfigRequest], st *connect.ServerStream[pb.WatchConfigResponse]) error {
	if err := o.read(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(watchCheck)
	defer ticker.Stop()
	var sent *pb.Config
	for {
		cfg, changed := o.store.current()
		if cfg != sent {
			if err := st.Send(&pb.WatchConfigResponse{Config: cfg}); err != nil {
				return err
			}
			sent = cfg
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := o.read(ctx); err != nil {
				return err
			}
		}
	}
}

// GetHistory lists changes, newest first.
func (o *operators) GetHistory(ctx context.Context, req *connect.Request[pb.GetHistoryRequest]) (*connect.Response[pb.GetHistoryResponse], error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	limit := int(min(req.Msg.Limit, maxHistoryPage))
	if limit == 0 {
		limit = defaultHistory
	}
	return connect.NewResponse(&pb.GetHistoryResponse{Entries: o.store.newest(limit, req.Msg.Route)}), nil
}

// ListLeases lists pool leases and serving leases.
func (o *operators) ListLeases(ctx context.Context, _ *connect.Request[pb.ListLeasesRequest]) (*connect.Response[pb.ListLeasesResponse], error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ListLeasesResponse{
		Pools:   o.store.heldLeases(),
		Serving: o.servingLeases(time.Now()),
	}), nil
}

func (s *store) heldLeases() []*pb.PoolLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.PoolLease
	for _, rec := range s.leases.Held() {
		out = append(out, leaseMessage(rec))
	}
	return out
}

// pools returns the lease of one pool, or all leases when the name is empty.
func (o *operators) pools(name string) ([]*pb.PoolLease, error) {
	all := o.store.heldLeases()
	if name == "" {
		return all, nil
	}
	i := slices.IndexFunc(all, func(l *pb.PoolLease) bool { return l.Name == name })
	if i < 0 {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("no scheduler holds the lease of pool %q", name))
	}
	return all[i : i+1], nil
}

// ListUpstreams asks the schedulers of the pools for their view.
func (o *operators) ListUpstreams(ctx context.Context, req *connect.Request[pb.ListUpstreamsRequest]) (*connect.Response[pb.ListUpstreamsResponse], error) {
	states, err := o.schedulerStates(ctx, req.Msg.Pool)
	if err != nil {
		return nil, err
	}
	for _, st := range states {
		st.Holds = nil
	}
	return connect.NewResponse(&pb.ListUpstreamsResponse{Pools: states}), nil
}

// ListRequests lists the holds of requests in flight.
func (o *operators) ListRequests(ctx context.Context, req *connect.Request[pb.ListRequestsRequest]) (*connect.Response[pb.ListRequestsResponse], error) {
	states, err := o.schedulerStates(ctx, req.Msg.Pool)
	if err != nil {
		return nil, err
	}
	resp := &pb.ListRequestsResponse{}
	for _, st := range states {
		resp.Holds = append(resp.Holds, st.Holds...)
	}
	return connect.NewResponse(resp), nil
}

func (o *operators) schedulerStates(ctx context.Context, pool string) ([]*pb.SchedulerState, error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	leases, err := o.pools(pool)
	if err != nil {
		return nil, err
	}
	var out []*pb.SchedulerState
	for _, l := range leases {
		st := &pb.SchedulerState{}
		if err := o.forward(ctx, l, transport.MethodSchedulerState, &pb.SchedulerStateRequest{Pool: l.Name}, st); err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}

// OrderEngine sends an order to an engine through its pool's scheduler.
func (o *operators) OrderEngine(ctx context.Context, req *connect.Request[pb.OrderEngineRequest]) (*connect.Response[pb.OrderEngineResponse], error) {
	if err := o.authorize(ctx, true); err != nil {
		return nil, err
	}
	if req.Msg.GetOrder().GetUpstreamId() == "" || req.Msg.Pool == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("pool and order.upstream_id are required"))
	}
	if err := o.confirm(ctx); err != nil {
		return nil, o.connectError(err)
	}
	leases, err := o.pools(req.Msg.Pool)
	if err != nil {
		return nil, err
	}
	req.Msg.Order.FencingToken = leases[0].FencingToken
	resp := &pb.OrderEngineResponse{}
	if err := o.forward(ctx, leases[0], transport.MethodOrder, req.Msg.Order, resp); err != nil {
		return nil, err
	}
	o.event("engine.ordered", "", "operator", operatorFrom(ctx), "upstream", req.Msg.Order.UpstreamId, "result", resp.Result)
	return connect.NewResponse(resp), nil
}

// CutoverStatus tells how much work the old service of a route still has. It
// is complete only once daemons of an earlier term had time to report.
func (o *operators) CutoverStatus(ctx context.Context, req *connect.Request[pb.CutoverStatusRequest]) (*connect.Response[pb.CutoverStatusResponse], error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	cfg, _ := o.store.current()
	r := changeset.Find(cfg, req.Msg.Route)
	if r == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("no route is named %q", req.Msg.Route))
	}
	if r.Cutover == nil {
		return connect.NewResponse(&pb.CutoverStatusResponse{Complete: true}), nil
	}
	now := time.Now()
	count, known := o.inFlight(r.Name, r.Cutover.FromService, now)
	wait, _ := o.checkInForce(cfg.Version, now)
	return connect.NewResponse(&pb.CutoverStatusResponse{
		Cutover:   r.Cutover,
		Remaining: count,
		Complete:  known && count == 0 && wait <= 0,
	}), nil
}

// ListMembers lists the members of the control store.
func (o *operators) ListMembers(ctx context.Context, _ *connect.Request[pb.ListMembersRequest]) (*connect.Response[pb.ListMembersResponse], error) {
	if err := o.read(ctx); err != nil {
		return nil, err
	}
	members, err := o.members(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ListMembersResponse{Members: members}), nil
}

func (o *operators) members(ctx context.Context) ([]*pb.Member, error) {
	if o.cluster == nil {
		id, _, _ := o.repl.Leader(storeGroup)
		return []*pb.Member{{Id: id, Address: o.opts.Address, Leader: true}}, nil
	}
	members, err := o.cluster.Members(ctx)
	return members, o.connectError(err)
}

// ChangeMembers adds, removes or replaces one member.
func (o *operators) ChangeMembers(ctx context.Context, req *connect.Request[pb.ChangeMembersRequest]) (*connect.Response[pb.ChangeMembersResponse], error) {
	if err := o.authorize(ctx, true); err != nil {
		return nil, err
	}
	if err := o.confirm(ctx); err != nil {
		return nil, o.connectError(err)
	}
	if o.cluster == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this store has a single member without replication"))
	}
	if req.Msg.Add == nil && req.Msg.Remove == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("one of add and remove is required"))
	}
	if err := o.announceMember(ctx, req.Msg.Add); err != nil {
		return nil, o.connectError(err)
	}
	if err := o.cluster.Change(ctx, req.Msg.Add, req.Msg.Remove); err != nil {
		return nil, o.connectError(err)
	}
	members, err := o.members(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ChangeMembersResponse{Members: members}), nil
}

// announceMember tells all members the address of one that is being added.
func (o *operators) announceMember(ctx context.Context, add *pb.Member) error {
	if add == nil {
		return nil
	}
	if add.Id == 0 || add.Address == "" {
		return transport.Errorf(pb.Status_INVALID, "the added member needs an id and an address")
	}
	data, err := encodeCommand(commandMember, &pb.Hello{DaemonId: strconv.FormatUint(add.Id, 10), Vm: add.Address})
	if err != nil {
		return err
	}
	_, err = o.propose(ctx, storeGroup, data)
	return err
}

// GetEvents returns recent events of this process. Every member answers.
func (o *operators) GetEvents(ctx context.Context, req *connect.Request[pb.EventsRequest]) (*connect.Response[pb.EventsResponse], error) {
	if err := o.authorize(ctx, false); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.EventsResponse{Events: o.opts.Recorder.Events(req.Msg)}), nil
}
