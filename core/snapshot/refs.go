package snapshot

import (
	"cmp"
	"slices"
)

// Kinds lists all kinds, in their order in snapshots and messages.
var Kinds = []Kind{KindService, KindServer, KindRoute, KindWorkspace, KindReportLayout}

// String returns "Kind name".
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Ref returns the object's kind and name.
func (s Service) Ref() Ref { return Ref{Kind: KindService, Name: string(s.Name)} }

// Ref returns the object's kind and name.
func (s Server) Ref() Ref { return Ref{Kind: KindServer, Name: string(s.ID)} }

// Ref returns the object's kind and name.
func (r Route) Ref() Ref { return Ref{Kind: KindRoute, Name: string(r.Name)} }

// Ref returns the object's kind and name.
func (w Workspace) Ref() Ref { return Ref{Kind: KindWorkspace, Name: string(w.ID)} }

// Ref returns the object's kind and name.
func (l ReportLayout) Ref() Ref { return Ref{Kind: KindReportLayout, Name: l.Name} }

// object is any configuration object.
type object interface{ Ref() Ref }

// Refs returns the references of all objects, ordered by kind and then as in the
// slices.
func (o Objects) Refs() []Ref {
	refs := make([]Ref, 0, o.Len())
	refs = appendRefs(refs, o.Services)
	refs = appendRefs(refs, o.Servers)
	refs = appendRefs(refs, o.Routes)
	refs = appendRefs(refs, o.Workspaces)
	return appendRefs(refs, o.ReportLayouts)
}

func appendRefs[T object](refs []Ref, objects []T) []Ref {
	for _, o := range objects {
		refs = append(refs, o.Ref())
	}
	return refs
}

// Len returns the number of objects.
func (o Objects) Len() int {
	return len(o.Services) + len(o.Servers) + len(o.Routes) + len(o.Workspaces) + len(o.ReportLayouts)
}

// Refs returns the objects that the change creates, replaces or deletes.
func (c Change) Refs() []Ref { return append(c.Put.Refs(), c.Delete...) }

// Normalized returns a copy with defaults filled in and every kind ordered by
// name. Objects with equal names keep their order. Defaults: a server's state is
// active, a service has one shard, a workspace has weight 1.
func (o Objects) Normalized() Objects {
	n := Objects{
		Services:      sorted(o.Services),
		Servers:       sorted(o.Servers),
		Routes:        sorted(o.Routes),
		Workspaces:    sorted(o.Workspaces),
		ReportLayouts: sorted(o.ReportLayouts),
	}
	for i := range n.Services {
		n.Services[i].Shards = orDefault(n.Services[i].Shards, 1)
	}
	for i := range n.Servers {
		n.Servers[i].State = orDefault(n.Servers[i].State, ServerActive)
	}
	for i := range n.Routes {
		n.Routes[i].Methods = cloned(n.Routes[i].Methods)
	}
	for i := range n.Workspaces {
		n.Workspaces[i].Weight = orDefault(n.Workspaces[i].Weight, 1)
	}
	for i := range n.ReportLayouts {
		n.ReportLayouts[i].Columns = cloned(n.ReportLayouts[i].Columns)
	}
	return n
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// cloned copies a slice. An empty slice becomes nil, as after decoding.
func cloned[T any](s []T) []T {
	if len(s) == 0 {
		return nil
	}
	return slices.Clone(s)
}

func sorted[T object](objects []T) []T {
	out := cloned(objects)
	slices.SortStableFunc(out, byName)
	return out
}

func byName[T object](a, b T) int { return cmp.Compare(a.Ref().Name, b.Ref().Name) }
