// Package timeline records events of the system's processes so that they can be
// merged into one order. It provides a hybrid logical clock, a recorder with a
// bounded ring buffer of recent events, the parsing of logs, and the merging and
// rendering of events from several processes.
package timeline
