// Package corestore replicates one document, the newest configuration, over
// the core daemons. It bootstraps a raft group from a list of seeds, adds
// further daemons, and replaces members that are gone or have lost their disk.
//
// Membership rules:
//
//   - Only a seed whose settings say that the whole system starts for the first
//     time bootstraps the group. Every other daemon with an empty disk joins
//     under a new member id.
//   - A daemon that asks to join from the address of a member shows that this
//     member's disk is lost. The old id is removed before the new one is added,
//     so that no step needs the vote of a lost disk.
//   - An inactive voter is removed when a joining daemon can replace it, or when
//     there are more voters than the configured fault tolerance needs. An
//     inactive learner is always removed.
//   - A member that learns of its removal clears its store directory and joins
//     again.
//
// A write is acknowledged after a majority has synced it to disk. A read is
// answered after the leader has confirmed that it still leads.
package corestore
