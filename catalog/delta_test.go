package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

// Guards against routes that are lost, undone or kept when daemons exchange only the
// difference between two configurations, and against a whole configuration being sent
// for a small change.
func TestConfigDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		peer, local := NewCache(nil), NewCache(nil)
		routes := map[model.RouteName]Route{}
		for i := range 40 {
			name := model.RouteName(fmt.Sprint("r-", i))
			routes[name] = Route{Name: name, Host: "a", Prefix: fmt.Sprintf("/%d/", i), Services: someService}
		}
		epoch := model.Epoch(0)
		for range rapid.IntRange(1, 2*maxHistory).Draw(t, "steps") {
			name := model.RouteName(fmt.Sprint("r-", rapid.IntRange(0, 45).Draw(t, "name")))
			if rapid.Bool().Draw(t, "remove") {
				delete(routes, name)
			} else {
				weight := float64(rapid.IntRange(1, 3).Draw(t, "weight"))
				routes[name] = Route{Name: name, Host: "b", Prefix: "/" + string(name) + "/", Services: []WeightedService{{Service: "s", Weight: weight}}}
			}
			epoch += model.Epoch(rapid.IntRange(1, 3).Draw(t, "gap"))
			next := &Config{Epoch: epoch, Limits: Limits{MaxHeaderBytes: int(epoch)}}
			for _, r := range routes {
				next.Routes = append(next.Routes, r)
			}
			peer.putConfig(next, Revision(epoch), now)
			if rapid.IntRange(0, 4).Draw(t, "pull") != 0 {
				continue
			}
			has := local.Versions()
			data, err := json.Marshal(peer.Snapshot(now, has))
			if err != nil {
				t.Fatal(err)
			}
			var e Snapshot
			if err := json.Unmarshal(data, &e); err != nil {
				t.Fatal(err)
			}
			if has.Epoch != 0 && epoch-has.Epoch <= 5 && e.ConfigSince == 0 {
				t.Fatalf("the whole configuration was sent for %d epochs", epoch-has.Epoch)
			}
			if !local.Merge(now, e) {
				t.Fatal("a difference to the own version was refused")
			}
			if changed := changedRoutes(local.View().Config, next); len(changed) > 0 || local.View().Config.Limits != next.Limits {
				t.Fatalf("the configurations differ in %v", changed)
			}
		}
	})
}

// Guards against a difference being applied to a configuration of another epoch.
func TestMergeRefusesForeignConfigDifferences(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	cache := NewCache(nil)
	difference := Snapshot{Config: &Config{Epoch: 9}, Epoch: 9, ConfigSince: 8, RemovedRoutes: []model.RouteName{"r"}}
	g.Expect(cache.Merge(now, difference)).To(BeFalse())
	cache.putConfig(&Config{Epoch: 7, Routes: []Route{{Name: "r", Services: someService}}}, 7, now)
	g.Expect(cache.Merge(now, difference)).To(BeFalse())
	cache.putConfig(&Config{Epoch: 10, Routes: []Route{{Name: "r", Services: someService}}}, 10, now)
	g.Expect(cache.Merge(now, difference)).To(BeTrue(), "older than the own content")
	g.Expect(cache.View().Config.Routes).To(HaveLen(1))
}
