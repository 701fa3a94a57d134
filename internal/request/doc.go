// Package request implements the state machines of a request: Completion for
// engine routes and Call for plain routes, and the retry budget that both
// share. The machines do no I/O: each step takes an event and the time and
// returns actions. The caller of the package executes the actions and reports
// their results as further events.
package request
