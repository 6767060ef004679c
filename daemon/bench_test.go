package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/standin/backend"
)

// BenchmarkPath compares a request sent directly to a backend server with one
// that goes through the owner's own entry (one hop) and through another entry
// (two hops). The times are whole exchanges over loopback, on all cores, with the stand-in's own
// cost in them.
func BenchmarkPath(b *testing.B) {
	f := newTimedFleet(b, 2, 8, backend.Distribution{Kind: backend.Fixed, Mean: time.Microsecond}, func(s *Settings) { s.Log.Level = "error" })
	owner := f.nodes[0].daemon.directory().Owners(model.PoolID{Service: "booking", DataCentre: "lagos-1"}, 1)[0]
	addresses := map[string]string{"direct": f.backends.Listings()[0].Address}
	for _, n := range f.nodes {
		if n.daemon.settings.Host.ID == owner.Host {
			addresses["one-hop"] = n.caller
		} else {
			addresses["two-hops"] = n.caller
		}
	}
	client := &http.Client{Transport: fleet.NewTransport(fleet.TransportOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerHost: 64})}
	for _, name := range []string{"direct", "one-hop", "two-hops"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					exchange(b, client, addresses[name])
				}
			})
		})
	}
}

func exchange(b *testing.B, client *http.Client, address string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/spaces/1", address), nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set(fleet.HeaderWorkspace, "gate")
	resp, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, resp.Header.Get(fleet.HeaderReason))
	}
}
