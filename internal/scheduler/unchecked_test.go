package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
)

// placeUnchecked submits one request of an entry that compares no weights, and returns the
// response, or nil if it is queued.
func placeUnchecked(p *Pool, ticket uint64, req *pb.SubmitRequest, now time.Duration) *pb.SubmitResponse {
	for _, a := range append(p.SubmitUnchecked(ticket, req, now), p.Run(Placement, now)...) {
		if x, ok := a.(SubmitResult); ok && x.Ticket == ticket {
			return x.Response
		}
	}
	return nil
}

// Guards against requests of entries of earlier builds, which compare no weights, that are
// decoded with prefill results of weights which the scheduler does not know.
func TestEntriesThatCompareNoWeightsAreGrantedKnownPairsOnly(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode []string
		paired          []string
	}{
		{"prefill engine unknown", []string{""}, []string{"1", "2"}, nil},
		{"decode engines unknown", []string{"1"}, []string{"", ""}, nil},
		{"some unknown", []string{"1", ""}, []string{"", "1"}, []string{"p0 d1"}},
		{"none known", []string{""}, []string{"", ""}, []string{"p0 d0", "p0 d1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := weightsPool(c.prefill, c.decode)
			now := 3 * time.Second
			granted := 0
			for ticket := uint64(1); ticket <= 12; ticket++ {
				g := placeUnchecked(p, ticket, platformRequest(fmt.Sprint("r", ticket), 5000, 700), now).GetGrant()
				if g == nil {
					continue
				}
				granted++
				if g.Prefill != nil {
					require.Contains(t, c.paired, g.Prefill.Id+" "+g.Decode.Id)
				}
			}
			require.NotZero(t, granted, "decode engines prefill otherwise")
		})
	}
}

// Guards against streams that an entry which does not tell their weights goes on with at
// others.
func TestStreamsOfUnknownWeightsAreRefusedWhereSeveralServe(t *testing.T) {
	now := 3 * time.Second
	several := weightsPool([]string{"1", "2"}, []string{"1", "2"})
	require.NotNil(t, placeUnchecked(several, 1, resumedRequest("r", "v1"), now).GetRefusal())
	require.NotNil(t, placeUnchecked(several, 2, weightsRequest("s", "1"), now).GetGrant(), "these are known")
	require.NotNil(t, placeUnchecked(several, 3, platformRequest("new", 5000, 700), now).GetGrant(), "a new request may run anywhere")
	one := weightsPool([]string{"1"}, []string{"1", "1"})
	require.NotNil(t, placeUnchecked(one, 1, resumedRequest("r", "v1"), now).GetGrant())
}

// Guards against streams that go on at other weights, and prefill results of others, while
// the scheduler knows of engines by daemons of earlier builds only, which leave weights out.
func TestDroppedWeightsAreNotTakenForTheSame(t *testing.T) {
	now := 3 * time.Second
	engines := weightsEngines([]string{""}, []string{"", ""})
	for _, e := range engines {
		e.WeightsDropped = true
	}
	p := platformPool(Params{OnDemandMemory: true, LocalPrefill: true})
	p.Announce(engines, now)
	require.NotNil(t, placeUnchecked(p, 1, resumedRequest("r", "v1"), now).GetRefusal())
	g := placeUnchecked(p, 2, platformRequest("new", 5000, 700), now).GetGrant()
	require.NotNil(t, g)
	require.Nil(t, g.Prefill)
	require.NotNil(t, place(p, 3, resumedRequest("s", "v1"), now), "entries of this build ask the engines")
}

// Guards against streams that are not resumed because the software version that their engine
// reports, in which any character may stand, reads like a run text.
func TestVersionsThatReadLikeRunTextsAreComparedAsTheyAre(t *testing.T) {
	s := newTestServer(t, Params{})
	engine := decodeState("d2", 20)
	engine.SoftwareVersion = fleet.RunText(&pb.UpstreamRecord{SoftwareVersion: "v1"})
	s.call(t, transport.MethodAnnounce, &pb.AnnounceRequest{Upstreams: []*pb.UpstreamState{prefillState("p1"), engine}}, &pb.Empty{})
	req := submitRequest("r", pb.RequestClass_REQUEST_CLASS_DRAFT, 1000, 500)
	req.MadeTokens, req.SoftwareVersion = 70, engine.SoftwareVersion
	resp := &pb.SubmitResponse{}
	s.call(t, transport.MethodSubmit, req, resp)
	require.Equal(t, "d2", resp.GetGrant().GetDecode().GetId(), "%v", resp)
}
