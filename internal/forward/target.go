package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// target is the entry's state for one upstream process: its record, health,
// load and idle connections.
type target struct {
	// id, address, bornMs, links and outcomes do not change.
	id      string
	address string
	// bornMs is the process's start time in Unix milliseconds.
	bornMs int64
	// links opens connections to the process.
	links *links
	// outcomes counts ended calls until they are reported to the core.
	outcomes *callOutcomes

	// heardAt is when bytes last came from the process over a direct connection, in
	// nanoseconds since the start of the server.
	heardAt atomic.Int64
	// replaced is set once another process reports under the id.
	replaced atomic.Bool

	// superseded is set once another process, which has not reported yet, has answered under
	// the id.
	superseded atomic.Bool
	// startState tells whether the process tells its start; it holds a startState.
	startState atomic.Int32
	// references are connections to a process that tells no start.
	references references

	// mu guards the fields below. A record is replaced, never modified.
	mu     sync.Mutex
	record *pb.UpstreamRecord
	// recordAt is when the record arrived.
	recordAt time.Time
	// statedWeights holds what responses have stated, by model.
	statedWeights map[string]statedWeights
	// likelyWeights holds what responses and reports have last stated, by model.
	likelyWeights map[string]statedWeights
	// brokeAt is when a connection last broke, or could not be opened: the process may have
	// ended, and another one may answer at its address, under its id. Zero if none has.
	brokeAt time.Duration
	// silentSince is when the record was marked silent.
	silentSince time.Time
	// misdirected is set when another process answered at the address.
	misdirected bool
	health      policy.Health
	load        policy.EngineLoad
	idleConns   []*conn
	// removed is set once the entry no longer knows the process, so that nobody closes its
	// idle connections.
	removed bool
	// conns holds all connections to the process that this entry has not closed.
	conns map[*conn]struct{}
	// globalErrorShare is the share of failed calls over all entries; it is valid
	// until errorShareExpires, counted from the start of the server.
	globalErrorShare  float64
	errorShareExpires time.Duration
	// stated is what the process says about the requests that it takes, and
	// recentSends counts those of this entry.
	stated      policy.UpstreamStatement
	recentSends policy.WindowCount
	// pausedUntil is until when the process wants no request from this entry.
	pausedUntil time.Duration
	permit      permitState
	linkState   linkState
}

// currentRecord returns the newest record of the process.
func (t *target) currentRecord() *pb.UpstreamRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record
}

// softwareVersion returns the version of the software that the process runs; empty if it
// is not known.
func (t *target) softwareVersion() string { return t.currentRecord().SoftwareVersion }

// beginRequest adds a request to the entry's own load at the target.
func (t *target) beginRequest(w policy.Work) {
	t.mu.Lock()
	t.load.Begin(w)
	t.mu.Unlock()
}

func (t *target) endRequest(w policy.Work) {
	t.mu.Lock()
	t.load.End(w)
	t.mu.Unlock()
}

// recordLoad stores the load that the upstream reported; l may be nil.
func (t *target) recordLoad(l *Load, now time.Duration) {
	if l == nil {
		return
	}
	t.mu.Lock()
	t.load.Reported(l.Running, l.Waiting, now)
	t.load.StatedCapacity(l.Slots, l.SlownessPercent/100, now)
	t.mu.Unlock()
}

func (t *target) recordSuccess(now time.Duration) {
	t.mu.Lock()
	t.health.Succeeded(now)
	t.mu.Unlock()
	t.outcomes.add(t, false)
}

func (t *target) recordFailure(now time.Duration, fault policy.Fault) {
	t.mu.Lock()
	t.health.Failed(now, fault)
	if fault == policy.FaultUnreachable {
		t.brokeAt = now
	}
	t.mu.Unlock()
	// Only error responses and invalid ones are reported to the core as failures:
	// other entries may be able to reach an upstream that this one cannot.
	if fault == policy.FaultError {
		t.outcomes.add(t, true)
	}
}

// recordOwnFailure records a broken connection for this entry only.
func (t *target) recordOwnFailure(now time.Duration) {
	t.mu.Lock()
	t.health.Failed(now, policy.FaultError)
	t.brokeAt = now
	t.mu.Unlock()
}

// mayHaveRestarted reports whether a connection has broken of late.
func (t *target) mayHaveRestarted(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.brokeAt > 0 && now-t.brokeAt < breakMemory
}

