package raft

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
)

// simDisk is the durable state of a simulated member, which survives a crash.
type simDisk struct {
	hardState HardState
	snapshot  *Snapshot
	// bootstrap is the membership of the first start, empty for a member that
	// joins later.
	bootstrap Membership
	// entries are those after the snapshot.
	entries []Entry
}

type simMember struct {
	id   MemberID
	core *Core
	disk simDisk
	// value and applied are the state machine, a register, and its index.
	value   uint64
	applied uint64
	running bool
	// diskLost marks a member that lost its disk and must not start again.
	diskLost bool
	// writes is keyed by log index, reads by read context.
	writes       map[uint64]*simOp
	reads        map[uint64]*simOp
	pendingReads []ReadState
	wasLeader    bool
	lastTerm     uint64
}

// simOp is a client operation in the history.
type simOp struct {
	id       int
	write    bool
	value    uint64
	index    uint64
	term     uint64
	calledAt int64
	// returnedAt is the time of completion, 0 while the outcome is unknown.
	returnedAt int64
}

// simCluster runs members over a network that loses, duplicates and reorders
// messages, and checks the invariants after each action.
type simCluster struct {
	rng             *rand.Rand
	members         map[MemberID]*simMember
	ids             []MemberID
	nextID          MemberID
	network         [][]byte
	blocked         map[[2]MemberID]bool
	now             int64
	history         []*simOp
	lastValue       uint64
	lastReadContext uint64

	leaders   map[uint64]MemberID
	entries   map[[2]uint64]entryRecord
	committed map[uint64]committedEntry
	// drop, if set, reports whether to drop a message.
	drop func(*Message) bool
	// violation describes the first violated invariant.
	violation string

	// Percentages of the actions that are ticks and deliveries.
	tickPercent, deliverPercent int
	// Percentages of the messages that are lost and duplicated.
	lossPercent, duplicatePercent int
	maxAppendBytes                uint64
	rates                         simRates
}

// committedEntry is a committed entry with the term of the member that applied
// it first.
type committedEntry struct {
	Entry
	knownInTerm uint64
}

// entryRecord is the content on which all logs that hold an entry with the same
// (index, term) must agree.
type entryRecord struct {
	kind         EntryType
	data         string
	previousTerm uint64
}

// Default percentages of ticks and deliveries, at which a cluster without faults
// makes steady progress.
const (
	defaultTickPercent    = 12
	defaultDeliverPercent = 43
)

// maxHistory is the maximum number of operations in the history. It bounds the
// time of the linearizability check.
const maxHistory = 300

func newSimCluster(seed uint64, size int) *simCluster {
	c := &simCluster{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		tickPercent:    defaultTickPercent,
		deliverPercent: defaultDeliverPercent,
		maxAppendBytes: 32,
		members:        map[MemberID]*simMember{},
		blocked:        map[[2]MemberID]bool{},
		leaders:        map[uint64]MemberID{},
		entries:        map[[2]uint64]entryRecord{},
		committed:      map[uint64]committedEntry{},
	}
	var bootstrap Membership
	for i := 1; i <= size; i++ {
		bootstrap.Voters = append(bootstrap.Voters, MemberID(i))
	}
	for _, id := range bootstrap.Voters {
		c.add(id, bootstrap)
	}
	return c
}

func (c *simCluster) add(id MemberID, bootstrap Membership) {
	c.members[id] = &simMember{id: id, disk: simDisk{bootstrap: bootstrap}}
	c.ids = append(c.ids, id)
	c.nextID = max(c.nextID, id)
	c.start(c.members[id])
}

func (c *simCluster) reportViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *simCluster) start(m *simMember) {
	restored := RestoredState{HardState: m.disk.hardState, Snapshot: SnapshotMeta{Membership: m.disk.bootstrap}, Entries: slices.Clone(m.disk.entries)}
	m.value, m.applied = 0, 0
	if s := m.disk.snapshot; s != nil {
		restored.Snapshot = s.Meta
		m.value, m.applied = binary.BigEndian.Uint64(s.Data), s.Meta.Index
	}
	core, err := New(Config{ID: m.id, Seed: c.rng.Uint64(), MaxInflight: 4, MaxAppendBytes: c.maxAppendBytes, MaxPromoteLag: 2}, restored)
	if err != nil {
		c.reportViolation("member %d doesn't start: %v", m.id, err)
		return
	}
	m.core, m.running = core, true
	m.writes, m.reads, m.pendingReads = map[uint64]*simOp{}, map[uint64]*simOp{}, nil
}

func (c *simCluster) crash(m *simMember) {
	m.running, m.core, m.wasLeader = false, nil, false
}

