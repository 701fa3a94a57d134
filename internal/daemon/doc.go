// Package daemon starts and stops the control, entry and scheduler daemons. They
// share Base: a logger, a clock and event recorder, a listener for sessions from
// other daemons that also serves the recorded events, and HTTP listeners, among
// them one for health and metrics.
package daemon
