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

// schedulerCallTimeout bounds one call to a scheduler.
const schedulerCallTimeout = 5 * time.Second

// GetConfig returns the current configuration.
func (o *operatorService) GetConfig(ctx context.Context, _ *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	if err := o.beginRead(ctx); err != nil {
		return nil, err
	}
	cfg, _ := o.store.currentConfig()
	return connect.NewResponse(&pb.GetConfigResponse{Config: cfg}), nil
}

// WatchConfig sends the configuration at once and after each change.
func (o *operatorService) WatchConfig(ctx context.Context, _ *connect.Request[pb.WatchConfigRequest], st *connect.ServerStream[pb.WatchConfigResponse]) error {
	if err := o.beginRead(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(watchLeaderCheckInterval)
	defer ticker.Stop()
	var sent *pb.Config
	for {
		cfg, changed := o.store.currentConfig()
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
			if err := o.beginRead(ctx); err != nil {
				return err
			}
		}
	}
}

// GetHistory lists changes, newest first.
func (o *operatorService) GetHistory(ctx context.Context, req *connect.Request[pb.GetHistoryRequest]) (*connect.Response[pb.GetHistoryResponse], error) {
	if err := o.beginRead(ctx); err != nil {
		return nil, err
	}
	limit := int(min(req.Msg.Limit, maxHistoryLimit))
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	return connect.NewResponse(&pb.GetHistoryResponse{Entries: o.store.recentChanges(limit, req.Msg.Route)}), nil
}

// ListLeases lists pool leases and serving leases.
func (o *operatorService) ListLeases(ctx context.Context, _ *connect.Request[pb.ListLeasesRequest]) (*connect.Response[pb.ListLeasesResponse], error) {
	if err := o.beginRead(ctx); err != nil {
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

// poolLeases returns the lease of one pool, or all pool leases when the name is
// empty.
func (o *operatorService) poolLeases(name string) ([]*pb.PoolLease, error) {
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

// ListUpstreams lists the upstreams of one or all pools as reported by their
// schedulers.
func (o *operatorService) ListUpstreams(ctx context.Context, req *connect.Request[pb.ListUpstreamsRequest]) (*connect.Response[pb.ListUpstreamsResponse], error) {
	states, err := o.schedulerStates(ctx, req.Msg.Pool)
	if err != nil {
		return nil, err
	}
	for _, st := range states {
		st.Holds = nil
	}
	return connect.NewResponse(&pb.ListUpstreamsResponse{Pools: states}), nil
}

// ListRequests lists the holds of requests in flight in one or all pools.
func (o *operatorService) ListRequests(ctx context.Context, req *connect.Request[pb.ListRequestsRequest]) (*connect.Response[pb.ListRequestsResponse], error) {
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

func (o *operatorService) schedulerStates(ctx context.Context, pool string) ([]*pb.SchedulerState, error) {
	if err := o.beginRead(ctx); err != nil {
		return nil, err
	}
	leases, err := o.poolLeases(pool)
	if err != nil {
		return nil, err
	}
	var out []*pb.SchedulerState
	for _, l := range leases {
		st := &pb.SchedulerState{}
		if err := o.callScheduler(ctx, l, transport.MethodSchedulerState, &pb.SchedulerStateRequest{Pool: l.Name}, st); err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}

// OrderEngine sends an order to an engine through its pool's scheduler.
func (o *operatorService) OrderEngine(ctx context.Context, req *connect.Request[pb.OrderEngineRequest]) (*connect.Response[pb.OrderEngineResponse], error) {
	if err := o.authorize(ctx, true); err != nil {
		return nil, err
	}
	if req.Msg.GetOrder().GetUpstreamId() == "" || req.Msg.Pool == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("pool and order.upstream_id are required"))
	}
	if err := o.confirmLeadership(ctx); err != nil {
		return nil, o.connectError(err)
	}
	leases, err := o.poolLeases(req.Msg.Pool)
	if err != nil {
		return nil, err
	}
	req.Msg.Order.FencingToken = leases[0].FencingToken
	resp := &pb.OrderEngineResponse{}
	if err := o.callScheduler(ctx, leases[0], transport.MethodOrder, req.Msg.Order, resp); err != nil {
		return nil, err
	}
	o.recordEvent("engine.ordered", "", "operator", operatorName(ctx), "upstream", req.Msg.Order.UpstreamId, "result", resp.Result)
	return connect.NewResponse(resp), nil
}

// CutoverStatus reports how many requests of a route are still in flight on the
// old service. A cutover is complete when there are none and every daemon that
// may serve has applied the current version. After an election it is not complete
// until all daemons have had time to report.
func (o *operatorService) CutoverStatus(ctx context.Context, req *connect.Request[pb.CutoverStatusRequest]) (*connect.Response[pb.CutoverStatusResponse], error) {
	if err := o.beginRead(ctx); err != nil {
		return nil, err
	}
	cfg, _ := o.store.currentConfig()
	r := changeset.FindRoute(cfg, req.Msg.Route)
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
func (o *operatorService) ListMembers(ctx context.Context, _ *connect.Request[pb.ListMembersRequest]) (*connect.Response[pb.ListMembersResponse], error) {
	if err := o.beginRead(ctx); err != nil {
		return nil, err
	}
	members, err := o.members(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ListMembersResponse{Members: members}), nil
}

func (o *operatorService) members(ctx context.Context) ([]*pb.Member, error) {
	if o.cluster == nil {
		id, _, _ := o.replicator.Leader(storeGroup)
		return []*pb.Member{{Id: id, Address: o.opts.Address, Leader: true}}, nil
	}
	members, err := o.cluster.Members(ctx)
	return members, o.connectError(err)
}

// ChangeMembers adds, removes or replaces one member.
func (o *operatorService) ChangeMembers(ctx context.Context, req *connect.Request[pb.ChangeMembersRequest]) (*connect.Response[pb.ChangeMembersResponse], error) {
	if err := o.authorize(ctx, true); err != nil {
		return nil, err
	}
	if err := o.confirmLeadership(ctx); err != nil {
		return nil, o.connectError(err)
	}
	if o.cluster == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this store has a single member without replication"))
	}
	if req.Msg.Add == nil && req.Msg.Remove == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("one of add and remove is required"))
	}
	if err := o.proposeMemberAddress(ctx, req.Msg.Add); err != nil {
		return nil, o.connectError(err)
	}
	if err := o.cluster.ChangeMembers(ctx, req.Msg.Add, req.Msg.Remove); err != nil {
		return nil, o.connectError(err)
	}
	members, err := o.members(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ChangeMembersResponse{Members: members}), nil
}

// proposeMemberAddress replicates the address of a member that is being added to
// all members.
func (o *operatorService) proposeMemberAddress(ctx context.Context, add *pb.Member) error {
	if add == nil {
		return nil
	}
	if add.Id == 0 || add.Address == "" {
		return transport.Errorf(pb.Status_INVALID, "the added member needs an id and an address")
	}
	data, err := encodeCommand(commandMemberAddress, &pb.Hello{DaemonId: strconv.FormatUint(add.Id, 10), Vm: add.Address})
	if err != nil {
		return err
	}
	_, err = o.propose(ctx, storeGroup, data)
	return err
}

// GetEvents returns recent events of this process. It works on every member,
// including followers.
func (o *operatorService) GetEvents(ctx context.Context, req *connect.Request[pb.EventsRequest]) (*connect.Response[pb.EventsResponse], error) {
	if err := o.authorize(ctx, false); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.EventsResponse{Events: o.opts.Recorder.Events(req.Msg)}), nil
}
