package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/standin/backend"
)

// BenchmarkPath compares a request sent directly to a backend server with one sent
// through the owner's own entry (one hop) and one through another entry (two hops).
// The times are those of whole round trips over loopback, on all cores, and include
// the cost of the stand-in backend server.
func BenchmarkPath(b *testing.B) {
	f := newTimedFleet(b, 2, 8, backend.Distribution{Kind: backend.Fixed, Mean: time.Microsecond}, func(s *Settings) { s.Log.Level = "error" })
	owner := f.nodes[0].daemon.directory().Owners(model.PoolID{Service: "booking", DataCentre: "lagos-1"}, 1)[0]
	addresses := map[string][]string{}
	for _, l := range f.backends.Listings() {
		addresses["direct"] = append(addresses["direct"], l.Address)
	}
	for _, n := range f.nodes {
		if n.daemon.settings.Host.ID == owner.Host {
			addresses["one-hop"] = []string{n.caller}
		} else {
			addresses["two-hops"] = []string{n.caller}
		}
	}
	client := &http.Client{Transport: fleet.NewTransport(fleet.TransportOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerHost: 64})}
	for _, name := range []string{"direct", "one-hop", "two-hops"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			// Direct requests are spread over the servers, which would shed load
			// otherwise.
			var workers atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				list := addresses[name]
				address := list[int(workers.Add(1))%len(list)]
				for pb.Next() {
					roundTrip(b, client, address)
				}
			})
		})
	}
}

func roundTrip(b *testing.B, client *http.Client, address string) {
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
