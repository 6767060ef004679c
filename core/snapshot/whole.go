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
	services := make(map[model.ServiceName]bool, len(o.Services))
	for _, s := range o.Services {
		services[s.Name] = true
	}
	m.serverReferences(o.Servers, services)
	m.routeReferences(o.Routes, services)
	m.object = Ref{}
}

func (m *mistakes) serverReferences(servers []Server, services map[model.ServiceName]bool) {
	byAddress := make(map[string]model.ServerID, len(servers))
	for _, s := range servers {
		m.object = s.Ref()
		m.require(services[s.Service], "service", s.Service, "an existing service")
		// Two servers with one address would exceed its slots.
		other, taken := byAddress[s.Address]
		m.require(!taken, "address", s.Address, "an address of its own; server "+string(other)+" has it")
		byAddress[s.Address] = s.ID
	}
}

func (m *mistakes) routeReferences(routes []Route, services map[model.ServiceName]bool) {
	byName := make(map[model.RouteName]Route, len(routes))
	for _, r := range routes {
		byName[r.Name] = r
	}
	matches := make(map[string]model.RouteName, len(routes))
	for _, r := range routes {
		m.object = r.Ref()
		m.require(services[r.Service], "service", r.Service, "an existing service")
		if r.IssueKeysFor != "" {
			target, ok := byName[r.IssueKeysFor]
			m.require(ok, "issueKeysFor", r.IssueKeysFor, "an existing route")
			m.require(!ok || !target.Repeatable, "issueKeysFor", r.IssueKeysFor, "a route that is not repeatable")
			// The owner that answers the lookup issues the key, and only a
			// pool of the same service has the same owner.
			m.require(!ok || target.Service == r.Service, "issueKeysFor", r.IssueKeysFor, "a route of the same service")
		}
		m.ambiguity(r, matches)
	}
}

// ambiguity reports a route that matches exactly what an earlier one does.
func (m *mistakes) ambiguity(r Route, matches map[string]model.RouteName) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"*"}
	}
	for _, method := range methods {
		key := method + " " + r.Host + strings.TrimSuffix(r.PathPrefix, "/")
		other, taken := matches[key]
		m.require(!taken || other == r.Name, "pathPrefix", r.PathPrefix, "a host, path and method that route "+string(other)+" does not match")
		matches[key] = r.Name
	}
}
