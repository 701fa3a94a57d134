package soak

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// eventsOf returns events with data of the form "REQUEST NUMBER".
func eventsOf(data ...string) []standin.Event {
	var events []standin.Event
	for _, d := range data {
		e := standin.Event{Data: d}
		_, _ = fmt.Sscan(d[strings.LastIndexByte(d, ' '):], &e.ID)
		events = append(events, e)
	}
	return events
}

var first = standin.Origin{Run: "i-1.5.1", Service: "engines", Version: "v1", Weights: 1}

// fromRun returns first after a change.
func fromRun(change func(o *standin.Origin)) standin.Origin {
	o := first
	change(&o)
	return o
}

func otherRun(o *standin.Origin) { o.Run = "i-2.6.1" }

// joinedStream records a stream of two attempts, a and b, with an event of each of the
// given runs; the runners tell of the runs in told.
func joinedStream(c *checker, a, b []standin.Origin, told ...standin.Origin) {
	for request, origins := range map[string][]standin.Origin{"a": a, "b": b} {
		for _, o := range told {
			c.requestRan(standin.Run{ID: request, Origin: o})
		}
		if request == "a" {
			c.streamRead("a", request, eventsFrom(origins))
		}
	}
	c.streamRead("a", "b", eventsFrom(b))
	c.checkRuns()
}

func eventsFrom(origins []standin.Origin) []standin.Event {
	var events []standin.Event
	for _, o := range origins {
		events = append(events, standin.Event{Origin: o})
	}
	return events
}

// Each kind of joined stream must be found, within one answer and after a take-up, and
// under its own name.
func TestJoinedRunsAreFound(t *testing.T) {
	for kind, second := range map[string]standin.Origin{
		"service":  fromRun(func(o *standin.Origin) { otherRun(o); o.Service = "other-engines" }),
		"software": fromRun(func(o *standin.Origin) { otherRun(o); o.Version = "v2" }),
		"weights":  fromRun(func(o *standin.Origin) { otherRun(o); o.Weights = 2 }),
	} {
		for _, split := range []int{1, 2, 3} {
			c := newChecker()
			all := []standin.Origin{first, second, second}
			joinedStream(c, all[:split], all[split:], first, second)
			require.Len(t, c.findings, 1, kind)
			require.Contains(t, c.findings[0], "order, "+kind+": event 2 of stream a")
		}
	}
}

// A run that changes its own weights is no fault. A change back is one, and so is what goes
// on at the earlier weights.
func TestWeightsNeverGoBack(t *testing.T) {
	changed := fromRun(func(o *standin.Origin) { o.Weights = 2 })
	other := fromRun(otherRun)
	newer := fromRun(func(o *standin.Origin) { otherRun(o); o.Weights = 2 })
	for _, c := range []struct {
		origins []standin.Origin
		found   int
	}{
		{[]standin.Origin{first, first, other}, 0},
		{[]standin.Origin{first, changed, newer}, 0},
		{[]standin.Origin{first, changed, first}, 1},
		{[]standin.Origin{first, changed, other}, 1},
		{[]standin.Origin{first, newer, newer}, 1},
	} {
		for split := range 4 {
			check := newChecker()
			joinedStream(check, c.origins[:split], c.origins[split:], first, other, newer)
			require.Len(t, check.findings, c.found, c.origins)
			for _, f := range check.findings {
				require.Contains(t, f, "order, weights: ")
			}
		}
	}
}

// Guards against events of runs that no runner knows, and of runs of another request.
func TestEventsOfUnknownRunsAreFound(t *testing.T) {
	for _, told := range []standin.Origin{fromRun(otherRun), fromRun(func(o *standin.Origin) { o.Weights = 2 }), fromRun(func(o *standin.Origin) { o.Version = "v2" })} {
		c := newChecker()
		joinedStream(c, []standin.Origin{first}, nil, told)
		require.Len(t, c.findings, 1)
		require.Contains(t, c.findings[0], "order, run: event 1")
	}
	c := newChecker()
	c.requestRan(standin.Run{ID: "b", Origin: first})
	c.streamRead("a", "a", eventsFrom([]standin.Origin{first}))
	c.checkRuns()
	require.Len(t, c.findings, 1)
}

// Guards against findings under the name of another kind, from which the cases are counted.
func TestKindsOfOrderAreTold(t *testing.T) {
	for kind, violate := range map[string]func(c *checker){
		"gap":     func(c *checker) { c.checkStream("a", outcome{status: 200}, eventsOf("a 1", "a 3"), 0, 3) },
		"repeat":  func(c *checker) { c.checkStream("a", outcome{status: 200}, eventsOf("a 2"), 2, 3) },
		"damaged": func(c *checker) { c.checkStream("a", outcome{status: 200}, eventsOf("b 1"), 0, 3) },
		"early":   func(c *checker) { c.checkStream("a", outcome{status: 200, complete: true}, eventsOf("a 1"), 0, 3) },
		"cache":   func(c *checker) { c.otherCacheUsed(standin.Run{ID: "a", Origin: first}, "h1-engines-2") },
		"damaged: event 1 of request a is \"a 1\"": func(c *checker) {
			c.longEvents = true
			c.checkStream("a", outcome{status: 200}, eventsOf("a 1"), 0, 3)
		},
	} {
		c := newChecker()
		violate(c)
		require.Len(t, c.findings, 1, kind)
		require.Contains(t, c.findings[0], "order, "+kind)
	}
}

// Guards against engines that all have one software version: with as many runners of the
// plain service, only the others of the small shape differed.
func TestEnginesOfTheSmallShapeHaveTwoVersions(t *testing.T) {
	versions := map[int]int{}
	for i := range 5 {
		if e := smallShape.engine(i, 5); e.stage == standin.StageDecode {
			versions[e.version]++
		}
	}
	require.Equal(t, map[int]int{0: 2, 1: 2}, versions)
}

// Guards against a shape in which a broken stream has no engine to go on at, or a prompt no
// prefill engine.
func TestKiritaniHasEnginesOfEachKind(t *testing.T) {
	kinds, intervals := map[engine]int{}, map[string]bool{}
	for i := range 9 {
		e := kiritaniShape.engine(i, 9)
		intervals[e.interval.String()] = true
		e.interval = 0
		if e.stage == standin.StagePrefill {
			e.weights = 0
		}
		kinds[e]++
	}
	require.Len(t, intervals, 9)
	for _, service := range kiritaniShape.services {
		require.Positive(t, kinds[engine{service: service, stage: standin.StagePrefill}])
		for weights := range kiritaniShape.weights {
			require.Positive(t, kinds[engine{service: service, stage: standin.StageDecode, weights: weights + 1}])
		}
	}
	first, second := kiritaniShape.config(1), kiritaniShape.config(2)
	require.NotEqual(t, first.Splits["plan"], second.Splits["plan"])
	require.NotEqual(t, first.Splits["draft"], second.Splits["draft"])
}
