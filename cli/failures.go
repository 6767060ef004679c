package cli

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const failuresHelp = `Reads logs of usher-edge from files, or from standard input, and counts the
failed requests (status 400 or above) by the cause that their lines show: status,
reason, service, the last attempt's result, the belief about its server when it was
chosen, the number of attempts, and whether the retry budget prevented another
attempt. The API is not used. Requests whose lines were left out (skipped=) are not
counted.

Examples:
  $ usherctl failures host-a.log host-b.log
  $ usherctl -o json failures < all.log`

// failuresCommand is "usherctl failures".
type failuresCommand struct {
	noExecute
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"Log files; none: standard input"`
	} `positional-args:"true"`
}

func (*failuresCommand) offline() {}

// failureCause is the cause by which failed requests are counted.
type failureCause struct {
	Status  int    `json:"status"`
	Reason  string `json:"reason"`
	Service string `json:"service"`
	// Result is that of the last attempt, empty if there was none.
	Result string `json:"result"`
	// Belief is that about the last attempt's server when the server was chosen:
	// trusted, doubtful, suspect or unreadable; empty if the line has none.
	Belief   string `json:"belief"`
	Attempts int    `json:"attempts"`
	// NoRepeat is the reason that prevented another attempt, "retry-budget" or
	// empty.
	NoRepeat string `json:"noRepeat"`
}

// failureCount is the number of failed requests with a cause, and the ID of one of
// them.
type failureCount struct {
	failureCause
	Count   int    `json:"count"`
	Example string `json:"example"`
}

// Exclusive upper bounds of a server's failing probability for the beliefs
// "trusted" and "doubtful". From doubtfulBelow on, the belief is "suspect".
const (
	trustedBelow  = 0.1
	doubtfulBelow = 0.5
)

func (c *failuresCommand) run(_ context.Context, s *session) error {
	lines, err := readLogs(c.Args.Files, s.In)
	if err != nil {
		return err
	}
	counts := countFailures(lines)
	return s.printValue(counts, func(t *table) {
		t.row("COUNT", "STATUS", "REASON", "SERVICE", "LAST ATTEMPT", "BELIEF", "ATTEMPTS", "NO REPEAT", "EXAMPLE")
		for _, f := range counts {
			t.row(f.Count, f.Status, dashIfEmpty(f.Reason), dashIfEmpty(f.Service), dashIfEmpty(f.Result), dashIfEmpty(f.Belief), f.Attempts, dashIfEmpty(f.NoRepeat), f.Example)
		}
	})
}

// countFailures counts the failed requests by cause, the most frequent cause first.
func countFailures(lines []logLine) []failureCount {
	counts := map[failureCause]*failureCount{}
	for _, l := range lines {
		status, err := strconv.Atoi(l.fields["status"])
		if l.fields["event"] != "request" || err != nil || status < 400 {
			continue
		}
		f := causeOf(l, status)
		if counts[f] == nil {
			counts[f] = &failureCount{failureCause: f, Example: l.fields["id"]}
		}
		counts[f].Count++
	}
	out := make([]failureCount, 0, len(counts))
	for f := range maps.Values(counts) {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b failureCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Example, b.Example))
	})
	return out
}

func causeOf(l logLine, status int) failureCause {
	f := failureCause{Status: status, Reason: l.fields["reason"], Service: l.fields["service"], NoRepeat: l.fields["no_repeat"]}
	attempts := strings.Fields(l.fields["attempts"])
	f.Attempts = len(attempts)
	if len(attempts) == 0 {
		return f
	}
	parts := strings.Split(attempts[len(attempts)-1], ":")
	if len(parts) > 1 {
		f.Result = parts[1]
	}
	for _, part := range parts {
		if text, ok := strings.CutPrefix(part, "failing="); ok {
			f.Belief = beliefName(text)
		}
	}
	return f
}

// beliefName classifies a failing probability.
func beliefName(text string) string {
	failing, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return "unreadable"
	case failing < trustedBelow:
		return "trusted"
	case failing < doubtfulBelow:
		return "doubtful"
	}
	return "suspect"
}

// dashIfEmpty replaces an empty text by "-".
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