// hasSuccessor reports whether another process has reported under the id, also after the end of
// the target's own.
func (t *target) hasSuccessor() bool {
	current := t.links.upstreams.get(t.id)
	return t.replaced.Load() || current != nil && current != t
}

// start returns what is known of whether the process tells its start.
func (t *target) start() startState { return startState(t.startState.Load()) }

// processDoubtful reports whether a stream must not go on at the target, since another process
// may answer there than the one that has reported.
func (t *target) processDoubtful() bool {
	return t.superseded.Load() || t.start() == startUntold && !t.knownAsReported()
}

// breakMemory is how long a broken connection counts as a sign that the process may have
// ended, if no reports arrive that would tell.
const breakMemory = time.Minute

// inBackoff reports whether the target is avoided while others are available.
func (t *target) inBackoff(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.InBackoff(now)
}

// takeIdle removes and returns a working idle connection that has not carried the request
// with the id, or nil.
func (t *target) takeIdle(now time.Time, id string) *conn {
	for {
		c := t.popIdle(id)
		if c == nil || c.alive(now) {
			return c
		}
		_ = c.Close()
	}
}

func (t *target) popIdle(id string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	inDoubt := t.links.inDoubt(t)
	for i, c := range slices.Backward(t.idleConns) {
		if !c.carried.contains(id) && !(inDoubt && c.relayed == nil) {
			t.idleConns = slices.Delete(t.idleConns, i, i+1)
			return c
		}
	}
	return nil
}

// maxIdleConns limits the idle connections to one upstream.
const maxIdleConns = 4

// putIdle keeps a connection for a later request, or closes it.
func (t *target) putIdle(c *conn) {
	t.mu.Lock()
	keep := len(t.idleConns) < maxIdleConns && !t.removed && !t.retires(c, t.links.now()) && t.record.Phase != pb.UpstreamPhase_UPSTREAM_GONE
	if keep {
		c.wasIdle = true
		t.idleConns = append(t.idleConns, c)
	}
	t.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// closeIdle closes the idle connections that have expired, or every one if all is
// set.
func (t *target) closeIdle(now time.Time, all bool) {
	t.closeIdleIf(func(c *conn) bool { return all || now.After(c.expires) })
}

// closeEnded closes the idle connections that the other side has ended.
func (t *target) closeEnded() {
	t.closeIdleIf(func(c *conn) bool { return c.state() != connOpen })
}

func (t *target) closeIdleIf(closes func(*conn) bool) {
	t.mu.Lock()
	var closing []*conn
	kept := t.idleConns[:0]
	for _, c := range t.idleConns {
		if closes(c) {
			closing = append(closing, c)
		} else {
			kept = append(kept, c)
		}
	}
	t.idleConns = kept
	t.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// closeOneIdle closes an idle connection that has a descriptor, the one that was not used for
// longest, and reports whether there was one.
func (t *target) closeOneIdle() bool {
	t.mu.Lock()
	i := slices.IndexFunc(t.idleConns, func(c *conn) bool { return c.relayed == nil })
	if i < 0 {
		t.mu.Unlock()
		return false
	}
	c := t.idleConns[i]
	t.idleConns = slices.Delete(t.idleConns, i, i+1)
	t.mu.Unlock()
	_ = c.Close()
	return true
}

// CloseIdleUpstream closes an idle connection to an upstream, because its descriptor is needed,
// and reports whether there was one.
func (s *Server) CloseIdleUpstream() bool {
	for _, t := range s.upstreams.all() {
		if t.closeOneIdle() {
			return true
		}
	}
	return false
}

// connect returns an idle connection, or a new one if there is none, for the one request
// that ch pays for. A response names the request that it belongs to, not the attempt, so
// the connection has not carried the request with the id before; id is empty for a request
// without one.
func (t *target) connect(ctx context.Context, ch charge, id string) (*conn, error) {
	if ch.payer == payerNone {
		return nil, errors.Errorf("request to upstream %q has no charge", t.id)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if c := t.takeIdle(time.Now(), id); c != nil {
		return c, nil
	}
	if err := t.lost(t.links.now()); err != nil {
		return nil, err
	}
	return t.dial(ctx)
}

// dial opens a connection to the target.
func (t *target) dial(ctx context.Context) (*conn, error) { return t.links.connect(ctx, t) }

// addConn counts a connection until it is closed.
func (t *target) addConn(c *conn) {
	c.closed = t.dropConn
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[*conn]struct{}{}
	}
	t.conns[c] = struct{}{}
	t.linkState.lostUntil = 0
}

func (t *target) dropConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}
