// Package processes contains tests that run the system as separate processes and
// kill, pause and stop them.
package processes
