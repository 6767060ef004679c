package catalog

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/workspace"
)

// FuzzMerge guards against an answer of another daemon that makes this one panic, or
// that replaces its content by older content.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"epoch":3,"config":{"epoch":3,"routes":[{"host":"a","prefix":"/","parts":null}]},"servers":{"i-1":null},"revision":12}`))
	f.Add([]byte(`{"epoch":3,"config":{"epoch":3,"keyPolicy":"later","workspaces":[{"name":"w","keys":["47DEQpj8HBSa-_TImW-5JCeuQeRkm5NMpJWZG3hSuFU"]},{}],"unreadableWorkspaces":[{"keysUnknown":true}]}}`))
	f.Add([]byte(`{"since":10,"removed":["i-1"],"revision":11,"serverAge":-9223372036854775808}`))
	f.Add([]byte(`{"revision":18446744073709551615,"servers":{"i-2":{"id":"i-2","warmup":9223372036854775807}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Snapshot
		if json.Unmarshal(data, &s) != nil {
			t.Skip("not a snapshot")
		}
		now := time.Now()
		cache := NewCache(nil)
		cache.putConfig(&Config{Epoch: 2}, 9, now)
		cache.putServers(map[string]*Server{"i-1": {ID: "i-1"}}, 10, 10, now)
		before := cache.Versions()
		cache.Merge(now, s)
		after := cache.Versions()
		if after.Epoch < before.Epoch || after.Revision < before.Revision {
			t.Fatalf("content went from %+v to %+v", before, after)
		}
		v := cache.View()
		v.Routes.Match("a", "/x")
		v.Workspaces.Decide(workspace.Request{Credentials: workspace.ParseCredentials([]string{"Bearer "}), Required: true}, func(workspace.Digest) bool { return false })
		cache.Snapshot(now, before)
		cache.ExpireLapsed(now)
	})
}
