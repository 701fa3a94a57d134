package replica

import (
	"runtime"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// run is the node's goroutine.
func (n *Node) run() {
	defer close(n.done)
	defer n.ticker.Stop()
	err := n.loop()
	if errors.Is(err, errStopping) {
		err = nil
	}
	n.end()
	n.snapshots.Wait()
	if closeErr := n.log.Close(); err == nil {
		err = closeErr
	}
	n.err = err
	if err != nil {
		n.options.Logger.Error().Str("event", "replica.failed").Err(err).Uint64("member", uint64(n.who.id)).Msg("")
		n.options.OnFatal(err)
	}
}

func (n *Node) loop() error {
	// The only voter of a group is elected before calls are taken.
	for {
		worked, err := n.flush()
		if err != nil {
			return err
		}
		if !worked {
			break
		}
	}
	for {
		ticked := false
		select {
		case <-n.stopping:
			return nil
		case <-n.ticker.C:
			ticked = true
		case <-n.wake:
		}
		if err := n.round(ticked); err != nil {
			return err
		}
	}
}

// round handles all that arrived until no group has work left.
func (n *Node) round(ticked bool) error {
	for {
		// Lets the callers that can run queue their calls first. On one
		// processor each of them would otherwise get a sync of its own.
		runtime.Gosched()
		if err := n.takeInbox(); err != nil {
			return err
		}
		if ticked {
			for _, g := range n.order {
				g.core.Tick()
			}
		}
		worked, err := n.flush()
		if err != nil || !worked {
			return err
		}
		// Under steady load rounds follow each other without a pause, and
		// the ticks must go on.
		ticked = false
		select {
		case <-n.stopping:
			return nil
		case <-n.ticker.C:
			ticked = true
		default:
		}
	}
}

// takeInbox hands what arrived to the cores. Calls of one kind and group go in
// together.
func (n *Node) takeInbox() error {
	n.mu.Lock()
	calls, messages, tasks := n.calls, n.messages, n.tasks
	n.calls, n.messages, n.tasks = nil, nil, nil
	n.mu.Unlock()
	for i := range messages {
		g := messages[i].group
		if err := g.core.Step(messages[i].message); err != nil {
			n.options.Logger.Warn().Str("event", "replica.message_dropped").Err(err).Uint32("group", uint32(g.id)).Msg("")
		}
	}
	for _, task := range tasks {
		if err := task(); err != nil {
			return err
		}
	}
	n.takeCalls(calls)
	return nil
}

func (n *Node) takeCalls(calls []*call) {
	proposals := map[*group][]*call{}
	reads := map[*group][]*call{}
	for _, c := range calls {
		if !c.state.CompareAndSwap(callQueued, callTaken) {
			continue
		}
		g := n.groups[c.group]
		switch c.kind {
		case callPropose:
			proposals[g] = append(proposals[g], c)
		case callRead:
			reads[g] = append(reads[g], c)
		case callChange:
			g.changeMembers(c)
		}
	}
	for _, g := range n.order {
		if len(proposals[g]) > 0 {
			g.propose(proposals[g])
		}
		if len(reads[g]) > 0 {
			g.read(reads[g])
		}
	}
}

// readyGroup is a group with the work of one flush.
type readyGroup struct {
	*group
	ready raft.Ready
}

// flush does the ready work of all groups with one write and one sync, and
// reports whether there was any.
func (n *Node) flush() (bool, error) {
	var work []readyGroup
	for _, g := range n.order {
		if g.core.HasReady() {
			work = append(work, readyGroup{g, g.core.Ready()})
		}
	}
	if len(work) == 0 {
		n.noteLeadership()
		return false, nil
	}
	n.batch.Reset()
	for i := range work {
		if err := n.storeSnapshot(work[i].id, work[i].ready.Snapshot); err != nil {
			return false, err
		}
		work[i].store(&n.batch, &work[i].ready)
	}
	if !n.options.SyncBeforeSend {
		if err := n.send(work, true); err != nil {
			return false, err
		}
	}
	if err := n.write(func() error { return n.log.Write(&n.batch) }); err != nil {
		return false, err
	}
	if err := n.send(work, false); err != nil {
		return false, err
	}
	for i := range work {
		if err := n.complete(&work[i]); err != nil {
			return false, err
		}
	}
	n.noteLeadership()
	return true, nil
}

// noteLeadership publishes the leaders of all groups. It doesn't depend on
// ready work: a leader that steps down without a majority has none.
func (n *Node) noteLeadership() {
	for _, g := range n.order {
		if !g.leadershipChanged() {
			continue
		}
		leads := g.last.role == raft.Leader
		n.options.Logger.Info().Str("event", "replica.leadership").Uint32("group", uint32(g.id)).Uint64("term", g.last.term).Bool("leads", leads).Msg("")
		n.options.OnLeadership(g.id, g.last.term, leads)
	}
}

// complete applies the work of one group after it is durable.
func (n *Node) complete(w *readyGroup) error {
	g := w.group
	if err := g.apply(&w.ready); err != nil {
		return err
	}
	g.core.Advance()
	if w.ready.Snapshot != nil {
		if err := n.log.Compact(); err != nil {
			return err
		}
	}
	if g.snapshotDue(n.options.SnapshotBytes) {
		return n.takeSnapshot(g)
	}
	return nil
}

// errStopping ends the wait for room on the disk.
var errStopping = errors.New("stopping while the disk is full")

// write repeats an operation while the disk is full. Meanwhile nothing is
// acknowledged and new proposals are refused.
func (n *Node) write(operation func() error) error {
	for {
		err := operation()
		if !errors.Is(err, wal.ErrDiskFull) {
			n.diskFull.Store(false)
			return err
		}
		if !n.diskFull.Swap(true) {
			n.options.Logger.Error().Str("event", "replica.disk_full").Err(err).Msg("")
		}
		n.refuseQueued()
		select {
		case <-n.stopping:
			return errStopping
		case <-time.After(diskFullRetry):
		}
	}
}

// refuseQueued answers the queued proposals with ErrDiskFull.
func (n *Node) refuseQueued() {
	n.mu.Lock()
	calls := n.calls
	n.calls = nil
	n.mu.Unlock()
	for _, c := range calls {
		if c.state.CompareAndSwap(callQueued, callTaken) {
			c.answer(nil, ErrDiskFull)
		}
	}
}

// send passes messages to the sender, one call for each member. early selects
// those that may leave before the sync.
func (n *Node) send(work []readyGroup, early bool) error {
	outgoing := map[MemberID][]GroupMessage{}
	for i := range work {
		w := &work[i]
		for j := range w.ready.Messages {
			m := &w.ready.Messages[j]
			if n.sendsEarly(w, m) != early {
				continue
			}
			if m.Snapshot != nil {
				if err := n.fillSnapshot(w.group, m); err != nil {
					return err
				}
			}
			outgoing[m.To] = append(outgoing[m.To], GroupMessage{Group: w.id, Message: raft.AppendMessage(nil, m)})
		}
	}
	for to, messages := range outgoing {
		n.options.Sender.Send(to, messages)
	}
	return nil
}

func (n *Node) sendsEarly(w *readyGroup, m *raft.Message) bool {
	return !n.options.SyncBeforeSend && !w.ready.VoteChanged && m.SendableBeforeSync()
}

// fillSnapshot adds the data of the current snapshot to a message.
func (n *Node) fillSnapshot(g *group, m *raft.Message) error {
	stored, data, err := n.log.ReadSnapshot(g.id)
	if err != nil {
		return errors.Wrapf(err, "group %d", g.id)
	}
	meta, err := raft.DecodeSnapshotMeta(stored.Meta)
	if err != nil {
		return errors.Wrapf(err, "group %d", g.id)
	}
	m.Snapshot = &raft.Snapshot{Meta: meta, Data: data}
	return nil
}

// storeSnapshot writes the file of a received snapshot.
func (n *Node) storeSnapshot(id GroupID, s *raft.Snapshot) error {
	if s == nil {
		return nil
	}
	return n.write(func() error {
		return n.log.WriteSnapshot(id, s.Meta.Index, s.Meta.Term, s.Data)
	})
}

// takeSnapshot encodes the state of a group and writes it in the background.
func (n *Node) takeSnapshot(g *group) error {
	if g.snapshotting || g.applied <= g.snapshotIndex {
		return nil
	}
	meta, err := g.core.SnapshotMeta(g.applied)
	if err != nil {
		return errors.Wrapf(err, "group %d", g.id)
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "group %d: encoding the state machine", g.id)
	}
	g.snapshotting = true
	g.snapshotBytes = len(data)
	covered := g.unsnapshotted
	n.snapshots.Add(1)
	go func() {
		defer n.snapshots.Done()
		writeErr := n.log.WriteSnapshot(g.id, meta.Index, meta.Term, data)
		// After the node's end nobody needs the snapshot.
		_ = n.submit(func() error { return n.finishSnapshot(g, meta, covered, writeErr) })
	}()
	return nil
}

