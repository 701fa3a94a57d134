package core

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/platform"
)

// leadingPools returns pools with one engine service, active in term 3.
func leadingPools(t *testing.T) *pools {
	server := transport.NewServer(transport.Options{})
	t.Cleanup(server.Close)
	leader := func() (string, uint64, bool) { return "127.0.0.1:1", 3, true }
	p := newPools(&log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, leader, newEngineFactory(&platform.Settings{}, nil), &platform.Settings{LeaseTTL: time.Second}, server)
	p.records = func() []*pb.UpstreamRecord { return nil }
	p.statements = func() []*pb.UpstreamStatement { return nil }
	p.setServices(map[string]*forward.Service{"draft": {Name: "draft", Engine: &forward.EngineConfig{Slots: 12, MemoryTokens: 68000, TokensPerEvent: 70}}})
	p.setTerm(3)
	return p
}

func engineRecord(id string, born int64) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{
		Id: id, BornMs: born, Address: "10.0.0.1:80", Service: "draft", Stage: pb.EngineStage_ENGINE_STAGE_DECODE,
		Phase: pb.UpstreamPhase_UPSTREAM_READY, Models: []string{"m"},
	}
}

func healthOf(t *testing.T, p *pools, id string) pb.UpstreamStatus_Health {
	for _, s := range p.scheduler.Statuses("draft") {
		if s.State.Id == id {
			return s.Health
		}
	}
	t.Fatalf("the scheduler does not know %s", id)
	return 0
}

// Guards against a scheduler that keeps using an engine although the core knows
// that it has ended. A new leader had taken a crashed engine from the table at its
// start, and placed 70 requests of a burst on it; no entry could send them there.
func TestSchedulerLearnsOfEndedAndSilentEngines(t *testing.T) {
	p := leadingPools(t)
	for _, id := range []string{"ended", "silent", "leaving"} {
		p.announce(engineRecord(id, 1))
		require.Equal(t, pb.UpstreamStatus_LIVE, healthOf(t, p, id))
	}
	ended := engineRecord("ended", 1)
	ended.Phase, ended.Silent = pb.UpstreamPhase_UPSTREAM_GONE, true
	p.announce(ended)
	require.Equal(t, pb.UpstreamStatus_LEAVING, healthOf(t, p, "ended"))

	silent := engineRecord("silent", 1)
	silent.Silent = true
	p.announce(silent)
	require.Equal(t, pb.UpstreamStatus_SILENT, healthOf(t, p, "silent"))
	p.announce(engineRecord("silent", 1))
	require.Equal(t, pb.UpstreamStatus_LIVE, healthOf(t, p, "silent"), "a new report makes the engine live again")
	earlier := engineRecord("silent", 0)
	earlier.Silent = true
	p.announce(earlier)
	require.Equal(t, pb.UpstreamStatus_LIVE, healthOf(t, p, "silent"), "the silence of an earlier process does not affect the current one")
}

// Guards against a scheduler that is not told the weights of an engine's models, and places
// streams on engines of other weights, which the entry then refuses.
func TestSchedulerLearnsOfTheWeights(t *testing.T) {
	p := leadingPools(t)
	weights := func() []string {
		list := p.scheduler.Statuses("draft")
		require.Len(t, list, 1)
		return list[0].State.Weights
	}
	r := engineRecord("a", 1)
	r.Models, r.Weights = []string{"m", "n"}, []string{"1", ""}
	p.announce(r)
	require.Equal(t, []string{"1", ""}, weights())
	r = engineRecord("a", 1)
	r.Models, r.Weights = []string{"m", "n"}, []string{"2", ""}
	p.announce(r)
	require.Equal(t, []string{"2", ""}, weights(), "the weights of an engine may change while it runs")
}
