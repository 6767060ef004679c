package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// kindOrder is the order in which kinds are listed.
var kindOrder = []snapshot.Kind{
	snapshot.KindService, snapshot.KindServer, snapshot.KindRoute,
	snapshot.KindWorkspace, snapshot.KindReportLayout,
}

func compareRefs(a, b snapshot.Ref) int {
	return cmp.Or(
		cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
		cmp.Compare(a.Name, b.Name),
	)
}

// indexObjects returns each object under its reference.
func indexObjects(o snapshot.Objects) map[snapshot.Ref]any {
	index := map[snapshot.Ref]any{}
	for _, s := range o.Services {
		index[snapshot.Ref{Kind: snapshot.KindService, Name: string(s.Name)}] = s
	}
	for _, s := range o.Servers {
		index[snapshot.Ref{Kind: snapshot.KindServer, Name: string(s.ID)}] = s
	}
	for _, r := range o.Routes {
		index[snapshot.Ref{Kind: snapshot.KindRoute, Name: string(r.Name)}] = r
	}
	for _, w := range o.Workspaces {
		index[snapshot.Ref{Kind: snapshot.KindWorkspace, Name: string(w.ID)}] = w
	}
	for _, l := range o.ReportLayouts {
		index[snapshot.Ref{Kind: snapshot.KindReportLayout, Name: l.Name}] = l
	}
	return index
}

// selectKind returns only the objects of one kind.
func selectKind(o snapshot.Objects, kind snapshot.Kind) snapshot.Objects {
	switch kind {
	case snapshot.KindService:
		return snapshot.Objects{Services: o.Services}
	case snapshot.KindServer:
		return snapshot.Objects{Servers: o.Servers}
	case snapshot.KindRoute:
		return snapshot.Objects{Routes: o.Routes}
	case snapshot.KindWorkspace:
		return snapshot.Objects{Workspaces: o.Workspaces}
	case snapshot.KindReportLayout:
		return snapshot.Objects{ReportLayouts: o.ReportLayouts}
	}
	return snapshot.Objects{}
}

// selectObject returns only the named object, or a *NotFoundError.
func selectObject(o snapshot.Objects, ref snapshot.Ref) (snapshot.Objects, error) {
	switch v := indexObjects(selectKind(o, ref.Kind))[ref].(type) {
	case snapshot.Service:
		return snapshot.Objects{Services: []snapshot.Service{v}}, nil
	case snapshot.Server:
		return snapshot.Objects{Servers: []snapshot.Server{v}}, nil
	case snapshot.Route:
		return snapshot.Objects{Routes: []snapshot.Route{v}}, nil
	case snapshot.Workspace:
		return snapshot.Objects{Workspaces: []snapshot.Workspace{v}}, nil
	case snapshot.ReportLayout:
		return snapshot.Objects{ReportLayouts: []snapshot.ReportLayout{v}}, nil
	}
	return snapshot.Objects{}, &NotFoundError{Ref: ref}
}

// diffObjects lists what the change would do to the current objects. Objects
// that would stay as they are do not appear.
func diffObjects(current, put snapshot.Objects, deletes []snapshot.Ref) ([]*pb.ObjectDiff, error) {
	before, after := indexObjects(current), indexObjects(put)
	actions := map[snapshot.Ref]pb.ObjectDiff_Action{}
	for ref := range after {
		actions[ref] = pb.ObjectDiff_ACTION_CREATE
		if _, ok := before[ref]; ok {
			actions[ref] = pb.ObjectDiff_ACTION_REPLACE
		}
	}
	for _, ref := range deletes {
		if _, ok := before[ref]; !ok {
			return nil, &NotFoundError{Ref: ref}
		}
		actions[ref] = pb.ObjectDiff_ACTION_DELETE
	}
	var diffs []*pb.ObjectDiff
	for _, ref := range slices.SortedFunc(maps.Keys(actions), compareRefs) {
		fields, err := diffFields(before[ref], after[ref])
		if err != nil {
			return nil, fmt.Errorf("compare %s %s: %w", ref.Kind, ref.Name, err)
		}
		if len(fields) > 0 {
			diffs = append(diffs, &pb.ObjectDiff{Ref: RefToProto(ref), Action: actions[ref], Fields: fields})
		}
	}
	return diffs, nil
}

// diffFields compares two objects of one kind field by field, as JSON. A nil
// object has no fields.
func diffFields(before, after any) ([]*pb.FieldDiff, error) {
	old, err := jsonFields(before)
	if err != nil {
		return nil, err
	}
	changed, err := jsonFields(after)
	if err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range changed {
		names[name] = true
	}
	var diffs []*pb.FieldDiff
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(old[name], changed[name]) {
			diffs = append(diffs, &pb.FieldDiff{Field: name, Before: string(old[name]), After: string(changed[name])})
		}
	}
	return diffs, nil
}

func jsonFields(v any) (map[string]json.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	err = json.Unmarshal(data, &fields)
	return fields, err
}

// checkOnce returns a *RequestError if a change names an object twice, or names
// none.
func checkOnce(put snapshot.Objects, deletes []snapshot.Ref) error {
	count := len(put.Services) + len(put.Servers) + len(put.Routes) + len(put.Workspaces) + len(put.ReportLayouts) + len(deletes)
	if count == 0 {
		return &RequestError{Field: "put", Expected: "at least one object to create, replace or delete"}
	}
	named := indexObjects(put)
	for _, ref := range deletes {
		named[ref] = nil
	}
	if len(named) != count {
		return &RequestError{Field: "put", Expected: "each object once"}
	}
	return nil
}
