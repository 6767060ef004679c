package capacity

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"strings"
)

// MarkerError reports a marker of the page that names an unknown table, or a table
// that needs a missing measurement.
type MarkerError struct{ Table, Problem string }

// Error implements error.
func (e *MarkerError) Error() string { return fmt.Sprintf("table %q: %s", e.Table, e.Problem) }

// markers matches a table with its markers. The submatch is the table's name.
var markers = regexp.MustCompile(`(?s)<!-- generated: ([a-z-]+) -->\n.*?<!-- end -->`)

// Generate returns the page with everything between markers replaced by the
// tables of the measurements. The error is a *MarkerError.
func Generate(page string, measured Measurements) (string, error) {
	m := costModel{measured}
	tables := map[string]func() string{
		"environment": m.environmentTable, "slopes": m.slopeTable, "memory": m.memoryTable, "scales": scaleTable,
		"cases": m.caseTable, "breaks": m.bottleneckTable,
	}
	for i, key := range []string{"consortium", "ridemark", "target"} {
		tables[key] = func() string { return m.roleTable(Scales[i]) }
	}
	var problem error
	out := markers.ReplaceAllStringFunc(page, func(old string) string {
		name := markers.FindStringSubmatch(old)[1]
		table, ok := tables[name]
		if !ok {
			problem = &MarkerError{Table: name, Problem: "unknown"}
			return old
		}
		text := table()
		if strings.Contains(text, "NaN") {
			problem = &MarkerError{Table: name, Problem: "a measurement that it needs is missing"}
		}
		return fmt.Sprintf("<!-- generated: %s -->\n%s<!-- end -->", name, text)
	})
	return out, problem
}

// UpdatePage regenerates the tables of the page from the measurements in file.
// Errors are *FileError and *MarkerError.
func UpdatePage(page, file string) error {
	m, err := Load(file)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return &FileError{Path: page, Err: err}
	}
	text, err := Generate(string(old), m)
	if err != nil {
		return err
	}
	if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
		return &FileError{Path: page, Err: err}
	}
	return nil
}

// table returns a Markdown table.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	line(strings.Split(strings.Repeat("---,", len(head)-1)+"---", ","))
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

func (m costModel) environmentTable() string {
	var rows [][]string
	for _, s := range m.Sections {
		e := s.Environment
		rows = append(rows, []string{s.Name, "`" + Command(s.Name) + "`", e.Go, e.CPU, fmt.Sprint(e.GOMAXPROCS), e.LoadAverage[0] + " to " + e.LoadAverage[1]})
	}
	return table([]string{"section", "command", "Go", "CPU", "GOMAXPROCS", "load average"}, rows)
}

func (m costModel) slopeTable() string {
	var rows [][]string
	for _, s := range m.Sections {
		for _, f := range s.Fits {
			var points []string
			for _, p := range f.Points {
				points = append(points, fmt.Sprintf("%.4g: %.4g", p.X, p.Y))
			}
			rows = append(rows, []string{
				"`" + f.Name + "`", fmt.Sprintf("%.4g", f.Slope), f.Unit + " per " + f.Per, fmt.Sprintf("%.4g", f.Intercept),
				fmt.Sprintf("%.1f%%", 100*f.Error), strings.Join(points, "; "), s.Name, f.Mechanism,
			})
		}
	}
	return table([]string{"fit", "slope", "unit", "intercept", "largest error", "points", "section", "mechanism"}, rows)
}

func (m costModel) memoryTable() string {
	row := func(name, commit string, s StateBytes) []string {
		u := unitBytes
		return []string{name, commit, u.format(s.Objects), u.format(s.Follower - s.Objects), u.format(s.Catalogue), u.format(s.Total()), figure{value: s.Total(), limit: memoryLimitBytes}.limitStatus()}
	}
	var rows [][]string
	for _, e := range m.EarlierStates {
		rows = append(rows, row(e.Form, "`"+e.Commit+"`", e.State))
	}
	rows = append(rows, row("compressed chunks, compact objects, indexed catalogue", "this page", m.TargetState))
	sum := m.sumOverObjects("decoded", TargetSizes) + m.sumOverObjects("packed", TargetSizes) + m.sumOverObjects("compiled", TargetSizes)
	return table([]string{"form", "commit", "objects", "chunks and head", "catalogue", "total", "128 MB"}, rows) +
		fmt.Sprintf("\nThe slopes give %s for the last row, %.1f%% from the direct measurement.\n", unitBytes.format(sum), 100*math.Abs(sum-m.TargetState.Total())/m.TargetState.Total())
}

func scaleTable() string {
	head := []string{"quantity"}
	rows := [][]string{{"hosts"}, {"data centres, regions"}, {"services, servers"}, {"routes, workspaces"}, {"requests/s at peak, one host"}, {"share with a key"}, {"changes a day, a second"}, {"restarts and failures a day"}, {"host state changes/s"}, {"pools"}}
	for _, s := range Scales {
		head = append(head, s.Name)
		for i, cell := range []string{
			fmt.Sprint(s.Hosts), fmt.Sprintf("%d, %d", s.DataCentres, s.Regions), fmt.Sprintf("%d, %d", s.Services, s.Servers), fmt.Sprintf("%d, %d", s.Routes, s.Workspaces),
			fmt.Sprintf("%.0f, %s", s.RequestsPerSecond, number(s.requestsPerHost())), number(s.KeyedShare), fmt.Sprintf("%.0f, %s", s.ChangesPerDay, number(s.changeRate())),
			fmt.Sprintf("%.0f, %s", s.RestartsPerDay, number(s.FailuresPerDay)), number(s.hostChangeRate()), fmt.Sprintf("%.0f", s.pools()),
		} {
			rows[i] = append(rows[i], cell)
		}
	}
	return table(head, rows)
}

func (m costModel) roleTable(s Scale) string {
	var rows [][]string
	for _, f := range append(append(m.daemonFigures(s), m.requestFigures(s)...), m.storeFigures(s)...) {
		limit := noLimitApplies
		if f.limit > 0 {
			limit = f.unit.format(f.limit)
		}
		var fits []string
		for _, name := range f.fits {
			fits = append(fits, "`"+name+"`")
		}
		rows = append(rows, []string{f.role, f.quantity, f.unit.format(f.value), limit, f.limitStatus(), strings.Join(fits, ", "), f.arithmetic})
	}
	return table([]string{"role", "quantity", "value", "limit", "", "slopes", "arithmetic"}, rows)
}
