// Package route validates routes, compiles a configuration into a lookup table
// and answers which route, organisation and call rule apply to a request. It
// does no I/O.
package route
