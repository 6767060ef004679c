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

const explainHelp = `Reads logs of usher-edge from files, or from standard input, and prints what
concerns one request: its lines in the order of time, and for each backend server
that it was sent to the last change of belief and of its entry on the same host
before the answer. The API is not used.

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

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// offline is a command that reads logs and needs no API.
type offline interface{ offline() }

func (*explainCommand) offline() {}

// logLine is one event of a log.
type logLine struct {
	text   string
	fields map[string]string
}

var logField = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)`)

// parseLogLine reads a key=value line. Text before the first pair, such as a
// collector's own prefix, is kept in the line's text.
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

// NoLinesError reports a request of which the logs say nothing.
type NoLinesError struct{ ID string }

// Error implements error.
func (e *NoLinesError) Error() string {
	return fmt.Sprintf("no line about request %s: its host was killed, or the line was left out (look for skipped=)", e.ID)
}

// readLogs reads files, or in if there are none.
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
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		lines = append(lines, parseLogLine(scanner.Text()))
	}
	return lines, scanner.Err()
}

// explain returns the lines about a request and, before each, the beliefs that
// were in force at its host.
func explain(lines []logLine, id string) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.fields["time"], b.fields["time"]) })
	var out []logLine
	for i, l := range lines {
		if l.fields["event"] == "request" && l.fields["id"] == id {
			out = append(out, beliefs(lines[:i], l)...)
			out = append(out, l)
		}
	}
	return out
}

// beliefs returns the last events before a request's line about the servers that
// it was sent to, about its host's store and configuration.
func beliefs(before []logLine, request logLine) []logLine {
	servers := map[string]bool{}
	for _, attempt := range strings.Fields(request.fields["attempts"]) {
		server, _, _ := strings.Cut(attempt, ":")
		servers[server] = true
	}
	seen := map[string]bool{}
	var out []logLine
	for i := len(before) - 1; i >= 0; i-- {
		l := before[i]
		subject := beliefSubject(l, servers, request.fields["service"])
		if subject == "" || l.fields["host"] != request.fields["host"] || seen[subject] {
			continue
		}
		seen[subject] = true
		out = append(out, l)
	}
	slices.Reverse(out)
	return out
}

// beliefSubject returns what a line says something about, if a request to the
// servers of a service depends on it.
func beliefSubject(l logLine, servers map[string]bool, service string) string {
	switch event := l.fields["event"]; event {
	case "server_suspected", "server_trusted":
		if servers[l.fields["server"]] {
			return "belief " + l.fields["server"]
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
	case "started", "stopping":
		return "process"
	}
	return ""
}
