package forward

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// decodeTest returns a request with a placement on one of two decode engines, and the
// result of its prefill.
func decodeTest() (*exchange, *placement, *streamState) {
	x, st := wasteTest()
	x.s.upstreams = newUpstreams("", newLinks(func(context.Context, string) (net.Conn, error) { return nil, errors.New("no connection") }, &log.Logger{Level: log.PanicLevel}))
	for _, id := range []string{"d1", "d2"} {
		x.s.upstreams.update([]*pb.UpstreamRecord{{Id: id, Address: "127.0.0.1:1", Service: "llm", Stage: engineStage(x.service), Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: 1}}, 0)
	}
	return x, &placement{decode: x.s.upstreams.get("d1")}, st
}

// Guards against a prefill result that is lost because it is sent to an engine that crashed
// or went dark while the prompt was prefilled. Another engine can still fetch it.
func TestPrefillResultIsNotSentToALostDecodeEngine(t *testing.T) {
	for name, lose := range map[string]func(*exchange, *target){
		"crashed":    func(_ *exchange, d *target) { d.replaced.Store(true) },
		"leaving":    func(_ *exchange, d *target) { d.stated.Leaving = true },
		"draining":   func(_ *exchange, d *target) { d.record.Phase = pb.UpstreamPhase_UPSTREAM_DRAINING },
		"dark":       func(x *exchange, d *target) { d.recordFailure(x.s.now(), policy.FaultTimeout) },
		"unreported": func(_ *exchange, d *target) { d.record.Silent = true },
	} {
		x, p, st := decodeTest()
		lose(x, p.decode)
		require.Equal(t, sendNotSent, x.runPlacement(p, st), name)
		require.NotNil(t, st.prompt, name)
		require.Zero(t, x.sends, name)
		require.Equal(t, reasonDecodeLost, x.reason, name)
	}
}

// Guards against a prompt that is prefilled for an engine that is lost already.
func TestNothingIsPrefilledForALostDecodeEngine(t *testing.T) {
	x, p, st := decodeTest()
	st.prompt = nil
	p.decode.recordFailure(x.s.now(), policy.FaultTimeout)
	p.prefill = &target{id: "p1", outcomes: &x.s.upstreams.outcomes, record: &pb.UpstreamRecord{}}
	require.Equal(t, sendNotSent, x.runPlacement(p, st))
	require.Zero(t, x.s.vars.prefills.Value())
}

// Guards against a decode engine that is avoided because it rejected prefill calls in its role
// before. A backoff after which nobody knows whether it can be reached stays.
func TestBackoffOfAPrefillEngineEndsWithItsRole(t *testing.T) {
	for fault, avoided := range map[policy.Fault]bool{policy.FaultUnavailable: false, policy.FaultTimeout: true} {
		u := newUpstreams("", nil)
		record := pb.UpstreamRecord{Id: "p1", Service: "llm", Stage: pb.EngineStage_ENGINE_STAGE_PREFILL, Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: 1}
		u.update([]*pb.UpstreamRecord{proto.CloneOf(&record)}, 0)
		engine := u.get("p1")
		for range 4 {
			engine.recordFailure(0, fault)
		}
		u.update([]*pb.UpstreamRecord{proto.CloneOf(&record)}, 0)
		require.True(t, engine.inBackoff(0), "the same role")
		record.Stage = pb.EngineStage_ENGINE_STAGE_DECODE
		u.update([]*pb.UpstreamRecord{proto.CloneOf(&record)}, 0)
		require.Equal(t, avoided, engine.inBackoff(0), "fault %d", fault)
	}
}
