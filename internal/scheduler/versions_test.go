package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// versionPool returns a pool with a prefill engine, one decode engine of version v1 and
// two of v2.
func versionPool() *Pool {
	p := platformPool(Params{OnDemandMemory: true, LocalPrefill: true})
	engines := platformEngines(1, 3)
	for i, version := range []string{"v2", "v1", "v2", "v2"} {
		engines[i].SoftwareVersion = version
	}
	p.Announce(engines, 3*time.Second)
	return p
}

func resumedRequest(id, version string) *pb.SubmitRequest {
	req := platformRequest(id, 5000, 700)
	req.MadeTokens, req.SoftwareVersion = 70, version
	return req
}

// decodeEngines returns the decode engines of the grants among actions, by ticket.
func decodeEngines(actions []Action) map[uint64]string {
	out := map[uint64]string{}
	for _, a := range actions {
		if x, ok := a.(SubmitResult); ok && x.Response.GetGrant() != nil {
			out[x.Ticket] = x.Response.GetGrant().Decode.Id
		}
	}
	return out
}

// Guards against a stream that is placed on an engine of another software version than
// the one at which it began, and against new drafts that take the room of streams which
// only these engines may resume.
func TestStreamsAreResumedAtEnginesOfTheirVersion(t *testing.T) {
	p := versionPool()
	now := 3 * time.Second
	var holds []string
	for ticket := uint64(1); ; ticket++ {
		granted := decodeEngines(append(p.Submit(ticket, resumedRequest(fmt.Sprint("r", ticket), "v1"), now), p.Run(Placement, now)...))
		if len(granted) == 0 {
			break
		}
		require.Equal(t, "d0", granted[ticket])
		for id := range p.holds.byID {
			holds = append(holds, id)
		}
	}
	require.Greater(t, len(holds), 3)
	require.Equal(t, 1, p.Queued(), "a stream of v1 waits for its engine")
	out := append(p.Submit(100, platformRequest("new", 5000, 700), now), p.Run(Placement, now)...)
	require.Contains(t, []string{"d1", "d2"}, decodeEngines(out)[100], "the other version has room")

	for i := uint64(101); ; i++ {
		if len(decodeEngines(append(p.Submit(i, platformRequest(fmt.Sprint("new", i), 5000, 700), now), p.Run(Placement, now)...))) == 0 {
			break
		}
	}
	require.True(t, p.Release(&pb.ReleaseRequest{HoldId: holds[0], Outcome: pb.ReleaseRequest_COMPLETED, OutputTokens: 700}, now))
	for ticket, engine := range decodeEngines(p.Run(Placement, now)) {
		require.Equal(t, "d0", engine)
		require.Less(t, ticket, uint64(100), "a new draft went ahead of a stream")
	}
}

// Guards against a stream to resume that waits for the only engine of its version, or for
// memory, and holds up those behind it while new drafts are served.
func TestStreamThatFitsNowhereDoesNotHoldUpOthers(t *testing.T) {
	t.Run("version", func(t *testing.T) {
		p := versionPool()
		now := 3 * time.Second
		ticket := uint64(1)
		for ; p.Queued() == 0; ticket++ {
			p.Submit(ticket, resumedRequest(fmt.Sprint("r", ticket), "v1"), now)
			p.Run(Placement, now)
		}
		out := append(p.Submit(ticket, resumedRequest("other", "v2"), now), p.Run(Placement, now)...)
		require.Contains(t, []string{"d1", "d2"}, decodeEngines(out)[ticket])
	})
	t.Run("excluded engines", func(t *testing.T) {
		p := versionPool()
		now := 3 * time.Second
		excluding := resumedRequest("excluding", "v2")
		excluding.Exclude = []string{"d1", "d2"}
		require.Empty(t, decodeEngines(append(p.Submit(1, excluding, now), p.Run(Placement, now)...)))
		require.Equal(t, 1, p.Queued())
		out := append(p.Submit(2, resumedRequest("other", "v2"), now), p.Run(Placement, now)...)
		require.Contains(t, []string{"d1", "d2"}, decodeEngines(out)[2])
	})
}

// Guards against streams that are resumed one after the other on each engine, although
// together they would pause the others for less time than one long one.
func TestShortStreamsAreResumedTogether(t *testing.T) {
	p := platformPool(Params{OnDemandMemory: true, LocalPrefill: true})
	now := 3 * time.Second
	p.Announce([]*pb.UpstreamState{platformEngine("p1", rolePrefill), platformEngine("d1", roleDecode)}, now)
	var together int
	for ticket := uint64(1); ticket <= 20; ticket++ {
		req := platformRequest(fmt.Sprint("r", ticket), 1000+1400, 700)
		req.MadeTokens = 1400
		together += len(grantedTickets(append(p.Submit(ticket, req, now), p.Run(Placement, now)...)))
	}
	require.Greater(t, together, 1)
	e := p.upstreams.byID["d1"].view
	require.Equal(t, together*1400, e.GeneratedTokens)
	require.LessOrEqual(t, float64(e.GeneratedTokens)/(0.5*e.PrefillRate), 0.18, "their pause is that of the longest local prefill")
}
