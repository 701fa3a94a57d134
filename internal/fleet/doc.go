// Package fleet holds the list of upstreams that announce themselves to any
// core daemon. The table is a pure structure: time is an argument. Tables of
// several daemons converge when each passes its records to the others, in any
// order and any number of times.
package fleet
