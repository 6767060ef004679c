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
requests that were not answered with success by what their lines say of the cause:
the last attempt's result, the belief about its server when it was chosen, the
number of attempts, and whether the retry budget refused another. The API is not
used. Requests whose lines were left out (skipped=) are not counted.

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

// failure is a cause that several requests share.
type failure struct {
	Status  int    `json:"status"`
	Reason  string `json:"reason"`
	Service string `json:"service"`
	// Result of the last attempt; empty if there was none.
	Result string `json:"result"`
	// Belief about the last attempt's server when it was chosen.
	Belief   string `json:"belief"`
	Attempts int    `json:"attempts"`
	// NoRepeat is what refused another attempt.
	NoRepeat string `json:"noRepeat"`
}

// failureCount is a cause with its number of requests and one of them.
type failureCount struct {
	failure
	Count   int    `json:"count"`
	Example string `json:"example"`
}

// Upper bounds of the probability of failing for the beliefs that are told apart.
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
			t.row(f.Count, f.Status, dash(f.Reason), dash(f.Service), dash(f.Result), dash(f.Belief), f.Attempts, dash(f.NoRepeat), f.Example)
		}
	})
}

// countFailures returns the causes of failed requests, the most frequent first.
func countFailures(lines []logLine) []failureCount {
	counts := map[failure]*failureCount{}
	for _, l := range lines {
		status, err := strconv.Atoi(l.fields["status"])
		if l.fields["event"] != "request" || err != nil || status < 400 {
			continue
		}
		f := failureOf(l, status)
		if counts[f] == nil {
			counts[f] = &failureCount{failure: f, Example: l.fields["id"]}
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

func failureOf(l logLine, status int) failure {
	f := failure{Status: status, Reason: l.fields["reason"], Service: l.fields["service"], NoRepeat: l.fields["no_repeat"]}
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

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
