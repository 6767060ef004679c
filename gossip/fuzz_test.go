package gossip

import (
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// FuzzDatagram guards against a datagram that makes a daemon panic, or that takes a
// live member out of the table.
func FuzzDatagram(f *testing.F) {
	for _, m := range []*gen.Gossip{
		{Host: "b", DataCentre: "x", Region: "r", Incarnation: "1", Outstanding: []uint64{1}, Observations: []*gen.Observation{{Kind: 99}}},
		{Host: "b", DataCentre: "y", RegionRelay: true, Epoch: 1 << 63},
		{DataCentre: "x", LoadsFrom: "y", Loads: []*gen.ServerLoad{{Server: 1, Failing: 1 << 31}}},
		{Host: "b", DataCentre: "y", PermitRequest: &gen.PermitRequest{Id: 1 << 63, Limit: -1}},
		{Host: "b", DataCentre: "x", PermitReply: &gen.PermitReply{Id: 1, WaitMs: 1 << 31}},
		{},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &gen.Gossip{}
		if proto.Unmarshal(data, m) != nil {
			t.Skip("not a datagram")
		}
		r := &recorder{peerOutstanding: map[model.HostID][]uint64{}}
		g, err := Listen(Host{ID: "a", DataCentre: "x", Region: "r", Address: "127.0.0.1:0"}, "1", r, log)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = g.socket.Close() }()
		g.handle(&gen.Gossip{Host: "live", DataCentre: "x", Region: "r", Incarnation: "1"}, from)
		g.handle(m, from)
		if m.Host != "live" && g.LiveCount() < 2 {
			t.Fatal("a datagram of another host removed a live member")
		}
		g.Role()
	})
}
