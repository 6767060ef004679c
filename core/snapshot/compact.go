package snapshot

import (
	"slices"
	"strings"

	"github.com/agateusher/agateusher/core/model"
)

// JoinCompact decodes the objects of a manifest in the compact form that daemons
// hold. It leaves out workspaces whose settings are the defaults, because a daemon
// treats them like workspaces that are not configured, and it stores equal strings
// once. It decodes one chunk at a time. At the target scale (710,000 workspaces,
// 160,000 servers) this halves the memory of the decoded objects. The error is a
// *ChunkError.
//
// Routes share their method lists, which must not be changed.
func JoinCompact(m Manifest, get ChunkGetter) (Objects, error) {
	in := &interner{strings: map[string]string{}, lists: map[string][]string{}}
	o, err := joinAll(m, get, func(o *Objects) {
		o.Workspaces = slices.DeleteFunc(o.Workspaces, Workspace.hasDefaults)
		in.objects(o)
	})
	return o, err
}

// hasDefaults reports whether all settings of the workspace are the defaults.
func (w Workspace) hasDefaults() bool { return w.Weight == 1 && w.RatePerSecond == 0 }

// CompactAfter applies a change to objects in compact form and returns the result
// in compact form. The change must be valid.
func (o Objects) CompactAfter(c Change) Objects {
	put, remove := c.Put.Normalized(), refSet(c.Delete)
	for _, w := range put.Workspaces {
		if w.hasDefaults() {
			remove[w.Ref()] = true
		}
	}
	put.Workspaces = slices.DeleteFunc(put.Workspaces, Workspace.hasDefaults)
	return o.merge(put, remove)
}

// interner returns the same copy for equal strings and for equal lists.
type interner struct {
	strings map[string]string
	lists   map[string][]string
}

func (in *interner) objects(o *Objects) {
	for i := range o.Services {
		s := &o.Services[i]
		s.Name, s.Policy = intern(in, s.Name), intern(in, s.Policy)
		s.CancelPath, s.ShedHeader = intern(in, s.CancelPath), intern(in, s.ShedHeader)
	}
	for i := range o.Servers {
		s := &o.Servers[i]
		s.Service, s.DataCentre, s.State = intern(in, s.Service), intern(in, s.DataCentre), intern(in, s.State)
	}
	for i := range o.Routes {
		r := &o.Routes[i]
		r.Host, r.Service, r.Methods = intern(in, r.Host), intern(in, r.Service), in.list(r.Methods)
		for j := range r.Split {
			r.Split[j].Service = intern(in, r.Split[j].Service)
		}
		r.IssueKeysFor = intern[model.RouteName](in, r.IssueKeysFor)
	}
}

func intern[S ~string](in *interner, s S) S {
	if known, ok := in.strings[string(s)]; ok {
		return S(known)
	}
	in.strings[string(s)] = string(s)
	return s
}

func (in *interner) list(values []string) []string {
	if len(values) == 0 {
		return nil
	}
	// Methods are tokens, which contain no space.
	key := strings.Join(values, " ")
	if known, ok := in.lists[key]; ok {
		return known
	}
	in.lists[key] = values
	return values
}
