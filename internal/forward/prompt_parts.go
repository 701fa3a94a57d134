package forward

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// crashCheckTimeout limits the connection that tells a crashed engine from one that
	// only closed a connection.
	crashCheckTimeout = 300 * time.Millisecond
	// answeredTTL is how long an answer to a prompt speaks for its parts when they
	// become suspect, and maxAnsweredParts the number of parts for which this is known.
	answeredTTL      = 10 * time.Second
	maxAnsweredParts = 8192
	// suspectTTL is how long a part is suspect without word from a hub. Hubs keep
	// their evidence for the same time.
	suspectTTL = 2 * time.Minute
	// trialSpacing is the time between two trials by this entry of one part.
	trialSpacing = time.Minute
	// quarantineRetryAfter is the Retry-After of a request with a quarantined part.
	quarantineRetryAfter = time.Minute
	// maxCrashReports bounds the reports that wait for a hub.
	maxCrashReports = 256
)

// promptParts is what the entry knows about parts of prompts, and keys of requests
// without parts, that crash upstreams. Hubs decide which are quarantined; the entry
// reports crashes and answers to them.
type promptParts struct {
	mu sync.Mutex
	// answeredAt is when a prompt with the part was last answered here.
	answeredAt map[uint64]time.Duration
	// suspects holds, by part, until when it is suspect.
	suspects    map[uint64]time.Duration
	quarantined map[uint64]quarantine
	// crashes and sound wait to be reported; reportNow is signalled when there is a crash.
	crashes   []*pb.CrashedPrompt
	sound     map[uint64]bool
	reportNow reportSignal
}

// quarantine tells from when on a prompt with a quarantined part may be tried and when
// the quarantine ends.
type quarantine struct{ trialAt, endsAt time.Duration }

func newPromptParts(reportNow reportSignal) promptParts {
	return promptParts{
		answeredAt: map[uint64]time.Duration{}, suspects: map[uint64]time.Duration{}, quarantined: map[uint64]quarantine{},
		sound: map[uint64]bool{}, reportNow: reportNow,
	}
}

// partKeys returns the keys under which the parts of a prompt for a service are known
// to all daemons.
func partKeys(service string, ids []string) []uint64 {
	keys := make([]uint64, len(ids))
	for i, id := range ids {
		h := fnv.New64a()
		// Writes to a hash do not fail.
		_ = binary.Write(h, binary.LittleEndian, uint64(len(service)))
		_, _ = h.Write([]byte(service))
		_, _ = h.Write([]byte(id))
		keys[i] = h.Sum64()
	}
	return keys
}

// recordAnswer records the first event of an answer to a prompt.
func (p *promptParts) recordAnswer(parts []uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if _, known := p.answeredAt[part]; known || len(p.answeredAt) < maxAnsweredParts {
			p.answeredAt[part] = now
		}
		_, suspect := p.suspects[part]
		_, quarantined := p.quarantined[part]
		if suspect || quarantined {
			p.sound[part] = true
			delete(p.suspects, part)
			delete(p.quarantined, part)
		}
	}
}

// recordCrash records that an engine crashed before it began to answer a prompt.
func (p *promptParts) recordCrash(engine policy.EngineProcess, parts []uint64, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < maxCrashReports {
		p.crashes = append(p.crashes, &pb.CrashedPrompt{EngineId: engine.ID, EngineBornMs: engine.BornMs, Parts: parts, WholeRequest: whole})
	}
	p.reportNow.signal()
}

// takeReport returns what was learned since the previous call.
func (p *promptParts) takeReport() (crashes []*pb.CrashedPrompt, sound []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	crashes, p.crashes = p.crashes, nil
	for part := range p.sound {
		sound = append(sound, part)
	}
	clear(p.sound)
	return crashes, sound
}

// update applies what a hub knows.
func (p *promptParts) update(e *pb.PromptEvidence, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range e.Suspects {
		if at, answered := p.answeredAt[part]; answered && now-at < answeredTTL {
			p.sound[part] = true
			continue
		}
		p.suspects[part] = now + suspectTTL
	}
	for _, q := range e.Quarantined {
		known := p.quarantined[q.Part]
		p.quarantined[q.Part] = quarantine{
			trialAt: max(known.trialAt, now+time.Duration(q.TrialMs)*time.Millisecond),
			endsAt:  max(known.endsAt, now+time.Duration(q.EndMs)*time.Millisecond),
		}
	}
	for _, s := range e.Sound {
		delete(p.suspects, s.Part)
		delete(p.quarantined, s.Part)
	}
}

// prune drops what has expired.
func (p *promptParts) prune(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for part, at := range p.answeredAt {
		if now-at >= answeredTTL {
			delete(p.answeredAt, part)
		}
	}
	for part, until := range p.suspects {
		if until <= now {
			delete(p.suspects, part)
		}
	}
	for part, q := range p.quarantined {
		if q.endsAt <= now {
			delete(p.quarantined, part)
		}
	}
}

