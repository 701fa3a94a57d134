package policy

import "time"

const (
	// numberedStreams is the number of streams without a gap after which a service numbers
	// its events one by one; teachingUpstreams upstreams must each have sent
	// streamsPerTeacher of them. It doubles each time that it turns out wrong.
	numberedStreams    = 10
	maxNumberedStreams = 1 << 20
	teachingUpstreams  = 2
	streamsPerTeacher  = 3
	// aloneFactor times as many streams are needed of an upstream that teaches alone, unless
	// the events of another software version are numbered one by one.
	aloneFactor = 3
	// contradictingUpstreams is the number of upstreams whose streams have gaps that
	// together show that the service does not number its events one by one. Each counts for
	// gapMemory.
	contradictingUpstreams = 2
	gapMemory              = 10 * time.Minute
	// contradictingStreams is the number of streams with a gap, without a sound one of any
	// upstream between them, that show the same: a single upstream may be left.
	contradictingStreams = 8
	// maxTeachers limits the upstreams that are counted.
	maxTeachers = 256
)

// EventNumbering learns whether the events of a service are numbered one by one, so that a
// gap between two numbers is a piece that is missing. A single upstream with a fault
// neither teaches that nor the opposite if there are others. It is not safe for concurrent use.
type EventNumbering struct {
	state NumberingState
	// streams counts the streams without a gap by upstream, and total all of them.
	streams map[string]int
	total   int
	// gaps is when an upstream last sent a stream with a gap, and gapsInARow the number of
	// such streams since the last one without.
	gaps       map[string]time.Duration
	gapsInARow int
}

// OneByOne reports whether the events are known to be numbered one by one.
func (n *EventNumbering) OneByOne() bool { return n.state.OneByOne() }

// Unknown reports whether nothing speaks for or against events that are numbered one by one.
func (n *EventNumbering) Unknown(now time.Duration) bool {
	n.prune(now)
	return n.state.Changes == 0 && len(n.gaps) == 0 && n.gapsInARow == 0
}

// State returns what is known, for Merge at another entry.
func (n *EventNumbering) State() NumberingState { return n.state }

// Merge applies what another entry knows, and reports whether that is newer.
func (n *EventNumbering) Merge(state NumberingState) bool {
	if !n.state.Merge(state) {
		return false
	}
	n.streams, n.total = nil, 0
	return true
}

// required returns the number of streams that are needed to learn it.
func (n *EventNumbering) required() int {
	return min(numberedStreams<<min(n.state.Changes/2, 32), maxNumberedStreams)
}

// RecordStream records a stream of an upstream, or a part of one, without a gap.
// otherVersion tells whether the events of another software version of the service are
// numbered one by one.
func (n *EventNumbering) RecordStream(upstream string, now time.Duration, otherVersion bool) {
	n.prune(now)
	n.gapsInARow = 0
	if _, gaps := n.gaps[upstream]; gaps || n.OneByOne() && !n.state.Alone || len(n.gaps) >= contradictingUpstreams {
		return
	}
	if n.streams == nil {
		n.streams = map[string]int{}
	}
	if _, known := n.streams[upstream]; !known && len(n.streams) >= maxTeachers {
		return
	}
	n.streams[upstream]++
	n.total++
	teachers := 0
	for _, count := range n.streams {
		if count >= streamsPerTeacher {
			teachers++
		}
	}
	alone := n.required()
	if !otherVersion {
		alone *= aloneFactor
	}
	switch {
	case n.state.Alone:
		n.state.Alone = teachers < teachingUpstreams
	case n.total >= n.required() && teachers >= teachingUpstreams:
		n.state.Changes++
		n.streams, n.total = nil, 0
	case n.streams[upstream] >= alone && len(n.gaps) == 0:
		n.state = NumberingState{Changes: n.state.Changes + 1, Alone: true}
	}
}

// RecordGap records that an upstream has sent a stream with a gap between two events.
func (n *EventNumbering) RecordGap(upstream string, now time.Duration) {
	n.prune(now)
	n.gapsInARow++
	again := len(n.gaps) > 0
	if n.gaps == nil {
		n.gaps = map[string]time.Duration{}
	}
	if _, known := n.gaps[upstream]; known || len(n.gaps) < maxTeachers {
		n.gaps[upstream] = now
	}
	n.total -= n.streams[upstream]
	delete(n.streams, upstream)
	if len(n.gaps) < contradictingUpstreams && n.gapsInARow < contradictingStreams && !(n.state.Alone && again) {
		return
	}
	if n.OneByOne() {
		n.state = NumberingState{Changes: n.state.Changes + 1}
	}
	n.streams, n.total = nil, 0
}

func (n *EventNumbering) prune(now time.Duration) {
	for upstream, at := range n.gaps {
		if now-at > gapMemory {
			delete(n.gaps, upstream)
		}
	}
}
