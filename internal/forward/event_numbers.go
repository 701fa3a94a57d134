package forward

import (
	"strconv"
	"sync"

	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// numberingKey names the upstreams of a service that run one software version. Another
// version may number events in another way.
type numberingKey struct{ service, version string }

// maxNumberings limits the versions whose numbering is known.
const maxNumberings = 1024

// eventNumbering is what the entry has learned about the events of streams.
type eventNumbering struct {
	mu    sync.Mutex
	byKey map[numberingKey]*numbering
	// unreported are those that have changed since the last report to the hubs.
	unreported map[numberingKey]bool
}

// numbering tells whether each event follows the one before, and whether streams begin
// with the first number.
type numbering struct{ steps, starts policy.EventNumbering }

// firstEventNumber is the number of the first event where events are numbered one by one.
const firstEventNumber = 1

// get returns the numbering for a key, nil if there are too many. The caller holds mu.
func (n *eventNumbering) get(key numberingKey) *numbering {
	known := n.byKey[key]
	if known == nil && len(n.byKey) < maxNumberings {
		if n.byKey == nil {
			n.byKey = map[numberingKey]*numbering{}
		}
		known = &numbering{}
		n.byKey[key] = known
	}
	return known
}

// attemptEvents follows the numbers of the events of one attempt.
type attemptEvents struct {
	s   *Server
	t   *target
	key numberingKey
	// last is the number of the event before the next one; known is false if its id is not
	// a number.
	last  uint64
	known bool
	// fresh is set until the attempt has sent an event, and begins if it sends the stream
	// from its beginning.
	fresh, begins bool
	// steps is the number of events that followed another one of the attempt.
	steps int
	// unreported is set if the process has not reported its software: nothing is known of its
	// numbering, and nothing learned.
	unreported bool
}

// newAttemptEvents follows the events after the one with the id last; empty for a stream
// from its beginning.
func (s *Server) newAttemptEvents(t *target, v policy.RunVersions, last string) *attemptEvents {
	a := &attemptEvents{s: s, t: t, key: numberingKey{v.Service, v.Software}, fresh: true, begins: last == ""}
	a.unreported = fleet.IsProcessText(v.Software)
	if a.begins {
		a.last, a.known = firstEventNumber-1, true
		return a
	}
	n, err := strconv.ParseUint(last, 10, 64)
	a.last, a.known = n, err == nil
	return a
}

// leavesGap reports whether an event is missing before the one with the id, as far as it is
// known how events are numbered.
func (a *attemptEvents) leavesGap(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		a.known = a.known && id == ""
		return false
	}
	last, known, fresh := a.last, a.known, a.fresh
	a.last, a.known, a.fresh = n, true, false
	if !known || a.unreported {
		return false
	}
	a.s.numbering.mu.Lock()
	defer a.s.numbering.mu.Unlock()
	numbering := a.s.numbering.get(a.key)
	if numbering == nil {
		return false
	}
	follows, now := n == last+1, a.s.now()
	learned := numbering.steps.OneByOne()
	defer a.s.noteChanges(a.key, numbering, numbering.states())
	switch {
	case fresh && a.begins:
		learned = learned && numbering.starts.OneByOne()
		if follows {
			numbering.starts.RecordStream(a.t.address, now, a.s.numbering.otherVersion(a.key).starts)
		} else {
			numbering.starts.RecordGap(a.t.address, now)
		}
	case fresh:
		learned = learned || a.s.numbering.likelyOneByOne(a.key, numbering, now)
	case follows:
		a.steps++
	default:
		numbering.steps.RecordGap(a.t.address, now)
		a.steps = 0
	}
	return learned && !follows
}

// minNumberedSteps is the number of steps from which on an attempt tells how events are
// numbered.
const minNumberedSteps = 2

// end records an attempt without a gap.
func (a *attemptEvents) end() {
	if a.steps < minNumberedSteps || a.unreported {
		return
	}
	a.s.numbering.mu.Lock()
	defer a.s.numbering.mu.Unlock()
	if numbering := a.s.numbering.get(a.key); numbering != nil {
		defer a.s.noteChanges(a.key, numbering, numbering.states())
		numbering.steps.RecordStream(a.t.address, a.s.now(), a.s.numbering.otherVersion(a.key).steps)
	}
}
