package control

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control/changeset"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// LeaderAddressHeader carries the leader's operator address in errors from
	// members that do not lead.
	LeaderAddressHeader = "Leader-Address"
	// OperatorHeader carries the operator's name on connections without TLS.
	OperatorHeader = "Operator"
	// anonymous is the name recorded for an operator without one.
	anonymous = "anonymous"
	// maxOperatorRequestBytes bounds one message from an operator.
	maxOperatorRequestBytes = 8 << 20

	// maxInForceWait bounds the wait for a change to be in force. It exceeds the
	// 7 s within which a change is in force after any single failure.
	maxInForceWait = 10 * time.Second
	// responseMargin is the time reserved for the response to reach the operator.
	responseMargin = 500 * time.Millisecond

	defaultHistoryLimit = 100
	maxHistoryLimit     = 1000
)

// operatorService implements godwitwardv1connect.OperatorServiceHandler.
type operatorService struct {
	*Server
}

// OperatorHandler returns the handler of the operators' Connect service and the
// path to mount it on.
func (s *Server) OperatorHandler() (path string, h http.Handler) {
	path, h = godwitwardv1connect.NewOperatorServiceHandler(&operatorService{s}, connect.WithReadMaxBytes(maxOperatorRequestBytes))
	return path, withOperatorName(h)
}

type operatorKey struct{}

// withOperatorName stores the operator's name in the request context: the common
// name of the verified client certificate with TLS, else the value of
// OperatorHeader.
func withOperatorName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(OperatorHeader)
		if r.TLS != nil {
			name = ""
			if len(r.TLS.VerifiedChains) > 0 {
				name = r.TLS.VerifiedChains[0][0].Subject.CommonName
			}
		}
		if name == "" {
			name = anonymous
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func operatorName(ctx context.Context) string {
	if name, ok := ctx.Value(operatorKey{}).(string); ok {
		return name
	}
	return anonymous
}

// authorize returns a permission error unless the operator may change, or only
// read, the store.
func (o *operatorService) authorize(ctx context.Context, change bool) error {
	if o.opts.Authorize == nil {
		return nil
	}
	if err := o.opts.Authorize(operatorName(ctx), change); err != nil {
		return connect.NewError(connect.CodePermissionDenied, err)
	}
	return nil
}

// beginRead checks the permission to read and confirms the leadership, so that
// a read of the local state afterwards is linearizable.
func (o *operatorService) beginRead(ctx context.Context) error {
	if err := o.authorize(ctx, false); err != nil {
		return err
	}
	return o.connectError(o.confirmLeadership(ctx))
}

// connectError converts an error to a Connect error. On a member that does not
// lead, the error carries the leader's operator address in a header.
func (o *operatorService) connectError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNotLeader) {
		err = o.notLeaderError(storeGroup)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	switch transport.Code(err) {
	case pb.Status_NOT_LEADER:
		e := connect.NewError(connect.CodeFailedPrecondition, err)
		if id, self, _ := o.replicator.Leader(storeGroup); id != 0 && !self {
			if address := o.store.leaderAddress(id).GetPlace(); address != "" {
				e.Meta().Set(LeaderAddressHeader, address)
			}
		}
		return e
	case pb.Status_INVALID:
		return connect.NewError(connect.CodeInvalidArgument, err)
	case pb.Status_NOT_FOUND:
		return connect.NewError(connect.CodeNotFound, err)
	case pb.Status_UNIMPLEMENTED:
		return connect.NewError(connect.CodeUnimplemented, err)
	case pb.Status_DEADLINE:
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// ChangeConfig commits one configuration change and waits until it is in force.
func (o *operatorService) ChangeConfig(ctx context.Context, req *connect.Request[pb.ChangeConfigRequest]) (*connect.Response[pb.ChangeConfigResponse], error) {
	change := req.Msg.Change
	if change == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change is missing"))
	}
	if change.RequestId == "" && !req.Msg.DryRun {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change.request_id is empty; a resend could not be recognised"))
	}
	if err := o.authorize(ctx, !req.Msg.DryRun); err != nil {
		return nil, err
	}
	if err := o.confirmLeadership(ctx); err != nil {
		return nil, o.connectError(err)
	}
	change.Operator = operatorName(ctx)
	change.TimeMs = time.Now().UnixMilli()
	out := o.precheck(change, req.Msg.DryRun)
	if out != nil {
		return o.changeResponse(ctx, out, req.Msg.DryRun)
	}
	out, err := o.commitChange(ctx, change)
	if err != nil {
		return nil, o.connectError(err)
	}
	return o.changeResponse(ctx, out, false)
}

// precheck returns the outcome of a change that needs no commit: one whose
// outcome is recorded, a dry run, or an invalid one. Otherwise it returns nil.
// The checks apply to the base version of the change, so a concurrent change
// cannot make them stale.
func (o *operatorService) precheck(change *pb.ConfigChange, dryRun bool) *pb.ChangeOutcome {
	recorded, idReused, cfg := o.store.outcomeAndConfig(change)
	if idReused {
		return idReusedOutcome(cfg.Version)
	}
	if recorded != nil {
		return recorded
	}
	if change.BaseVersion != cfg.Version {
		if !dryRun {
			return nil
		}
		return o.store.conflictOutcome(change.BaseVersion)
	}
	res := changeset.Apply(cfg, change)
	findings := o.validate(cfg, change)
	if len(findings) == 0 {
		findings = res.Findings
	}
	switch {
	case res.Code == pb.ChangeOutcome_NOT_FOUND && !dryRun:
		return nil
	case res.Code == pb.ChangeOutcome_NOT_FOUND:
		return &pb.ChangeOutcome{Code: res.Code, Version: cfg.Version, Findings: findings}
	case len(findings) > 0:
		return &pb.ChangeOutcome{Code: pb.ChangeOutcome_INVALID, Version: cfg.Version, Findings: findings}
	case dryRun:
		return &pb.ChangeOutcome{Code: pb.ChangeOutcome_ACCEPTED, Version: res.Config.Version}
	}
	return nil
}

// validate returns the findings of Options.Validate and Options.ValidateChange.
func (o *operatorService) validate(cfg *pb.Config, change *pb.ConfigChange) []*pb.Finding {
	var out []*pb.Finding
	if r := change.GetPutRoute(); r != nil && o.opts.Validate != nil {
		out = o.opts.Validate(r)
	}
	if o.opts.ValidateChange != nil {
		out = append(out, o.opts.ValidateChange(cfg, change)...)
	}
	return out
}

func idReusedOutcome(version uint64) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{
		Code:     pb.ChangeOutcome_INVALID,
		Version:  version,
		Findings: []*pb.Finding{{Field: "request_id", Message: "was used for a different change"}},
	}
}

