// Package request holds the state machines of one request: Completion for
// engine routes and Call for plain routes, and the retry budget that both
// share. The machines do no I/O: events come in with the time, typed actions
// go out, and a shell carries the actions out and reports their results as
// further events.
package request
