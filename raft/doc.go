// Package raft implements the Raft consensus algorithm as a pure state
// machine: it does no I/O, reads no clock and starts no goroutine. Time
// arrives as calls of Tick, messages as arguments of Step, and randomness
// comes from a seed in Config.
//
// # Contract with the caller
//
// The caller owns a Core and calls its methods from one goroutine at a time.
// While HasReady reports true, it takes a Ready and does the following in
// this order:
//
//  1. Persist Snapshot, then Entries, then HardState. When MustSync is set,
//     wait until they are durable. Entries replace every stored entry with
//     the same or a higher index.
//  2. Send Messages. A message may be lost, duplicated, delayed or reordered.
//     InstallSnapshot messages carry only the snapshot's Meta; the caller
//     adds the data of that snapshot or of a later one.
//  3. Restore the state machine from Snapshot, then apply CommittedEntries
//     in order. Entries of type EntryNoop and EntryMembership carry nothing
//     for the state machine.
//  4. Answer ReadStates once the state machine has applied their Index.
//  5. Call Advance.
//
// It calls no other method of the Core between Ready and Advance.
//
// Sending before the entries are durable breaks the protocol, with one
// exception: messages for which Message.SendableBeforeSync reports true may
// be sent while the sync runs, provided that the Ready carries no change of
// term or vote (Ready.VoteChanged). The leader counts its own copy of an entry
// only after Advance, so an early Append is safe.
//
// When persisting fails, the caller must not send, apply or call Advance. If
// the state of the storage is unknown (a failed sync), it must stop the Core
// for good.
//
// # Membership
//
// Membership changes one member at a time and takes effect when its entry is
// appended. A change is accepted only after the previous one is committed and
// after the leader has committed an entry of its own term.
//
// A member that lost its disk has also lost its vote and the entries that it
// acknowledged. It must never run again under its old id: it takes a new id,
// starts with an empty Membership and is added as a learner. A learner is
// promoted once it has caught up. A removed id can't be added again.
package raft
