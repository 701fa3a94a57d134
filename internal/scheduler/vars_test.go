package scheduler

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/internal/upstream"
)

// orphanEngine runs a request that no entry claims and fails one call.
type orphanEngine struct {
	fakeEngine
	fail error
}

func (e *orphanEngine) Cancel(ctx context.Context, r *upstream.CancelRequest) error {
	e.mu.Lock()
	err := e.fail
	e.fail = nil
	e.running = nil
	e.mu.Unlock()
	if err != nil {
		return err
	}
	return e.fakeEngine.Cancel(ctx, r)
}

type schedulerVars struct {
	Queued             map[string]int `json:"queued"`
	Holds              map[string]int `json:"holds"`
	Grants             int            `json:"grants"`
	Refusals           map[string]int `json:"refusals"`
	Takeovers          int            `json:"takeovers"`
	OrphansCancelled   int            `json:"orphans_cancelled"`
	EngineCallFailures map[string]int `json:"engine_call_failures"`
}

func readVars(t *testing.T, s *Scheduler) (v schedulerVars) {
	t.Helper()
	require.NoError(t, json.Unmarshal([]byte(s.Vars().String()), &v))
	return v
}

// Guards against counters that miss a result, count one twice, or keep a
// released hold.
func TestVarsCountAnswersAndHolds(t *testing.T) {
	s := newTestServer(t, Params{})
	s.Activate(testPool, 1, time.Now())
	resp := &pb.SubmitResponse{}
	s.call(t, transport.MethodSubmit, submitRequest("r", pb.RequestClass_REQUEST_CLASS_DRAFT, 1000, 500), resp)
	require.NotNil(t, resp.GetGrant(), "%v", resp)
	s.call(t, transport.MethodSubmit, submitRequest("large", pb.RequestClass_REQUEST_CLASS_DRAFT, 60000, 500), &pb.SubmitResponse{})
	other := submitRequest("other", pb.RequestClass_REQUEST_CLASS_DRAFT, 1000, 500)
	other.Pool = "draftwell/brno"
	s.call(t, transport.MethodSubmit, other, &pb.SubmitResponse{})
	require.Equal(t, schedulerVars{
		Queued: map[string]int{testPool: 0}, Holds: map[string]int{testPool: 1}, Grants: 1,
		Refusals: map[string]int{"TOO_LARGE": 1, "NOT_HOLDER": 1}, Takeovers: 1, EngineCallFailures: map[string]int{},
	}, readVars(t, s.Scheduler))
	s.call(t, transport.MethodRelease, &pb.ReleaseRequest{HoldId: resp.GetGrant().HoldId}, &pb.Empty{})
	require.Zero(t, readVars(t, s.Scheduler).Holds[testPool])
}

// Guards against failed engine calls that are not counted, and orphans counted
// as cancelled although the engine rejected the call.
func TestVarsCountOrphansAndFailedCalls(t *testing.T) {
	s := newTestServer(t, Params{})
	engine := &orphanEngine{fail: errors.New("refused")}
	state := prefillState("p9")
	s.engineMu.Lock()
	s.engines["p9"] = &engineClient{generation: state.Generation, url: state.Url, engine: engine}
	s.engineMu.Unlock()
	ctx := context.Background()
	s.cancelOrphan(ctx, CancelOrphan{Engine: state})
	v := readVars(t, s.Scheduler)
	require.Zero(t, v.OrphansCancelled)
	require.Equal(t, map[string]int{callCancelOrphan: 1}, v.EngineCallFailures)
	s.cancelOrphan(ctx, CancelOrphan{Engine: state})
	v = readVars(t, s.Scheduler)
	require.Equal(t, 1, v.OrphansCancelled)
	require.Equal(t, map[string]int{callCancelOrphan: 1}, v.EngineCallFailures)
}
