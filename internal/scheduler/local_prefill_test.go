package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Guards against requests that are refused while the engines have room: without a prefill
// engine each decode engine took one prompt at a time, however short, and then only decoded
// for one event, which is five requests a second. In `gw-soak --seed 5001 --runners 2
// --engines 2 --faults rejections` one of two engines with 8 slots had 3 requests.
func TestShortPromptsAreNotPrefilledOneAtATime(t *testing.T) {
	p := platformPool(Params{OnDemandMemory: true, LocalPrefill: true, AssumedRates: policy.Rates{PrefillRate: 55000, DecodeSeconds: 0.0007}})
	engine := platformEngine("d0", roleDecode)
	engine.MaxBatch, engine.PrefillTokensPerS, engine.DecodeUsPerToken = 8, 0, 0
	const tick, firstEvent, answer = 10 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond
	type running struct {
		hold  string
		since time.Duration
		begun bool
	}
	var list []running
	ticket := uint64(0)
	refused, granted := 0, 0
	for now := 3 * time.Second; now < 8*time.Second; now += tick {
		p.Announce([]*pb.UpstreamState{engine}, now)
		var out []Action
		if now%(100*time.Millisecond) == 0 {
			ticket++
			req := platformRequest(fmt.Sprint("r", ticket), 100, 10)
			req.MaxWaitMs = 960
			out = p.Submit(ticket, req, now)
		}
		var left []running
		for _, r := range list {
			switch {
			case now-r.since >= answer:
				p.Release(&pb.ReleaseRequest{HoldId: r.hold, Outcome: pb.ReleaseRequest_COMPLETED, OutputTokens: 10, TpotUs: 50000}, now)
				continue
			case now-r.since >= firstEvent && !r.begun:
				p.Progress(&pb.ProgressRequest{HoldId: r.hold, Stage: pb.ProgressRequest_FIRST_TOKEN}, now)
				r.begun = true
			}
			left = append(left, r)
		}
		list = left
		out = append(out, p.Run(Expiry, now)...)
		for _, a := range append(out, p.Run(Placement, now)...) {
			x, ok := a.(SubmitResult)
			switch {
			case ok && x.Response.GetGrant() != nil:
				granted++
				list = append(list, running{hold: x.Response.GetGrant().HoldId, since: now})
			case ok:
				refused++
			}
		}
	}
	require.Zero(t, refused, "of %d granted", granted)
}

// Guards against many short prompts that are prefilled at once, or beside a long one, and
// together make a long pause between two events of the requests that run there.
func TestShortPromptsTogetherStayShort(t *testing.T) {
	p := platformPool(Params{OnDemandMemory: true, LocalPrefill: true})
	now := 3 * time.Second
	p.Announce([]*pb.UpstreamState{platformEngine("d0", roleDecode)}, now)
	grants := submitAll(p, now, 8, 150, 100)
	require.Len(t, grants, 3)
	for _, g := range grants {
		p.Progress(&pb.ProgressRequest{HoldId: g.HoldId, Stage: pb.ProgressRequest_FIRST_TOKEN}, now)
	}
	p.Run(Expiry, now)
	require.Len(t, grantedTickets(p.Run(Placement, now)), 3, "no cooldown after short prompts")

	p = platformPool(Params{OnDemandMemory: true, LocalPrefill: true})
	p.Announce([]*pb.UpstreamState{platformEngine("d0", roleDecode)}, now)
	long := submitAll(p, now, 1, policy.MinLocalPrefillTokens, 100)
	require.Len(t, long, 1)
	require.Empty(t, grantedTickets(append(p.Submit(1, platformRequest("short", 150, 100), now), p.Run(Placement, now)...)))
	p.Progress(&pb.ProgressRequest{HoldId: long[0].HoldId, Stage: pb.ProgressRequest_FIRST_TOKEN}, now)
	p.Run(Expiry, now)
	require.Empty(t, grantedTickets(p.Run(Placement, now)), "the engine only decodes for one event")
}
