// Package processes holds tests that run the system as separate processes and
// kill, freeze and stop them.
package processes
