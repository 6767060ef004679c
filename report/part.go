package report

import (
	"encoding/base32"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agateusher/agateusher/core/model"
)

// keyPrefix precedes the keys of all report objects.
const keyPrefix = "reports/"

// Part is the value of one object: the counters, or a part of them, of one host
// incarnation on one day. They are totals since the beginning of the day.
type Part struct {
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	Day         Day               `json:"day"`
	Part        int               `json:"part"`
	Rows        []PartRow         `json:"rows"`
	// The fields below are in part 0 only, which is written after the others.

	// Parts is the number of parts.
	Parts     int       `json:"parts,omitempty"`
	StartedAt time.Time `json:"startedAt,omitzero"`
	// CoveredUntil is the moment up to which everything is counted in the
	// parts, by the host's clock.
	CoveredUntil time.Time `json:"coveredUntil,omitzero"`
	// Complete means that nothing will be added: the day is over or the process
	// stopped as planned.
	Complete  bool       `json:"complete,omitempty"`
	Ejections []Ejection `json:"ejections,omitempty"`
	// DroppedEjections counts those that are missing in Ejections.
	DroppedEjections uint64 `json:"droppedEjections,omitempty"`
}

// PartRow is a Row as it is stored.
type PartRow struct {
	Service   model.ServiceName       `json:"service"`
	Workspace model.WorkspaceID       `json:"workspace"`
	Requests  uint64                  `json:"requests"`
	Answered  uint64                  `json:"answered"`
	Unknown   uint64                  `json:"unknown,omitempty"`
	Retries   uint64                  `json:"retries,omitempty"`
	NotRun    map[model.Reason]uint64 `json:"notRun,omitempty"`
	// Latency is the HdrHistogram V2 compressed encoding.
	Latency []byte `json:"latency"`
}

// PartError reports an object that is not a usable part.
type PartError struct {
	Key string
	Err error
}

// Error implements error.
func (e *PartError) Error() string { return fmt.Sprintf("report object %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.Err }

// dayPrefix precedes the keys of a day.
func dayPrefix(day Day) string { return keyPrefix + string(day) + "/" }

// hostPrefix precedes the keys of a host on a day.
func hostPrefix(day Day, host model.HostID) string {
	return dayPrefix(day) + segment(string(host)) + "/"
}

// partKey returns the key of a part.
func partKey(day Day, host model.HostID, incarnation model.Incarnation, part int) string {
	return hostPrefix(day, host) + segment(string(incarnation)) + "/" + strconv.Itoa(part)
}

// hostOfKey returns the host's segment of a part's key.
func hostOfKey(key string) model.HostID {
	segments := strings.Split(key, "/")
	return model.HostID(segments[min(2, len(segments)-1)])
}

// segment returns text that is valid as a part of a key. Names of other
// characters are encoded; the object itself holds the name.
func segment(name string) string {
	valid := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-'
	}
	if strings.Trim(name, ".") != "" && strings.IndexFunc(name, func(r rune) bool { return !valid(r) }) < 0 {
		return name
	}
	return "_" + base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString([]byte(name))
}

// part returns a part as it is now and its change number. Until is the moment
// up to which everything was counted before the call. Rows are encoded outside
// the lock, because requests wait for it. The error wraps errDayDropped if the
// day is no longer kept.
func (r *Recorder) part(day Day, number int, until time.Time) (Part, uint64, error) {
	p, rows, change, ok := r.copyPart(day, number, until)
	if !ok {
		return p, 0, errDayDropped
	}
	for _, row := range rows {
		stored, err := encodeRow(row)
		if err != nil {
			return p, 0, err
		}
		p.Rows = append(p.Rows, stored)
	}
	return p, change, nil
}

// copyPart returns a part without its rows, and a copy of these. It is false for
// a day that is no longer kept.
func (r *Recorder) copyPart(day Day, number int, until time.Time) (Part, []*Row, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Part{Host: r.o.Host, Incarnation: r.o.Incarnation, Day: day, Part: number}
	d := r.find(day)
	if d == nil {
		return p, nil, 0, false
	}
	if number == 0 {
		p.StartedAt, p.CoveredUntil = r.o.Started, until
		p.Ejections, p.DroppedEjections = r.ejections(day, until), r.droppedEjections
	}
	var rows []*Row
	for _, row := range d.rows[number*rowsPerPart : min((number+1)*rowsPerPart, len(d.rows))] {
		rows = append(rows, row.clone())
	}
	return p, rows, d.changed[number], true
}

func encodeRow(r *Row) (PartRow, error) {
	latency, err := r.Latency.Encode()
	if err != nil {
		return PartRow{}, fmt.Errorf("encode latencies of %s %s: %w", r.Service, r.Workspace, err)
	}
	return PartRow{
		Service: r.Service, Workspace: r.Workspace, Requests: r.Requests, Answered: r.Answered,
		Unknown: r.Unknown, Retries: r.Retries, NotRun: r.NotRun, Latency: latency,
	}, nil
}

func decodeRow(p PartRow) (*Row, error) {
	latency, err := hdrhistogram.DecodePacked(p.Latency)
	if err != nil {
		return nil, fmt.Errorf("decode latencies of %s %s: %w", p.Service, p.Workspace, err)
	}
	r := NewRow(RowKey{Service: p.Service, Workspace: p.Workspace})
	r.Requests, r.Answered, r.Unknown, r.Retries = p.Requests, p.Answered, p.Unknown, p.Retries
	maps.Copy(r.NotRun, p.NotRun)
	r.Latency = latency
	return r, nil
}

// decodePart reads a stored part. The error is a *PartError.
func decodePart(key string, value []byte) (Part, error) {
	var p Part
	if err := json.Unmarshal(value, &p); err != nil {
		return Part{}, &PartError{Key: key, Err: err}
	}
	if partKey(p.Day, p.Host, p.Incarnation, p.Part) != key {
		return Part{}, &PartError{Key: key, Err: errForeignPart}
	}
	return p, nil
}
