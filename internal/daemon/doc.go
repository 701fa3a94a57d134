// Package daemon holds what every daemon of the system has: a logger, a clock
// and event recorder, a listener for sessions from other daemons that also
// serves the recorded events, and an HTTP listener for health and metrics.
package daemon
