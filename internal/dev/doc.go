// Package dev runs a complete system in one process: one control member, one
// scheduler, one entry and stand-in upstreams, all on loopback addresses. It is
// used by the programs gw-dev and gw-load. The daemons are the same as in separate
// processes and communicate over the same sessions.
package dev
