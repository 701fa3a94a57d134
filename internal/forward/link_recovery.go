package forward

import (
	"context"
	"slices"
	"strings"
	"time"

	"godwitward.example/godwitward/policy"
)

const (
	// recoveryInterval is the pause between two attempts to find a link that is up again,
	// and recoverySpacing the same after a successful one, so that the connections to all
	// upstreams are not opened at once.
	recoveryInterval = 200 * time.Millisecond
	recoverySpacing  = 20 * time.Millisecond
	// moveSilence is how long nothing must have come on a connection over a link that is
	// down before its request is moved.
	moveSilence = 400 * time.Millisecond
	// maxRetireTime is the longest time for which a relayed connection is used again after
	// the link is up. Each has its own, so that they are not replaced at once.
	maxRetireTime = time.Second
)

// startRecovery starts the goroutine that looks for links that are up again, if it does not
// run. It ends when none is down, or with the server.
func (l *links) startRecovery() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recovering || l.stopped() {
		return
	}
	l.recovering = true
	l.done.Add(1)
	go l.recoverLinks()
}

func (l *links) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *links) recoverLinks() {
	defer l.done.Done()
	pause := recoveryInterval
	for next := 0; ; next++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		down := l.downTargets()
		if len(down) == 0 && l.endRecovery() {
			return
		}
		if len(down) == 0 {
			continue
		}
		for _, t := range down {
			t.moveSilentRequests(l.now())
		}
		pause = recoveryInterval
		if t := down[next%len(down)]; l.reached(t) {
			l.setUp(t)
			pause = recoverySpacing
		}
	}
}

// reached reports whether a target is reached directly, in the way that failed before.
func (l *links) reached(t *target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	a := linkAttempt{links: l, target: t, open: l.openDirect, ask: t.linkFailure() != policy.PathFailed, keep: true}
	return a.run(ctx) == policy.PathReached
}

// endRecovery lets a later call of startRecovery start a new goroutine. It reports false if a
// link went down meanwhile, for which none was started.
func (l *links) endRecovery() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.downTargets()) > 0 {
		return false
	}
	l.recovering = false
	return true
}

// downTargets returns the targets whose links are down, in a fixed order. A target that
// nobody hears of is not reached over any link; its link counts as up until it is back.
func (l *links) downTargets() []*target {
	var down []*target
	for _, t := range l.upstreams.all() {
		switch {
		case !t.linkDown():
		case t.currentRecord().Silent:
			t.setLinkUp(l.now())
		default:
			down = append(down, t)
		}
	}
	slices.SortFunc(down, func(a, b *target) int { return strings.Compare(a.id, b.id) })
	return down
}

// countDown returns the number of links that are down.
func (l *links) countDown() int {
	n := 0
	for _, t := range l.upstreams.all() {
		if t.linkDown() {
			n++
		}
	}
	return n
}

// linkDown reports whether the target is reached through other daemons only.
func (t *target) linkDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.linkState.down
}

// linkFailure returns how the attempt failed by which the link was judged.
func (t *target) linkFailure() policy.PathResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.linkState.failure
}

func (t *target) link() policy.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return policy.Link{HeardAt: time.Duration(t.heardAt.Load()), Down: t.linkState.down, DownAt: t.linkState.downAt}
}

// setLost records that nobody has reached the target.
func (t *target) setLost(now time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linkState.lostUntil, t.linkState.lostErr = now+lostTime, err
}

// lost returns the error of the last attempts if nobody has reached the target just before.
func (t *target) lost(now time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.linkState.lostUntil {
		return t.linkState.lostErr
	}
	return nil
}

// startProbe reports whether a probe may begin, and then counts it.
func (t *target) startProbe(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.removed || t.linkState.probedAt > 0 && now-t.linkState.probedAt < probeSpacing {
		return false
	}
	t.linkState.probedAt = now
	return true
}

// joinProbe returns a channel that is closed at the end of a probe that requests wait for, nil if
// there was none. If first is set, the caller makes the probe and closes the channel. It does not
// count as one of startProbe: an answer that is overdue soon after shows a link that is lost since.
func (t *target) joinProbe(now time.Duration) (judged chan struct{}, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := max(t.linkState.probedAt, t.linkState.joinedAt)
	first = !t.removed && (last == 0 || now-last >= probeSpacing)
	if first {
		t.linkState.joinedAt, t.linkState.judged = now, make(chan struct{})
	}
	return t.linkState.judged, first
}

// beginRaceChecks reports whether the link is to be checked after a race between its paths. If so,
// endRaceChecks is to be called.
func (t *target) beginRaceChecks() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.linkState.raceChecked {
		return false
	}
	t.linkState.raceChecked = true
	return true
}

func (t *target) endRaceChecks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linkState.raceChecked = false
}

// setLinkDown marks the link as down, by an attempt that began at a time. It reports whether
// it was up. What failed over the link tells nothing about the health of the upstream, so
// that is forgotten, but a process that broke its connections before may have ended. Idle
// connections that have brought nothing since are closed.
func (t *target) setLinkDown(began time.Duration, failure policy.PathResult) bool {
	t.mu.Lock()
	if t.linkState.down || t.removed {
		t.mu.Unlock()
		return false
	}
	t.linkState.down, t.linkState.downAt, t.linkState.failure = true, began, failure
	t.health = policy.Health{}
	t.mu.Unlock()
	t.outcomes.withdrawFailures(t)
	t.closeIdleIf(func(c *conn) bool { return c.relayed == nil && time.Duration(c.heardAt.Load()) <= began })
	return true
}

// setLinkUp marks the link as up. It returns whether it was down, and since when.
func (t *target) setLinkUp(now time.Duration) (downAt time.Duration, wasDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasDown = t.linkState.down
	if wasDown {
		t.linkState.down, t.linkState.upAt = false, now
	}
	return t.linkState.downAt, wasDown
}

// moveSilentRequests asks that the requests are moved that wait for a link that is down and can
// be sent again.
func (t *target) moveSilentRequests(now time.Duration) {
	t.mu.Lock()
	var silent []*conn
	for c := range t.conns {
		last := time.Duration(max(c.heardAt.Load(), c.waitsSince.Load()))
		if c.relayed == nil && c.movable.Load() && now-last >= moveSilence {
			silent = append(silent, c)
		}
	}
	t.mu.Unlock()
	for _, c := range silent {
		c.askMove()
	}
}

// retires reports whether a relayed connection is not used again, because the target is
// reached directly. While links are suspected, it is used until something comes directly: the
// direct attempt beside it may take until its timeout, and each request would open a connection.
// The caller holds mu.
func (t *target) retires(c *conn, now time.Duration) bool {
	if c.relayed == nil || t.linkState.down {
		return false
	}
	if t.links.suspected() && time.Duration(t.heardAt.Load()) <= c.openedAt {
		return false
	}
	return now >= t.linkState.upAt+c.retireTime
}
