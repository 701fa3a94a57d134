package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// loadCheckInterval is the time between two status checks of an upstream while its
	// service is short of slots. In the replay of policy/call_replay_test.go half of it
	// gains nothing. 66 entries then send each upstream 130 checks a second.
	loadCheckInterval = 500 * time.Millisecond
	// maxCheckedUpstreams limits the upstreams of a service that an entry checks.
	maxCheckedUpstreams = 16
	// loadCheckIdle is how long after the last call to a service its checks end.
	loadCheckIdle = time.Second
)

// watchShortage starts status checks of a service if an upstream has reported that calls
// wait. One entry sends each upstream too few calls to learn from the responses how its
// queue grows. It does so only where upstreams state how long work takes.
func (x *exchange) watchShortage(t *target) {
	if x.service.StatusPath == "" {
		return
	}
	now := x.s.now()
	s := &x.s.shortages
	short := t.reportsWaiting(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !short && s.byService[x.service.Name] == nil {
		return
	}
	sh := s.get(x.service.Name)
	sh.calledAt = now
	if short && !sh.checking && x.s.ended.Err() == nil {
		sh.checking = true
		go x.s.checkLoads(sh, x.service)
	}
}

// checkLoads sends status checks until no upstream of the service reports waiting calls, or
// no more calls come.
func (s *Server) checkLoads(sh *shortage, service *Service) {
	// Entries that notice the shortage at the same time spread their checks.
	pause := rand.N(loadCheckInterval)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
		}
		pause = loadCheckInterval
		now := s.now()
		targets := s.upstreams.usable(upstreamFilter{service: service.Name}, now)
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), maxCheckedUpstreams)]
		short := false
		for _, t := range targets {
			short = short || t.reportsWaiting(now)
		}
		s.shortages.mu.Lock()
		sh.checking = short && now-sh.calledAt < loadCheckIdle
		goesOn := sh.checking
		s.shortages.mu.Unlock()
		if !goesOn {
			return
		}
		for _, t := range targets {
			if !t.limited() && t.sound(now) {
				go s.checkLoad(t, service.StatusPath)
			}
		}
	}
}

// reportsWaiting reports whether the target has stated in the last second that calls wait.
func (t *target) reportsWaiting(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load.StatesSlowness() && t.load.ReportsWaiting(now)
}

// checkLoad asks a target for its load. A failure tells nothing: the connection may have been
// idle for too long.
func (s *Server) checkLoad(t *target, path string) {
	s.vars.loadChecks.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := t.connect(ctx, freeCharge(), "")
	if err != nil {
		return
	}
	_ = c.SetDeadline(time.Now().Add(probeTimeout))
	header := s.opts.Protocol.RequestHeader(http.Header{}, &SendOptions{Instance: t.id, RemainingTime: probeTimeout, Priority: -1})
	if c.writeRequest(&outboundRequest{method: http.MethodGet, uri: path, host: t.address, header: header}) != nil {
		_ = c.Close()
		return
	}
	resp, info, err := c.readResponse(s.opts.Protocol, http.MethodGet, "")
	if err != nil || endsWithConnection(resp) || discardBody(resp, maxBufferedBytes) != nil || !c.reusable(resp, &info) {
		_ = c.Close()
	} else {
		_ = c.SetDeadline(time.Time{})
		c.setIdleExpiry(&info, time.Now())
		t.putIdle(c)
	}
	if err == nil && resp.StatusCode == http.StatusOK && !info.ContentEncoded {
		t.recordLoad(info.Load, s.now())
	}
}
