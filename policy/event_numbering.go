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
// neither teaches that nor the opposite. It is not safe for concurrent use.
type EventNumbering struct {
	oneByOne bool
	// required is the number of streams needed; 0 for numberedStreams.
	required int
	// streams counts the streams without a gap by upstream, and total all of them.
	streams map[string]int
	total   int
	// gaps is when an upstream last sent a stream with a gap, and gapsInARow the number of
	// such streams since the last one without.
	gaps       map[string]time.Duration
	gapsInARow int
}

// OneByOne reports whether the events are known to be numbered one by one.
func (n *EventNumbering) OneByOne() bool { return n.oneByOne }

// RecordStream records a stream of an upstream, or a part of one, without a gap.
func (n *EventNumbering) RecordStream(upstream string, now time.Duration) {
	n.prune(now)
	n.gapsInARow = 0
	if _, gaps := n.gaps[upstream]; gaps || n.oneByOne || len(n.gaps) >= contradictingUpstreams {
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
	if n.total >= max(n.required, numberedStreams) && teachers >= teachingUpstreams {
		n.oneByOne, n.streams, n.total = true, nil, 0
	}
}

// RecordGap records that an upstream has sent a stream with a gap between two events.
func (n *EventNumbering) RecordGap(upstream string, now time.Duration) {
	n.prune(now)
	n.gapsInARow++
	if n.gaps == nil {
		n.gaps = map[string]time.Duration{}
	}
	if _, known := n.gaps[upstream]; known || len(n.gaps) < maxTeachers {
		n.gaps[upstream] = now
	}
	n.total -= n.streams[upstream]
	delete(n.streams, upstream)
	if len(n.gaps) < contradictingUpstreams && n.gapsInARow < contradictingStreams {
		return
	}
	if n.oneByOne {
		n.required = min(2*max(n.required, numberedStreams), maxNumberedStreams)
	}
	n.oneByOne, n.streams, n.total = false, nil, 0
}

func (n *EventNumbering) prune(now time.Duration) {
	for upstream, at := range n.gaps {
		if now-at > gapMemory {
			delete(n.gaps, upstream)
		}
	}
}
