package snapshot

import (
	"strings"

	"github.com/agateusher/agateusher/core/model"
)

// Validate checks every object and the references between them. The error is
// a *ValidationError with all mistakes.
func (s *Snapshot) Validate() error {
	m := &mistakes{}
	m.objects(s.Objects)
	m.references(s.Objects)
	return m.err()
}

// references checks that services and routes exist that others refer to, and
// that no two servers or routes claim the same thing.
func (m *mistakes) references(o Objects) {
	m.serverReferences(o)
	m.routeReferences(o)
	m.object = Ref{}
}

// changedReferences is references for objects that were valid before the
// change: kinds whose references it cannot have broken are left out.
func (m *mistakes) changedReferences(o Objects, c Change) {
	changed := map[Kind]bool{}
	for _, r := range c.Refs() {
		changed[r.Kind] = true
	}
	if changed[KindService] || changed[KindServer] {
		m.serverReferences(o)
	}
	if changed[KindService] || changed[KindRoute] {
		m.routeReferences(o)
	}
	m.object = Ref{}
}

func (o Objects) serviceNames() map[model.ServiceName]bool {
	services := make(map[model.ServiceName]bool, len(o.Services))
	for _, s := range o.Services {
		services[s.Name] = true
	}
	return services
}

// serverReferences runs over all servers at every change of one; it avoids
// the conversions that require's arguments cost for objects without mistakes.
func (m *mistakes) serverReferences(o Objects) {
	services := o.serviceNames()
	byAddress := make(map[string]model.ServerID, len(o.Servers))
	for i := range o.Servers {
		s := &o.Servers[i]
		if !services[s.Service] {
			m.object = s.Ref()
			m.require(false, "service", s.Service, "an existing service")
		}
		// Two servers with one address would exceed its slots.
		if other, taken := byAddress[s.Address]; taken {
			m.object = s.Ref()
			m.require(false, "address", s.Address, "an address of its own; server "+string(other)+" has it")
		}
		byAddress[s.Address] = s.ID
	}
}

func (m *mistakes) routeReferences(o Objects) {
	services := o.serviceNames()
	byName := make(map[model.RouteName]*Route, len(o.Routes))
	for i := range o.Routes {
		byName[o.Routes[i].Name] = &o.Routes[i]
	}
	matches := make(map[match]model.RouteName, len(o.Routes))
	for i := range o.Routes {
		r := &o.Routes[i]
		m.object = r.Ref()
		if !services[r.Service] {
			m.require(false, "service", r.Service, "an existing service")
		}
		if r.IssueKeysFor != "" {
			m.keyRoute(r, byName[r.IssueKeysFor])
		}
		m.ambiguity(r, matches)
	}
}

// keyRoute checks the route that r issues keys for, nil if it does not exist.
func (m *mistakes) keyRoute(r, target *Route) {
	m.require(target != nil, "issueKeysFor", r.IssueKeysFor, "an existing route")
	if target == nil {
		return
	}
	m.require(!target.Repeatable, "issueKeysFor", r.IssueKeysFor, "a route that is not repeatable")
	// The owner that answers the lookup issues the key, and only a pool of the
	// same service has the same owner.
	m.require(target.Service == r.Service, "issueKeysFor", r.IssueKeysFor, "a route of the same service")
}

// match is what a route matches with one method.
type match struct{ method, host, path string }

var anyMethod = []string{"*"}

// ambiguity reports a route that matches exactly what an earlier one does.
func (m *mistakes) ambiguity(r *Route, matches map[match]model.RouteName) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = anyMethod
	}
	for _, method := range methods {
		key := match{method, r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
		if other, taken := matches[key]; taken && other != r.Name {
			m.require(false, "pathPrefix", r.PathPrefix, "a host, path and method that route "+string(other)+" does not match")
		}
		matches[key] = r.Name
	}
}
