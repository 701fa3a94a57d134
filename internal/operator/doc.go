// Package operator implements the command-line client gwctl: one command for
// each operation of the operator service, with output as tables or JSON.
//
// Exit codes:
//
//	0  the command succeeded; a change is in force everywhere
//	1  usage error
//	2  the change is invalid, or names something that does not exist; all
//	   findings are printed
//	3  other changes were made since the base version; they are printed
//	4  no control member answered, or the operation failed
//	5  the change was accepted, or may have been, but is not confirmed to be in
//	   force; repeat the command with the printed --request-id
//
// The command "config check" changes nothing and has codes of its own:
//
//	0  there are no findings
//	1  there are findings: errors or warnings
//	2  the configuration or the version in force could not be read, or the
//	   command line is wrong; nothing is known about what was not read
package operator
