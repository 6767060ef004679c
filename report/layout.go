package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"math/big"
	"strings"
	"unicode/utf8"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

const (
	defaultSeparator = ','
	microsPerMilli   = 1000
)

// LayoutError reports a column of a layout that cannot be written.
type LayoutError struct {
	Layout string
	// Column starts at 1; zero: the layout as a whole.
	Column int
	// Property is the invalid property of the column and Value its content.
	Property, Value string
	Expected        string
}

// Error implements error.
func (e *LayoutError) Error() string {
	return fmt.Sprintf("report layout %s: column %d: %s: got %q, expected %s", e.Layout, e.Column, e.Property, e.Value, e.Expected)
}

// cell writes one column of a row.
type cell func(d *Daily, r *Row) string

// Layout is a layout that was found to be writable.
type Layout struct {
	source    snapshot.ReportLayout
	separator rune
	cells     []cell
}

// CompileLayout checks a layout. The error is a *LayoutError.
func CompileLayout(source snapshot.ReportLayout) (*Layout, error) {
	l := &Layout{source: source, separator: defaultSeparator}
	if source.Separator != "" {
		r, size := utf8.DecodeRuneInString(source.Separator)
		if size != len(source.Separator) || r == utf8.RuneError || strings.ContainsRune("\"\r\n\x00", r) {
			return nil, &LayoutError{Layout: source.Name, Property: "separator", Value: source.Separator, Expected: "one character other than a quote or a line end"}
		}
		l.separator = r
	}
	for i, c := range source.Columns {
		cell, err := compileColumn(c, source.Decimal)
		if err != nil {
			err.Layout, err.Column = source.Name, i+1
			return nil, err
		}
		l.cells = append(l.cells, cell)
	}
	return l, nil
}

func compileColumn(c snapshot.ReportColumn, decimal string) (cell, *LayoutError) {
	if text, ok := textFields[c.Field]; ok {
		if c.Format != "" {
			return nil, &LayoutError{Property: "format", Value: c.Format, Expected: "no format for a text field"}
		}
		return text, nil
	}
	value, ok := numberField(c.Field)
	if !ok {
		return nil, &LayoutError{Property: "field", Value: c.Field, Expected: "a report field, such as requests or p99Ms"}
	}
	format, ok := parseFormat(c.Format, decimal)
	if !ok {
		return nil, &LayoutError{Property: "format", Value: c.Format, Expected: `a number format, such as "0.00" or "#,##0"`}
	}
	return func(d *Daily, r *Row) string { return format.format(value(d, r)) }, nil
}

// WriteCSV writes the headings and one line for each row, in the order of the
// layout's columns. Cells are quoted as in RFC 4180 where they must be; lines
// end with a line feed.
func (l *Layout) WriteCSV(w io.Writer, d *Daily) error {
	out := csv.NewWriter(w)
	out.Comma = l.separator
	record := make([]string, len(l.cells))
	for i, c := range l.source.Columns {
		record[i] = c.Heading
	}
	if err := out.Write(record); err != nil {
		return fmt.Errorf("write report of %s: %w", d.Day, err)
	}
	for _, row := range d.Rows {
		for i, cell := range l.cells {
			record[i] = cell(d, row)
		}
		if err := out.Write(record); err != nil {
			return fmt.Errorf("write report of %s: %w", d.Day, err)
		}
	}
	out.Flush()
	return out.Error()
}

var textFields = map[string]cell{
	"day":       func(d *Daily, _ *Row) string { return string(d.Day) },
	"service":   func(_ *Daily, r *Row) string { return string(r.Service) },
	"workspace": func(_ *Daily, r *Row) string { return string(r.Workspace) },
}

// fieldValue returns the number in one column of a row.
type fieldValue func(d *Daily, r *Row) number

var numberFields = map[string]fieldValue{
	"requests":       func(_ *Daily, r *Row) number { return whole(r.Requests) },
	"answered":       func(_ *Daily, r *Row) number { return whole(r.Answered) },
	"notRun":         func(_ *Daily, r *Row) number { return whole(r.NotRunTotal()) },
	"unknown":        func(_ *Daily, r *Row) number { return whole(r.Unknown) },
	"retries":        func(_ *Daily, r *Row) number { return whole(r.Retries) },
	"answeredShare":  func(_ *Daily, r *Row) number { return ratio(r.Answered, r.Requests) },
	"notRunShare":    func(_ *Daily, r *Row) number { return ratio(r.NotRunTotal(), r.Requests) },
	"unknownShare":   func(_ *Daily, r *Row) number { return ratio(r.Unknown, r.Requests) },
	"meanMs":         func(_ *Daily, r *Row) number { return milliseconds(r, int64(r.Latency.Mean())) },
	"maxMs":          func(_ *Daily, r *Row) number { return milliseconds(r, r.Latency.Max()) },
	"ejections":      func(d *Daily, r *Row) number { return whole(d.Ejections[r.Service].Count) },
	"ejectedServers": func(d *Daily, r *Row) number { return whole(d.Ejections[r.Service].Servers) },
	"ejectedSeconds": func(d *Daily, r *Row) number {
		return number{value: big.NewRat(d.Ejections[r.Service].OutOfService.Microseconds(), 1_000_000)}
	},
}

// numberField returns the value of a field by its name.
func numberField(name string) (fieldValue, bool) {
	if v, ok := numberFields[name]; ok {
		return v, true
	}
	if reason, ok := strings.CutPrefix(name, "notRun."); ok && reason != "" {
		return func(_ *Daily, r *Row) number { return whole(r.NotRun[model.Reason(reason)]) }, true
	}
	if digits, ok := strings.CutSuffix(name, "Ms"); ok && strings.HasPrefix(digits, "p") {
		if p, ok := percentileOf(digits[1:]); ok {
			return func(_ *Daily, r *Row) number { return milliseconds(r, r.Latency.ValueAtPercentile(p)) }, true
		}
	}
	return nil, false
}

// milliseconds is absent for a row without answered requests.
func milliseconds(r *Row, microseconds int64) number {
	if r.Answered == 0 {
		return number{absent: true}
	}
	return number{value: big.NewRat(microseconds, microsPerMilli)}
}
