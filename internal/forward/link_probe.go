package forward

import (
	"context"
	"time"

	"godwitward.example/godwitward/policy"
)

// probe checks both paths to a target and judges the link. since is when the attempt began that
// failed before. With ask set a connection alone proves nothing: an answer to a status check
// must come.
func (l *links) probe(t *target, since time.Duration, ask bool) {
	newLinkProbe(l, t, ask).run(since, nil, nil)
}

// linkProbe makes the checks of a link that policy.LinkChecks asks for.
type linkProbe struct {
	links  *links
	target *target
	ask    bool
	checks policy.LinkChecks
	events chan linkEvent
}

// linkEvent is what became of one of the two attempts of a check.
type linkEvent struct {
	check int
	// relayed tells which one, and connected that it has a connection and goes on.
	relayed, connected bool
	result             policy.PathResult
}

func newLinkProbe(l *links, t *target, ask bool) *linkProbe {
	return &linkProbe{links: l, target: t, ask: ask, events: make(chan linkEvent)}
}

// run makes checks until there is a verdict, or none is to be had. first is nil, or a check that
// was made before, whose direct attempt may still be open; its result is then received.
func (p *linkProbe) run(since time.Duration, first *policy.LinkCheck, result <-chan policy.PathResult) {
	// The attempts that are open at the end are given up.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := p.links.now()
	if first != nil {
		p.checks.Checks = append(p.checks.Checks, *first)
	}
	if first != nil && !first.DirectEnded {
		go func() {
			select {
			case r := <-result:
				p.send(ctx, linkEvent{result: r})
			case <-ctx.Done():
			}
		}()
	}
	for {
		p.checks.Heard = time.Duration(p.target.heardAt.Load()) > began
		step := p.checks.Next(p.links.now())
		switch {
		case step.Done:
			p.links.judge(p.target, since, step.Direct, step.Relayed)
			return
		case step.Begin:
			p.begin(ctx, step.RelayedFirst)
			continue
		}
		select {
		case e := <-p.events:
			p.record(e)
		case <-time.After(step.Wait):
		case <-p.links.stop:
			return
		}
	}
}

// begin begins the attempts of a check.
func (p *linkProbe) begin(ctx context.Context, relayedFirst bool) {
	check := len(p.checks.Checks)
	p.checks.Checks = append(p.checks.Checks, policy.LinkCheck{Began: p.links.now()})
	direct := linkAttempt{links: p.links, target: p.target, open: p.links.openDirect, ask: p.ask, keep: true}
	direct.connected = func() { p.send(ctx, linkEvent{check: check, connected: true}) }
	// One relayed connection is enough for the next request.
	relayed := linkAttempt{links: p.links, target: p.target, open: p.links.openRelayed, ask: p.ask, keep: check == 0}
	runDirect := func() { p.send(ctx, linkEvent{check: check, result: direct.run(ctx)}) }
	runRelayed := func() { p.send(ctx, linkEvent{check: check, relayed: true, result: relayed.run(ctx)}) }
	if relayedFirst {
		runDirect, runRelayed = runRelayed, runDirect
	}
	go runDirect()
	go runRelayed()
}

func (p *linkProbe) send(ctx context.Context, e linkEvent) {
	select {
	case p.events <- e:
	case <-ctx.Done():
	}
}

func (p *linkProbe) record(e linkEvent) {
	c := &p.checks.Checks[e.check]
	switch {
	case e.connected:
		c.Connected = true
	case e.relayed:
		c.Relayed, c.RelayedEnded, c.RelayedTook = e.result, true, p.links.now()-c.Began
	default:
		c.Direct, c.DirectEnded = e.result, true
	}
}

// linkAttempt is an attempt to reach a target on one path.
type linkAttempt struct {
	links  *links
	target *target
	open   func(context.Context, *target) (*conn, error)
	// ask is set if an answer to a status check must come.
	ask bool
	// keep is set if a connection on which nothing was asked is kept for requests.
	keep bool
	// connected is called once there is a connection; it may be nil.
	connected func()
}

// run makes the attempt, which ends with ctx.
func (a *linkAttempt) run(ctx context.Context) policy.PathResult {
	c, err := a.open(ctx, a.target)
	switch {
	case err != nil:
		return pathResult(err)
	case !a.ask && a.keep:
		a.target.putIdle(c)
		return policy.PathReached
	}
	defer c.Close()
	if !a.ask {
		return policy.PathReached
	}
	if a.connected != nil {
		a.connected()
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	switch {
	case a.links.ask(a.target, c):
		return policy.PathReached
	case ctx.Err() != nil:
		return policy.PathSilent
	}
	return policy.PathBroken
}
