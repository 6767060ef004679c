package apiserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
	"github.com/agateusher/agateusher/report"
)

// dailyReports is package report as operator.Reports.
type dailyReports struct {
	reader *report.Reader
}

// newReports returns the reports of the hosts in the list. The error is that of
// an unknown time zone.
func newReports(s ReportSettings, api objectapi.Store, hosts operator.HostLister) (*dailyReports, error) {
	zone, err := time.LoadLocation(s.TimeZone)
	if err != nil {
		return nil, fmt.Errorf("report time zone: %w", err)
	}
	return &dailyReports{reader: report.NewReader(report.ReaderOptions{
		Store: api, Zone: zone, ReadsPerSecond: float64(s.ReadsPerSecond),
		Hosts: func(ctx context.Context) ([]model.HostID, error) { return hostIDs(ctx, hosts) },
	})}, nil
}

func hostIDs(ctx context.Context, hosts operator.HostLister) ([]model.HostID, error) {
	list, err := hosts.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	ids := make([]model.HostID, len(list))
	for i, h := range list {
		ids[i] = h.ID
	}
	return ids, nil
}

// Daily implements operator.Reports.
func (d *dailyReports) Daily(ctx context.Context, text string, source snapshot.ReportLayout) ([]operator.MissingHost, func(io.Writer) error, error) {
	day, err := report.ParseDay(text)
	if err != nil {
		return nil, nil, &operator.RequestError{Field: "day", Expected: err.Error()}
	}
	layout, err := report.CompileLayout(source)
	if wrong, ok := errors.AsType[*report.LayoutError](err); ok {
		return nil, nil, &operator.RequestError{Field: "layout", Expected: "a layout that can be written: " + wrong.Error()}
	}
	daily, err := d.reader.Day(ctx, day)
	if err != nil {
		return nil, nil, err
	}
	missing := make([]operator.MissingHost, len(daily.Missing))
	for i, m := range daily.Missing {
		missing[i] = operator.MissingHost{Host: m.Host, Incarnation: m.Incarnation, CoveredUntil: m.CoveredUntil, Problem: m.Problem}
	}
	return missing, func(w io.Writer) error { return layout.WriteCSV(w, daily) }, nil
}

// checkLayout returns the first mistake of a layout.
func checkLayout(l snapshot.ReportLayout) []snapshot.Mistake {
	_, err := report.CompileLayout(l)
	wrong, ok := errors.AsType[*report.LayoutError](err)
	if !ok {
		return nil
	}
	field := wrong.Property
	if wrong.Column > 0 {
		field = fmt.Sprintf("columns.%d.%s", wrong.Column-1, wrong.Property)
	}
	return []snapshot.Mistake{{Object: l.Ref(), Field: field, Value: wrong.Value, Expected: wrong.Expected}}
}
