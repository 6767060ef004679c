package apiserver

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/telemetry"
)

// Exit codes of usher-api.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means an invalid command line or settings file.
	ExitUsage = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings file: JSON with comments"`
	Check    bool   `long:"check" description:"Check the settings file and exit"`
}

// Main runs usher-api until ctx is done and returns the exit code. Logs and
// errors are written to errOut.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		return parseFailed(err, out, errOut)
	}
	s, err := LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if o.Check {
		fmt.Fprintf(out, "%s: no mistakes\n", o.Settings)
		return ExitOK
	}
	if err := serve(ctx, s, errOut); err != nil {
		fmt.Fprintln(errOut, "usher-api:", err)
		return ExitFailure
	}
	return ExitOK
}

func parseFailed(err error, out, errOut io.Writer) int {
	if fe, ok := errors.AsType[*flags.Error](err); ok && fe.Type == flags.ErrHelp {
		fmt.Fprintln(out, fe.Message)
		return ExitOK
	}
	fmt.Fprintln(errOut, "usher-api:", err)
	return ExitUsage
}

func serve(ctx context.Context, s Settings, errOut io.Writer) error {
	log, err := telemetry.NewLogger(errOut, s.Log.Level)
	if err != nil {
		return err
	}
	server, err := NewServer(s, log)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
