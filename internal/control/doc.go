// Package control is the control store: the replicated state machines for
// configuration, leases and the ledger, the calls that daemons make to it over
// package transport, and the operators' Connect service.
//
// Group 0 of the replication holds the configuration with its history and the
// pool leases. Groups 1 to n hold the shards of the ledger. Soft state of the
// leader (serving leases, lease deadlines) is in memory only and is rebuilt
// after an election by waiting one lifetime.
//
// Lock order: Server.mu, then the lock of a state machine.
package control
