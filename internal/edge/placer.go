package edge

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/forward"
)

// answerSlack is added to the wait that the scheduler was told, for its answer
// to arrive.
const answerSlack = 150 * time.Millisecond

// silentPause is how long a scheduler that showed no sign of life is not asked
// again: each request that asks loses time of its caller.
const silentPause = 700 * time.Millisecond

// placer reserves room at the core's scheduler.
type placer struct {
	pools  *entry.Pools
	logger *log.Logger
	// resumeAt is the Unix time in nanoseconds from which the scheduler is asked
	// again.
	resumeAt atomic.Int64
}

// Reserve implements forward.Placer.
func (p *placer) Reserve(ctx context.Context, d *forward.ReserveRequest) (forward.Reservation, error) {
	if !p.pools.Connected(d.Service) || time.Now().UnixNano() < p.resumeAt.Load() {
		return nil, forward.ErrNoScheduler
	}
	ctx, cancel := context.WithTimeout(ctx, d.MaxWait+answerSlack)
	defer cancel()
	resp, err := p.pools.TrySubmit(ctx, &pb.SubmitRequest{
		RequestId: d.ID, Attempt: uint32(d.Attempt), Pool: d.Service, Model: d.Model,
		RequestClass: pb.RequestClass_REQUEST_CLASS_DRAFT,
		PromptTokens: uint32(d.PromptTokens), MaxOutputTokens: uint32(d.OutputTokens), MadeTokens: uint32(d.GeneratedTokens),
		MaxWaitMs: millis(d.MaxWait), DeadlineMs: millis(d.RemainingTime), TtftTargetMs: millis(d.TTFTTarget), AgeMs: millis(d.Age),
		Exclude: d.Exclude,
	})
	if err != nil {
		p.logger.Warn().Str("event", "scheduler.unanswered").Str("id", d.ID).Str("pool", d.Service).
			Int64("wait_ms", d.MaxWait.Milliseconds()).Err(err).Msg("")
		if ctx.Err() == nil {
			p.resumeAt.Store(time.Now().Add(silentPause).UnixNano())
		}
		return nil, forward.ErrNoScheduler
	}
	if r := resp.GetRefusal(); r != nil {
		if r.Code == pb.Refusal_NO_UPSTREAM || r.Code == pb.Refusal_NOT_HOLDER {
			p.logger.Warn().Str("event", "scheduler.cannot_place").Str("id", d.ID).Str("pool", d.Service).Str("detail", r.Message).Msg("")
			return nil, forward.ErrNoScheduler
		}
		return nil, &forward.Refusal{
			Reason: strings.ToLower(r.Code.String()), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		}
	}
	return &reservation{pools: p.pools, pool: d.Service, grant: resp.GetGrant()}, nil
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// reservation is one granted hold.
type reservation struct {
	pools *entry.Pools
	pool  string
	grant *pb.Grant
}

func (r *reservation) Prefill() string { return r.grant.Prefill.GetId() }
func (r *reservation) Decode() string  { return r.grant.Decode.GetId() }

// Budgeted implements forward.Reservation: the scheduler of a pool charges each
// attempt after the first.
func (r *reservation) Budgeted() bool { return true }

var stages = map[forward.Stage]pb.ProgressRequest_Stage{
	forward.StagePrefilling: pb.ProgressRequest_PREFILL_STARTED,
	forward.StagePrefilled:  pb.ProgressRequest_PREFILL_DONE,
	forward.StageDecoding:   pb.ProgressRequest_FIRST_TOKEN,
}

// ReportProgress implements forward.Reservation.
func (r *reservation) ReportProgress(s forward.Stage, took time.Duration, load *forward.Load) {
	r.pools.Progress(r.pool, &pb.ProgressRequest{
		HoldId: r.grant.HoldId, Stage: stages[s], DurationUs: uint32(took.Microseconds()), Load: statedLoad(load),
	})
}

func statedLoad(l *forward.Load) *pb.StatedLoad {
	if l == nil {
		return nil
	}
	return &pb.StatedLoad{Running: uint32(l.Running), Waiting: uint32(l.Waiting)}
}

var ends = map[forward.Outcome]pb.ReleaseRequest_Outcome{
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
	r.pools.Release(r.pool, &pb.ReleaseRequest{
		HoldId: r.grant.HoldId, Outcome: ends[result.Outcome], OutputTokens: uint32(result.OutputTokens),
		TpotUs: uint32(perToken.Microseconds()), Load: statedLoad(result.Load),
	})
}
