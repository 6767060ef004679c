package cli

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

const explainHelp = `Reads logs of usher-edge from files, or from standard input, and prints the lines
about one request in the order of time. Before each, it prints the last lines of
the same host before that time about the belief and the entry of each backend
server that the request was sent to, the service's retry budget, the store, the
configuration, the keys of workspaces and the process. The API is not used.

Examples:
  $ usherctl explain 9c41d07be2a35f68 host-a.log host-b.log
  $ cat *.log | usherctl explain 9c41d07be2a35f68`

// explainCommand is "usherctl explain".
type explainCommand struct {
	noExecute
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"Request ID"`
		Files []string `positional-arg-name:"FILE" description:"Log files; none: standard input"`
	} `positional-args:"true" required:"1"`
}

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// offlineCommand is a sub-command that reads logs and does not call the API.
type offlineCommand interface{ offline() }

func (*explainCommand) offline() {}

// logLine is a log line with its fields.
type logLine struct {
	text   string
	fields map[string]string
}

var logField = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)`)

// parseLogLine parses the key=value pairs of a line. The text stays complete,
// including a prefix before the first pair, such as that of a log collector.
func parseLogLine(text string) logLine {
	l := logLine{text: text, fields: map[string]string{}}
	for _, m := range logField.FindAllStringSubmatch(text, -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return l
}

func (c *explainCommand) run(_ context.Context, s *session) error {
	lines, err := readLogs(c.Args.Files, s.In)
	if err != nil {
		return err
	}
	found := explain(lines, c.Args.ID)
	if len(found) == 0 {
		return &NoLinesError{ID: c.Args.ID}
	}
	for _, l := range found {
		if _, err := fmt.Fprintln(s.Out, l.text); err != nil {
			return err
		}
	}
	return nil
}

// NoLinesError reports a request that has no line in the logs.
type NoLinesError struct{ ID string }

// Error implements error.
func (e *NoLinesError) Error() string {
	return fmt.Sprintf("no line about request %s: its host was killed, or the line was left out (look for skipped=)", e.ID)
}

// readLogs reads the files in their order, or in if files is empty.
func readLogs(files []string, in io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var lines []logLine
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		more, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", path, err)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		lines = append(lines, parseLogLine(scanner.Text()))
	}
	return lines, scanner.Err()
}

// explain sorts lines by time and returns the lines about a request, each preceded
// by the latest events of the same host that affected it.
func explain(lines []logLine, id string) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.fields["time"], b.fields["time"]) })
	var out []logLine
	for i, l := range lines {
		if l.fields["event"] == "request" && l.fields["id"] == id {
			out = append(out, precedingEvents(lines[:i], l)...)
			out = append(out, l)
		}
	}
	return out
}

// precedingEvents returns, for each subject that affects a request, the last event
// of the request's host before the request's line, in order of time. The subjects
// are those of eventSubject.
func precedingEvents(before []logLine, request logLine) []logLine {
	servers := map[string]bool{}
	for _, attempt := range strings.Fields(request.fields["attempts"]) {
		server, _, _ := strings.Cut(attempt, ":")
		servers[server] = true
	}
	seen := map[string]bool{}
	var out []logLine
	for i := len(before) - 1; i >= 0; i-- {
		l := before[i]
		subject := eventSubject(l, servers, request.fields["service"])
		if subject == "" || l.fields["host"] != request.fields["host"] || seen[subject] {
			continue
		}
		seen[subject] = true
		out = append(out, l)
	}
	slices.Reverse(out)
	return out
}

// eventSubject returns the subject of a line's event if it affects a request that
// was sent to servers of the service, and otherwise an empty text. The subjects are
// the belief about a server, its rate limit, its entry, the service's retry budget, the
// store, the configuration, whether keys are accepted, workspaces that cannot be used, and
// the process.
func eventSubject(l logLine, servers map[string]bool, service string) string {
	switch event := l.fields["event"]; event {
	case "server_suspected", "server_trusted":
		if servers[l.fields["server"]] {
			return "belief " + l.fields["server"]
		}
	case "server_limited", "server_unlimited":
		if servers[l.fields["server"]] {
			return "limit " + l.fields["server"]
		}
	case "server_entry", "server_lapsed", "server_entry_unreadable":
		if servers[l.fields["server"]] {
			return "entry " + l.fields["server"]
		}
	case "retry_budget_exhausted", "retry_budget_regained":
		if l.fields["service"] == service {
			return "budget"
		}
	case "store_lost", "store_regained":
		return "store"
	case "config_applied":
		return "configuration"
	case "keys_refused", "keys_accepted", "process_frozen":
		return "keys"
	case "workspace_unreadable", "key_shared":
		return "workspaces"
	case "started", "stopping":
		return "process"
	}
	return ""
}
