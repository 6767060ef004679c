// Package cli implements usherctl and its sub-commands.
//
// Settings are read, in order of precedence, from the command line, the environment
// (USHERCTL_API, USHERCTL_TOKEN, USHERCTL_SETTINGS) and a settings file. The
// token is not accepted on the command line, where other users of the machine
// could read it.
//
// Results are written to standard output, as a table or as JSON. Every error is
// one line on standard error, except that each problem of a settings file or an
// applied file has a line of its own. Exit codes are stable:
//
//	0  success
//	1  failure without a code of its own
//	2  wrong command line, settings file or applied file
//	3  conflict: another change of the configuration was accepted first
//	4  an object does not exist
//	5  missing or unknown token
//	6  the API or the object API behind it is unavailable
//	7  the wait for all hosts timed out; the change remains accepted
package cli