// simRates are the probabilities of each fault and client call, per thousand
// actions. Each run draws its own, so that some runs concentrate on a few faults.
type simRates struct {
	write, read, campaign, isolate, heal, crash, restart, compact, changeMembership, replaceDisk int
}

// run performs n random actions.
func (c *simCluster) run(n int) {
	for range n {
		if c.violation != "" {
			return
		}
		c.now++
		c.injectEvents()
		switch p := c.rng.IntN(100); {
		case p < c.tickPercent:
			c.tick()
		case p < c.tickPercent+c.deliverPercent:
			c.deliver()
		default:
			if m := c.randomRunningMember(); m != nil {
				c.process(m, c.chance(c.rates.crash))
			}
		}
	}
}

func (c *simCluster) chance(permille int) bool { return c.rng.IntN(1000) < permille }

// injectEvents makes client calls and injects faults at the configured rates.
func (c *simCluster) injectEvents() {
	m := c.members[c.ids[c.rng.IntN(len(c.ids))]]
	if c.chance(c.rates.restart) && !m.running && !m.diskLost {
		c.start(m)
	}
	if c.chance(c.rates.heal) {
		clear(c.blocked)
	}
	if c.chance(c.rates.isolate) {
		c.isolate(m.id, c.rng.IntN(3) > 0, c.rng.IntN(3) > 0)
	}
	if c.chance(c.rates.replaceDisk) && c.canLoseDisk(m) {
		c.replaceDisk(m)
	}
	if !m.running {
		return
	}
	belowMaxHistory := len(c.history) < maxHistory
	if belowMaxHistory && c.chance(c.rates.write) {
		c.write(m)
	}
	if belowMaxHistory && c.chance(c.rates.read) {
		c.read(m)
	}
	if c.chance(c.rates.campaign) {
		// Skipping the pre-vote and the receivers' check for an active leader
		// is safe at any time.
		m.core.campaign(false, true)
		c.checkLeader(m)
	}
	if c.chance(c.rates.compact) {
		c.compact(m)
	}
	if c.chance(c.rates.changeMembership) {
		c.changeMembership(m)
	}
}

func (c *simCluster) isolate(id MemberID, inward, outward bool) {
	for _, other := range c.ids {
		c.blocked[[2]MemberID{other, id}] = inward
		c.blocked[[2]MemberID{id, other}] = outward
	}
}

// changeMembership makes a random membership change at a member that believes it
// is the leader.
func (c *simCluster) changeMembership(m *simMember) {
	if m.core.Role() != Leader {
		return
	}
	membership := m.core.log.membership()
	id := c.ids[c.rng.IntN(len(c.ids))]
	kind := RemoveMember
	switch {
	case !membership.Contains(id):
		kind = AddLearner
	case membership.IsLearner(id):
		kind = PromoteLearner
	case len(membership.Voters) <= 2 && c.rng.IntN(4) > 0:
		return
	}
	// Skips changes after which at least half of the voters have lost their
	// disks: an operator would not make them.
	remaining := slices.DeleteFunc(slices.Clone(membership.Voters), func(v MemberID) bool { return v == id })
	if c.members[id].diskLost && kind == PromoteLearner || 2*c.countLostDisks(remaining) >= len(remaining) {
		return
	}
	if _, _, err := m.core.ChangeMembership(MembershipChange{kind, id}); err == nil && kind == RemoveMember {
		c.add(c.nextID+1, Membership{})
	}
	c.checkLeader(m)
}

func (c *simCluster) randomRunningMember() *simMember {
	m := c.members[c.ids[c.rng.IntN(len(c.ids))]]
	if !m.running {
		return nil
	}
	return m
}

func (c *simCluster) tick() {
	if m := c.randomRunningMember(); m != nil {
		m.core.Tick()
		c.checkLeader(m)
	}
}

// deliver delivers a random message, so that messages are reordered.
func (c *simCluster) deliver() {
	if len(c.network) == 0 {
		return
	}
	i := c.rng.IntN(len(c.network))
	encoded := c.network[i]
	if c.rng.IntN(100) >= c.duplicatePercent {
		c.network[i] = c.network[len(c.network)-1]
		c.network = c.network[:len(c.network)-1]
	}
	m, err := DecodeMessage(encoded)
	if err != nil {
		c.reportViolation("decoding a sent message: %v", err)
		return
	}
	if c.drop != nil && c.drop(&m) {
		return
	}
	to := c.members[m.To]
	if to == nil || !to.running || c.blocked[[2]MemberID{m.From, m.To}] || c.rng.IntN(100) < c.lossPercent {
		return
	}
	if err := to.core.Step(m); err != nil {
		c.reportViolation("step: %v", err)
	}
	c.checkLeader(to)
}

