package forward

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/relay"
	"godwitward.example/godwitward/policy"
)

// Relay opens connections to upstreams through other daemons.
type Relay interface {
	// Dial connects to an upstream's address. It returns relay.ErrNoHelper if no daemon
	// could be asked, relay.ErrUnable if none ever relays, and a *relay.DialError if several
	// were asked and failed.
	Dial(ctx context.Context, address string) (RelayedConn, error)
}

// RelayedConn is a connection to an upstream through another daemon.
type RelayedConn interface {
	net.Conn
	State() relay.State
	// Helper names the daemon that relays the connection.
	Helper() string
	// Idle reports whether the connection is open and has no unread data.
	Idle() bool
}

const (
	// relayDelay is how long a direct connection may take before a relayed one is tried as
	// well, and suspectDelay the same while links are suspected to be down.
	relayDelay   = 100 * time.Millisecond
	suspectDelay = 5 * time.Millisecond
	// suspectTime is how long links are suspected after an upstream was reached by another
	// daemon first.
	suspectTime = time.Second
	// lostTime is how long an upstream that nobody has reached gets no further attempts. It
	// bounds the attempts, over both paths, while many upstreams are lost.
	lostTime = 200 * time.Millisecond
	// probeTimeout limits the attempts that find out whether a link is up again.
	probeTimeout = 250 * time.Millisecond
	// statusTimeout limits the answer to a status check. It is longer than a link is checked,
	// so that a late answer counts.
	statusTimeout = policy.MaxLinkChecks + 100*time.Millisecond
	// silenceRecheck is how long an upstream may go on, once its response is overdue and a
	// connection could be made, before its link is checked.
	silenceRecheck = 100 * time.Millisecond
	// verdictWait is how long a request whose connection broke waits for the verdict.
	verdictWait = 200 * time.Millisecond
	// probeSpacing is the shortest time between two probes of a target.
	probeSpacing = time.Second
	// parallelProbes limits the probes that find out which other links are down.
	parallelProbes = 8
)

// errLinkDown means that an upstream was not reached, and that the entry's own link may be
// the cause. It tells nothing about the upstream.
var errLinkDown = errors.New("upstream not reached, and no other daemon has tried")

// links decides over which path connections to upstreams are opened, and whether the
// entry's own links are down. All verdicts come from policy.JudgeLink. Lock order:
// upstreams.mu, target.mu.
type links struct {
	open DialFunc
	// relay is nil if connections are opened directly only. It is set before the first
	// request.
	relay     Relay
	now       func() time.Duration
	logger    *log.Logger
	upstreams *upstreams
	// ask sends a status check on a new connection and reports whether an answer came.
	ask func(t *target, c *conn) bool

	// opened counts the connections that were opened, by their path.
	opened *expvar.Map
	// suspectUntil is until when relayed connections are tried sooner, and downSince when
	// the attempt began by which a link was last found to be down, in nanoseconds since the
	// start of the server.
	suspectUntil, downSince atomic.Int64
	// probes limits the probes in progress.
	probes chan struct{}

	mu sync.Mutex
	// recovering is set while a goroutine looks for links that are up again.
	recovering bool
	stop       chan struct{}
	done       sync.WaitGroup
}

// linkState is the state of the link to a target, guarded by the target's mu.
type linkState struct {
	down bool
	// downAt is when the attempt began by which the link was judged, and failure how it
	// failed.
	downAt  time.Duration
	failure policy.PathResult
	// upAt is when the link was found to be up again; 0 if it never was down.
	upAt time.Duration
	// lostUntil is until when the target counts as lost, and lostErr the error of the attempts
	// that have shown it.
	lostUntil time.Duration
	lostErr   error
	// probedAt is when the last probe of startProbe began, and joinedAt that of joinProbe; 0 if
	// there was none. judged is closed at the end of the latter.
	probedAt, joinedAt time.Duration
	judged             chan struct{}
	// raceChecked is set while the link is checked after a race between its paths.
	raceChecked bool
}

func newLinks(open DialFunc, logger *log.Logger) *links {
	return &links{open: open, logger: logger, probes: make(chan struct{}, parallelProbes), stop: make(chan struct{})}
}

// close ends the goroutine that looks for links that are up again.
func (l *links) close() {
	l.mu.Lock()
	close(l.stop)
	l.mu.Unlock()
	l.done.Wait()
}

// openResult is the result of an attempt to open a connection.
type openResult struct {
	c   *conn
	err error
}

// connect opens a connection to a target.
func (l *links) connect(ctx context.Context, t *target) (*conn, error) {
	switch {
	case l.relay == nil:
		return l.openDirect(ctx, t)
	case t.linkDown(), l.inDoubt(t):
		c, err := l.openRelayed(ctx, t)
		if err == nil {
			return c, nil
		}
		if !t.linkDown() {
			return l.race(ctx, t)
		}
		if !errors.Is(err, relay.ErrNoHelper) {
			t.setLost(l.now(), err)
			return nil, err
		}
		// Whether the link is up again is found out beside the requests.
		return nil, errLinkDown
	}
	return l.race(ctx, t)
}

