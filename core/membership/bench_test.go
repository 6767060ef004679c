package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// largeTable returns a table of the target scale: 7,000 hosts in 15 data
// centres.
func largeTable(now time.Time) *Table {
	var list []ListedHost
	for i := range 7000 {
		list = append(list, ListedHost{Host: Host{ID: model.HostID(fmt.Sprintf("host-%04d", i)), Info: Info{
			DataCentre: model.DataCentre(fmt.Sprintf("lagos-%d", i%15)), Region: "lagos", FleetAddress: "10.0.0.1:7002", PeerAddress: "10.0.0.1:7003",
		}}})
	}
	t := New(Config{Self: list[0].Host, Incarnation: "a", Start: 1}, rand.New(rand.NewPCG(1, 1)), now)
	t.ApplyHostList(now, list)
	return t
}

// BenchmarkChange measures the handling of one changed host, including the new
// peers and the new view.
func BenchmarkChange(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	t := largeTable(now)
	from := Update{Host: "host-0015", Incarnation: "x", Version: Version{Start: 1}, State: Alive}
	b.ReportAllocs()
	for i := range uint64(b.N) {
		_, _ = t.Receive(now, Message{From: from, Updates: []Update{{Host: "host-0001", Version: Version{Start: 2 + i}, State: Alive, Incarnation: "y"}}})
		t.currentPeers()
		t.View()
	}
}

// BenchmarkHeartbeat measures the handling of a received heartbeat without changes.
func BenchmarkHeartbeat(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	t := largeTable(now)
	from := Update{Host: "host-0015", Incarnation: "x", Version: Version{Start: 1}, State: Alive}
	b.ReportAllocs()
	for range b.N {
		_, _ = t.Receive(now, Message{From: from})
	}
}

// BenchmarkHashes measures the hashing for one comparison. A host starts about one
// comparison in five seconds and answers about one.
func BenchmarkHashes(b *testing.B) {
	t := largeTable(time.Unix(1_700_000_000, 0))
	b.ReportAllocs()
	for range b.N {
		t.hashes()
	}
}
