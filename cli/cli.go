package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"connectrpc.com/connect"

	"github.com/agateusher/agateusher/gen/agateusher/v1/agateusherv1connect"
	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/settings"
)

const (
	// callTimeout applies to all calls except reports.
	callTimeout = 30 * time.Second
	// reportTimeout applies to reports.
	reportTimeout = 10 * time.Minute
	// maxResponseBytes limits the size of one message from the API. A list of the
	// 710,000 workspaces of the target scale takes about 30 MB.
	maxResponseBytes = 64 << 20
)

// Settings is the settings file of usherctl.
type Settings struct {
	// API is the base URL of usher-api.
	API string `json:"api" validate:"omitempty,http_url"`
	// Token is the operator's bearer token.
	Token string `json:"token"`
}

// globalOptions are the options of all sub-commands.
type globalOptions struct {
	API      string `long:"api" env:"USHERCTL_API" value-name:"URL" description:"Base URL of usher-api, such as http://127.0.0.1:7070"`
	Settings string `long:"settings" env:"USHERCTL_SETTINGS" value-name:"FILE" description:"Settings file: JSON with comments, keys api and token"`
	Output   string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
}

// Streams holds the standard streams and the environment of a run.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	// Getenv returns the value of an environment variable, empty if it is not set.
	Getenv func(string) string
}

// session holds the streams, API clients and output format of one run of a
// sub-command.
type session struct {
	Streams
	config  agateusherv1connect.ConfigServiceClient
	fleet   agateusherv1connect.FleetServiceClient
	reports agateusherv1connect.ReportServiceClient
	// json selects JSON output instead of a table.
	json bool
}

// command is a sub-command. Its exported fields are its options.
type command interface {
	flags.Commander
	run(ctx context.Context, s *session) error
}

// noExecute implements flags.Commander without an effect. The work of a
// sub-command starts in run, after the whole command line has been checked.
type noExecute struct{}

// Execute implements flags.Commander.
func (noExecute) Execute([]string) error { return nil }

const longHelp = `Manages an agateusher fleet through usher-api.

The token comes from the environment variable USHERCTL_TOKEN or the settings file.

Examples:
  $ usherctl --settings ctl.json apply -f change.json --wait
  $ usherctl get servers
  $ usherctl drain booking-07

Exit codes: 0 success, 1 failure, 2 wrong command line or file, 3 conflict, 4 not found, 5 missing or unknown token, 6 unavailable, 7 wait timed out.`

// Run executes a command line, given without the program's name, and returns the
// exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := run(ctx, args, streams)
	if fe, ok := err.(*flags.Error); ok && fe.Type == flags.ErrHelp {
		fmt.Fprintln(streams.Out, fe.Message)
		return ExitOK
	}
	if err != nil {
		printError(streams.Err, err)
	}
	return exitCode(err)
}

func run(ctx context.Context, args []string, streams Streams) error {
	global := &globalOptions{}
	var chosen command
	parser := newParser(global)
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &UsageError{Problem: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		chosen, _ = c.(command)
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return err
	}
	if _, ok := chosen.(offlineCommand); ok {
		return chosen.run(ctx, &session{Streams: streams, json: global.Output == "json"})
	}
	s, err := newSession(global, streams)
	if err != nil {
		return err
	}
	return chosen.run(ctx, s)
}

func newParser(global *globalOptions) *flags.Parser {
	parser := flags.NewNamedParser("usherctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	must(parser.AddGroup("Global options", "", global))
	for _, c := range commands() {
		must(parser.AddCommand(c.name, c.short, c.long, c.data))
	}
	return parser
}

// must panics if an option tag is malformed, which is a programming error.
func must[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

func newSession(global *globalOptions, streams Streams) (*session, error) {
	var file Settings
	if global.Settings != "" {
		if err := settings.Load(global.Settings, &file); err != nil {
			return nil, err
		}
	}
	if global.API != "" {
		file.API = global.API
	}
	if token := streams.Getenv("USHERCTL_TOKEN"); token != "" {
		file.Token = token
	}
	if file.API == "" {
		return nil, &UsageError{Problem: "no API address: set --api, USHERCTL_API or the key api of the settings file"}
	}
	client := &http.Client{Transport: bearerTransport{token: file.Token, next: stricthttp.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}}
	limit := connect.WithReadMaxBytes(maxResponseBytes)
	return &session{
		Streams: streams,
		config:  agateusherv1connect.NewConfigServiceClient(client, file.API, limit),
		fleet:   agateusherv1connect.NewFleetServiceClient(client, file.API, limit),
		reports: agateusherv1connect.NewReportServiceClient(client, file.API, limit),
		json:    global.Output == "json",
	}, nil
}

// bearerTransport adds the token to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(r)
}
