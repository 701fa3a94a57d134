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
	// changes counts how often it was learned or unlearned, by any entry: an odd number if
	// the events are numbered one by one. The higher number of two entries holds.
	changes uint32
	// streams counts the streams without a gap by upstream, and total all of them.
	streams map[string]int
	total   int
	// gaps is when an upstream last sent a stream with a gap, and gapsInARow the number of
	// such streams since the last one without.
	gaps       map[string]time.Duration
	gapsInARow int
}

// OneByOne reports whether the events are known to be numbered one by one.
func (n *EventNumbering) OneByOne() bool { return n.changes%2 == 1 }

// Changes returns how often the numbering was learned or unlearned, for Merge at another
// entry; 0 if nothing is known.
func (n *EventNumbering) Changes() uint32 { return n.changes }

// Merge applies what another entry knows, and reports whether that is newer. In any order
// of merges the highest number remains.
func (n *EventNumbering) Merge(changes uint32) bool {
	if changes <= n.changes {
		return false
	}
	n.changes, n.streams, n.total = changes, nil, 0
	return true
}

// required returns the number of streams that are needed to learn it.
func (n *EventNumbering) required() int {
	return min(numberedStreams<<min(n.changes/2, 32), maxNumberedStreams)
}

// RecordStream records a stream of an upstream, or a part of one, without a gap.
func (n *EventNumbering) RecordStream(upstream string, now time.Duration) {
	n.prune(now)
	n.gapsInARow = 0
	if _, gaps := n.gaps[upstream]; gaps || n.OneByOne() || len(n.gaps) >= contradictingUpstreams {
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
	if n.total >= n.required() && teachers >= teachingUpstreams {
		n.changes, n.streams, n.total = n.changes+1, nil, 0
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
	if n.OneByOne() {
		n.changes++
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
