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
	// LeaderAddressHeader names the leader's operator address in errors of
	// members that do not lead.
	LeaderAddressHeader = "Leader-Address"
	// OperatorHeader names the operator on connections without a client
	// certificate.
	OperatorHeader = "Operator"
	// anonymous is recorded for an operator that gave no name.
	anonymous = "anonymous"
	// maxOperatorRequest bounds one request of an operator, bytes.
	maxOperatorRequest = 8 << 20

	// maxInForceWait bounds the wait of a change. It is longer than the 7 s in
	// which a change comes into force after any single failure.
	maxInForceWait = 10 * time.Second
	// answerMargin is the time left for the answer to reach the caller.
	answerMargin = 500 * time.Millisecond

	defaultHistory = 100
	maxHistoryPage = 1000
)

// operators implements godwitwardv1connect.OperatorServiceHandler.
type operators struct {
	*Server
}

// OperatorHandler returns the operators' Connect service with the path that it
// is mounted on.
func (s *Server) OperatorHandler() (path string, h http.Handler) {
	path, h = godwitwardv1connect.NewOperatorServiceHandler(&operators{s}, connect.WithReadMaxBytes(maxOperatorRequest))
	return path, withOperator(h)
}

type operatorKey struct{}

// withOperator puts the operator's name into the context: the common name of
// the verified client certificate, or the header on other connections.
func withOperator(next http.Handler) http.Handler {
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

func operatorFrom(ctx context.Context) string {
	if name, ok := ctx.Value(operatorKey{}).(string); ok {
		return name
	}
	return anonymous
}

// authorize checks the operator's permission.
func (o *operators) authorize(ctx context.Context, change bool) error {
	if o.opts.Authorize == nil {
		return nil
	}
	if err := o.opts.Authorize(operatorFrom(ctx), change); err != nil {
		return connect.NewError(connect.CodePermissionDenied, err)
	}
	return nil
}

// read checks the permission and makes the following read linearizable.
func (o *operators) read(ctx context.Context) error {
	if err := o.authorize(ctx, false); err != nil {
		return err
	}
	return o.connectError(o.confirm(ctx))
}

// connectError translates the errors of this package. A call to a member that
// does not lead fails with the leader's operator address in a header.
func (o *operators) connectError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNotLeader) {
		err = o.notLeader(storeGroup)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	switch transport.Code(err) {
	case pb.Status_NOT_LEADER:
		e := connect.NewError(connect.CodeFailedPrecondition, err)
		if id, self, _ := o.repl.Leader(storeGroup); id != 0 && !self {
			if address := o.store.address(id).GetPlace(); address != "" {
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

// ChangeConfig commits one change and waits until it is in force.
func (o *operators) ChangeConfig(ctx context.Context, req *connect.Request[pb.ChangeConfigRequest]) (*connect.Response[pb.ChangeConfigResponse], error) {
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
	if err := o.confirm(ctx); err != nil {
		return nil, o.connectError(err)
	}
	change.Operator = operatorFrom(ctx)
	change.TimeMs = time.Now().UnixMilli()
	out := o.precheck(change, req.Msg.DryRun)
	if out != nil {
		return o.answerChange(ctx, out, req.Msg.DryRun)
	}
	out, err := o.commitChange(ctx, change)
	if err != nil {
		return nil, o.connectError(err)
	}
	return o.answerChange(ctx, out, false)
}

// precheck returns the outcome of a change that needs no commit: a resend, a
// dry run, or one that is invalid. The check holds for the version that the
// change replaces, so a concurrent change cannot make it stale.
func (o *operators) precheck(change *pb.ConfigChange, dryRun bool) *pb.ChangeOutcome {
	first, reused, cfg := o.store.preview(change)
	if reused {
		return reusedOutcome(cfg.Version)
	}
	if first != nil {
		return first
	}
	if change.BaseVersion != cfg.Version {
		if !dryRun {
			return nil
		}
		return o.store.conflict(change.BaseVersion)
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

// validate returns the findings of the configured checks.
func (o *operators) validate(cfg *pb.Config, change *pb.ConfigChange) []*pb.Finding {
	var out []*pb.Finding
	if r := change.GetPutRoute(); r != nil && o.opts.Validate != nil {
		out = o.opts.Validate(r)
	}
	if o.opts.ValidateChange != nil {
		out = append(out, o.opts.ValidateChange(cfg, change)...)
	}
	return out
}

func reusedOutcome(version uint64) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{
		Code:     pb.ChangeOutcome_INVALID,
		Version:  version,
		Findings: []*pb.Finding{{Field: "request_id", Message: "was used for a different change"}},
	}
}

// preview returns the recorded outcome of the change's request id, if any, and
// the current configuration.
func (s *store) preview(change *pb.ConfigChange) (first *pb.ChangeOutcome, reused bool, cfg *pb.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, reused = s.lookup(change)
	return first, reused, s.config
}

func (s *store) conflict(base uint64) *pb.ChangeOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withMissed(base, &pb.ChangeOutcome{Code: pb.ChangeOutcome_VERSION_CONFLICT, Version: s.config.Version})
}

func (o *operators) commitChange(ctx context.Context, change *pb.ConfigChange) (*pb.ChangeOutcome, error) {
	data, err := encodeCommand(commandChange, change)
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
	if r.reused {
		return reusedOutcome(o.store.version()), nil
	}
	if r.outcome.Code == pb.ChangeOutcome_ACCEPTED {
		o.event("config.committed", "", "version", strconv.FormatUint(r.outcome.Version, 10),
			"operator", change.Operator, "change", change.RequestId)
	}
	return r.outcome, nil
}

// inForceWait returns how long to wait for a version to be in force: less than
// the caller does, so that it learns that its change is accepted.
func inForceWait(ctx context.Context) time.Duration {
	until, ok := ctx.Deadline()
	if !ok {
		return maxInForceWait
	}
	left := time.Until(until)
	return min(left-min(left/4, answerMargin), maxInForceWait)
}

// answerChange waits until an accepted change is in force. When the wait ends
// early the change stays accepted, and the answer says that it is not confirmed.
func (o *operators) answerChange(ctx context.Context, out *pb.ChangeOutcome, dryRun bool) (*connect.Response[pb.ChangeConfigResponse], error) {
	resp := &pb.ChangeConfigResponse{Outcome: proto.Clone(out).(*pb.ChangeOutcome)}
	if out.Code == pb.ChangeOutcome_ACCEPTED && !dryRun {
		ctx, cancel := context.WithTimeout(ctx, inForceWait(ctx))
		defer cancel()
		resp.InForce = o.awaitInForce(ctx, out.Version) == nil
	}
	return connect.NewResponse(resp), nil
}
