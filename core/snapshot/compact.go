package snapshot

import (
	"slices"
	"strings"

	"github.com/agateusher/agateusher/core/model"
)

// JoinCompact decodes the objects of a manifest in the form that daemons hold:
// without the workspaces at the defaults, which a daemon treats like workspaces
// that are not configured, and with equal strings stored once. It decodes one
// chunk at a time. At the target scale (710,000 workspaces, 160,000 servers)
// this halves the memory of the decoded objects. The error is a *ChunkError.
//
// Method lists are shared between routes and must not be changed.
func JoinCompact(m Manifest, get ChunkGetter) (Objects, error) {
	in := &interner{strings: map[string]string{}, lists: map[string][]string{}}
	o, err := joinAll(m, get, func(o *Objects) {
		o.Workspaces = slices.DeleteFunc(o.Workspaces, Workspace.atDefaults)
		in.objects(o)
	})
	return o, err
}

// atDefaults reports whether a workspace is treated like one that is not
// configured.
func (w Workspace) atDefaults() bool { return w.Weight == 1 && w.RatePerSecond == 0 }

// CompactAfter returns the compact form of the objects after a change, given
// the compact form before it. The change must be valid.
func (o Objects) CompactAfter(c Change) Objects {
	put, remove := c.Put.Normalized(), refSet(c.Delete)
	for _, w := range put.Workspaces {
		if w.atDefaults() {
			remove[w.Ref()] = true
		}
	}
	put.Workspaces = slices.DeleteFunc(put.Workspaces, Workspace.atDefaults)
	return o.merge(put, remove)
}

// interner returns one copy for equal strings and lists.
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
