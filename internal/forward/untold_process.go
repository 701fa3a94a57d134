package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// A process that tells no start is known by the connections that it has accepted. Which one it is
// of the processes that report follows from the reports: one that has reported before it accepted
// a connection, and has sent a report since, is the one that accepted it.

const (
	// maxUnproven limits the processes of an upstream that wait for their proof, and proofPeriod
	// the time for which it is looked for: the records of their streams are kept for as long.
	maxUnproven = 16
	proofPeriod = time.Minute
)

// startState is what is known of whether a process tells its start.
type startState int32

const (
	startNotAsked startState = iota
	startTold
	startUntold
)

// untoldProcess is a process that tells no start.
type untoldProcess struct {
	// number stands for the start in process texts. It is negative and drawn at random, so that
	// no two entries choose the same.
	number int64
	// acceptedAt is a time after it has accepted a connection, since the start of the server.
	acceptedAt time.Duration
	// proven is set once it is known to be the process of its target's record.
	proven atomic.Bool
}

func (s *Server) newUntoldProcess() *untoldProcess {
	return &untoldProcess{number: -1 - rand.Int64(), acceptedAt: s.now()}
}

// isReported reports whether a process that tells no start is known to be that of its target's
// record, which then holds for good.
func isReported(p *untoldProcess) bool { return p != nil && p.proven.Load() }

// proveProcesses looks for the proof that processes are the one of the target's record: it has
// reported before they accepted a connection, and since. A report counts only if it was sent
// after that, however late it has arrived.
func (s *Server) proveProcesses(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, sweepInterval)
	defer cancel()
	if t.bornMs == 0 || s.versionSource == nil {
		return
	}
	r, now := &t.references, s.now()
	r.mu.Lock()
	r.unproven = slices.DeleteFunc(r.unproven, func(p *untoldProcess) bool {
		return isReported(p) || now-p.acceptedAt > s.opts.MaxReportDelay+proofPeriod && p != r.current.Load()
	})
	due := slices.Clone(r.unproven)
	r.mu.Unlock()
	due = slices.DeleteFunc(due, func(p *untoldProcess) bool { return now-p.acceptedAt <= s.opts.MaxReportDelay })
	record := t.currentRecord()
	if len(due) == 0 || !fleet.TellsSoftware(record) {
		return
	}
	// The age is that at a moment after the question.
	askedAt := s.now()
	bornMs, age, known := s.versionSource.LastReport(ctx, t.id)
	if !known || bornMs != t.bornMs {
		return
	}
	for _, p := range due {
		if p.acceptedAt < askedAt-age-s.opts.MaxReportDelay {
			s.recordProcess(t, p, record)
		}
	}
}

// recordProcess marks a process as the one of its target's record, and records the software under
// its text, where streams that it began are resolved by it at all entries.
func (s *Server) recordProcess(t *target, p *untoldProcess, record *pb.UpstreamRecord) {
	p.proven.Store(true)
	text := fleet.ProcessText(t.id, p.number)
	s.opts.Logger.Info().Str("event", "upstream.identified").Str("upstream", t.id).Int64("born_ms", t.bornMs).Int64("process", p.number).Str("software", record.SoftwareVersion).Msg("")
	// Only the software counts. Hubs of earlier builds list all of it as versions in use, so it
	// is one that is.
	s.recordStream([]string{text}, policy.StreamVersion{Versions: fleet.AllRunVersions(record)[0], Attempt: 1})
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	if history := l.history[record.Service]; history != nil {
		history.ForgetSoftware(text)
	}
}

// knownAsReported reports whether the process that would accept a connection to the target now
// is known to be the one that has reported, as far as the entry can tell without a question.
func (t *target) knownAsReported() bool {
	return isReported(t.references.current.Load())
}
