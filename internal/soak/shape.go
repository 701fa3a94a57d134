package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

// The shapes of a run.
const (
	ShapeSmall = "small"
	// ShapeKiritani has long streams at two services with engines of two weights, on routes
	// that are split and moved between them.
	ShapeKiritani = "kiritani"
	// ShapeOneVersion is ShapeKiritani with one service, whose engines have one version of the
	// software and of the weights until the first release.
	ShapeOneVersion = "one-version"
)

// Shapes are the names of all shapes.
var Shapes = []string{ShapeSmall, ShapeKiritani, ShapeOneVersion}

// shape is what a run looks like apart from its faults.
type shape struct {
	callers, streamShare int
	// callerTimeout is also the timeout of the routes; takeUpTime is how long a caller tries
	// to take its stream up.
	callerTimeout, takeUpTime time.Duration
	eventInterval, eventGap   time.Duration
	// slowest is the factor of eventInterval at the slowest engine.
	slowest float64
	// softwareVersions is the number of software versions that engines have at the start.
	softwareVersions, weights int
	// services are the services with engines. With several, the resumable routes change
	// between them, as often as changeInterval.
	services       []string
	changeInterval time.Duration
	// longEvents is set if streams have long events, from minEvents to maxEvents.
	longEvents           bool
	minEvents, maxEvents int
	// habits is set if callers take streams up in all ways.
	habits bool
}

var smallShape = shape{
	callers: callerCount, streamShare: 30, callerTimeout: callerTimeout, takeUpTime: takeUpTime, eventInterval: eventInterval,
	eventGap: 100 * time.Millisecond, slowest: 1, softwareVersions: softwareVersions, weights: 1, services: []string{engineService},
	minEvents: streamEvents, maxEvents: streamEvents,
}

var kiritaniShape = shape{
	callers: 24, streamShare: 60, callerTimeout: 8 * time.Second, takeUpTime: takeUpTime, eventInterval: 15 * time.Millisecond,
	eventGap: 300 * time.Millisecond, slowest: 1.6, softwareVersions: 1, weights: 2, services: []string{engineService, "other-engines"},
	changeInterval: 2 * time.Second, longEvents: true, minEvents: 70, maxEvents: 130, habits: true,
}

// setShape sets the numbers of processes of a named shape.
func (o *Options) setShape() (shape, error) {
	switch o.Shape {
	case "", ShapeSmall:
		return smallShape, nil
	case ShapeKiritani, ShapeOneVersion:
		o.Entries, o.Runners, o.Engines = 7, 4, 9
		sh := kiritaniShape
		if o.Shape == ShapeOneVersion {
			sh.weights, sh.services, sh.changeInterval = 1, []string{engineService}, 0
		}
		return sh, nil
	}
	return shape{}, errors.Errorf("unknown shape %q", o.Shape)
}

// engine is what a runner, and each one that takes its place, is like.
type engine struct {
	service, stage string
	// version is the number of its software version before any release.
	version, weights int
	interval         time.Duration
}

// engine returns the i-th of n engines. Versions of the software alternate. Each service has a prefill engine, and each version
// of the weights at least one decode engine of each service.
func (sh *shape) engine(i, n int) engine {
	inService := i / len(sh.services)
	e := engine{
		service: sh.services[i%len(sh.services)], stage: standin.StageDecode, version: i % sh.softwareVersions,
		weights:  1 + inService%sh.weights,
		interval: time.Duration(float64(sh.eventInterval) * (1 + (sh.slowest-1)*float64(i)/float64(n))),
	}
	if inService%3 == 2 {
		e.stage = standin.StagePrefill
	}
	return e
}

// drawEvents draws the number of events of a stream.
func (sh *shape) drawEvents() int {
	if sh.minEvents == sh.maxEvents || rand.IntN(4) > 0 {
		return sh.minEvents
	}
	return sh.minEvents + rand.IntN(sh.maxEvents-sh.minEvents+1)
}

// drawPath draws the route of a resumable stream.
func (sh *shape) drawPath() string {
	if len(sh.services) > 1 && rand.IntN(2) == 0 {
		return "/plan/x"
	}
	return "/draft/x"
}

// config returns a version of the configuration. In successive versions the route of drafts
// has other shares, and that of plans moves to another service.
func (sh *shape) config(version int) *standin.Config {
	c := &standin.Config{
		Version: version, PlainService: "plain", EngineService: engineService,
		TimeoutMs: int(sh.callerTimeout.Milliseconds()), EventGapMs: int(sh.eventGap.Milliseconds()),
	}
	if len(sh.services) > 1 {
		share := []int{50, 90, 10}[version%3]
		c.Splits = map[string]map[string]int{
			"draft": {sh.services[0]: share, sh.services[1]: 100 - share},
			"plan":  {sh.services[version%2]: 100},
		}
	}
	return c
}

// changeRoutes changes the configuration again and again until ctx ends.
func (s *system) changeRoutes(ctx context.Context) {
	for core := 0; s.shape.changeInterval > 0 && ctx.Err() == nil; core++ {
		sleep(ctx, s.shape.changeInterval)
		if !s.changesPaused.Load() {
			_ = s.putConfig(ctx, core)
		}
	}
}

// habit is how a caller goes on with a stream that broke off.
type habit struct {
	// leavesAfter is the number of events after which the caller loses its connection, 0 for
	// never, and losses how often it does. overlaps leaves that connection open for a while.
	leavesAfter, losses int
	overlaps            bool
	// names is the stream's name, pause the time before each attempt.
	names     naming
	pause     time.Duration
	sameEntry bool
}

// naming is how a caller names the stream that it takes up.
type naming int

const (
	firstAttempt naming = iota
	lastAttempt
	noAttempt
)

func (sh *shape) drawHabit(events int) habit {
	h := habit{pause: takeUpDelay}
	draw := rand.Float64()
	switch {
	case draw < overlapShare:
		h.leavesAfter, h.losses, h.overlaps = 2, 1, true
	case draw < overlapShare+disconnectShare && !sh.habits:
		h.leavesAfter = 2
	case draw < overlapShare+3*disconnectShare && sh.habits:
		h.leavesAfter, h.losses = 1+rand.IntN(events/3), 1+rand.IntN(2)
	}
	if !sh.habits {
		return h
	}
	h.pause = 400 * time.Millisecond
	h.sameEntry = rand.IntN(3) == 0
	h.names = []naming{firstAttempt, firstAttempt, lastAttempt, noAttempt}[rand.IntN(4)]
	if rand.IntN(5) == 0 {
		h.pause = 2 * time.Second
	}
	return h
}
