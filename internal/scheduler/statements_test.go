package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against an engine that is given more requests than the limit that it states
// while another one has room, and against a limit that outlives its process.
func TestSchedulerKeepsTheLimitOfAnEngine(t *testing.T) {
	p := platformPool(Params{LocalPrefill: true, OnDemandMemory: true})
	now := 10 * time.Second
	announce := func(generation uint64) {
		for _, id := range []string{"p0", "d0", "d1"} {
			role := roleDecode
			if id == "p0" {
				role = rolePrefill
			}
			s := platformEngine(id, role)
			s.Generation = generation
			p.Announce([]*pb.UpstreamState{s}, now)
		}
	}
	announce(1)
	p.SetStatement(&pb.UpstreamStatement{Id: "d0", BornMs: 1, Limit: 0.5}, now)
	// serve places requests for some time and returns when d0 was given one.
	serve := func(d time.Duration) (at []time.Duration, grants int) {
		for end := now + d; now < end; now += 100 * time.Millisecond {
			announce(p.upstreams.byID["d0"].state.Generation)
			out := p.Submit(uint64(now), platformRequest(fmt.Sprint("r", now), 5000, 70), now)
			for _, a := range append(out, p.Run(Placement, now)...) {
				x, ok := a.(SubmitResult)
				if !ok || x.Response.GetGrant() == nil {
					continue
				}
				g := x.Response.GetGrant()
				grants++
				if g.Decode.Id == "d0" {
					at = append(at, now)
				}
				p.Release(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_COMPLETED, OutputTokens: 70, TpotUs: 700}, now)
			}
		}
		return at, grants
	}
	at, grants := serve(20 * time.Second)
	require.Equal(t, 200, grants)
	for i, first := range at {
		if i+3 < len(at) {
			require.Greater(t, at[i+3]-first, 3*time.Second, "four requests in a row")
		}
	}
	require.Greater(t, len(at), 5, "the limit is not used")

	p.SetStatement(&pb.UpstreamStatement{Id: "d1", BornMs: 1, Limit: 0.5}, now)
	_, grants = serve(20 * time.Second)
	require.InDelta(t, 20, grants, 4, "both engines state a limit")

	announce(2)
	_, grants = serve(2 * time.Second)
	require.Greater(t, grants, 15, "a new process has no limit")
}

// Guards against placements on an engine that has said in a response that it leaves,
// while it still announces itself as ready.
func TestSchedulerUsesNoEngineThatSaysItLeaves(t *testing.T) {
	p := platformPool(Params{LocalPrefill: true, OnDemandMemory: true})
	now := 10 * time.Second
	announce := func(generation uint64) {
		s := platformEngine("d0", roleDecode)
		s.Generation = generation
		p.Announce([]*pb.UpstreamState{s, platformEngine("d1", roleDecode)}, now)
	}
	announce(1)
	p.SetStatement(&pb.UpstreamStatement{Id: "d0", BornMs: 1, Leaving: true}, now)
	announce(1)
	for _, g := range submitAll(p, now, 6, 1000, 70) {
		require.Equal(t, "d1", g.Decode.Id)
	}
	announce(2)
	require.True(t, p.upstreams.byID["d0"].view.Usable, "a new process does not leave")
}
