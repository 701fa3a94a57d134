// Package configcheck finds what is wrong or doubtful in a configuration before it is
// sent to a running system, and what it changes against the version in force. It does
// no I/O. What makes a configuration invalid is decided only by the code that decodes
// and compiles it; the rules of this package concern valid configurations.
package configcheck
