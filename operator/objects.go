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

// compareRefs orders references by kind, in the order of snapshot.Kinds, and then
// by name.
func compareRefs(a, b snapshot.Ref) int {
	return cmp.Or(
		cmp.Compare(slices.Index(snapshot.Kinds, a.Kind), slices.Index(snapshot.Kinds, b.Kind)),
		cmp.Compare(a.Name, b.Name),
	)
}

// indexObjects returns the objects by their references.
func indexObjects(o snapshot.Objects) map[snapshot.Ref]any {
	index := make(map[snapshot.Ref]any, o.Len())
	addAll(index, o.Services)
	addAll(index, o.Servers)
	addAll(index, o.Routes)
	addAll(index, o.Workspaces)
	addAll(index, o.ReportLayouts)
	return index
}

func addAll[T interface{ Ref() snapshot.Ref }](index map[snapshot.Ref]any, objects []T) {
	for _, o := range objects {
		index[o.Ref()] = o
	}
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

// selectObject returns only the object that ref names, or a *NotFoundError.
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

// diffObjects returns the differences that a change would make to the current
// objects, ordered by kind and name. Objects that would not change are left out.
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
		actions[ref] = pb.ObjectDiff_ACTION_DELETE
	}
	var diffs []*pb.ObjectDiff
	for _, ref := range slices.SortedFunc(maps.Keys(actions), compareRefs) {
		fields, err := diffFields(before[ref], after[ref])
		if err != nil {
			return nil, fmt.Errorf("compare %s: %w", ref, err)
		}
		if len(fields) > 0 {
			diffs = append(diffs, &pb.ObjectDiff{Ref: RefToProto(ref), Action: actions[ref], Fields: fields})
		}
	}
	return diffs, nil
}

// diffFields compares the JSON fields of two objects of the same kind. A nil
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

// jsonFields returns the encoded JSON fields of v; none if v is nil.
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