// finishSnapshot makes a written snapshot the start of the group's log.
func (n *Node) finishSnapshot(g *group, meta raft.SnapshotMeta, covered int, writeErr error) error {
	g.snapshotting = false
	if errors.Is(writeErr, wal.ErrDiskFull) {
		return nil
	}
	if writeErr != nil {
		return writeErr
	}
	if meta.Index <= g.snapshotIndex {
		return nil
	}
	var batch wal.Batch
	batch.SetSnapshot(g.id, walSnapshot(&meta))
	if err := n.write(func() error { return n.log.Write(&batch) }); err != nil {
		return err
	}
	g.snapshotIndex = meta.Index
	g.unsnapshotted -= covered
	if err := g.core.Compact(meta, n.options.KeepEntries); err != nil {
		return err
	}
	if err := n.log.Compact(); err != nil {
		return err
	}
	return n.unpinSegments()
}

// unpinSegments takes snapshots of the groups that keep old segments.
func (n *Node) unpinSegments() error {
	pinning, segments := n.log.Pinning()
	if segments <= maxSegments {
		return nil
	}
	for _, id := range pinning {
		if g := n.groups[id]; g != nil {
			if err := n.takeSnapshot(g); err != nil {
				return err
			}
		}
	}
	return nil
}

// end answers everything that waits.
func (n *Node) end() {
	n.mu.Lock()
	n.ended = true
	calls := n.calls
	n.calls, n.messages, n.tasks = nil, nil, nil
	n.mu.Unlock()
	for _, c := range calls {
		if c.state.CompareAndSwap(callQueued, callTaken) {
			c.answer(nil, ErrStopped)
		}
	}
	for _, g := range n.order {
		g.dropCalls(ErrStopped)
		g.published.Store(&leadership{term: g.last.term})
	}
}
