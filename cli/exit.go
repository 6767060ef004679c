package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/settings"
)

// Exit codes of usherctl. Scripts rely on them.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitUsage           = 2
	ExitConflict        = 3
	ExitNotFound        = 4
	ExitUnauthenticated = 5
	ExitUnavailable     = 6
	ExitWaitTimeout     = 7
)

// UsageError reports a wrong command line.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem + "; see usherctl --help" }

// FileError reports a file that could not be read.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// WaitError reports the hosts that did not run an epoch before the timeout.
type WaitError struct {
	Epoch   uint64
	Timeout time.Duration
	// Behind and Silent are the IDs of the hosts that run an earlier epoch and of
	// those that did not answer.
	Behind, Silent []string
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("epoch %d accepted but not in force everywhere after %s: %s behind, %s silent",
		e.Epoch, e.Timeout, formatHosts(e.Behind), formatHosts(e.Silent))
}

// maxHostsInText limits the number of hosts that a one-line message names.
const maxHostsInText = 5

func formatHosts(ids []string) string {
	if len(ids) == 0 {
		return "none"
	}
	shown := ids[:min(len(ids), maxHostsInText)]
	text := strings.Join(shown, ", ")
	if more := len(ids) - len(shown); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// exitCode returns the exit code for the error of a sub-command.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case is[*UsageError](err), is[*flags.Error](err), is[*settings.Error](err), is[*settings.ReadError](err), is[*FileError](err):
		return ExitUsage
	case is[*WaitError](err):
		return ExitWaitTimeout
	case is[*connect.Error](err):
		return exitCodeForRPC(connect.CodeOf(err))
	case errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	}
	return ExitFailure
}

func exitCodeForRPC(c connect.Code) int {
	switch c {
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeNotFound:
		return ExitNotFound
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return ExitUnauthenticated
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return ExitUnavailable
	}
	return ExitFailure
}

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// printError writes an error as one line, or as one line for each problem of a
// *settings.Error.
func printError(w io.Writer, err error) {
	if problems, ok := errors.AsType[*settings.Error](err); ok {
		for _, p := range problems.Problems {
			fmt.Fprintln(w, "usherctl: "+oneLine(p.String()))
		}
		return
	}
	text := err.Error()
	if ce, ok := errors.AsType[*connect.Error](err); ok {
		text = ce.Message()
	}
	fmt.Fprintln(w, "usherctl: "+oneLine(text))
}

// oneLine joins the lines of a text with semicolons.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}

// errFileTooLarge is wrapped by FileError for a file over MaxFileBytes.
var errFileTooLarge = fmt.Errorf("larger than %d bytes", MaxFileBytes)

// unwrapPath removes the path that FileError already names.
func unwrapPath(err error) error {
	if pe, ok := errors.AsType[*fs.PathError](err); ok {
		return pe.Err
	}
	return err
}
