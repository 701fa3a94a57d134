package edge

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/policy"
)

// responseMargin is added to a request's MaxWait to give the timeout of its
// submission. It covers the transmission of the scheduler's response.
const responseMargin = 150 * time.Millisecond

// unresponsiveBackoff is how long no request is submitted to an unresponsive
// scheduler, because waiting for it delays each of them.
const unresponsiveBackoff = 700 * time.Millisecond

// placer implements forward.Placer with the core's scheduler.
type placer struct {
	schedulerClients *entry.SchedulerClients
	logger           *log.Logger
	// backoffUntil is the end of the backoff in Unix nanoseconds.
	backoffUntil atomic.Int64
}

// Reserve implements forward.Placer.
func (p *placer) Reserve(ctx context.Context, req *forward.ReserveRequest) (forward.Reservation, error) {
	if !p.schedulerClients.Connected(req.Service) || time.Now().UnixNano() < p.backoffUntil.Load() {
		return nil, forward.ErrNoScheduler
	}
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait+responseMargin)
	defer cancel()
	resp, err := p.schedulerClients.TrySubmit(ctx, submission(req, p.schedulerClients.Level(req.Service)))
	if err != nil {
		p.logger.Warn().Str("event", "scheduler.unanswered").Str("id", req.ID).Str("pool", req.Service).
			Int64("wait_ms", req.MaxWait.Milliseconds()).Err(err).Msg("")
		if ctx.Err() == nil {
			// The scheduler failed or sent no heartbeat, although there was time left.
			p.backoffUntil.Store(time.Now().Add(unresponsiveBackoff).UnixNano())
		}
		return nil, forward.ErrNoScheduler
	}
	if r := resp.GetRefusal(); r != nil {
		if r.Code == pb.Refusal_NO_UPSTREAM || r.Code == pb.Refusal_NOT_HOLDER {
			p.logger.Warn().Str("event", "scheduler.cannot_place").Str("id", req.ID).Str("pool", req.Service).Str("detail", r.Message).Msg("")
			return nil, forward.ErrNoScheduler
		}
		return nil, &forward.Refusal{
			Reason: strings.ToLower(r.Code.String()), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		}
	}
	return &reservation{schedulerClients: p.schedulerClients, pool: req.Service, grant: resp.GetGrant()}, nil
}

// submission returns the message to a scheduler of the given level that asks for a
// reservation.
func submission(req *forward.ReserveRequest, scheduler protocol.Level) *pb.SubmitRequest {
	exclude := req.Exclude
	if !scheduler.KeepsRunVersions() {
		// It may not compare versions, and place the stream where it must not go on.
		exclude = slices.Concat(exclude, req.OtherVersions)
	}
	return &pb.SubmitRequest{
		RequestId: req.ID, Attempt: uint32(req.Attempt), Pool: req.Service, Model: req.Model,
		RequestClass: pb.RequestClass_REQUEST_CLASS_DRAFT,
		PromptTokens: uint32(req.PromptTokens), MaxOutputTokens: uint32(req.OutputTokens), MadeTokens: uint32(req.GeneratedTokens),
		MaxWaitMs: millis(req.MaxWait), DeadlineMs: millis(req.RemainingTime), TtftTargetMs: millis(req.TTFTTarget), AgeMs: millis(req.Age),
		Exclude: exclude, RetrySends: uint32(req.RetrySends), ContentHash: req.ContentHash,
		SoftwareVersion: req.Version, WeightsVersion: req.Weights,
		Organisation: req.Organisation, Priority: statedPriority(req), HeldMs: millis(req.HeldPrompt),
	}
}

// statedPriority returns the priority to state to the scheduler, plus one. Requests without
// an organisation state none unless there are tenants, so that deployments without tenants
// keep one queue.
func statedPriority(req *forward.ReserveRequest) uint32 {
	if req.Organisation == "" && !req.HasPriority {
		return 0
	}
	return uint32(min(max(req.Priority, 0), policy.LowestPriority)) + 1
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// reservation implements forward.Reservation with a hold granted by the scheduler.
type reservation struct {
	schedulerClients *entry.SchedulerClients
	pool             string
	grant            *pb.Grant
}

func (r *reservation) Prefill() string { return r.grant.Prefill.GetId() }
func (r *reservation) Decode() string  { return r.grant.Decode.GetId() }

var progressStages = map[forward.Stage]pb.ProgressRequest_Stage{
	forward.StagePrefilling:      pb.ProgressRequest_PREFILL_STARTED,
	forward.StagePrefilled:       pb.ProgressRequest_PREFILL_DONE,
	forward.StageDecoding:        pb.ProgressRequest_FIRST_TOKEN,
	forward.StagePrefillRejected: pb.ProgressRequest_PREFILL_STARTED,
}

// ReportProgress implements forward.Reservation.
func (r *reservation) ReportProgress(s forward.Stage, took time.Duration, load *forward.Load) {
	r.schedulerClients.Progress(r.pool, &pb.ProgressRequest{
		HoldId: r.grant.HoldId, Stage: progressStages[s], DurationUs: uint32(took.Microseconds()), Load: protoLoad(load),
		PrefillRejected: s == forward.StagePrefillRejected,
	})
}

func protoLoad(l *forward.Load) *pb.StatedLoad {
	if l == nil {
		return nil
	}
	return &pb.StatedLoad{Running: uint32(l.Running), Waiting: uint32(l.Waiting)}
}

var releaseOutcomes = map[forward.Outcome]pb.ReleaseRequest_Outcome{
	forward.OutcomeCompleted:     pb.ReleaseRequest_COMPLETED,
	forward.OutcomeCancelled:     pb.ReleaseRequest_CANCELLED,
	forward.OutcomePrefillFailed: pb.ReleaseRequest_PREFILL_FAILED,
	forward.OutcomeDecodeFailed:  pb.ReleaseRequest_DECODE_FAILED,
	forward.OutcomeNotStarted:    pb.ReleaseRequest_NOT_STARTED,
	forward.OutcomeRejected:      pb.ReleaseRequest_REJECTED,
	forward.OutcomeUnreachable:   pb.ReleaseRequest_UNREACHABLE,
	forward.OutcomeHandleLost:    pb.ReleaseRequest_TRANSFER_FAILED,
}

// Release implements forward.Reservation.
func (r *reservation) Release(result forward.Result) {
	perToken := time.Duration(0)
	if result.OutputTokens > 0 {
		perToken = result.Took / time.Duration(result.OutputTokens)
	}
	r.schedulerClients.Release(r.pool, &pb.ReleaseRequest{
		HoldId: r.grant.HoldId, Outcome: releaseOutcomes[result.Outcome], OutputTokens: uint32(result.OutputTokens),
		TpotUs: uint32(perToken.Microseconds()), Load: protoLoad(result.Load),
	})
}
