package report

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// rowsPerPart bounds the number of rows of one object. A histogram with all buckets
// populated takes about 12 KB, so that a part stays below the 1 MB limit of a value.
const rowsPerPart = 64

// maxDays bounds the number of days whose counters wait to be written. Outages of the
// object API last up to hours; three days leave room for a weekend.
const maxDays = 3

// errDayDropped means that a day's counters were dropped before they were written
// completely, because more than maxDays days were waiting for the object API. The
// day's objects stay as they were last written.
var errDayDropped = errors.New("the day's counters were dropped")

// RecorderOptions configures a Recorder. Host and Incarnation identify its counters.
type RecorderOptions struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Zone is the time zone of the days; nil means UTC. All daemons and readers of
	// a fleet must use the same.
	Zone *time.Location
	// Started is the start time of the process.
	Started time.Time
	// MaxRows bounds the number of rows of a day; zero means DefaultMaxRows.
	MaxRows int
}

// Recorder holds the counters of one process. It reads no clock, writes nothing and is
// safe for concurrent use.
type Recorder struct {
	opts RecorderOptions
	mu   sync.Mutex
	// days holds the days that are not yet finished, oldest first.
	days []*dayCounters
	// lastFinishedDay is the last day whose counters were written completely or
	// dropped. Nothing is counted on it or on earlier days any more.
	lastFinishedDay Day
	droppedDays     uint64 // days dropped before they were written completely
	openEjections   map[serverKey]time.Time
	closedEjections []Ejection
	// droppedEjections counts the ejections beyond MaxEjections.
	droppedEjections uint64
}

// serverKey identifies a backend server.
type serverKey struct {
	service model.ServiceName
	server  model.ServerID
}

// dayCounters holds the rows of a day in the order of their creation. A row's index
// determines its part.
type dayCounters struct {
	day Day
	// maxRows is RecorderOptions.MaxRows.
	maxRows  int
	rowIndex map[RowKey]int
	rows     []*Row
	// partChanges is the number of changes of each part, writtenChanges the number
	// of changes that its stored object contains.
	partChanges, writtenChanges []uint64
}

// NewRecorder returns a recorder whose counters are zero.
func NewRecorder(o RecorderOptions) *Recorder {
	if o.Zone == nil {
		o.Zone = time.UTC
	}
	if o.MaxRows == 0 {
		o.MaxRows = DefaultMaxRows
	}
	return &Recorder{opts: o, openEjections: map[serverKey]time.Time{}}
}

// Record counts a request that ended now. Each request is recorded by one daemon, the
// entry.
func (r *Recorder) Record(now time.Time, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dayAt(now).row(s.RowKey).Add(s)
}

// AddRetries counts n retries or hedges. They are recorded by the pool's owner.
func (r *Recorder) AddRetries(now time.Time, k RowKey, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dayAt(now).row(k).Retries += n
}

// BeginEjection records the start of an ejection, unless the server is already ejected.
func (r *Recorder) BeginEjection(now time.Time, service model.ServiceName, server model.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := serverKey{service, server}
	if _, known := r.openEjections[k]; known {
		return
	}
	if len(r.openEjections) >= MaxEjections {
		r.droppedEjections++
		return
	}
	r.dayAt(now)
	r.openEjections[k] = now
}

// EndEjection records the end of an ejection, because the server was readmitted or
// removed, or because this host no longer owns its pool.
func (r *Recorder) EndEjection(now time.Time, service model.ServiceName, server model.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := serverKey{service, server}
	from, known := r.openEjections[k]
	if !known {
		return
	}
	delete(r.openEjections, k)
	r.dayAt(now)
	if len(r.closedEjections) >= MaxEjections {
		r.droppedEjections++
		return
	}
	r.closedEjections = append(r.closedEjections, Ejection{Service: service, Server: server, From: from, To: now})
}

// DroppedDays returns the number of days whose counters were dropped before they were
// written completely.
func (r *Recorder) DroppedDays() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedDays
}

