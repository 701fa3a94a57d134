package edge

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/transport"
)

// startScheduler runs a scheduler that compares no versions: it grants the engines that no
// request excludes. It returns its address.
func startScheduler(t *testing.T, omitLevel bool, submitted chan<- *pb.SubmitRequest) string {
	srv := transport.NewServer(transport.Options{OmitLevel: omitLevel})
	srv.Handle(transport.MethodWatchUpstreams, func(ctx context.Context, st *transport.Stream) error {
		<-ctx.Done()
		return nil
	})
	transport.HandleUnary(srv, transport.MethodRestate, func(context.Context, *pb.RestateRequest) (*pb.Empty, error) { return &pb.Empty{}, nil })
	transport.HandleUnary(srv, transport.MethodSubmit, func(_ context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
		submitted <- req
		return &pb.SubmitResponse{Result: &pb.SubmitResponse_Grant{Grant: &pb.Grant{HoldId: "draft#1-1"}}}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Close)
	return l.Addr().String()
}

// Guards against streams that a scheduler of an earlier build, which compares no versions,
// places on engines of other versions, again and again until the retry budget is spent.
func TestSchedulersOfEarlierBuildsAreNamedTheEnginesOfOtherVersions(t *testing.T) {
	for _, c := range []struct {
		name     string
		earlier  bool
		excluded []string
	}{
		{"earlier build", true, []string{"failed", "other"}},
		{"this build", false, []string{"failed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			submitted := make(chan *pb.SubmitRequest, 1)
			address := startScheduler(t, c.earlier, submitted)
			clients := entry.NewSchedulerClients(entry.SchedulerClientOptions{
				SkipUpstreamList: true, Lease: func(pool string) (*pb.PoolLease, bool) {
					return &pb.PoolLease{Name: pool, Address: address, FencingToken: 1}, true
				},
			})
			defer clients.Close()
			require.Eventually(t, func() bool { return clients.Connected("draft") }, 5*time.Second, 5*time.Millisecond)
			p := &placer{schedulerClients: clients, logger: &log.Logger{Level: log.PanicLevel}}
			_, err := p.Reserve(context.Background(), &forward.ReserveRequest{
				ID: "r", Service: "draft", MaxWait: time.Second, Exclude: []string{"failed"}, OtherVersions: []string{"other"}, Version: "1", Weights: "7",
			})
			require.NoError(t, err)
			require.ElementsMatch(t, c.excluded, (<-submitted).Exclude)
		})
	}
}
