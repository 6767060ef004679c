package loadgen

import (
	"net/http"

	"github.com/agateusher/agateusher/core/snapshot"
)

// WorkspacesOf shares a total rate of requests per second between the
// workspaces of an objects file by their weights.
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
// the route's first method (default GET). The routes that must not repeat
// together have onceShare of the requests, 0 to 1.
func OperationsOf(objects snapshot.Objects, onceShare float64) []Operation {
	repeatable := 0
	for _, route := range objects.Routes {
		if route.Repeatable {
			repeatable++
		}
	}
	once := len(objects.Routes) - repeatable
	list := make([]Operation, len(objects.Routes))
	for i, route := range objects.Routes {
		o := Operation{Method: http.MethodGet, Path: route.PathPrefix, Repeatable: route.Repeatable}
		if len(route.Methods) > 0 {
			o.Method = route.Methods[0]
		}
		if o.Repeatable {
			o.Weight = (1 - onceShare) / float64(repeatable)
		} else {
			o.Weight = onceShare / float64(once)
		}
		list[i] = o
	}
	return list
}
