// Package replica drives several raft groups over one log in one process. One
// goroutine owns all cores: it collects what arrived, writes one batch for all
// groups with one sync, sends, applies and answers.
//
// The network lives elsewhere: outgoing messages go to a Sender, arriving ones
// come in through Node.Step.
package replica
