package raft

// replicationState is the mode in which the leader replicates to one member.
type replicationState uint8

const (
	// probing sends one append at a time until the matching index is known.
	probing replicationState = iota
	// replicating pipelines appends without waiting for acknowledgements.
	replicating
	// installing sends no appends until the member has restored a snapshot.
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

// progress is the replication progress of one member, as seen by the leader.
type progress struct {
	state replicationState
	// match is the last index known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probeSent blocks further probes until the member responds to the probe
	// or to a heartbeat.
	probeSent bool
	// inflight holds the last entry index of each unacknowledged append.
	inflight []uint64
	// snapshotIndex is the index of the snapshot being installed.
	snapshotIndex uint64
	// snapshotTicks counts the ticks since the snapshot was sent.
	snapshotTicks int
	// active means that the member responded since the last quorum check.
	active bool
	// silentTicks counts the ticks since the member last responded, or since the election.
	silentTicks int
	// readAck is the highest read round that the member has confirmed.
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

// recordSent records that an append with the given number of entries, the last
// one at index last, was sent.
func (p *progress) recordSent(last uint64, entries int) {
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

// handleAck records that the member's log matches up to index and reports whether
// match advanced.
func (p *progress) handleAck(index uint64) bool {
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

// handleReject handles the rejection of an append whose previous index was index.
// hint is the previous index to try next. It reports false if the rejection is
// out of date.
func (p *progress) handleReject(index, hint uint64) bool {
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
