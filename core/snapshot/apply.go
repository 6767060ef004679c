package snapshot

import (
	"cmp"
	"slices"
)

// Validate checks the change by itself: its ID, author, objects and
// references. The error is a *ValidationError with all mistakes.
func (c Change) Validate() error {
	m := &mistakes{}
	m.change(c)
	return m.err()
}

func (m *mistakes) change(c Change) {
	m.require(isName(c.ID), "id", c.ID, expectName)
	m.require(c.Author != "" && isText(c.Author), "author", c.Author, "printable text of at most 512 bytes")
	m.require(c.Put.Len()+len(c.Delete) > 0, "put", "nothing", "at least one object to put or delete")
	m.objects(c.Put)
	put := refSet(c.Put.Refs())
	seen := map[Ref]bool{}
	for _, r := range c.Delete {
		m.object = r
		m.require(slices.Contains(Kinds, r.Kind), "kind", r.Kind, "a kind of configuration object")
		m.require(!put[r], "delete", r.Name, "an object that the change does not put")
		m.require(!seen[r], "delete", r.Name, "an object named once")
		seen[r] = true
	}
	m.object = Ref{}
}

func refSet(refs []Ref) map[Ref]bool {
	set := make(map[Ref]bool, len(refs))
	for _, r := range refs {
		set[r] = true
	}
	return set
}

// Apply returns the snapshot that follows s: its epoch is one higher. A nil s
// is the empty configuration at epoch 0. The result is valid as a whole; the
// error is a *ValidationError with all mistakes. s is not changed.
//
// Applying the same change to the same snapshot gives the same result on every
// host.
func (s *Snapshot) Apply(c Change) (*Snapshot, error) {
	if s == nil {
		s = &Snapshot{}
	}
	c.Put = c.Put.Normalized()
	m := &mistakes{}
	m.change(c)
	m.existing(s.Objects, c.Delete)
	if err := m.err(); err != nil {
		return nil, err
	}
	next := &Snapshot{Epoch: s.Epoch + 1, ChangeID: c.ID, Objects: s.Objects.merge(c.Put, refSet(c.Delete))}
	m.changedReferences(next.Objects, c)
	if err := m.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// existing reports deletions of objects that do not exist.
func (m *mistakes) existing(o Objects, deleted []Ref) {
	for _, r := range deleted {
		m.object = r
		m.require(o.has(r), "delete", r.Name, "an existing object")
	}
	m.object = Ref{}
}

// has reports whether the objects, ordered by name, include one.
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

// merge returns o with the put objects created or replaced and others removed.
// Both must be ordered by name.
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
