package routing

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

func route(name, host, prefix string, methods ...string) snapshot.Route {
	return snapshot.Route{Name: model.RouteName(name), Host: host, PathPrefix: prefix, Methods: methods}
}

// Guards against prefix matches that end inside a path segment and against a
// wrong order of precedence between host, method and prefix length.
func TestMatch(t *testing.T) {
	table, err := Compile([]snapshot.Route{
		route("root", "", "/"),
		route("segments", "", "/segments", "GET"),
		route("segments-any", "", "/segments"),
		route("deep", "", "/segments/sukhumvit/"),
		route("hosted", "gate.example", "/segments"),
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cases := []struct{ host, method, path, want string }{
		{"a.example", "GET", "/", "root"},
		{"a.example", "GET", "/segmentsX", "root"},
		{"a.example", "GET", "/segments", "segments"},
		{"a.example", "GET", "/segments/1", "segments"},
		{"a.example", "POST", "/segments/1", "segments-any"},
		{"a.example", "GET", "/segments/sukhumvit/7", "deep"},
		{"gate.example:8080", "GET", "/segments/1", "hosted"},
		{"gate.example", "GET", "/segments/sukhumvit", "deep"},
	}
	for _, c := range cases {
		t.Run(c.host+c.path+c.method, func(t *testing.T) {
			r, ok := table.Match(c.host, c.method, c.path)
			NewWithT(t).Expect(ok).To(BeTrue())
			NewWithT(t).Expect(string(r.Name)).To(Equal(c.want))
		})
	}
}

func TestCompileRefusesAmbiguousRoutes(t *testing.T) {
	_, err := Compile([]snapshot.Route{route("a", "", "/x", "GET", "PUT"), route("b", "", "/x/", "PUT")})
	var dup *DuplicateRouteError
	NewWithT(t).Expect(errors.As(err, &dup)).To(BeTrue())
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 170_000} {
		routes := make([]snapshot.Route, n)
		for i := range routes {
			routes[i] = route(fmt.Sprintf("r%d", i), fmt.Sprintf("h%d.example", i%500), fmt.Sprintf("/svc/%d", i))
		}
		table, err := Compile(routes)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := &routes[i%n]
				if _, ok := table.Match(r.Host, "GET", r.PathPrefix); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}
