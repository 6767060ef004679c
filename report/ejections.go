package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// MaxEjections bounds the ejections that a daemon remembers. Further ones are
// counted as dropped.
const MaxEjections = 4096

// Ejection is a time during which a backend server was ejected by the fleet, as
// seen by one owner of its pool.
type Ejection struct {
	Service model.ServiceName `json:"service"`
	Server  model.ServerID    `json:"server"`
	// From may be on an earlier day than that of the report.
	From time.Time `json:"from"`
	// To is the moment of the flush if the ejection goes on.
	To time.Time `json:"to"`
}

// EjectionTotals is what a report shows of a service's ejections.
type EjectionTotals struct {
	// Count of the ejections that began on the day.
	Count uint64
	// Servers that were ejected at any time of the day.
	Servers uint64
	// OutOfService is the total time out of service on the day.
	OutOfService time.Duration
}

// sumEjections returns the totals of each service between start and end. Times
// of one server that overlap count once, because two owners may see the same
// ejection while ownership changes.
func sumEjections(list []Ejection, start, end time.Time) map[model.ServiceName]EjectionTotals {
	list = slices.Clone(list)
	slices.SortFunc(list, compareEjections)
	totals := map[model.ServiceName]EjectionTotals{}
	for i := 0; i < len(list); {
		merged, next := mergeOverlapping(list, i)
		newServer := i == 0 || list[i-1].Service != merged.Service || list[i-1].Server != merged.Server
		addEjection(totals, merged, start, end, newServer)
		i = next
	}
	return totals
}

// compareEjections orders by service, server and beginning.
func compareEjections(a, b Ejection) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server), a.From.Compare(b.From))
}

// mergeOverlapping joins the ejection at i with those of the same server that
// begin before it ends, and returns the index after them.
func mergeOverlapping(list []Ejection, i int) (Ejection, int) {
	e := list[i]
	for i++; i < len(list) && list[i].Service == e.Service && list[i].Server == e.Server && !list[i].From.After(e.To); i++ {
		if list[i].To.After(e.To) {
			e.To = list[i].To
		}
	}
	return e, i
}

func addEjection(totals map[model.ServiceName]EjectionTotals, e Ejection, start, end time.Time, newServer bool) {
	if !e.To.After(start) || !e.From.Before(end) {
		return
	}
	t := totals[e.Service]
	if !e.From.Before(start) {
		t.Count++
	}
	if newServer {
		t.Servers++
	}
	t.OutOfService += earlier(e.To, end).Sub(later(e.From, start))
	totals[e.Service] = t
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
