// Package routing finds the route of a request in a compiled, immutable table.
//
// The table is a hash index over (host, path prefix) into the route slice of the
// snapshot, which is not copied, so the table takes a few tens of bytes per route.
// A lookup tries the prefixes of the request's path from the longest to the
// shortest.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// noRoute ends a chain of routes with the same hash of host and prefix.
const noRoute = int32(-1)

// Table is a compiled route table. It is safe for concurrent use.
type Table struct {
	routes []snapshot.Route
	// heads holds the first route for each hash of host and prefix, next the
	// following route of the same hash. Both hold indices into routes.
	heads map[uint64]int32
	next  []int32
	// byName holds the indices of the routes, sorted by name: 4 bytes per route,
	// compared with about 38 for a map.
	byName []int32
}

// DuplicateRouteError reports two routes that match the same requests, or that
// have the same name.
type DuplicateRouteError struct {
	First, Second model.RouteName
}

// Error implements error.
func (e *DuplicateRouteError) Error() string {
	return fmt.Sprintf("routes %s and %s have the same name or match the same requests", e.First, e.Second)
}

// Compile builds a table over routes, which must not change afterwards. It
// returns a *DuplicateRouteError if two routes have the same name or match the
// same requests.
func Compile(routes []snapshot.Route) (*Table, error) {
	t := &Table{
		routes: routes,
		heads:  make(map[uint64]int32, len(routes)),
		next:   make([]int32, len(routes)),
		byName: make([]int32, len(routes)),
	}
	if err := t.sortNames(); err != nil {
		return nil, err
	}
	for i := range routes {
		if err := t.add(int32(i)); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// sortNames fills byName. It returns a *DuplicateRouteError if a name occurs
// twice.
func (t *Table) sortNames() error {
	for i := range t.byName {
		t.byName[i] = int32(i)
	}
	slices.SortFunc(t.byName, func(a, b int32) int { return cmp.Compare(t.routes[a].Name, t.routes[b].Name) })
	for i := 1; i < len(t.byName); i++ {
		if name := t.routes[t.byName[i]].Name; name == t.routes[t.byName[i-1]].Name {
			return &DuplicateRouteError{First: name, Second: name}
		}
	}
	return nil
}

func (t *Table) add(i int32) error {
	r := &t.routes[i]
	key := hash(r.Host, trimPrefix(r.PathPrefix))
	head, ok := t.heads[key]
	if !ok {
		head = noRoute
	}
	for j := head; j != noRoute; j = t.next[j] {
		if t.ambiguous(&t.routes[j], r) {
			return &DuplicateRouteError{First: t.routes[j].Name, Second: r.Name}
		}
	}
	t.next[i] = head
	t.heads[key] = i
	return nil
}

// ambiguous reports whether two routes match the same requests with the same
// precedence.
func (t *Table) ambiguous(a, b *snapshot.Route) bool {
	if a.Host != b.Host || trimPrefix(a.PathPrefix) != trimPrefix(b.PathPrefix) {
		return false
	}
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return len(a.Methods) == len(b.Methods)
	}
	return slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) })
}

// Match returns the route with the longest matching path prefix, preferring a
// route for the host over one for any host, and a route for the method over
// one for any method. The host may include a port.
func (t *Table) Match(host, method, path string) (*snapshot.Route, bool) {
	host = stripPort(host)
	for prefix := trimPrefix(path); ; prefix = parent(prefix) {
		if r := t.lookup(host, prefix, method); r != nil {
			return r, true
		}
		if host != "" {
			if r := t.lookup("", prefix, method); r != nil {
				return r, true
			}
		}
		if prefix == "" {
			return nil, false
		}
	}
}

// ByName returns the named route.
func (t *Table) ByName(name model.RouteName) (*snapshot.Route, bool) {
	i, ok := slices.BinarySearchFunc(t.byName, name, func(i int32, name model.RouteName) int { return cmp.Compare(t.routes[i].Name, name) })
	if !ok {
		return nil, false
	}
	return &t.routes[t.byName[i]], true
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

func (t *Table) lookup(host, prefix, method string) *snapshot.Route {
	i, ok := t.heads[hash(host, prefix)]
	if !ok {
		return nil
	}
	var anyMethod *snapshot.Route
	for ; i != noRoute; i = t.next[i] {
		r := &t.routes[i]
		if r.Host != host || trimPrefix(r.PathPrefix) != prefix {
			continue
		}
		if slices.Contains(r.Methods, method) {
			return r
		}
		if len(r.Methods) == 0 {
			anyMethod = r
		}
	}
	return anyMethod
}

func hash(host, prefix string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prefix)
	return d.Sum64()
}

// trimPrefix removes trailing slashes; the root prefix is the empty string.
func trimPrefix(p string) string { return strings.TrimRight(p, "/") }

func parent(prefix string) string {
	i := strings.LastIndexByte(prefix, '/')
	if i < 0 {
		return ""
	}
	return trimPrefix(prefix[:i])
}

func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