// dayAt returns the counters of the day of now. If the day is already finished, it
// returns those of the day after the last finished day, because the objects of a
// finished day are not written again.
func (r *Recorder) dayAt(now time.Time) *dayCounters {
	day := DayOf(now, r.opts.Zone)
	if day <= r.lastFinishedDay {
		day = r.lastFinishedDay.Next()
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
		d := &dayCounters{day: day, maxRows: r.opts.MaxRows, rowIndex: map[RowKey]int{}, partChanges: []uint64{0}, writtenChanges: []uint64{0}}
		r.days = slices.Insert(r.days, i, d)
		r.dropOldestDays()
		return d
	}
	return r.days[i]
}

// dropOldestDays drops the oldest days' counters while there are more than maxDays.
func (r *Recorder) dropOldestDays() {
	for len(r.days) > maxDays {
		r.lastFinishedDay = r.days[0].day
		r.days = r.days[1:]
		r.droppedDays++
	}
}

// row returns the row of a key, to be changed by the caller, and creates it if needed.
// It counts the change of the row's part.
func (d *dayCounters) row(k RowKey) *Row {
	i, ok := d.rowIndex[k]
	if !ok && len(d.rows) >= d.maxRows {
		k = d.overflowKey(k)
		i, ok = d.rowIndex[k]
	}
	if !ok {
		i = len(d.rows)
		d.rowIndex[k] = i
		d.rows = append(d.rows, NewRow(k))
		if i/rowsPerPart == len(d.partChanges) {
			d.partChanges, d.writtenChanges = append(d.partChanges, 0), append(d.writtenChanges, 0)
		}
	}
	d.partChanges[i/rowsPerPart]++
	return d.rows[i]
}

// overflowKey returns the key under which further workspaces of a service are counted.
// Beyond 2*maxRows rows, all services share one row.
func (d *dayCounters) overflowKey(k RowKey) RowKey {
	if len(d.rows) >= 2*d.maxRows {
		return RowKey{Service: model.ServiceName(OtherWorkspace), Workspace: OtherWorkspace}
	}
	return RowKey{Service: k.Service, Workspace: OtherWorkspace}
}

// pendingDays returns the days to write, oldest first, including the current day.
func (r *Recorder) pendingDays(now time.Time) []Day {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dayAt(now)
	days := make([]Day, len(r.days))
	for i, d := range r.days {
		days[i] = d.day
	}
	return days
}

// dirtyParts returns the numbers of the parts other than part 0 that changed since they
// were written, and the total number of parts.
func (r *Recorder) dirtyParts(day Day) (dirty []int, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.findDay(day)
	if d == nil {
		return nil, 0
	}
	for i := 1; i < len(d.partChanges); i++ {
		if d.partChanges[i] != d.writtenChanges[i] {
			dirty = append(dirty, i)
		}
	}
	return dirty, len(d.partChanges)
}

// findDay returns the counters of the day, or nil if they are gone.
func (r *Recorder) findDay(day Day) *dayCounters {
	for _, d := range r.days {
		if d.day == day {
			return d
		}
	}
	return nil
}

// markWritten records that a part was stored with its content at the change number.
func (r *Recorder) markWritten(day Day, part int, change uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.findDay(day); d != nil {
		d.writtenChanges[part] = change
	}
}

// finish drops the counters of a day whose objects are complete, and the ejections that
// ended by the end of that day.
func (r *Recorder) finish(day Day) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFinishedDay = max(r.lastFinishedDay, day)
	r.days = slices.DeleteFunc(r.days, func(d *dayCounters) bool { return d.day <= day })
	_, end := day.Span(r.opts.Zone)
	r.closedEjections = slices.DeleteFunc(r.closedEjections, func(e Ejection) bool { return !e.To.After(end) })
}

// ejections returns the ejections that overlap the day. Those in progress end at until.
// The caller holds mu.
func (r *Recorder) ejections(day Day, until time.Time) []Ejection {
	start, end := day.Span(r.opts.Zone)
	var list []Ejection
	add := func(e Ejection) {
		e.To = earlier(e.To, end)
		if e.From.Before(end) && e.To.After(start) {
			list = append(list, e)
		}
	}
	for _, e := range r.closedEjections {
		add(e)
	}
	for k, from := range r.openEjections {
		add(Ejection{Service: k.service, Server: k.server, From: from, To: until})
	}
	slices.SortFunc(list, compareEjections)
	return list
}