// suspect reports whether engines have crashed under other prompts with one of the
// parts, and none of these was answered since.
func (p *promptParts) suspect(parts []uint64, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if p.suspects[part] > now {
			return true
		}
	}
	return false
}

// refuses reports whether a part is quarantined. When its trial is due, one in as many
// requests as there are entries may pass, and onTrial is set: so that about one request
// runs at a time, without entries having to agree on one. u is a random number, uniform
// in [0, 1).
func (p *promptParts) refuses(parts []uint64, entries int, u float64, now time.Duration) (refused, onTrial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		q, known := p.quarantined[part]
		if !known || q.endsAt <= now {
			continue
		}
		if now < q.trialAt || entries <= 0 || u*float64(entries) >= 1 {
			return true, false
		}
		q.trialAt = now + trialSpacing
		p.quarantined[part] = q
		onTrial = true
	}
	return false, onTrial
}

// active reports whether any part is suspect or quarantined.
func (p *promptParts) active() bool {
	suspects, quarantined := p.counts()
	return suspects+quarantined > 0
}

// counts returns the numbers of suspect and quarantined parts.
func (p *promptParts) counts() (suspects, quarantined int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.suspects), len(p.quarantined)
}

// SetEvidence applies what a feed hub knows about parts of prompts.
func (s *Server) SetEvidence(e *pb.PromptEvidence) { s.promptParts.update(e, s.now()) }

// ReportNow receives when Outcomes has something that must not wait.
func (s *Server) ReportNow() <-chan struct{} { return s.reportNow }

// reportSignal wakes the reader that reports to hubs.
type reportSignal chan struct{}

func (c reportSignal) signal() {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Quarantined returns the quarantined parts of prompts.
func (s *Server) Quarantined() []*pb.QuarantinedPart {
	p, now := &s.promptParts, s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*pb.QuarantinedPart
	for part, q := range p.quarantined {
		list = append(list, &pb.QuarantinedPart{Part: part, TrialMs: uint32(max(0, q.trialAt-now).Milliseconds()), EndMs: uint32(max(0, q.endsAt-now).Milliseconds())})
	}
	return list
}

// quarantined reports whether the request must not be sent, because a part of its
// prompt crashes engines. A stream that has begun shows that its prompt does not.
func (x *exchange) quarantined(st *streamState) bool {
	if x.onTrial || x.begun(st) || len(x.parts) == 0 {
		return false
	}
	refused, onTrial := x.s.promptParts.refuses(x.parts, x.s.opts.RetryLimits().Entries, rand.Float64(), x.s.now())
	x.onTrial = onTrial
	return refused
}

func (x *exchange) refuseQuarantined(st *streamState) {
	if x.mayHaveRun() {
		x.endStream(st, x.quarantineReason())
		return
	}
	x.refuse(x.quarantineReason(), x.capRetryAfter(quarantineRetryAfter))
}

func (x *exchange) quarantineReason() string {
	if x.whole {
		return "request_quarantined"
	}
	return "prompt_quarantined"
}

// brokeBeforeFirstEvent reports whether the latest attempt ended with its connection
// and the caller has no event of the stream.
func (x *exchange) brokeBeforeFirstEvent(st *streamState) bool {
	return x.connectionBroke() && !x.begun(st)
}

// connectionBroke reports whether the latest attempt ended with its connection.
func (x *exchange) connectionBroke() bool {
	return x.reason == "connection_lost" || x.reason == reasonStreamBroke || x.reason == "answer_cut_off"
}

// suspect reports whether the request must not be sent again after such an attempt,
// because a part of its prompt is suspected of crashing engines or is on trial.
func (x *exchange) suspect(st *streamState) bool {
	return x.brokeBeforeFirstEvent(st) && (x.onTrial || x.s.promptParts.suspect(x.parts, x.s.now()))
}

// reportIfCrashed reports a request under which an upstream has crashed. bornMs is the start of
// the process that got it, and parts are those of its prompt or, if whole is set, the key of its
// content.
func (s *Server) reportIfCrashed(t *target, bornMs int64, info RequestInfo, parts []uint64, whole bool) {
	if !t.refusesConnections() {
		return
	}
	s.promptParts.recordCrash(policy.EngineProcess{ID: t.id, BornMs: bornMs}, parts, whole)
	l := s.opts.Logger.Warn().Str("event", "upstream.crashed").Str("upstream", t.id).Str("id", info.ID)
	if whole {
		l = l.Str("request", fmt.Sprintf("%016x", parts[0]))
	} else {
		l = l.Str("parts", strings.Join(info.PromptParts, ","))
	}
	l.Msg("")
}

// begun reports whether the caller has received an event of the stream, now or before
// it resumed it.
func (x *exchange) begun(st *streamState) bool {
	return st.events > 0 || x.route.Kind == Stream && x.info.LastEventID != ""
}

// refusesConnections reports whether no process listens at the target's address.
func (t *target) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return t.tryConnection(ctx, 0) == policy.ConnectRefused
}
