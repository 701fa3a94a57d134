// Package replica runs several raft groups of one process on a shared
// write-ahead log. One goroutine owns the raft cores of all groups. In each
// iteration it collects the queued calls and received messages, writes the
// entries of all groups as one batch with one sync, sends messages, applies
// committed entries and completes calls.
//
// The package does no networking: outgoing messages go to a Sender, received
// ones are passed to Node.Step.
package replica
