package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// versionHub is a hub that learns the records that a server reports.
type versionHub struct {
	mu    sync.Mutex
	known policy.StreamVersions
	// silent is set while the hub gets no reports.
	silent atomic.Bool
}

func (h *versionHub) take(s *Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range s.takeStreamVersions() {
		if v, complete := fleet.DecodeStreamVersion(m, time.Second); complete && !h.silent.Load() {
			h.known.Record(v, time.Second)
		}
	}
}

func (h *versionHub) StreamVersion(context.Context, string) (policy.StreamVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, _ := h.known.Get("a", time.Second)
	return v, v.Versions.Service != ""
}

func (h *versionHub) RecordStreamVersion(ctx context.Context, v policy.StreamVersion) bool {
	for {
		if newest, known := h.StreamVersion(ctx, v.ID); known && newest.Attempt >= v.Attempt {
			return newest.Versions == v.Versions
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (*versionHub) VersionsObserved() time.Duration { return time.Hour }
func (*versionHub) ReportsArrive() bool             { return false }

func (*versionHub) NoteVersions(context.Context, policy.RunVersions) bool { return true }

func (*versionHub) VersionsInUse(context.Context, string) ([]*pb.ServiceVersion, bool) {
	return nil, true
}

func (*versionHub) LastReport(context.Context, string) (int64, time.Duration, bool) {
	return 0, 0, false
}

func versionExchange(hub *versionHub) *exchange {
	s := &Server{start: time.Now(), reportNow: make(reportSignal, 1), versionSource: hub}
	return &exchange{s: s, ctx: context.Background(), route: &Route{Kind: Stream, Resumable: true}, info: RequestInfo{ID: "a"}}
}

func weightsOfRun(weights string) policy.RunVersions {
	return policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: weights}
}

// Guards against the version of an attempt that brought no event being kept for a stream
// that began at the next one within the same millisecond, or whose record was lost.
func TestAttemptsWithoutEventsLeaveNoRecord(t *testing.T) {
	hub := &versionHub{}
	x := versionExchange(hub)
	hub.take(x.s)
	_, known := hub.StreamVersion(x.ctx, "a")
	require.False(t, known, "no event has arrived")
	require.True(t, x.admitVersions(weightsOfRun("2"), true, "1"))
	hub.take(x.s)
	v, known := hub.StreamVersion(x.ctx, "a")
	require.True(t, known)
	require.Equal(t, weightsOfRun("2"), v.Versions)
}

// Guards against a change of weights that an entry passes on and that is lost with it: the
// stream would go back to the weights that it has left.
func TestChangesOfWeightsArePassedOnOnceRecorded(t *testing.T) {
	for _, silent := range []bool{false, true} {
		hub := &versionHub{}
		x := versionExchange(hub)
		require.True(t, x.admitVersions(weightsOfRun("1"), true, "1"))
		<-x.s.reportNow
		hub.take(x.s)
		hub.silent.Store(silent)
		admitted := make(chan bool)
		go func() { admitted <- x.admitVersions(weightsOfRun("2"), false, "1") }()
		<-x.s.reportNow
		hub.take(x.s)
		require.Equal(t, !silent, <-admitted)
		want := weightsOfRun("2")
		if silent {
			want = weightsOfRun("1")
		}
		require.Equal(t, want, *x.run)
		hub.take(x.s)
		v, _ := hub.StreamVersion(x.ctx, "a")
		require.Equal(t, want, v.Versions)
	}
}

// Guards against an earlier answer that goes on after its stream was taken up, and whose
// record replaces that of the newer one.
func TestEarlierAnswersDoNotReplaceTheRecordOfATakeUp(t *testing.T) {
	hub := &versionHub{}
	first := versionExchange(hub)
	require.True(t, first.admitVersions(weightsOfRun("1"), true, "1"))
	<-first.s.reportNow
	hub.take(first.s)
	v, _ := hub.StreamVersion(first.ctx, "a")
	hub.known.Record(policy.StreamVersion{ID: "a", Versions: v.Versions, Attempt: v.Attempt + takeUpStep, RecordedAt: time.Second}, time.Second)
	admitted := make(chan bool)
	go func() { admitted <- first.admitVersions(weightsOfRun("2"), false, "1") }()
	<-first.s.reportNow
	hub.take(first.s)
	require.False(t, <-admitted)
	hub.take(first.s)
	v, _ = hub.StreamVersion(first.ctx, "a")
	require.Equal(t, weightsOfRun("1"), v.Versions)
}
