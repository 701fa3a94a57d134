// Package scheduler decides on which engines the requests of a pool run. One
// process can serve several pools; it is active for a pool while it holds the
// pool's lease.
//
// Pool makes the decisions. It consists of tables (upstreams, holds, queue,
// links, prefix index, orders) and of controllers that read and write the
// tables and return actions. It does no I/O and takes the time as an argument.
// Scheduler carries out the actions: it owns the goroutines, the timers, the
// calls to engines and the handlers of calls from entries.
package scheduler
