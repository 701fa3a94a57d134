// Package control implements the control store: the replicated state machines
// for configuration, leases and the ledger, the RPCs that daemons call over
// package transport, and the Connect service for operators.
//
// Raft group 0 holds the configuration with its history and the pool leases.
// Groups 1 to n hold the shards of the ledger. Soft state of the leader
// (serving leases, lease deadlines) is kept in memory only. A new leader waits
// one lease TTL, in which each holder either renews or stops using its lease.
//
// Lock order: Server.mu, then the lock of a state machine.
package control
