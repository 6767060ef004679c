package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/agateusher/agateusher/core/snapshot"
)

// table writes aligned columns. Lines must be written before the first row.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

func (t *table) line(format string, args ...any) {
	fmt.Fprintf(t.w, format+"\n", args...)
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = oneLine(strings.ReplaceAll(fmt.Sprint(c), "\t", " "))
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// print writes a message as JSON or, through fill, as a table.
func (s *session) print(m proto.Message, fill func(*table)) error {
	if !s.json {
		return s.printTable(fill)
	}
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson varies its white space deliberately; reformatting gives scripts
	// a stable output.
	return s.printValue(json.RawMessage(data), nil)
}

// printValue writes a value as JSON or, through fill, as a table.
func (s *session) printValue(v any, fill func(*table)) error {
	if !s.json {
		return s.printTable(fill)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err = s.Out.Write(out.Bytes())
	return err
}

func (s *session) printTable(fill func(*table)) error {
	t := newTable(s.Out)
	fill(t)
	return t.w.Flush()
}

var kindNames = map[string]snapshot.Kind{
	"service":      snapshot.KindService,
	"server":       snapshot.KindServer,
	"route":        snapshot.KindRoute,
	"workspace":    snapshot.KindWorkspace,
	"layout":       snapshot.KindReportLayout,
	"reportlayout": snapshot.KindReportLayout,
}

// parseKind accepts the singular and the plural in any case.
func parseKind(text string) (snapshot.Kind, error) {
	if kind, ok := kindNames[strings.TrimSuffix(strings.ToLower(text), "s")]; ok {
		return kind, nil
	}
	return "", &UsageError{Problem: fmt.Sprintf("unknown kind %q: expected services, servers, routes, workspaces or layouts", text)}
}

// printObjects writes objects, which are all of the same kind, as a table.
func printObjects(t *table, o snapshot.Objects) {
	if len(o.Services) > 0 {
		t.row("NAME", "FLOOR SHARE", "FLOOR SERVERS", "POLICY", "DEADLINE MS", "RETRY SHARE", "QUEUE LIMIT", "SHARDS")
	}
	for _, s := range o.Services {
		t.row(s.Name, s.Floor.Share, s.Floor.MinServers, s.Policy, s.DeadlineMs, s.RetryBudgetShare, s.QueueLimit, s.Shards)
	}
	if len(o.Servers) > 0 {
		t.row("ID", "SERVICE", "DATA CENTRE", "ADDRESS", "SLOTS", "CONNECTIONS", "STATE")
	}
	for _, s := range o.Servers {
		t.row(s.ID, s.Service, s.DataCentre, s.Address, s.Slots, s.Connections, s.State)
	}
	if len(o.Routes) > 0 {
		t.row("NAME", "HOST", "PATH PREFIX", "METHODS", "SERVICE", "REPEATABLE", "ISSUES KEYS FOR", "RATE")
	}
	for _, r := range o.Routes {
		t.row(r.Name, orDash(r.Host), r.PathPrefix, orDash(strings.Join(r.Methods, ",")), servicesOf(r), r.Repeatable, orDash(string(r.IssueKeysFor)), r.RatePerSecond)
	}
	if len(o.Workspaces) > 0 {
		t.row("ID", "WEIGHT", "RATE")
	}
	for _, w := range o.Workspaces {
		t.row(w.ID, w.Weight, w.RatePerSecond)
	}
	if len(o.ReportLayouts) > 0 {
		t.row("NAME", "SEPARATOR", "DECIMAL", "COLUMNS")
	}
	for _, l := range o.ReportLayouts {
		t.row(l.Name, orDash(l.Separator), orDash(l.Decimal), len(l.Columns))
	}
}

// servicesOf returns the service of a route, or the services of its split with their
// weights.
func servicesOf(r snapshot.Route) string {
	if len(r.Split) == 0 {
		return string(r.Service)
	}
	parts := make([]string, len(r.Split))
	for i, p := range r.Split {
		parts[i] = fmt.Sprintf("%s:%g%%", p.Service, p.Weight)
	}
	return strings.Join(parts, ",")
}
