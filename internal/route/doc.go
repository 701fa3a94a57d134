// Package route validates routes, compiles a configuration into a lookup table,
// and determines the route, organisation and call rule that apply to a request.
// It does no I/O.
package route
