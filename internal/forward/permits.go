package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"godwitward.example/godwitward/policy"
)

const (
	// permitTimeout limits the wait for an answer to a request for a permit to send.
	permitTimeout = 100 * time.Millisecond
	// permitLead is how far ahead a permit is asked for that no request waits for.
	permitLead = 250 * time.Millisecond
)

// LimitedUpstream is an upstream process that states a limit on the requests that it
// takes, and the age of that statement.
type LimitedUpstream struct {
	ID        string
	BornMs    int64
	PerSecond float64
	Age       time.Duration
}

// SendPermit permits one request to an upstream.
type SendPermit struct {
	ID string
	// Wait is the time until the request may be sent.
	Wait time.Duration
}

// SendPermits gives permits to send requests to upstreams that state limits, over all
// entries.
type SendPermits interface {
	// Acquire asks for a permit to send one request to one of several upstreams. It
	// returns a *NoPermitError if none may get a request within maxWait, and any other
	// error if nobody could be asked.
	Acquire(ctx context.Context, upstreams []LimitedUpstream, maxWait time.Duration) (SendPermit, error)
}

// NoPermitError means that upstreams get as many requests as they take.
type NoPermitError struct {
	// RetryAfter is the time until one may get another request.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoPermitError) Error() string {
	return "no upstream may get a request for " + e.RetryAfter.String()
}

// permitState is the permit to send that an entry holds for an upstream that states a
// limit. The target's mu guards it.
type permitState struct {
	// from and until tell when the permit may be used; until is 0 if there is none.
	from, until time.Duration
	// asking is set while one is asked for; the next is not asked for before askAt.
	asking bool
	askAt  time.Duration
	// own spaces the entry's requests while nobody gives permits.
	own policy.SendSchedule
}

// takePermit uses a permit to send one request and reports whether there was one.
func (t *target) takePermit(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.permit
	if now < p.from || now >= p.until {
		return false
	}
	p.until = 0
	return true
}

// addPermit stores a permit that may be used after a wait.
func (t *target) addPermit(wait, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.permit.from, t.permit.until = now+wait, now+wait+policy.PermitTTL
}

func (t *target) limitedUpstream(now time.Duration) LimitedUpstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return LimitedUpstream{ID: t.id, BornMs: t.bornMs, PerSecond: t.stated.Limit, Age: now - t.stated.SentAt}
}

// takeOwnShare reports whether a request may be sent to a target that states a limit,
// within maxWait, while nobody gives permits.
func (s *Server) takeOwnShare(t *target, maxWait time.Duration) (wait time.Duration, ok bool) {
	entries := s.opts.RetryLimits().Entries
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.permit.own.ReserveShare(t.stated.Limit, entries, rand.Float64(), maxWait, s.now())
}

// acquirePermit returns one of several targets to which a request may be sent after a
// wait, or how long there is none.
func (s *Server) acquirePermit(ctx context.Context, targets []*target, maxWait time.Duration) (*target, time.Duration, *NoPermitError) {
	list := make([]LimitedUpstream, len(targets))
	for i, t := range targets {
		list[i] = t.limitedUpstream(s.now())
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var permit SendPermit
	err := errNoPermits
	if s.permits != nil {
		permit, err = s.permits.Acquire(ctx, list, maxWait)
	}
	var none *NoPermitError
	if errors.As(err, &none) {
		return nil, 0, none
	}
	if err == nil {
		for _, t := range targets {
			if t.id == permit.ID {
				return t, permit.Wait, nil
			}
		}
	}
	none = &NoPermitError{}
	for _, t := range targets {
		wait, ok := s.takeOwnShare(t, maxWait)
		if ok {
			return t, wait, nil
		}
		if none.RetryAfter == 0 || wait < none.RetryAfter {
			none.RetryAfter = wait
		}
	}
	return nil, 0, none
}

// errNoPermits means that the server has nobody to ask for permits.
var errNoPermits = errors.New("nobody gives permits to send")

// askForPermit asks in the background for a permit that a later request to the target
// may use. Without traffic to the target, the end of its limit would not be heard of.
func (s *Server) askForPermit(t *target) {
	now := s.now()
	t.mu.Lock()
	p := &t.permit
	ask := !p.asking && now >= p.askAt && now >= p.until
	p.asking = p.asking || ask
	t.mu.Unlock()
	if !ask {
		return
	}
	go func() {
		found, wait, none := s.acquirePermit(context.Background(), []*target{t}, permitLead)
		now := s.now()
		if found != nil {
			t.addPermit(wait, now)
		}
		t.mu.Lock()
		t.permit.asking = false
		if none != nil {
			t.permit.askAt = now + none.RetryAfter
		}
		t.mu.Unlock()
	}()
}

// pickAdmitted returns the upstream to which to send a request that is not for engines,
// nil if there is none. One that states a limit needs a permit, and gets the request as
// soon as there is one, however it ranks: a permit that is not used is lost to the
// upstream. While others can take the request, permits are only asked for; otherwise the
// request waits for one.
func (x *exchange) pickAdmitted() *target {
	x.permitRetryAfter = 0
	now := x.s.now()
	filter := upstreamFilter{service: x.service.Name, tried: x.tried, excluded: map[*target]bool{}, cost: &x.cost}
	var limited []*target
	for _, t := range x.s.upstreams.usable(filter, now) {
		if !t.limited() {
			continue
		}
		filter.excluded[t] = true
		if !x.tried[t] {
			limited = append(limited, t)
		}
	}
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	for _, t := range limited {
		if t.sound(now) && t.takePermit(now) {
			return t
		}
	}
	other := x.s.upstreams.pick(filter, now, rand.Float64())
	if len(limited) == 0 || other != nil && !x.tried[other] && other.sound(now) {
		for _, t := range limited {
			if t.sound(now) {
				x.s.askForPermit(t)
			}
		}
		return other
	}
	if t := x.awaitPermit(limited); t != nil {
		return t
	}
	return other
}

// sound reports whether the target is not avoided for failures or silence.
func (t *target) sound(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.health.InBackoff(now) && !t.record.Silent
}

// awaitPermit waits for a permit for one of several targets. It returns nil if none may
// get a request in time. A retry does not wait, so that first attempts go ahead of it.
func (x *exchange) awaitPermit(targets []*target) *target {
	maxWait := time.Duration(0)
	if x.sends == 0 {
		maxWait = min(x.route.LatencyTarget, x.remaining()/2)
	}
	t, wait, none := x.s.acquirePermit(x.movingContext(), targets, maxWait)
	if none != nil {
		x.permitRetryAfter = none.RetryAfter
		return nil
	}
	select {
	case <-x.ctx.Done():
	case <-time.After(wait):
	}
	if x.stopped() {
		x.permitRetryAfter = stoppingRetryAfter
		return nil
	}
	return t
}

// pickUnscheduled returns an engine for which no scheduler has reserved a request, nil
// if there is none. Engines that state a limit are used only while no scheduler can
// place requests, because it counts what it gives to them.
func (x *exchange) pickUnscheduled(filter upstreamFilter, noScheduler bool) *target {
	filter.excluded = map[*target]bool{}
	for {
		t := x.s.upstreams.pick(filter, x.s.now(), rand.Float64())
		if t == nil || !t.limited() {
			return t
		}
		if noScheduler {
			if _, ok := x.s.takeOwnShare(t, 0); ok {
				return t
			}
		}
		filter.excluded[t] = true
	}
}
