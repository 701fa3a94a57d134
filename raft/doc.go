// Package raft implements the Raft consensus algorithm as a deterministic state
// machine: it does no I/O, reads no clock and starts no goroutine. The caller
// advances time with Tick and passes received messages to Step; randomness is
// derived from Config.Seed.
//
// # Contract with the caller
//
// The caller owns a Core and calls its methods from one goroutine at a time.
// While HasReady reports true, it calls Ready and performs the following steps
// in this order:
//
//  1. Persist Snapshot, then Entries, then HardState. When MustSync is set,
//     wait until they are durable. Entries replace every stored entry with
//     the same or a higher index.
//  2. Send Messages. A message may be lost, duplicated, delayed or reordered.
//     MsgInstallSnapshot messages carry only the snapshot's Meta; the caller
//     attaches that snapshot's data or replaces it with a later snapshot.
//  3. Restore the state machine from Snapshot, then apply CommittedEntries
//     in order. Entries of type EntryNoop and EntryMembership are not commands
//     for the state machine.
//  4. Serve the reads in ReadStates once the state machine has applied their
//     Index.
//  5. Call Advance.
//
// It must not call any other method of the Core between Ready and Advance.
//
// Sending before the entries are durable breaks the protocol, with one
// exception: messages for which Message.SendableBeforeSync reports true may
// be sent while the sync runs, provided that the Ready carries no change of
// term or vote (Ready.VoteChanged). The leader counts its own copy of an entry
// towards the commit only after Advance, so sending MsgAppend before the sync is
// safe.
//
// When persisting fails, the caller must not send, apply or call Advance. If
// the state of the storage is unknown (a failed sync), it must discard the Core.
//
// # Membership
//
// The membership changes by one member at a time, and a change takes effect
// when its entry is appended. A change is accepted only after the previous one
// is committed and after the leader has committed an entry of its own term.
//
// A member that lost its disk has also lost its vote and the entries that it
// acknowledged. It must never run again under its old id: it takes a new id,
// starts with an empty Membership and is added as a learner. A learner can be
// promoted to a voter once it has caught up. A removed id can't be added again.
package raft
