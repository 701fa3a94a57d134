package forward

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Guards against callers that try again and again while the version of their stream, which nobody
// has recorded, becomes known later in their time, and against callers that are held up although
// it does not.
func TestRefusedTakeUpsAreToldWhenTheirVersionIsKnown(t *testing.T) {
	const minute, left = time.Minute + time.Second, 12 * time.Second
	other := func(age time.Duration) *pb.ServiceVersion {
		return &pb.ServiceVersion{Service: "x", Version: "v0", Model: "m", Weights: "1", AgeMs: uint32(age.Milliseconds())}
	}
	for name, c := range map[string]struct {
		others     []*pb.ServiceVersion
		observed   time.Duration
		from, upTo time.Duration
	}{
		"another version has left long ago":      {others: []*pb.ServiceVersion{other(minute - 2*time.Second)}, observed: time.Hour, from: 2 * time.Second, upTo: 3 * time.Second},
		"it is known at the end of this time":    {others: []*pb.ServiceVersion{other(minute - 10*time.Second)}, observed: time.Hour, from: 3 * time.Second, upTo: left / 3},
		"another version has just left":          {others: []*pb.ServiceVersion{other(time.Second)}, observed: time.Hour, upTo: time.Second},
		"other versions may have been missed":    {observed: minute - 3*time.Second, from: 2 * time.Second, upTo: 3 * time.Second},
		"other versions may have been, for long": {observed: time.Second, upTo: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			hub := &observingHub{observed: c.observed}
			x := takeUpExchange(t, &hub.meanwhileHub)
			x.s.SetStreamVersionSource(hub)
			x.s.SetServiceVersions(c.others)
			w := httptest.NewRecorder()
			x.w, x.r, x.service = w, httptest.NewRequest("POST", "/a/x", nil), x.config.Services["x"]
			x.info.StreamID = ""
			x.deadline = time.Now().Add(left)
			x.callerDeadline = x.deadline
			require.False(t, x.pinStream())
			require.Equal(t, 503, w.Code)
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			require.NoError(t, err)
			told := time.Duration(seconds * float64(time.Second))
			require.GreaterOrEqual(t, told, c.from)
			require.LessOrEqual(t, told, c.upTo)
		})
	}
}

// observingHub knows all versions in use for a time.
type observingHub struct {
	meanwhileHub
	observed time.Duration
}

func (h *observingHub) VersionsObserved() time.Duration { return h.observed }

func (*observingHub) StreamVersion(context.Context, string) (policy.StreamVersion, bool) {
	return policy.StreamVersion{}, false
}
