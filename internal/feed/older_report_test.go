package feed

import (
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// lineLog collects log lines.
type lineLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lineLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// Guards against upstreams whose reports are dropped without a word, and against a log line for
// each of many.
func TestOlderReportsAreLogged(t *testing.T) {
	lines := &lineLog{}
	cluster := startHubs(t, 1)
	h := cluster.hubs[0]
	h.opts.Logger = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
	report := func(sequence uint64) {
		r := record("a", sequence, pb.UpstreamPhase_UPSTREAM_READY)
		r.BornMs = 0
		h.Report(r)
	}
	report(50)
	report(50)
	require.NotContains(t, lines.text.String(), "report_older", "a report that was sent again")
	for sequence := range uint64(40) {
		report(1 + sequence)
	}
	lines.mu.Lock()
	defer lines.mu.Unlock()
	text := lines.text.String()
	require.Equal(t, 1, strings.Count(text, "report_older"), text)
	require.Contains(t, text, `"upstream":"a","sequence":1,"born_ms":0,"known_sequence":50,"known_born_ms":0`)
}

// Guards against a process that counts as leaving, or as limited, because its predecessor under its
// id said so and neither tells its start.
func TestStatementsEndWithAProcessThatTellsNoStart(t *testing.T) {
	h := startHubs(t, 1).hubs[0]
	first := record("a", 50, pb.UpstreamPhase_UPSTREAM_READY)
	first.BornMs, first.AgeMs = 0, 11_000
	h.applyGossip(first)
	h.mergeStatements([]*pb.UpstreamStatement{{Id: "a", Limit: 3, Leaving: true}}, true)
	require.Len(t, h.Statements(), 1)
	same := record("a", 51, pb.UpstreamPhase_UPSTREAM_READY)
	same.BornMs, same.AgeMs = 0, 10_900
	h.applyGossip(same)
	require.Len(t, h.Statements(), 1, "the same process")
	next := record("a", 2, pb.UpstreamPhase_UPSTREAM_READY)
	next.BornMs = 0
	h.Report(next)
	require.EqualValues(t, 2, h.Records()[0].Sequence)
	require.Empty(t, h.Statements())
}
