package soak

import (
	"fmt"
	"slices"

	"godwitward.example/godwitward/platform/standin"
)

// receivedEvent is an event of a stream, with the request that it answered.
type receivedEvent struct {
	request string
	origin  standin.Origin
}

// checkStream checks the events of one attempt of a stream of want events, of which the
// caller had some already.
func (c *checker) checkStream(id string, o outcome, events []standin.Event, delivered, want int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestEnded(id, o)
	c.statusCounts[fmt.Sprintf("stream %d", o.status)]++
	c.checkStamp(id, o)
	if o.status != 200 {
		return
	}
	for i, e := range events {
		next := delivered + i + 1
		switch {
		case e.ID > next:
			c.addRequestFinding([]string{id}, "order, gap: event %d of request %s is %d", next, id, e.ID)
		case e.ID < next:
			c.addRequestFinding([]string{id}, "order, repeat: event %d of request %s is %d", next, id, e.ID)
		case e.Data != standin.EventData(id, next, c.longEvents):
			c.addRequestFinding([]string{id}, "order, damaged: event %d of request %s is %q", next, id, e.Data)
		default:
			continue
		}
		return
	}
	if o.complete && delivered+len(events) != want {
		c.addRequestFinding([]string{id}, "order, early: stream of request %s looks complete after %d of %d events", id, delivered+len(events), want)
	}
}

// streamRead records the events of one attempt of a stream.
func (c *checker) streamRead(stream, request string, events []standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		c.streams[stream] = append(c.streams[stream], receivedEvent{request, e.Origin})
	}
}

// streamTakenUp counts a stream that its caller took up, and whether any more events came.
func (c *checker) streamTakenUp(named, wentOn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := "taken up"
	if !named {
		name += " unnamed"
	}
	c.statusCounts[name]++
	if wentOn {
		c.statusCounts[name+", went on"]++
	}
}

// otherCacheUsed records a request that was sent with a prefill result that does not fit.
func (c *checker) otherCacheUsed(r standin.Run, handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRequestFinding([]string{r.ID}, "order, cache: request %s reached %s with the prefill result %s", r.ID, r.Origin, handle)
}

// checkRuns checks that the events of each stream come from runs of its requests that
// fit together. It is called when the runners have told of all runs.
func (c *checker) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream, events := range c.streams {
		found := map[string]bool{}
		add := func(kind string, i int) {
			if found[kind] {
				return
			}
			found[kind] = true
			before, ids := "none", []string{events[i].request}
			if i > 0 {
				ids = append(ids, events[i-1].request)
				before = fmt.Sprintf("request %s, %s", events[i-1].request, events[i-1].origin)
			}
			c.addRequestFinding(ids, "order, %s: event %d of stream %s comes from request %s, %s; the one before from %s",
				kind, i+1, stream, events[i].request, events[i].origin, before)
		}
		for i, e := range events {
			if !c.hasRun(e) {
				add("run", i)
			}
			if i == 0 {
				continue
			}
			before := events[i-1]
			if e.origin.Service != before.origin.Service {
				add("service", i)
			}
			if e.origin.Version != before.origin.Version {
				add("software", i)
			}
			// Only a run itself may change its weights, to later ones.
			if e.origin.Weights < before.origin.Weights || e.origin.Weights > before.origin.Weights && e.origin.Run != before.origin.Run {
				add("weights", i)
			}
		}
	}
}

// hasRun reports whether a runner told of the run that an event names. Its weights may
// have changed since.
func (c *checker) hasRun(e receivedEvent) bool {
	return slices.ContainsFunc(c.runs[e.request], func(o standin.Origin) bool {
		changed := o
		changed.Weights = max(o.Weights, e.origin.Weights)
		return changed == e.origin
	})
}
