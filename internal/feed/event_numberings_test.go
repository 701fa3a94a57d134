package feed

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// numberingView is an entry that reports how events are numbered and keeps what hubs tell
// it.
type numberingView struct {
	mu        sync.Mutex
	report    *pb.OutcomeReport
	known     map[string][2]uint32
	messages  int
	reportNow chan struct{}
}

func startNumberingSubscriber(t *testing.T, seeds func() []string) *numberingView {
	v := &numberingView{report: &pb.OutcomeReport{}, known: map[string][2]uint32{}, reportNow: make(chan struct{}, 1)}
	subscriber := Subscribe(SubscriberOptions{
		Seeds: seeds, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {}, ReportNow: v.reportNow,
		Outcomes: func() *pb.OutcomeReport {
			v.mu.Lock()
			defer v.mu.Unlock()
			report := v.report
			v.report = &pb.OutcomeReport{}
			return report
		},
		EventNumberings: func() []*pb.EventNumbering {
			v.mu.Lock()
			defer v.mu.Unlock()
			var list []*pb.EventNumbering
			for version, n := range v.known {
				list = append(list, &pb.EventNumbering{Service: "llm", Version: version, Steps: n[0], Starts: n[1]})
			}
			return list
		},
		OnEventNumberings: func(list []*pb.EventNumbering) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.messages += len(list)
			for _, m := range list {
				n := v.known[m.Version]
				v.known[m.Version] = [2]uint32{max(n[0], m.Steps), max(n[1], m.Starts)}
			}
		},
	})
	t.Cleanup(subscriber.Stop)
	require.Eventually(t, func() bool { return subscriber.Age() < time.Second }, 3*time.Second, time.Millisecond)
	return v
}

func (v *numberingView) send(list ...*pb.EventNumbering) {
	v.mu.Lock()
	v.report = &pb.OutcomeReport{EventNumberings: list}
	for _, m := range list {
		v.known[m.Version] = [2]uint32{m.Steps, m.Starts}
	}
	v.mu.Unlock()
	v.reportNow <- struct{}{}
}

func (v *numberingView) knows(version string, steps, starts uint32) func() bool {
	return func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.known[version] == [2]uint32{steps, starts}
	}
}

// Guards against entries that do not hear how events are numbered, hear it again and again,
// or are told something older than what they know.
func TestEventNumberingsReachAllEntries(t *testing.T) {
	h := startHubs(t, 3)
	var entries []*numberingView
	for i := range h.members {
		entries = append(entries, startNumberingSubscriber(t, func() []string { return h.members[i : i+1] }))
	}
	allKnow := func(version string, steps, starts uint32) {
		for i, v := range entries {
			require.Eventually(t, v.knows(version, steps, starts), propagationTimeout, time.Millisecond, "entry %d", i)
		}
	}
	entries[0].send(&pb.EventNumbering{Service: "llm", Version: "v1", Steps: 1})
	allKnow("v1", 1, 0)
	entries[1].send(&pb.EventNumbering{Service: "llm", Version: "v1", Starts: 1})
	allKnow("v1", 1, 1)
	entries[2].send(&pb.EventNumbering{Service: "llm", Version: "v2", Steps: 2, Starts: 1})
	allKnow("v2", 2, 1)
	// What is unlearned holds against what an entry hears late.
	entries[1].send(&pb.EventNumbering{Service: "llm", Version: "v1", Steps: 2, Starts: 1})
	entries[0].send(&pb.EventNumbering{Service: "llm", Version: "v1", Steps: 1, Starts: 1})
	allKnow("v1", 2, 1)
	// An entry that has just started is told all.
	entries = append(entries, startNumberingSubscriber(t, func() []string { return h.members }))
	allKnow("v1", 2, 1)
	allKnow("v2", 2, 1)
	// Nothing is sent while nothing changes.
	time.Sleep(2 * gossipDelay)
	count := func() (n int) {
		for _, v := range entries {
			v.mu.Lock()
			n += v.messages
			v.mu.Unlock()
		}
		return n
	}
	before := count()
	time.Sleep(3 * heartbeatInterval)
	require.Equal(t, before, count())
}

// Guards against hubs that have all restarted and know nothing any more.
func TestEntriesRestateEventNumberings(t *testing.T) {
	before, after := startHubs(t, 2), startHubs(t, 2)
	var seeds atomic.Pointer[[]string]
	seeds.Store(&before.members)
	v := startNumberingSubscriber(t, func() []string { return *seeds.Load() })
	v.send(&pb.EventNumbering{Service: "llm", Version: "v1", Steps: 1, Starts: 1})
	other := startNumberingSubscriber(t, func() []string { return after.members })
	seeds.Store(&after.members)
	for _, s := range before.servers {
		s.Close()
	}
	require.Eventually(t, other.knows("v1", 1, 1), 5*time.Second, 5*time.Millisecond)
}

// Guards against a hub that keeps the numbering of every version that there ever was.
func TestEventNumberingsAreBounded(t *testing.T) {
	hub := startHubs(t, 1).hubs[0]
	for i := range 2 * maxNumberings {
		hub.mergeNumberings([]*pb.EventNumbering{{Service: "llm", Version: fmt.Sprint(i), Steps: 1}}, true)
	}
	list, _ := hub.numberingsSince(0)
	require.Len(t, list, maxNumberings)
}

// Guards against hubs that forget whether one upstream or several have taught a numbering,
// or that disagree because they heard it in another order.
func TestHubsAgreeOnWhatASingleUpstreamTaught(t *testing.T) {
	h := startHubs(t, 1)
	told := []*pb.EventNumbering{
		{Service: "llm", Steps: 1, StepsAlone: true, Starts: 3},
		{Service: "llm", Steps: 1, Starts: 2},
		{Service: "llm", Starts: 3, StartsAlone: true},
	}
	for i, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		version := fmt.Sprint("v", i)
		for _, n := range append(order, order...) {
			m := proto.CloneOf(told[n])
			m.Version = version
			h.hubs[0].mergeNumberings([]*pb.EventNumbering{m}, true)
		}
	}
	list, revision := h.hubs[0].numberingsSince(0)
	require.Len(t, list, 6)
	for _, m := range list {
		require.Equal(t, [2]uint32{1, 3}, [2]uint32{m.Steps, m.Starts})
		require.False(t, m.StepsAlone || m.StartsAlone)
	}
	h.hubs[0].mergeNumberings([]*pb.EventNumbering{{Service: "llm", Version: "v9", Steps: 1, StepsAlone: true}}, false)
	list, _ = h.hubs[0].numberingsSince(revision)
	require.Len(t, list, 1)
	require.True(t, list[0].StepsAlone)
}
