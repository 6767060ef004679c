package report

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// rowsPerPart bounds the rows of one object. A histogram with every bucket
// populated takes about 12 KB, so that a part stays under the 1 MB of a value.
const rowsPerPart = 64

// maxDays bounds the days that wait for the object API. Its outages last up to
// hours; three days leave room for a weekend.
const maxDays = 3

// errDayDropped: the day's counters were dropped because later days waited too
// long for the object API. Its objects stay as they were written last.
var errDayDropped = errors.New("the day's counters were dropped")

// RecorderOptions says whose counters they are.
type RecorderOptions struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Zone is the time zone in which a day begins; nil: UTC. All daemons and
	// readers of a fleet must have the same.
	Zone *time.Location
	// Started is when the process started.
	Started time.Time
	// MaxRows bounds the rows of a day; zero: DefaultMaxRows.
	MaxRows int
}

// Recorder counts for one process. It reads no clock, writes nothing and is
// safe for concurrent use.
type Recorder struct {
	o  RecorderOptions
	mu sync.Mutex
	// days holds the days that are not yet finished, oldest first.
	days []*dayCounters
	// finished is the last finished day.
	finished    Day
	droppedDays uint64 // days dropped unwritten
	open        map[openKey]time.Time
	closed      []Ejection
	// droppedEjections counts ejections over MaxEjections.
	droppedEjections uint64
}

type openKey struct {
	service model.ServiceName
	server  model.ServerID
}

// dayCounters holds the rows of a day in the order of their creation, which
// decides their part.
type dayCounters struct {
	day Day
	// maxRows is that of the options.
	maxRows int
	index   map[RowKey]int
	rows    []*Row
	// changed counts the changes of each part, written those that are stored.
	changed, written []uint64
}

// NewRecorder returns a recorder without counts.
func NewRecorder(o RecorderOptions) *Recorder {
	if o.Zone == nil {
		o.Zone = time.UTC
	}
	if o.MaxRows == 0 {
		o.MaxRows = DefaultMaxRows
	}
	return &Recorder{o: o, open: map[openKey]time.Time{}}
}

// Record counts a request that ended now. One daemon, the entry, records each
// request.
func (r *Recorder) Record(now time.Time, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dayAt(now).row(s.RowKey).Add(s)
}

// AddRetries counts n retries and hedges. The pool's owner records them.
func (r *Recorder) AddRetries(now time.Time, k RowKey, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dayAt(now).row(k).Retries += n
}

// BeginEjection begins an ejection, unless the server is ejected already.
func (r *Recorder) BeginEjection(now time.Time, service model.ServiceName, server model.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := openKey{service, server}
	if _, known := r.open[k]; known {
		return
	}
	if len(r.open) >= MaxEjections {
		r.droppedEjections++
		return
	}
	r.dayAt(now)
	r.open[k] = now
}

// EndEjection ends an ejection: the server was readmitted or removed, or this host
// no longer owns its pool.
func (r *Recorder) EndEjection(now time.Time, service model.ServiceName, server model.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := openKey{service, server}
	from, known := r.open[k]
	if !known {
		return
	}
	delete(r.open, k)
	r.dayAt(now)
	if len(r.closed) >= MaxEjections {
		r.droppedEjections++
		return
	}
	r.closed = append(r.closed, Ejection{Service: service, Server: server, From: from, To: now})
}

// DroppedDays returns the number of days that were dropped before they could be
// written.
func (r *Recorder) DroppedDays() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedDays
}

// dayAt returns the counters of the day of now. A request that ends while its
// day is already finished counts on the next day, because a finished day's
// objects are not written again.
func (r *Recorder) dayAt(now time.Time) *dayCounters {
	day := DayOf(now, r.o.Zone)
	if day <= r.finished {
		day = r.finished.Next()
	}
	i, found := slices.BinarySearchFunc(r.days, day, func(d *dayCounters, day Day) int {
		switch {
		case d.day < day:
			return -1
		case d.day > day:
			return 1
		}
		return 0
	})
	if !found {
		d := &dayCounters{day: day, maxRows: r.o.MaxRows, index: map[RowKey]int{}, changed: []uint64{0}, written: []uint64{0}}
		r.days = slices.Insert(r.days, i, d)
		r.dropOldest()
		return d
	}
	return r.days[i]
}

func (r *Recorder) dropOldest() {
	for len(r.days) > maxDays {
		r.finished = r.days[0].day
		r.days = r.days[1:]
		r.droppedDays++
	}
}

// row returns the row of a key for a change.
func (d *dayCounters) row(k RowKey) *Row {
	i, ok := d.index[k]
	if !ok && len(d.rows) >= d.maxRows {
		k = d.overflowKey(k)
		i, ok = d.index[k]
	}
	if !ok {
		i = len(d.rows)
		d.index[k] = i
		d.rows = append(d.rows, NewRow(k))
		if i/rowsPerPart == len(d.changed) {
			d.changed, d.written = append(d.changed, 0), append(d.written, 0)
		}
	}
	d.changed[i/rowsPerPart]++
	return d.rows[i]
}

// overflowKey keeps one row for each service, as long as there is room for
// them.
func (d *dayCounters) overflowKey(k RowKey) RowKey {
	if len(d.rows) >= 2*d.maxRows {
		return RowKey{Service: model.ServiceName(OtherWorkspace), Workspace: OtherWorkspace}
	}
	return RowKey{Service: k.Service, Workspace: OtherWorkspace}
}

// pending returns the days to write, oldest first, with the current one.
func (r *Recorder) pending(now time.Time) []Day {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dayAt(now)
	days := make([]Day, len(r.days))
	for i, d := range r.days {
		days[i] = d.day
	}
	return days
}

// dirtyParts returns the numbers of the parts other than 0 that changed since
// they were written, and the number of all parts.
func (r *Recorder) dirtyParts(day Day) (dirty []int, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.find(day)
	if d == nil {
		return nil, 0
	}
	for i := 1; i < len(d.changed); i++ {
		if d.changed[i] != d.written[i] {
			dirty = append(dirty, i)
		}
	}
	return dirty, len(d.changed)
}

func (r *Recorder) find(day Day) *dayCounters {
	for _, d := range r.days {
		if d.day == day {
			return d
		}
	}
	return nil
}

// markWritten notes that a part was stored as it was at the given change.
func (r *Recorder) markWritten(day Day, part int, change uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.find(day); d != nil {
		d.written[part] = change
	}
}

// finish forgets a day whose objects are complete.
func (r *Recorder) finish(day Day) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = max(r.finished, day)
	r.days = slices.DeleteFunc(r.days, func(d *dayCounters) bool { return d.day <= day })
	_, end := day.Span(r.o.Zone)
	r.closed = slices.DeleteFunc(r.closed, func(e Ejection) bool { return !e.To.After(end) })
}

// ejections returns what touches the day, until the given moment.
func (r *Recorder) ejections(day Day, until time.Time) []Ejection {
	start, end := day.Span(r.o.Zone)
	var list []Ejection
	add := func(e Ejection) {
		e.To = earlier(e.To, end)
		if e.From.Before(end) && e.To.After(start) {
			list = append(list, e)
		}
	}
	for _, e := range r.closed {
		add(e)
	}
	for k, from := range r.open {
		add(Ejection{Service: k.service, Server: k.server, From: from, To: until})
	}
	slices.SortFunc(list, compareEjections)
	return list
}
