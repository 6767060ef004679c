package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/standin/backend"
)

// Guards against a planned stop after which the next owner sends requests to an
// ejected server until it has detected the failure again.
func TestNextOwnerKeepsEjections(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2, 6, nil)
	id := model.PoolID{Service: "booking", DataCentre: "lagos-1"}
	first := f.nodes[0].daemon.directory().Owners(id, 1)[0].Host
	owner, next := f.nodes[0], f.nodes[1]
	if owner.daemon.settings.Host.ID != first {
		owner, next = next, owner
	}
	stalled := f.backends.Listings()[0].ID
	g.Expect(f.backends.Server(stalled).SetFaults(backend.Faults{Stall: true})).To(Succeed())
	g.Eventually(func() bool {
		_, _ = send("GET", owner.caller, "/spaces/1", "", nil)
		return isEjected(owner.daemon, stalled)
	}).WithTimeout(10 * time.Second).Should(BeTrue())

	owner.cancel()
	g.Eventually(owner.done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	stopped := time.Now()
	g.Expect(isEjected(next.daemon, stalled)).To(BeTrue())
	for range 50 {
		r, err := send("GET", next.caller, "/spaces/1", "", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.outcome).To(Equal("answered"))
	}
	log, _ := f.backends.Server(stalled).Executions(stopped)
	g.Expect(len(log)).To(BeNumerically("<=", 1), "only a probation request may reach the stalled server")
}

func isEjected(d *Daemon, id model.ServerID) bool {
	for _, v := range d.owner.Views(context.Background()) {
		for _, s := range v.Servers {
			if s.ID == id && (s.Status == pool.Ejected || s.Status == pool.Probation) {
				return true
			}
		}
	}
	return false
}
