// Package settings holds the static settings that are fixed for a process's
// life: flags with environment variables, their checks, TLS, the logger and
// the limits derived from the VM's cores and memory. Routes and drains, which
// operators change at run time, are dynamic configuration and live elsewhere.
package settings
