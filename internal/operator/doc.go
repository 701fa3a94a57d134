// Package operator is the logic of the gwctl command: one command for each
// action of the operators' service, printed as tables or JSON.
//
// Exit codes:
//
//	0  the command succeeded; a change is in force everywhere
//	1  usage error
//	2  the change is invalid, or names something that does not exist; all
//	   findings are printed
//	3  another change was made since the base version; it is printed
//	4  no control member answered, or the action failed
//	5  the change was accepted, or may have been, and it is not confirmed that
//	   it is in force; repeat the command with the printed --request-id
package operator
