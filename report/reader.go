package report

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
)

const (
	// DefaultReadsPerSecond is a tenth of the read rate that the object API sustains.
	DefaultReadsPerSecond = 200
	// DefaultStaleAfter is five default flush intervals.
	DefaultStaleAfter = 5 * DefaultInterval
	// maxParallelReads bounds the number of reads in progress.
	maxParallelReads = 16
)

// ReadError reports a day that could not be read.
type ReadError struct {
	Day Day
	Err error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read report of %s: %v", e.Day, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// MissingData reports a host whose data are missing or incomplete.
type MissingData struct {
	Host model.HostID
	// Incarnation is empty if the host has no objects, or if the object is not a
	// valid part.
	Incarnation model.Incarnation
	// CoveredUntil is the time up to which the data are complete; zero if there is
	// no such time.
	CoveredUntil time.Time
	// Problem describes what is missing, in words for a person.
	Problem string
}

// Daily is the merged report of a day.
type Daily struct {
	Day Day
	// Rows are ordered by service and workspace.
	Rows []*Row
	// Ejections are the totals of each service.
	Ejections map[model.ServiceName]EjectionTotals
	// Missing is ordered by host and incarnation.
	Missing []MissingData
}

// ReaderOptions configures a Reader. Store is required.
type ReaderOptions struct {
	Store objectapi.Store
	// Hosts returns the hosts that are expected to have objects. If it is nil, hosts
	// without objects are not reported.
	Hosts func(context.Context) ([]model.HostID, error)
	// Zone is the time zone of the recorders; nil means UTC.
	Zone *time.Location
	// ReadsPerSecond bounds the read rate; zero means DefaultReadsPerSecond.
	ReadsPerSecond float64
	// StaleAfter is the age from which data of the current day are stale; zero means
	// DefaultStaleAfter. The age depends on the clocks of the host and the reader,
	// which may differ by minutes.
	StaleAfter time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Reader reads the objects that flushers wrote. It is safe for concurrent use.
type Reader struct {
	opts    ReaderOptions
	limiter *rate.Limiter
}

// NewReader returns a reader.
func NewReader(o ReaderOptions) *Reader {
	if o.Zone == nil {
		o.Zone = time.UTC
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.StaleAfter == 0 {
		o.StaleAfter = DefaultStaleAfter
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Reader{opts: o, limiter: rate.NewLimiter(rate.Limit(o.ReadsPerSecond), maxParallelReads)}
}

// Day reads and merges all objects of the day. The error is a *ReadError.
func (r *Reader) Day(ctx context.Context, day Day) (*Daily, error) {
	parts, unusable, err := r.readParts(ctx, dayPrefix(day))
	if err != nil {
		return nil, &ReadError{Day: day, Err: err}
	}
	m := &merger{day: day, rows: map[RowKey]*Row{}, missing: unusable}
	byIncarnation := map[model.Incarnation][]Part{}
	for _, p := range parts {
		byIncarnation[p.Incarnation] = append(byIncarnation[p.Incarnation], p)
	}
	for _, id := range slices.Sorted(maps.Keys(byIncarnation)) {
		m.addIncarnation(byIncarnation[id])
		r.checkCoverage(m, byIncarnation[id])
	}
	if err := r.checkHosts(ctx, m, parts); err != nil {
		return nil, &ReadError{Day: day, Err: err}
	}
	start, end := day.Span(r.opts.Zone)
	return m.daily(start, end), nil
}

// readParts reads all objects under the prefix. An object that is deleted between the
// listing and the read is left out. Objects that are not valid parts are returned as
// missing data.
func (r *Reader) readParts(ctx context.Context, prefix string) ([]Part, []MissingData, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return nil, nil, err
	}
	keys, err := r.opts.Store.List(ctx, prefix)
	if err != nil {
		return nil, nil, err
	}
	found := make([]Part, len(keys))
	failures := make([]error, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for i, key := range keys {
		g.Go(func() error {
			found[i], failures[i] = r.readPart(ctx, key)
			if isErrorType[*PartError](failures[i]) || errors.Is(failures[i], objectapi.ErrNotFound) {
				return nil
			}
			return failures[i]
		})
	}
	if err := g.Wait(); err != nil {
		return nil, nil, err
	}
	return splitResults(keys, found, failures)
}

func (r *Reader) readPart(ctx context.Context, key string) (Part, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return Part{}, err
	}
	object, err := r.opts.Store.Get(ctx, key)
	if err != nil {
		return Part{}, err
	}
	return decodePart(key, object.Value)
}

// splitResults returns the parts that were read and the objects that are not valid
// parts. Objects that were not found are left out.
func splitResults(keys []string, found []Part, failures []error) ([]Part, []MissingData, error) {
	var parts []Part
	var unusable []MissingData
	for i, err := range failures {
		switch {
		case err == nil:
			parts = append(parts, found[i])
		case isErrorType[*PartError](err):
			unusable = append(unusable, MissingData{Host: hostOfKey(keys[i]), Problem: err.Error()})
		}
	}
	return parts, unusable, nil
}

// isErrorType reports whether err or an error that it wraps has the type E.
func isErrorType[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// merger merges the parts of a day.
type merger struct {
	day       Day
	rows      map[RowKey]*Row
	ejections []Ejection
	missing   []MissingData
}

func (m *merger) addIncarnation(parts []Part) {
	for _, p := range parts {
		m.ejections = append(m.ejections, p.Ejections...)
		for _, stored := range p.Rows {
			row, err := decodeRow(stored)
			if err != nil {
				m.addMissing(p, err.Error())
				continue
			}
			if known, ok := m.rows[row.RowKey]; ok {
				known.Merge(row)
			} else {
				m.rows[row.RowKey] = row
			}
		}
	}
}

func (m *merger) addMissing(p Part, problem string) {
	m.missing = append(m.missing, MissingData{Host: p.Host, Incarnation: p.Incarnation, CoveredUntil: p.CoveredUntil, Problem: problem})
}

// checkCoverage reports which data of one incarnation are missing.
func (r *Reader) checkCoverage(m *merger, parts []Part) {
	i := slices.IndexFunc(parts, func(p Part) bool { return p.Part == 0 })
	if i < 0 {
		m.addMissing(parts[0], "the first part is missing")
		return
	}
	first := parts[i]
	if len(parts) < first.Parts {
		m.addMissing(first, fmt.Sprintf("%d of %d parts are missing", first.Parts-len(parts), first.Parts))
	}
	if first.DroppedEjections > 0 {
		m.addMissing(first, fmt.Sprintf("%d ejections were not kept", first.DroppedEjections))
	}
	if first.Complete {
		return
	}
	now := r.opts.Now()
	_, end := m.day.Span(r.opts.Zone)
	// The host may still be about to write the end of a day that is just over.
	if now.Sub(first.CoveredUntil) > r.opts.StaleAfter {
		m.addMissing(first, "no data after "+first.CoveredUntil.In(r.opts.Zone).Format(time.RFC3339))
	} else if !now.Before(end) {
		m.addMissing(first, "the end of the day is not written yet")
	}
}

// checkHosts reports expected hosts without objects, except those that started after
// the day.
func (r *Reader) checkHosts(ctx context.Context, m *merger, parts []Part) error {
	if r.opts.Hosts == nil {
		return nil
	}
	hosts, err := r.opts.Hosts(ctx)
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	wrote := map[model.HostID]bool{}
	for _, p := range parts {
		wrote[p.Host] = true
	}
	for _, host := range hosts {
		if wrote[host] {
			continue
		}
		later, err := r.startedLater(ctx, host, m.day)
		if err != nil {
			return err
		}
		if !later {
			m.missing = append(m.missing, MissingData{Host: host, Problem: "no data"})
		}
	}
	return nil
}

// startedLater reports whether the host's objects of the following day show that all
// its incarnations started after the end of the day.
func (r *Reader) startedLater(ctx context.Context, host model.HostID, day Day) (bool, error) {
	parts, _, err := r.readParts(ctx, hostPrefix(day.Next(), host))
	if err != nil {
		return false, err
	}
	_, end := day.Span(r.opts.Zone)
	later := false
	for _, p := range parts {
		if p.Part != 0 {
			continue
		}
		if p.StartedAt.Before(end) {
			return false, nil
		}
		later = true
	}
	return later, nil
}

// daily returns the report with sorted rows.
func (m *merger) daily(start, end time.Time) *Daily {
	d := &Daily{Day: m.day, Ejections: sumEjections(m.ejections, start, end), Missing: m.missing}
	services := map[model.ServiceName]bool{}
	for _, row := range m.rows {
		services[row.Service] = true
		d.Rows = append(d.Rows, row)
	}
	// A service with ejections but no requests gets a row without a workspace.
	for service := range d.Ejections {
		if !services[service] {
			d.Rows = append(d.Rows, NewRow(RowKey{Service: service}))
		}
	}
	slices.SortFunc(d.Rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	slices.SortFunc(d.Missing, func(a, b MissingData) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Problem, b.Problem))
	})
	return d
}