// outcomeAndConfig returns the result of lookupOutcome and the current
// configuration.
func (s *store) outcomeAndConfig(change *pb.ConfigChange) (recorded *pb.ChangeOutcome, idReused bool, cfg *pb.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recorded, idReused = s.lookupOutcome(change)
	return recorded, idReused, s.config
}

func (s *store) conflictOutcome(baseVersion uint64) *pb.ChangeOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withMissedChanges(baseVersion, &pb.ChangeOutcome{Code: pb.ChangeOutcome_VERSION_CONFLICT, Version: s.config.Version})
}

func (o *operatorService) commitChange(ctx context.Context, change *pb.ConfigChange) (*pb.ChangeOutcome, error) {
	data, err := encodeCommand(commandConfigChange, change)
	if err != nil {
		return nil, err
	}
	res, err := o.propose(ctx, storeGroup, data)
	if err != nil {
		return nil, err
	}
	r, ok := res.(changeResult)
	if !ok {
		return nil, transport.Errorf(pb.Status_UNKNOWN, "change returned %T", res)
	}
	if r.idReused {
		return idReusedOutcome(o.store.version()), nil
	}
	if r.outcome.Code == pb.ChangeOutcome_ACCEPTED {
		o.recordEvent("config.committed", "", "version", strconv.FormatUint(r.outcome.Version, 10),
			"operator", change.Operator, "change", change.RequestId)
	}
	return r.outcome, nil
}

// inForceWait returns how long to wait for a version to be in force. It ends
// before the deadline of the call, so that the operator still learns that the
// change is accepted.
func inForceWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxInForceWait
	}
	remaining := time.Until(deadline)
	return min(remaining-min(remaining/4, responseMargin), maxInForceWait)
}

// changeResponse builds the response to a change and waits until an accepted one
// is in force. When the wait ends early the change stays accepted and InForce is
// false.
func (o *operatorService) changeResponse(ctx context.Context, out *pb.ChangeOutcome, dryRun bool) (*connect.Response[pb.ChangeConfigResponse], error) {
	resp := &pb.ChangeConfigResponse{Outcome: proto.Clone(out).(*pb.ChangeOutcome)}
	if out.Code == pb.ChangeOutcome_ACCEPTED && !dryRun {
		ctx, cancel := context.WithTimeout(ctx, inForceWait(ctx))
		defer cancel()
		resp.InForce = o.awaitInForce(ctx, out.Version) == nil
	}
	return connect.NewResponse(resp), nil
}
