package feed

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// evidenceView is an entry that reports evidence and keeps what hubs tell it.
type evidenceView struct {
	mu          sync.Mutex
	report      *pb.OutcomeReport
	suspects    map[uint64]bool
	quarantined map[uint64]bool
	reportNow   chan struct{}
}

func startEvidenceSubscriber(t *testing.T, seeds func() []string) *evidenceView {
	v := &evidenceView{report: &pb.OutcomeReport{}, suspects: map[uint64]bool{}, quarantined: map[uint64]bool{}, reportNow: make(chan struct{}, 1)}
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
		OnEvidence: func(e *pb.PromptEvidence) {
			v.mu.Lock()
			defer v.mu.Unlock()
			for _, part := range e.Suspects {
				v.suspects[part] = true
			}
			for _, p := range e.Quarantined {
				v.quarantined[p.Part] = true
			}
			for _, p := range e.Sound {
				delete(v.quarantined, p.Part)
			}
		},
		Quarantined: func() []*pb.QuarantinedPart {
			v.mu.Lock()
			defer v.mu.Unlock()
			var list []*pb.QuarantinedPart
			for part := range v.quarantined {
				list = append(list, &pb.QuarantinedPart{Part: part, TrialMs: 60_000, EndMs: 900_000})
			}
			return list
		},
	})
	t.Cleanup(subscriber.Stop)
	require.Eventually(t, func() bool { return subscriber.Age() < time.Second }, 3*time.Second, time.Millisecond)
	return v
}

func (v *evidenceView) send(report *pb.OutcomeReport) {
	v.mu.Lock()
	v.report = report
	v.mu.Unlock()
	v.reportNow <- struct{}{}
}

func (v *evidenceView) isQuarantined(part uint64) func() bool {
	return func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.quarantined[part]
	}
}

const testPart = 7

func crashReport(n int) *pb.OutcomeReport {
	return &pb.OutcomeReport{Crashes: []*pb.CrashedPrompt{{EngineId: fmt.Sprint("i-", n), EngineBornMs: 1, Parts: []uint64{testPart, uint64(100 + n)}}}}
}

// Guards against a quarantine that only the entries of one hub know, and against one
// that none of them lifts after an answer seen elsewhere.
func TestEvidenceOfAllEntriesCountsAtAllHubs(t *testing.T) {
	h := startHubs(t, 3)
	var entries []*evidenceView
	for i := range h.members {
		entries = append(entries, startEvidenceSubscriber(t, func() []string { return h.members[i : i+1] }))
	}
	for n, e := range entries {
		e.send(crashReport(n))
		time.Sleep(300 * time.Millisecond)
	}
	for _, e := range entries {
		require.Eventually(t, e.isQuarantined(testPart), propagationTimeout+expiryInterval, 2*time.Millisecond)
	}
	entries[1].send(&pb.OutcomeReport{SoundParts: []uint64{testPart}})
	for _, e := range entries {
		require.Eventually(t, func() bool { return !e.isQuarantined(testPart)() }, propagationTimeout, 2*time.Millisecond)
	}
}

// Guards against a quarantine that ends because all core daemons have restarted.
func TestEntriesRestoreTheQuarantineOfRestartedHubs(t *testing.T) {
	before, after := startHubs(t, 2), startHubs(t, 2)
	var seeds atomic.Pointer[[]string]
	seeds.Store(&before.members)
	entry := startEvidenceSubscriber(t, func() []string { return *seeds.Load() })
	for n := range 3 {
		entry.send(crashReport(n))
		time.Sleep(300 * time.Millisecond)
	}
	require.Eventually(t, entry.isQuarantined(testPart), propagationTimeout+expiryInterval, 2*time.Millisecond)
	other := startEvidenceSubscriber(t, func() []string { return after.members })
	seeds.Store(&after.members)
	for _, s := range before.servers {
		s.Close()
	}
	require.Eventually(t, other.isQuarantined(testPart), 5*time.Second, 5*time.Millisecond)
}
