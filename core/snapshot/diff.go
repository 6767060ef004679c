package snapshot

import "reflect"

// Delta is the difference between two sets of objects.
type Delta struct {
	// Put holds the objects that were added or changed, ordered by name.
	Put Objects
	// Delete names the objects that were removed.
	Delete []Ref
}

// Empty reports whether the two sets are equal.
func (d Delta) Empty() bool { return d.Put.Len() == 0 && len(d.Delete) == 0 }

// Diff returns the delta that turns from into to. Both must be ordered by name,
// as in a snapshot.
func Diff(from, to Objects) Delta {
	var d Delta
	d.Put.Services = diffKind(&d, from.Services, to.Services)
	d.Put.Servers = diffKind(&d, from.Servers, to.Servers)
	d.Put.Routes = diffKind(&d, from.Routes, to.Routes)
	d.Put.Workspaces = diffKind(&d, from.Workspaces, to.Workspaces)
	d.Put.ReportLayouts = diffKind(&d, from.ReportLayouts, to.ReportLayouts)
	return d
}

func diffKind[T object](d *Delta, from, to []T) []T {
	var put []T
	for _, t := range to {
		name := t.Ref().Name
		for len(from) > 0 && from[0].Ref().Name < name {
			d.Delete, from = append(d.Delete, from[0].Ref()), from[1:]
		}
		if len(from) > 0 && from[0].Ref().Name == name {
			if !reflect.DeepEqual(from[0], t) {
				put = append(put, t)
			}
			from = from[1:]
			continue
		}
		put = append(put, t)
	}
	for _, f := range from {
		d.Delete = append(d.Delete, f.Ref())
	}
	return put
}
