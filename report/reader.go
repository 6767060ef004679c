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
	// DefaultReadsPerSecond is a tenth of what the object API sustains.
	DefaultReadsPerSecond = 200
	// DefaultStaleAfter is five of the default flush intervals.
	DefaultStaleAfter = 5 * DefaultInterval
	// parallelReads bounds the reads in progress.
	parallelReads = 16
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
	// Incarnation is empty if the host wrote nothing.
	Incarnation model.Incarnation
	// CoveredUntil is the last moment that the data cover; zero: none.
	CoveredUntil time.Time
	// Problem says why, for people to read.
	Problem string
}

// Daily is the merged report of a day.
type Daily struct {
	Day Day
	// Rows are ordered by service and workspace.
	Rows []*Row
	// Ejections holds the totals of each service.
	Ejections map[model.ServiceName]EjectionTotals
	// Missing is ordered by host and incarnation.
	Missing []MissingData
}

// ReaderOptions configures a Reader. Store is needed.
type ReaderOptions struct {
	Store objectapi.Store
	// Hosts returns the hosts that should have written; nil: no host without
	// any object is reported as missing.
	Hosts func(context.Context) ([]model.HostID, error)
	// Zone is that of the recorders; nil: UTC.
	Zone *time.Location
	// ReadsPerSecond bounds the reads; zero: DefaultReadsPerSecond.
	ReadsPerSecond float64
	// StaleAfter is the age at which data of the current day are stale, by the
	// clocks of host and reader, which only has to be right within minutes;
	// zero: DefaultStaleAfter.
	StaleAfter time.Duration
	// Now is the clock; nil: time.Now.
	Now func() time.Time
}

// Reader reads the objects that flushers wrote. It is safe for concurrent use.
type Reader struct {
	o       ReaderOptions
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
	return &Reader{o: o, limiter: rate.NewLimiter(rate.Limit(o.ReadsPerSecond), parallelReads)}
}

// Day reads and merges all objects of the day. The error is a *ReadError.
func (r *Reader) Day(ctx context.Context, day Day) (*Daily, error) {
	parts, unusable, err := r.parts(ctx, dayPrefix(day))
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
	start, end := day.Span(r.o.Zone)
	return m.daily(start, end), nil
}

// parts reads every object under the prefix. An object that disappears in
// between is missing, an unusable one is reported as such.
func (r *Reader) parts(ctx context.Context, prefix string) ([]Part, []MissingData, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return nil, nil, err
	}
	keys, err := r.o.Store.List(ctx, prefix)
	if err != nil {
		return nil, nil, err
	}
	found := make([]Part, len(keys))
	failures := make([]error, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for i, key := range keys {
		g.Go(func() error {
			found[i], failures[i] = r.part(ctx, key)
			if is[*PartError](failures[i]) || errors.Is(failures[i], objectapi.ErrNotFound) {
				return nil
			}
			return failures[i]
		})
	}
	if err := g.Wait(); err != nil {
		return nil, nil, err
	}
	return sortOut(keys, found, failures)
}

func (r *Reader) part(ctx context.Context, key string) (Part, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return Part{}, err
	}
	object, err := r.o.Store.Get(ctx, key)
	if err != nil {
		return Part{}, err
	}
	return decodePart(key, object.Value)
}

func sortOut(keys []string, found []Part, failures []error) ([]Part, []MissingData, error) {
	var parts []Part
	var unusable []MissingData
	for i, err := range failures {
		switch {
		case err == nil:
			parts = append(parts, found[i])
		case is[*PartError](err):
			unusable = append(unusable, MissingData{Host: hostOfKey(keys[i]), Problem: err.Error()})
		}
	}
	return parts, unusable, nil
}

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// merger collects the rows of a day.
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
				m.report(p, err.Error())
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

func (m *merger) report(p Part, problem string) {
	m.missing = append(m.missing, MissingData{Host: p.Host, Incarnation: p.Incarnation, CoveredUntil: p.CoveredUntil, Problem: problem})
}

// checkCoverage reports what one incarnation did not write.
func (r *Reader) checkCoverage(m *merger, parts []Part) {
	i := slices.IndexFunc(parts, func(p Part) bool { return p.Part == 0 })
	if i < 0 {
		m.report(parts[0], "the first part is missing")
		return
	}
	first := parts[i]
	if len(parts) < first.Parts {
		m.report(first, fmt.Sprintf("%d of %d parts are missing", first.Parts-len(parts), first.Parts))
	}
	if first.DroppedEjections > 0 {
		m.report(first, fmt.Sprintf("%d ejections were not kept", first.DroppedEjections))
	}
	if first.Complete {
		return
	}
	now := r.o.Now()
	_, end := m.day.Span(r.o.Zone)
	// The host may still be about to write the end of a day that is just over.
	if now.Sub(first.CoveredUntil) > r.o.StaleAfter {
		m.report(first, "no data after "+first.CoveredUntil.In(r.o.Zone).Format(time.RFC3339))
	} else if !now.Before(end) {
		m.report(first, "the end of the day is not written yet")
	}
}

// checkHosts reports hosts of the list without any object. A host whose first
// incarnation started after the day did not exist on it.
func (r *Reader) checkHosts(ctx context.Context, m *merger, parts []Part) error {
	if r.o.Hosts == nil {
		return nil
	}
	hosts, err := r.o.Hosts(ctx)
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

// startedLater says whether the host's objects of the following day show that
// all its incarnations started after the day.
func (r *Reader) startedLater(ctx context.Context, host model.HostID, day Day) (bool, error) {
	parts, _, err := r.parts(ctx, hostPrefix(day.Next(), host))
	if err != nil {
		return false, err
	}
	_, end := day.Span(r.o.Zone)
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

func (m *merger) daily(start, end time.Time) *Daily {
	d := &Daily{Day: m.day, Ejections: sumEjections(m.ejections, start, end), Missing: m.missing}
	services := map[model.ServiceName]bool{}
	for _, row := range m.rows {
		services[row.Service] = true
		d.Rows = append(d.Rows, row)
	}
	// A service with ejections and without requests has a row of its own.
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
