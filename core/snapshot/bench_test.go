package snapshot

import (
	"fmt"
	"testing"

	"github.com/agateusher/agateusher/core/model"
)

// targetScale returns a snapshot with the number of objects of the target scale.
func targetScale(b *testing.B) *Snapshot {
	const services, servers, routes, workspaces = 5_000, 160_000, 170_000, 710_000
	var o Objects
	for i := range services {
		s := validObjects().Services[0]
		s.Name = model.ServiceName(fmt.Sprintf("service-%04d", i))
		o.Services = append(o.Services, s)
	}
	o.Servers = manyServers(servers)
	for i := range o.Servers {
		o.Servers[i].Service = o.Services[i%services].Name
	}
	for i := range routes {
		o.Routes = append(o.Routes, Route{Name: model.RouteName(fmt.Sprintf("route-%06d", i)), Host: "api.example", PathPrefix: fmt.Sprintf("/r%d", i), Methods: []string{"GET"}, Service: o.Services[i%services].Name, Repeatable: true})
	}
	for i := range workspaces {
		o.Workspaces = append(o.Workspaces, Workspace{ID: model.WorkspaceID(fmt.Sprintf("workspace-%06d", i)), Weight: 1})
	}
	s, err := (*Snapshot)(nil).Apply(Change{ID: "c0", Author: "a", Put: o})
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkTargetScale measures the time that a host needs for a change of one
// server at the target scale.
func BenchmarkTargetScale(b *testing.B) {
	s := targetScale(b)
	m, _, err := Split(s.Objects, nil)
	if err != nil {
		b.Fatal(err)
	}
	change := Change{ID: "c1", Author: "a", Put: Objects{Servers: []Server{s.Objects.Servers[77]}}}
	change.Put.Servers[0].State = ServerDraining
	for name, step := range map[string]func() error{
		"apply":   func() error { _, err := s.Apply(change); return err },
		"resplit": func() error { _, _, err := SplitChanged(s.Objects, m, change.Refs()); return err },
		"split":   func() error { _, _, err := Split(s.Objects, m); return err },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if err := step(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
