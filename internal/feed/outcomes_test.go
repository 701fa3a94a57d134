package feed

import (
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against each entry having to detect on its own an upstream that reports
// itself healthy but fails every call: with 75 entries, some 500 requests failed
// within 7 s.
func TestFailuresOfAnEntryReachTheOthers(t *testing.T) {
	h := startHubs(t, 1)
	seeds := func() []string { return h.members }
	discard := &log.Logger{Level: log.PanicLevel}
	sent := false
	var mu sync.Mutex
	shares := map[string]uint32{}
	first := Subscribe(SubscriberOptions{
		Seeds: seeds, Logger: discard, OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {},
		Outcomes: func() *pb.OutcomeReport {
			if sent {
				return &pb.OutcomeReport{}
			}
			sent = true
			return &pb.OutcomeReport{Outcomes: []*pb.UpstreamOutcomes{{Id: "bad", BornMs: 7, Failed: 20}, {Id: "good", BornMs: 7, Good: 20, Failed: 2}}}
		},
	})
	t.Cleanup(first.Stop)
	second := Subscribe(SubscriberOptions{
		Seeds: seeds, Logger: discard, OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {},
		OnErrorShares: func(list []*pb.ErrorShare) {
			mu.Lock()
			defer mu.Unlock()
			for _, s := range list {
				shares[s.Id] = s.Percent
			}
		},
	})
	t.Cleanup(second.Stop)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return shares["bad"] == 100
	}, 2*time.Second, 10*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.NotContains(t, shares, "good", "a few requests fail at every upstream")
}

// Guards against a memory leak: the counts of processes without recent calls must
// be deleted.
func TestDecayedOutcomesAreDeleted(t *testing.T) {
	table := outcomeTable{}
	table.add(&pb.UpstreamOutcomes{Id: "a", Failed: 30}, time.Second)
	require.Len(t, table.shares(time.Second), 1)
	require.Empty(t, table.shares(time.Minute))
	require.Empty(t, table)
}