func (c *simCluster) send(m *simMember, message Message) {
	if message.Snapshot != nil {
		message.Snapshot = m.disk.snapshot
	}
	c.network = append(c.network, AppendMessage(nil, &message))
}

// process handles one Ready. With crash set, the member crashes at a random step
// of it.
func (c *simCluster) process(m *simMember, crash bool) {
	if !m.core.HasReady() {
		return
	}
	r := m.core.Ready()
	sendEarly := c.rng.IntN(2) == 0 && !r.VoteChanged
	for i := range r.Messages {
		if sendEarly && r.Messages[i].SendableBeforeSync() {
			c.send(m, r.Messages[i])
		}
	}
	if crash && c.rng.IntN(2) == 0 {
		c.crash(m)
		return
	}
	c.persist(m, &r)
	for i := range r.Messages {
		if !sendEarly || !r.Messages[i].SendableBeforeSync() {
			c.send(m, r.Messages[i])
		}
		if crash && c.rng.IntN(2) == 0 {
			break
		}
	}
	if crash {
		c.crash(m)
		return
	}
	c.apply(m, &r)
	m.core.Advance()
	c.checkLeader(m)
}

func (c *simCluster) persist(m *simMember, r *Ready) {
	if !r.MustSync {
		return
	}
	if r.Snapshot != nil {
		m.disk.snapshot, m.disk.entries = r.Snapshot, nil
	}
	for _, e := range r.Entries {
		first := m.disk.firstIndex()
		m.disk.entries = append(slices.Clone(m.disk.entries[:e.Index-first]), e)
		c.checkLogMatching(m, e)
	}
	if r.HardState != nil {
		m.disk.hardState = *r.HardState
	}
}

func (d *simDisk) firstIndex() uint64 {
	if d.snapshot == nil {
		return 1
	}
	return d.snapshot.Meta.Index + 1
}

// checkLogMatching checks that logs which hold the same (index, term) agree on
// that entry and on the term of the one before it, and hence on all before it.
func (c *simCluster) checkLogMatching(m *simMember, e Entry) {
	previous, _ := m.core.log.term(e.Index - 1)
	record := entryRecord{e.Type, string(e.Data), previous}
	key := [2]uint64{e.Index, e.Term}
	known, ok := c.entries[key]
	if ok && known != record {
		c.reportViolation("log matching: entry %d of term %d is %v at %d, was %v", e.Index, e.Term, record, m.id, known)
	}
	c.entries[key] = record
}

func (c *simCluster) apply(m *simMember, r *Ready) {
	if r.Snapshot != nil {
		m.value, m.applied = binary.BigEndian.Uint64(r.Snapshot.Data), r.Snapshot.Meta.Index
	}
	for _, e := range r.CommittedEntries {
		c.checkStateMachineSafety(m, e)
		m.applied = e.Index
		if e.Type == EntryNormal {
			m.value = binary.BigEndian.Uint64(e.Data)
		}
		if op := m.writes[e.Index]; op != nil && op.term == e.Term {
			op.returnedAt = c.now
		}
		delete(m.writes, e.Index)
	}
	m.pendingReads = append(m.pendingReads, r.ReadStates...)
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(s ReadState) bool {
		op := m.reads[s.Context]
		if s.Index > m.applied || op == nil {
			return op == nil
		}
		op.value, op.returnedAt = m.value, c.now
		return true
	})
}

// checkStateMachineSafety checks that members apply entries in order and that no
// two members apply different entries at one index.
func (c *simCluster) checkStateMachineSafety(m *simMember, e Entry) {
	if e.Index != m.applied+1 {
		c.reportViolation("state machine safety: member %d applies %d after %d", m.id, e.Index, m.applied)
	}
	known, ok := c.committed[e.Index]
	if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
		c.reportViolation("state machine safety: member %d applies %v at %d, another applied %v", m.id, e, e.Index, known)
	}
	if !ok {
		c.committed[e.Index] = committedEntry{e, m.core.Term()}
	}
}

// checkLeader checks election safety and leader completeness for a new leader.
// It also drops the reads of a member that doesn't lead, as they never complete.
func (c *simCluster) checkLeader(m *simMember) {
	leads, term := m.core.Role() == Leader, m.core.Term()
	if leads && (!m.wasLeader || m.lastTerm != term) {
		if other, ok := c.leaders[term]; ok && other != m.id {
			c.reportViolation("election safety: %d and %d lead term %d", other, m.id, term)
		}
		c.leaders[term] = m.id
		c.checkLeaderCompleteness(m)
	}
	if !leads {
		clear(m.reads)
	}
	m.wasLeader, m.lastTerm = leads, term
}