// race opens a direct connection, and a relayed one if the direct one fails or takes long.
func (l *links) race(ctx context.Context, t *target) (*conn, error) {
	began := l.now()
	// The direct attempt goes on after a relayed one has succeeded: it tells whether the
	// link is down.
	direct := l.openLater(context.Background(), t, l.openDirect)
	delay := relayDelay
	if l.suspected() {
		delay = suspectDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var directErr error
	select {
	case r := <-direct:
		if r.err == nil || errors.Is(r.err, budget.ErrNoDescriptor) {
			return r.c, r.err
		}
		directErr = r.err
	case <-timer.C:
	case <-ctx.Done():
		go keepOpened(t, direct)
		return nil, ctx.Err()
	}
	relayCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	relayBegan := l.now()
	relayed := l.openLater(relayCtx, t, l.openRelayed)
	var relayErr error
	for directErr == nil || relayErr == nil {
		select {
		case r := <-direct:
			if r.err == nil {
				go closeOpened(relayed)
				return r.c, nil
			}
			directErr, direct = r.err, nil
		case r := <-relayed:
			if r.err == nil {
				l.suspect()
				go l.judgeRace(t, began, relayBegan, directErr, direct)
				return r.c, nil
			}
			relayErr, relayed = r.err, nil
		case <-ctx.Done():
			go keepOpened(t, direct)
			go closeOpened(relayed)
			return nil, ctx.Err()
		}
	}
	if errors.Is(relayErr, relay.ErrUnable) {
		return nil, directErr
	}
	if errors.Is(relayErr, relay.ErrNoHelper) {
		return nil, errors.Wrap(errLinkDown, directErr.Error())
	}
	t.setLost(l.now(), relayErr)
	return nil, relayErr
}

// judgeRace judges a link whose direct attempt is slower than the relayed one, or has failed
// before it.
func (l *links) judgeRace(t *target, began, relayBegan time.Duration, directErr error, direct <-chan openResult) {
	if errors.Is(directErr, budget.ErrNoDescriptor) {
		return
	}
	first := policy.LinkCheck{Began: began, Relayed: policy.PathReached, RelayedEnded: true, RelayedTook: l.now() - relayBegan}
	result := make(chan policy.PathResult, 1)
	if directErr != nil {
		first.Direct, first.DirectEnded = policy.PathFailed, true
	} else {
		go func() {
			r := <-direct
			if r.err == nil {
				t.putIdle(r.c)
				l.setUp(t)
			}
			result <- pathResult(r.err)
		}()
	}
	if t.beginRaceChecks() {
		defer t.endRaceChecks()
		newLinkProbe(l, t, false).run(began, &first, result)
	}
}

// pathResult returns the result of an attempt to connect.
func pathResult(err error) policy.PathResult {
	switch {
	case err == nil:
		return policy.PathReached
	case errors.Is(err, relay.ErrNoHelper), errors.Is(err, budget.ErrNoDescriptor):
		return policy.PathUnknown
	}
	return policy.PathFailed
}

// openLater opens a connection in the background. The result is received once.
func (l *links) openLater(ctx context.Context, t *target, open func(context.Context, *target) (*conn, error)) <-chan openResult {
	result := make(chan openResult, 1)
	go func() {
		c, err := open(ctx, t)
		result <- openResult{c, err}
	}()
	return result
}

// keepOpened keeps a connection that nobody waits for.
func keepOpened(t *target, result <-chan openResult) {
	if result == nil {
		return
	}
	if r := <-result; r.err == nil {
		t.putIdle(r.c)
	}
}

// closeOpened closes a connection that nobody waits for.
func closeOpened(result <-chan openResult) {
	if result == nil {
		return
	}
	if r := <-result; r.err == nil {
		_ = r.c.Close()
	}
}

func (l *links) openDirect(ctx context.Context, t *target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := l.open(ctx, t.address)
	if err != nil {
		return nil, err
	}
	l.opened.Add("direct", 1)
	c := newConn(nc)
	c.limit.heard = func() {
		now := int64(l.now())
		c.heardAt.Store(now)
		t.heardAt.Store(now)
	}
	t.addConn(c)
	return c, nil
}

func (l *links) openRelayed(ctx context.Context, t *target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := l.now()
	nc, err := l.relay.Dial(ctx, t.address)
	var failed *relay.DialError
	if errors.Is(err, relay.ErrUnable) {
		return nil, err
	}
	if err != nil && !errors.As(err, &failed) {
		// No daemon has said anything about the upstream.
		return nil, errors.Wrap(relay.ErrNoHelper, err.Error())
	}
	if err != nil {
		return nil, err
	}
	l.opened.Add("relayed", 1)
	c := newConn(nc)
	c.relayed, c.openedAt = nc, began
	t.addConn(c)
	return c, nil
}

// suspect makes relayed connections be tried sooner for a time.
func (l *links) suspect() { l.suspectUntil.Store(int64(l.now() + suspectTime)) }

// inDoubt reports whether the link to a target may be down like that of another one, since
// nothing has come over it since.
func (l *links) inDoubt(t *target) bool {
	return l.suspected() && t.heardAt.Load() <= l.downSince.Load()
}

func (l *links) suspected() bool { return int64(l.now()) < l.suspectUntil.Load() }

// silent is called when an answer on a direct connection is overdue that was asked for at a
// time. If nothing else has come from the target since, its link is probed: by a connection
// and, if one can be made and the target stays silent, by a status check.
func (l *links) silent(t *target, since time.Duration) {
	if l.relay == nil || time.Duration(t.heardAt.Load()) >= since {
		return
	}
	go func() {
		select {
		case l.probes <- struct{}{}:
		case <-l.stop:
			return
		}
		defer func() { <-l.probes }()
		if t.linkDown() || time.Duration(t.heardAt.Load()) >= since || !t.startProbe(l.now()) {
			return
		}
		if l.verify(t) && l.stillSilent(t, since) {
			l.probe(t, since, true)
		}
	}()
}

// judgeUnanswered judges the link over which a connection broke that has brought nothing.
func (l *links) judgeUnanswered(t *target, c *conn) {
	if l.relay != nil && c.relayed == nil && c.heardAt.Load() == 0 && !t.linkDown() {
		l.awaitVerdict(t)
	}
}

// awaitVerdict probes both paths to a target by status checks, since a connection that can be
// made may be reset before it brings anything. It waits for the verdict, but not long.
func (l *links) awaitVerdict(t *target) {
	began := l.now()
	judged, first := t.joinProbe(began)
	switch {
	case first:
		go func() {
			defer close(judged)
			l.probe(t, began, true)
		}()
	case judged == nil:
		return
	}
	select {
	case <-judged:
	case <-time.After(verdictWait):
	}
}

// stillSilent waits for a target from which nothing has come since a time, and reports
// whether that is still so.
func (l *links) stillSilent(t *target, since time.Duration) bool {
	select {
	case <-l.stop:
	case <-time.After(silenceRecheck):
	}
	return time.Duration(t.heardAt.Load()) < since && !t.linkDown()
}

// judge applies the verdict on attempts that began at a time.
func (l *links) judge(t *target, began time.Duration, direct, relayed policy.PathResult) {
	switch policy.JudgeLink(direct, relayed) {
	case policy.LinkUp:
		l.setUp(t)
	case policy.LinkDown:
		if t.setLinkDown(began, direct) {
			l.logger.Warn().Str("event", "link.down").Str("upstream", t.id).Str("direct", direct.String()).Str("relayed", relayed.String()).Msg("")
			l.downSince.Store(int64(began))
			l.suspect()
			l.startRecovery()
			l.judgeOthers(direct)
		}
	}
}

func (l *links) setUp(t *target) {
	t.heardAt.Store(int64(l.now()))
	if down, wasDown := t.setLinkUp(l.now()); wasDown {
		l.logger.Info().Str("event", "link.up").Str("upstream", t.id).Int64("down_ms", (l.now() - down).Milliseconds()).Msg("")
	}
}

// judgeOthers finds out, after a link was lost, which other links are down.
func (l *links) judgeOthers(failure policy.PathResult) {
	if l.cutOff() {
		return
	}
	now := l.now()
	for _, t := range l.upstreams.all() {
		if t.linkDown() {
			continue
		}
		select {
		case l.probes <- struct{}{}:
		default:
			// The others are probed when a response from them is overdue.
			return
		}
		if !t.startProbe(now) {
			<-l.probes
			continue
		}
		go func() {
			defer func() { <-l.probes }()
			l.probe(t, now, failure != policy.PathFailed)
		}()
	}
}

// cutOff takes all links for down if some of them show that the entry is cut off from all
// upstreams. It reports whether that is so.
func (l *links) cutOff() bool {
	all := l.upstreams.all()
	states := make([]policy.Link, len(all))
	since, failure := time.Duration(0), policy.PathFailed
	for i, t := range all {
		states[i] = t.link()
		if !states[i].Down {
			continue
		}
		failure = t.linkFailure()
		if since == 0 || states[i].DownAt < since {
			since = states[i].DownAt
		}
	}
	if !policy.CutOff(states) {
		return false
	}
	set := 0
	for _, t := range all {
		if t.setLinkDown(since, failure) {
			set++
		}
	}
	if set > 0 {
		l.logger.Warn().Str("event", "link.cut_off").Int("upstreams", len(all)).Int("presumed", set).Msg("")
	}
	return true
}
