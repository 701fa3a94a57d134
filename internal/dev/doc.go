// Package dev runs a whole system in one process: one control member, one
// scheduler, one entry and stand-in upstreams, all on loopback. Program gw-dev
// and the load tool start it; the daemons inside are the same as in separate
// processes and talk over the same sessions.
package dev