// checkLeaderCompleteness checks that a new leader holds every entry that was
// committed in an earlier term.
func (c *simCluster) checkLeaderCompleteness(m *simMember) {
	for index, e := range c.committed {
		if index <= m.core.log.baseIndex || e.knownInTerm >= m.core.Term() {
			continue
		}
		if !m.core.log.matches(index, e.Term) {
			c.reportViolation("leader completeness: leader %d of term %d lacks entry %d of term %d", m.id, m.core.Term(), index, e.Term)
		}
	}
}

func (c *simCluster) write(m *simMember) {
	c.now++
	c.lastValue++
	index, term, err := m.core.Propose(binary.BigEndian.AppendUint64(nil, c.lastValue))
	if err != nil {
		return
	}
	op := &simOp{id: len(c.history), write: true, value: c.lastValue, index: index, term: term, calledAt: c.now}
	c.history = append(c.history, op)
	m.writes[index] = op
}

func (c *simCluster) read(m *simMember) {
	c.now++
	c.lastReadContext++
	if m.core.ReadIndex(c.lastReadContext) != nil {
		return
	}
	op := &simOp{id: len(c.history), calledAt: c.now}
	c.history = append(c.history, op)
	m.reads[c.lastReadContext] = op
}

// compact takes a snapshot and keeps up to three entries before it in memory.
func (c *simCluster) compact(m *simMember) {
	if m.core.HasReady() || m.applied < m.disk.firstIndex() {
		return
	}
	meta, err := m.core.SnapshotMeta(m.applied)
	if err != nil {
		c.reportViolation("snapshot: %v", err)
		return
	}
	kept := slices.Clone(m.disk.entries[m.applied-m.disk.firstIndex()+1:])
	m.disk.snapshot = &Snapshot{Meta: meta, Data: binary.BigEndian.AppendUint64(nil, m.value)}
	m.disk.entries = kept
	if err := m.core.Compact(meta, uint64(c.rng.IntN(4))); err != nil {
		c.reportViolation("compact: %v", err)
	}
}

// leader returns the running leader with the highest term, or nil.
func (c *simCluster) leader() *simMember {
	var leader *simMember
	for _, id := range c.ids {
		m := c.members[id]
		if m.running && m.core.Role() == Leader && (leader == nil || m.core.Term() > leader.core.Term()) {
			leader = m
		}
	}
	return leader
}

// replaceDisk destroys the disk of a member and starts a new member under a new
// id.
func (c *simCluster) replaceDisk(m *simMember) {
	m.diskLost = true
	c.crash(m)
	c.add(c.nextID+1, Membership{})
}

// repair moves the membership by at most one change towards all members whose
// disks are intact, up to target of them as voters.
func (c *simCluster) repair(target int) {
	leader := c.leader()
	if leader == nil {
		return
	}
	membership := leader.core.log.membership()
	for _, id := range c.ids {
		m := c.members[id]
		switch {
		case m.diskLost && membership.Contains(id) && len(membership.Voters) > 1:
			_, _, _ = leader.core.ChangeMembership(MembershipChange{RemoveMember, id})
		case !m.diskLost && membership.IsLearner(id) && len(membership.Voters) < target:
			_, _, _ = leader.core.ChangeMembership(MembershipChange{PromoteLearner, id})
		case !m.diskLost && !membership.Contains(id) && !slices.Contains(membership.Removed, id):
			_, _, _ = leader.core.ChangeMembership(MembershipChange{AddLearner, id})
		default:
			continue
		}
		c.checkLeader(leader)
	}
}

func (c *simCluster) countLostDisks(ids []MemberID) int {
	count := 0
	for _, id := range ids {
		if c.members[id].diskLost {
			count++
		}
	}
	return count
}

// linearizable checks the history of the register. A committed write that didn't
// return may have taken effect at any time after its call.
func (c *simCluster) linearizable() porcupine.CheckResult {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			op := input.(*simOp)
			if op.write {
				return true, op.value
			}
			return op.value == state.(uint64), state
		},
	}
	var operations []porcupine.Operation
	for _, op := range c.history {
		returned := op.returnedAt
		if returned == 0 && (!op.write || c.committed[op.index].Term != op.term) {
			// A read that didn't return or a write that was never committed
			// has no visible effect.
			continue
		}
		if returned == 0 {
			returned = c.now + 1
		}
		operations = append(operations, porcupine.Operation{ClientId: op.id, Input: op, Call: op.calledAt, Return: returned})
	}
	return porcupine.CheckOperationsTimeout(model, operations, porcupineTimeout)
}
