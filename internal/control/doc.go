// Package control implements the control store: the replicated state machines
// for configuration, leases and the ledger, the RPCs that daemons call over
// package transport, and the Connect service for operators.
//
// Raft group 0 holds the configuration with its history and the pool leases.
// Groups 1 to n hold the shards of the ledger. Soft state of the leader
// (serving leases, lease deadlines) is kept in memory only; a new leader
// rebuilds it by waiting for one lease TTL.
//
// Lock order: Server.mu, then the lock of a state machine.
package control
