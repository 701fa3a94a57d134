// Package settings provides the static settings, which are fixed while a process
// runs: flags with environment variables, their checks, TLS and the logger. It
// also handles stop signals. Routes and drains, which operators change at run
// time, are dynamic configuration and are kept by package control.
package settings
