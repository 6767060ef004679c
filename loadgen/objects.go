package loadgen

import (
	"net/http"

	"github.com/agateusher/agateusher/core/snapshot"
)

// WorkspacesOf divides a total rate of requests per second among the workspaces
// of an objects file in proportion to their weights.
func WorkspacesOf(objects snapshot.Objects, rate float64) []Workspace {
	total := 0.0
	for _, w := range objects.Workspaces {
		total += weightOf(w)
	}
	list := make([]Workspace, len(objects.Workspaces))
	for i, w := range objects.Workspaces {
		list[i] = Workspace{ID: w.ID, RatePerSecond: rate * weightOf(w) / total}
	}
	return list
}

func weightOf(w snapshot.Workspace) float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

// OperationsOf returns one operation for each route of an objects file, with
// the route's first method (default GET). The non-repeatable routes together
// receive nonRepeatableShare of the requests, 0 to 1.
func OperationsOf(objects snapshot.Objects, nonRepeatableShare float64) []Operation {
	repeatable := 0
	for _, route := range objects.Routes {
		if route.Repeatable {
			repeatable++
		}
	}
	nonRepeatable := len(objects.Routes) - repeatable
	list := make([]Operation, len(objects.Routes))
	for i, route := range objects.Routes {
		o := Operation{Method: http.MethodGet, Path: route.PathPrefix, Repeatable: route.Repeatable}
		if len(route.Methods) > 0 {
			o.Method = route.Methods[0]
		}
		if o.Repeatable {
			o.Weight = (1 - nonRepeatableShare) / float64(repeatable)
		} else {
			o.Weight = nonRepeatableShare / float64(nonRepeatable)
		}
		list[i] = o
	}
	return list
}
