package snapshot

import (
	"cmp"
	"slices"
)

// Validate checks the change without a snapshot: its ID, its author, the objects
// to put and the references to delete. The error is a *ValidationError that
// lists all violations.
func (c Change) Validate() error {
	v := &validator{}
	v.change(c)
	return v.err()
}

func (v *validator) change(c Change) {
	v.require(isName(c.ID), "id", c.ID, nameSyntax)
	v.require(c.Author != "" && isText(c.Author), "author", c.Author, "printable text of at most 512 bytes")
	v.require(c.Put.Len()+len(c.Delete) > 0, "put", "nothing", "at least one object to put or delete")
	v.objects(c.Put)
	put := refSet(c.Put.Refs())
	seen := map[Ref]bool{}
	for _, r := range c.Delete {
		v.object = r
		v.require(slices.Contains(Kinds, r.Kind), "kind", r.Kind, "a kind of configuration object")
		v.require(!put[r], "delete", r.Name, "an object that the change does not put")
		v.require(!seen[r], "delete", r.Name, "each object at most once")
		seen[r] = true
	}
	v.object = Ref{}
}

func refSet(refs []Ref) map[Ref]bool {
	set := make(map[Ref]bool, len(refs))
	for _, r := range refs {
		set[r] = true
	}
	return set
}

// Apply returns the snapshot that follows s: its epoch is one higher. A nil s
// is the empty configuration at epoch 0. The result is valid, including the
// references between objects. The error is a *ValidationError that lists all
// violations; references are checked only if the change is valid without them. s
// is not changed.
//
// Applying the same change to the same snapshot gives the same result on every
// host.
func (s *Snapshot) Apply(c Change) (*Snapshot, error) {
	if s == nil {
		s = &Snapshot{}
	}
	c.Put = c.Put.Normalized()
	v := &validator{}
	v.change(c)
	v.deletions(s.Objects, c.Delete)
	if err := v.err(); err != nil {
		return nil, err
	}
	next := &Snapshot{Epoch: s.Epoch + 1, ChangeID: c.ID, Objects: s.Objects.merge(c.Put, refSet(c.Delete))}
	v.changedReferences(next.Objects, c)
	if err := v.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// deletions reports deletions of objects that do not exist.
func (v *validator) deletions(o Objects, deleted []Ref) {
	for _, r := range deleted {
		v.object = r
		v.require(o.has(r), "delete", r.Name, "an existing object")
	}
	v.object = Ref{}
}

// has reports whether the objects, which must be ordered by name, include r.
func (o Objects) has(r Ref) bool {
	switch r.Kind {
	case KindService:
		return hasName(o.Services, r.Name)
	case KindServer:
		return hasName(o.Servers, r.Name)
	case KindRoute:
		return hasName(o.Routes, r.Name)
	case KindWorkspace:
		return hasName(o.Workspaces, r.Name)
	case KindReportLayout:
		return hasName(o.ReportLayouts, r.Name)
	}
	return false
}

func hasName[T object](objects []T, name string) bool {
	_, ok := slices.BinarySearchFunc(objects, name, func(o T, name string) int { return cmp.Compare(o.Ref().Name, name) })
	return ok
}

// merge returns o with the objects of put added or replaced and those in remove
// left out. o and put must be ordered by name.
func (o Objects) merge(put Objects, remove map[Ref]bool) Objects {
	return Objects{
		Services:      mergeKind(o.Services, put.Services, remove),
		Servers:       mergeKind(o.Servers, put.Servers, remove),
		Routes:        mergeKind(o.Routes, put.Routes, remove),
		Workspaces:    mergeKind(o.Workspaces, put.Workspaces, remove),
		ReportLayouts: mergeKind(o.ReportLayouts, put.ReportLayouts, remove),
	}
}

func mergeKind[T object](base, put []T, remove map[Ref]bool) []T {
	if len(put) == 0 && len(remove) == 0 {
		return base
	}
	out := make([]T, 0, len(base)+len(put))
	for _, o := range base {
		ref := o.Ref()
		for len(put) > 0 && put[0].Ref().Name < ref.Name {
			out, put = append(out, put[0]), put[1:]
		}
		if len(put) > 0 && put[0].Ref().Name == ref.Name {
			out, put = append(out, put[0]), put[1:]
			continue
		}
		if !remove[ref] {
			out = append(out, o)
		}
	}
	out = append(out, put...)
	if len(out) == 0 {
		return nil
	}
	return out
}
