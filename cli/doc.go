// Package cli implements the sub-commands of usherctl.
//
// Settings come, in order of precedence, from the command line, the environment
// (USHERCTL_API, USHERCTL_TOKEN, USHERCTL_SETTINGS) and a settings file. The
// token is not accepted on the command line, because other users of the machine
// could read it there.
//
// Results go to standard output, as a table or as JSON. Every error is one line
// on standard error. Exit codes are stable:
//
//	0  success
//	1  failure that none of the other codes describes
//	2  wrong command line, settings file or applied file
//	3  conflict: another operator changed the configuration first
//	4  an object does not exist
//	5  missing or unknown token
//	6  the API or the object API behind it is unavailable
//	7  the wait for all hosts timed out; the change stays accepted
package cli
