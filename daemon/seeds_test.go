package daemon

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/platform"
)

// Guards against a new host that cannot start during a platform outage although the
// rest of the fleet is running. Outages last for hours, and hosts are replaced
// meanwhile.
func TestFreshHostStartsFromSeedsDuringOutage(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2, 2, nil)
	f.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})

	s := testSettings(7, f.url)
	for _, n := range f.nodes {
		x := n.daemon.settings
		s.Fleet.Seeds = append(s.Fleet.Seeds, SeedSettings{
			ID: x.Host.ID, DataCentre: x.Host.DataCentre, Region: x.Host.Region, Fleet: x.Listeners.Fleet, Peer: x.Listeners.Peer,
		})
	}
	d, err := New(s, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	fresh := &testNode{daemon: d, caller: s.Listeners.Caller, done: make(chan error, 1)}
	fresh.start(t)
	g.Eventually(func() string {
		r, err := send("GET", fresh.caller, "/spaces/1", "", nil)
		if err != nil {
			return err.Error()
		}
		return r.outcome
	}).WithTimeout(10 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal("answered"))
	status := d.Status(t.Context())
	g.Expect(status.Epoch).To(Equal(f.nodes[0].daemon.holder.Epoch()))
	g.Expect(status.Confirmed).To(BeFalse())
}
