package snapshot

import (
	"strings"

	"github.com/agateusher/agateusher/core/model"
)

// Validate checks every object and the references between objects. The error is
// a *ValidationError that lists all violations.
func (s *Snapshot) Validate() error {
	v := &validator{}
	v.objects(s.Objects)
	v.references(s.Objects)
	return v.err()
}

// references checks that every service and route that an object refers to
// exists, that no two servers have the same address, and that no two routes
// have the same method, host and path.
func (v *validator) references(o Objects) {
	v.serverReferences(o)
	v.routeReferences(o)
	v.object = Ref{}
}

// changedReferences checks references of objects that were valid before the
// change. It skips the kinds whose references the change cannot have broken.
func (v *validator) changedReferences(o Objects, c Change) {
	changed := map[Kind]bool{}
	for _, r := range c.Refs() {
		changed[r.Kind] = true
	}
	if changed[KindService] || changed[KindServer] {
		v.serverReferences(o)
	}
	if changed[KindService] || changed[KindRoute] {
		v.routeReferences(o)
	}
	v.object = Ref{}
}

func (o Objects) serviceNames() map[model.ServiceName]bool {
	services := make(map[model.ServiceName]bool, len(o.Services))
	for _, s := range o.Services {
		services[s.Name] = true
	}
	return services
}

// serverReferences checks the services and addresses of all servers. It runs at
// every change of a server, so it calls require only for violations: converting
// the arguments would cost time for every valid server.
func (v *validator) serverReferences(o Objects) {
	services := o.serviceNames()
	byAddress := make(map[string]model.ServerID, len(o.Servers))
	for i := range o.Servers {
		s := &o.Servers[i]
		if !services[s.Service] {
			v.object = s.Ref()
			v.require(false, "service", s.Service, "an existing service")
		}
		// Two servers with the same address would together send it more requests
		// than it has slots.
		if other, taken := byAddress[s.Address]; taken {
			v.object = s.Ref()
			v.require(false, "address", s.Address, "a unique address; server "+string(other)+" has the same")
		}
		byAddress[s.Address] = s.ID
	}
}

func (v *validator) routeReferences(o Objects) {
	services := o.serviceNames()
	byName := make(map[model.RouteName]*Route, len(o.Routes))
	for i := range o.Routes {
		byName[o.Routes[i].Name] = &o.Routes[i]
	}
	matches := make(map[matchKey]model.RouteName, len(o.Routes))
	for i := range o.Routes {
		r := &o.Routes[i]
		v.object = r.Ref()
		for _, name := range r.Services() {
			if !services[name] {
				v.require(false, "service", name, "an existing service")
			}
		}
		if r.IssueKeysFor != "" {
			v.issuedKeyRoute(r, byName[r.IssueKeysFor])
		}
		v.uniqueMatches(r, matches)
	}
}

// issuedKeyRoute checks target, the route that r issues keys for. target is nil if
// there is no such route.
func (v *validator) issuedKeyRoute(r, target *Route) {
	v.require(target != nil, "issueKeysFor", r.IssueKeysFor, "an existing route")
	if target == nil {
		return
	}
	v.require(!target.Repeatable, "issueKeysFor", r.IssueKeysFor, "a route that is not repeatable")
	// The owner that answers the request of r issues the key. Only a pool of the
	// same service has the same owner.
	v.require(target.Service == r.Service, "issueKeysFor", r.IssueKeysFor, "a route of the same service")
}

// matchKey identifies the requests that a route matches with one method.
type matchKey struct{ method, host, path string }

var anyMethod = []string{"*"}

// uniqueMatches reports a route with the same method, host and path as an earlier
// one. matches holds the earlier routes.
func (v *validator) uniqueMatches(r *Route, matches map[matchKey]model.RouteName) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = anyMethod
	}
	for _, method := range methods {
		key := matchKey{method, r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
		if other, taken := matches[key]; taken && other != r.Name {
			v.require(false, "pathPrefix", r.PathPrefix, "a host, path and method that route "+string(other)+" does not match")
		}
		matches[key] = r.Name
	}
}
