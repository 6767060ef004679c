package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// MaxEjections bounds the number of ended ejections that a daemon stores, and that of
// ejections in progress. Further ones are counted as dropped.
const MaxEjections = 4096

// Ejection is a period during which a backend server was ejected, as recorded by one
// owner of its pool.
type Ejection struct {
	Service model.ServiceName `json:"service"`
	Server  model.ServerID    `json:"server"`
	// From may be on an earlier day than the report's.
	From time.Time `json:"from"`
	// To is the time of the flush if the ejection has not ended.
	To time.Time `json:"to"`
}

// EjectionTotals are the totals of a service's ejections on one day.
type EjectionTotals struct {
	// Count is the number of ejections that began on the day.
	Count uint64
	// Servers is the number of servers that were ejected at any time of the day.
	Servers uint64
	// OutOfService is the servers' total time out of service on the day.
	OutOfService time.Duration
}

// sumEjections returns the totals of each service between start and end. Overlapping
// ejections of a server count as one, because two owners may record the same ejection
// while the pool's owner changes.
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

// compareEjections orders ejections by service, server and start.
func compareEjections(a, b Ejection) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server), a.From.Compare(b.From))
}

// mergeOverlapping merges the ejection at index i with the following ones of the same
// server that overlap it. It returns the result and the index after the last of them.
func mergeOverlapping(list []Ejection, i int) (Ejection, int) {
	e := list[i]
	for i++; i < len(list) && list[i].Service == e.Service && list[i].Server == e.Server && !list[i].From.After(e.To); i++ {
		if list[i].To.After(e.To) {
			e.To = list[i].To
		}
	}
	return e, i
}

// addEjection adds the part of an ejection that is between start and end to the totals
// of its service.
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
