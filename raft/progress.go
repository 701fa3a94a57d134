package raft

// replicationState is how the leader sends entries to one member.
type replicationState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing replicationState = iota
	// replicating sends appends ahead of their acknowledgements.
	replicating
	// installing waits for a snapshot to be restored.
	installing
)

func (s replicationState) String() string {
	switch s {
	case probing:
		return "probe"
	case replicating:
		return "replicate"
	case installing:
		return "snapshot"
	}
	return "unknown"
}

// progress is the leader's view of one member.
type progress struct {
	state replicationState
	// match is the last index known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probeSent stops further probes until an answer or a heartbeat round.
	probeSent bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// snapshotIndex is the index of the snapshot being installed.
	snapshotIndex uint64
	// snapshotTicks counts the ticks since the snapshot was sent.
	snapshotTicks int
	// active tells that the member answered since the last quorum check.
	active bool
	// readAck is the highest read round that the member confirmed.
	readAck uint64
}

func (p *progress) becomeProbing() {
	next := p.match + 1
	if p.state == installing {
		next = max(next, p.snapshotIndex+1)
	}
	p.state = probing
	p.next = next
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.snapshotIndex = 0
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.next = p.match + 1
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.snapshotIndex = 0
}

func (p *progress) becomeInstalling(index uint64) {
	p.state = installing
	p.snapshotIndex = index
	p.snapshotTicks = 0
	p.inflight = p.inflight[:0]
}

func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// sent records an append whose last entry is at last.
func (p *progress) sent(last uint64, entries int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	if entries == 0 {
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// acknowledged records that the member holds all entries up to index and
// reports whether that is news.
func (p *progress) acknowledged(index uint64) bool {
	freed := 0
	for freed < len(p.inflight) && p.inflight[freed] <= index {
		freed++
	}
	p.inflight = append(p.inflight[:0], p.inflight[freed:]...)
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// rejected handles a refused append whose previous index was index. hint is
// where to try next. It reports false for an answer that is out of date.
func (p *progress) rejected(index, hint uint64) bool {
	if index <= p.match || p.state == installing {
		return false
	}
	if p.state == replicating {
		p.becomeProbing()
		return true
	}
	if p.next-1 != index {
		return false
	}
	p.next = max(min(index, hint+1), p.match+1)
	p.probeSent = false
	return true
}
