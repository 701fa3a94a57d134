package replica

import (
	"runtime"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// run is the node's goroutine. It ends after Stop or a fatal error.
func (n *Node) run() {
	defer close(n.done)
	defer n.ticker.Stop()
	err := n.loop()
	if errors.Is(err, errStoppedOnFullDisk) {
		err = nil
	}
	n.failAllCalls()
	n.snapshotWriters.Wait()
	if closeErr := n.log.Close(); err == nil {
		err = closeErr
	}
	n.err = err
	if err != nil {
		n.options.Logger.Error().Str("event", "replica.failed").Err(err).Uint64("member", uint64(n.member.id)).Msg("")
		n.options.OnFatal(err)
	}
}

func (n *Node) loop() error {
	// Completes the elections of groups with this member as the only voter
	// before calls are processed.
	for {
		hadWork, err := n.flush()
		if err != nil {
			return err
		}
		if !hadWork {
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
		if err := n.processAll(ticked); err != nil {
			return err
		}
	}
}

// processAll processes the inbox until no group has ready work left.
func (n *Node) processAll(ticked bool) error {
	for {
		// Lets runnable callers queue their calls first, so that they share a
		// batch. On one processor each call would otherwise need its own sync.
		runtime.Gosched()
		n.detectInterruption()
		if err := n.processInbox(); err != nil {
			return err
		}
		if ticked {
			for _, g := range n.sortedGroups {
				g.core.Tick()
			}
		}
		hadWork, err := n.flush()
		if err != nil || !hadWork {
			return err
		}
		// Under steady load this loop does not return, so it has to handle
		// ticks and Stop itself.
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

// detectInterruption makes leaders step down when this goroutine did not run for an
// election timeout, because the process or the machine was paused or a write to
// the disk took that long.
func (n *Node) detectInterruption() {
	now := n.options.BootTime()
	gap := now - n.ranAt
	n.ranAt = now
	if gap < time.Duration(n.options.ElectionTicks)*n.options.Tick {
		return
	}
	n.options.Logger.Warn().Str("event", "replica.interrupted").Int64("ms", gap.Milliseconds()).Msg("")
	for _, g := range n.sortedGroups {
		g.core.Interrupted()
	}
}

// processInbox passes the queued messages and calls to the raft cores and runs
// the queued tasks.
func (n *Node) processInbox() error {
	n.mu.Lock()
	calls, messages, tasks := n.calls, n.inbound, n.tasks
	n.calls, n.inbound, n.tasks = nil, nil, nil
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
	n.dispatchCalls(calls)
	return nil
}

// dispatchCalls passes calls to their groups. Proposals of one group are
// appended together, and reads of one group share one leadership confirmation.
func (n *Node) dispatchCalls(calls []*call) {
	proposals := map[*group][]*call{}
	reads := map[*group][]*call{}
	for _, c := range calls {
		if !c.state.CompareAndSwap(callQueued, callDequeued) {
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
	for _, g := range n.sortedGroups {
		if len(proposals[g]) > 0 {
			g.propose(proposals[g])
		}
		if len(reads[g]) > 0 {
			g.readIndex(reads[g])
		}
	}
}

// readyGroup is a group with its Ready of one flush.
type readyGroup struct {
	*group
	ready raft.Ready
}

// flush persists the ready work of all groups with one write and one sync, sends
// the messages and applies the committed entries. It reports whether any group
// had ready work.
func (n *Node) flush() (bool, error) {
	var work []readyGroup
	for _, g := range n.sortedGroups {
		if g.core.HasReady() {
			work = append(work, readyGroup{g, g.core.Ready()})
		}
	}
	if len(work) == 0 {
		n.publishLeadership()
		return false, nil
	}
	n.batch.Reset()
	for i := range work {
		if err := n.writeReceivedSnapshot(work[i].id, work[i].ready.Snapshot); err != nil {
			return false, err
		}
		work[i].addToBatch(&n.batch, &work[i].ready)
	}
	if !n.options.SyncBeforeSend {
		if err := n.sendMessages(work, true); err != nil {
			return false, err
		}
	}
	if err := n.retryWhileDiskFull(func() error { return n.log.Write(&n.batch) }); err != nil {
		return false, err
	}
	if err := n.sendMessages(work, false); err != nil {
		return false, err
	}
	for i := range work {
		if err := n.applyReady(&work[i]); err != nil {
			return false, err
		}
	}
	n.publishLeadership()
	return true, nil
}

// publishLeadership updates the published leadership of all groups, and logs and
// reports the changes. It also runs without ready work, because a leader that
// steps down for lack of a quorum may have none.
func (n *Node) publishLeadership() {
	for _, g := range n.sortedGroups {
		previous := g.lastLeadership
		roleChanged := g.updateLeadership()
		if previous.leader != g.lastLeadership.leader || previous.term != g.lastLeadership.term {
			n.options.OnLeader(g.id)
		}
		if !roleChanged {
			continue
		}
		leads := g.lastLeadership.role == raft.Leader
		n.options.Logger.Info().Str("event", "replica.leadership").Uint32("group", uint32(g.id)).Uint64("term", g.lastLeadership.term).Bool("leads", leads).Msg("")
		n.options.OnLeadership(g.id, g.lastLeadership.term, leads)
	}
}

// applyReady applies the Ready of one group after it is durable, and takes a
// snapshot when one is due.
func (n *Node) applyReady(w *readyGroup) error {
	g := w.group
	if err := g.apply(&w.ready); err != nil {
		return err
	}
	g.core.Advance()
	if w.ready.Snapshot != nil {
		n.options.Logger.Info().Str("event", "replica.snapshot_restored").Uint32("group", uint32(g.id)).
			Uint64("index", w.ready.Snapshot.Meta.Index).Msg("")
		if err := n.log.Compact(); err != nil {
			return err
		}
	}
	if g.snapshotDue(n.options.SnapshotBytes) {
		return n.takeSnapshot(g)
	}
	return nil
}

// errStoppedOnFullDisk means that Stop was called while the disk was full.
var errStoppedOnFullDisk = errors.New("stopping while the disk is full")

// retryWhileDiskFull retries an operation for as long as it fails with
// wal.ErrDiskFull, or until Stop. Meanwhile nothing is acknowledged and new calls
// fail with ErrDiskFull.
func (n *Node) retryWhileDiskFull(operation func() error) error {
	for {
		err := operation()
		if !errors.Is(err, wal.ErrDiskFull) {
			n.diskFull.Store(false)
			return err
		}
		if !n.diskFull.Swap(true) {
			n.options.Logger.Error().Str("event", "replica.disk_full").Err(err).Msg("")
		}
		n.failQueuedCalls()
		select {
		case <-n.stopping:
			return errStoppedOnFullDisk
		case <-time.After(diskFullRetryInterval):
		}
	}
}

// failQueuedCalls fails all queued calls with ErrDiskFull.
func (n *Node) failQueuedCalls() {
	n.mu.Lock()
	calls := n.calls
	n.calls = nil
	n.mu.Unlock()
	for _, c := range calls {
		if c.state.CompareAndSwap(callQueued, callDequeued) {
			c.complete(nil, ErrDiskFull)
		}
	}
}

// sendMessages passes messages to the sender, in one call per member. beforeSync
// selects the messages that may be sent before the sync; otherwise the rest is
// sent.
func (n *Node) sendMessages(work []readyGroup, beforeSync bool) error {
	outgoing := map[MemberID][]GroupMessage{}
	for i := range work {
		w := &work[i]
		for j := range w.ready.Messages {
			m := &w.ready.Messages[j]
			if n.sendsBeforeSync(w, m) != beforeSync {
				continue
			}
			if m.Snapshot != nil {
				if err := n.attachSnapshot(w.group, m); err != nil {
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

func (n *Node) sendsBeforeSync(w *readyGroup, m *raft.Message) bool {
	return !n.options.SyncBeforeSend && !w.ready.VoteChanged && m.SendableBeforeSync()
}

// attachSnapshot reads the newest snapshot from the disk into a message.
func (n *Node) attachSnapshot(g *group, m *raft.Message) error {
	stored, data, err := n.log.ReadSnapshot(g.id)
	if err != nil {
		return errors.Wrapf(err, "group %d", g.id)
	}
	meta, err := raft.DecodeSnapshotMeta(stored.Meta)
	if err != nil {
		return errors.Wrapf(err, "group %d", g.id)
	}
	m.Snapshot = &raft.Snapshot{Meta: meta, Data: data}
	n.options.Logger.Info().Str("event", "replica.snapshot_sent").Uint32("group", uint32(g.id)).Uint64("to", uint64(m.To)).
		Uint64("index", meta.Index).Int("bytes", len(data)).Msg("")
	return nil
}

// writeReceivedSnapshot writes the file of a snapshot from the leader, if there
// is one.
func (n *Node) writeReceivedSnapshot(id GroupID, s *raft.Snapshot) error {
	if s == nil {
		return nil
	}
	return n.retryWhileDiskFull(func() error {
		return n.log.WriteSnapshot(id, s.Meta.Index, s.Meta.Term, s.Data)
	})
}

// takeSnapshot encodes the state machine of a group and writes the snapshot file
// in the background.
func (n *Node) takeSnapshot(g *group) error {
	if g.snapshotting || g.appliedIndex <= g.snapshotIndex {
		return nil
	}
	meta, err := g.core.SnapshotMeta(g.appliedIndex)
	if err != nil {
		return errors.Wrapf(err, "group %d", g.id)
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "group %d: encoding the state machine", g.id)
	}
	g.snapshotting = true
	g.lastSnapshotBytes = len(data)
	coveredBytes := g.bytesSinceSnapshot
	n.snapshotWriters.Add(1)
	go func() {
		defer n.snapshotWriters.Done()
		writeErr := n.log.WriteSnapshot(g.id, meta.Index, meta.Term, data)
		// submit fails only after the node has stopped, when the snapshot is
		// not needed.
		_ = n.submit(func() error { return n.finishSnapshot(g, meta, coveredBytes, writeErr) })
	}()
	return nil
}

// finishSnapshot records a written snapshot in the log and compacts the entries
// that it covers.
func (n *Node) finishSnapshot(g *group, meta raft.SnapshotMeta, coveredBytes int, writeErr error) error {
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
	if err := n.retryWhileDiskFull(func() error { return n.log.Write(&batch) }); err != nil {
		return err
	}
	g.snapshotIndex = meta.Index
	g.bytesSinceSnapshot -= coveredBytes
	if err := g.core.Compact(meta, n.options.KeepEntries); err != nil {
		return err
	}
	if err := n.log.Compact(); err != nil {
		return err
	}
	return n.unpinSegments()
}

// unpinSegments takes snapshots of the groups that prevent the removal of the
// oldest segment, when there are more than maxSegments.
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

// failAllCalls fails all queued and pending calls and makes later ones fail with
// ErrStopped.
func (n *Node) failAllCalls() {
	n.mu.Lock()
	n.stopped = true
	calls := n.calls
	n.calls, n.inbound, n.tasks = nil, nil, nil
	n.mu.Unlock()
	for _, c := range calls {
		if c.state.CompareAndSwap(callQueued, callDequeued) {
			c.complete(nil, ErrStopped)
		}
	}
	for _, g := range n.sortedGroups {
		g.failPendingCalls(ErrStopped)
		g.publishedLeadership.Store(&leadership{term: g.lastLeadership.term})
	}
}
