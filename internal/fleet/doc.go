// Package fleet holds the table of upstreams that have announced themselves to
// any core daemon. The table reads no clock and does no I/O: the current time
// is an argument. The tables of several daemons converge when each daemon sends
// its records to the others, in any order and any number of times.
package fleet
