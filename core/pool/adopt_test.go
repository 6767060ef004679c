package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// Guards against a new owner that sends requests to servers that the leaving
// owner had ejected.
func TestAdoptedVerdictsAreKept(t *testing.T) {
	g := NewWithT(t)
	old := newFixture(4, 1, nil)
	old.ejectS0(10)
	ejections := old.pool.Ejections(at(1010))
	g.Expect(ejections).To(HaveLen(1))
	g.Expect(ejections[0].Remaining).To(Equal(pool.DefaultEjectionTime - time.Second))

	next := newFixture(4, 1, nil)
	out := next.pool.AdoptEjections(at(2000), ejections)
	g.Expect(decisionsOf[pool.ServerChanged](out)).To(HaveLen(1))
	g.Expect(next.server(2000, "s0").Status).To(Equal(pool.Ejected))
	g.Expect(next.server(2000, "s0").EjectedUntil).To(Equal(at(2000).Add(ejections[0].Remaining)))
	g.Expect(next.sendProbe(2010, "a", pool.Answered)).To(BeFalse())
	// The same ejections again change nothing.
	g.Expect(next.pool.AdoptEjections(at(2020), ejections)).To(BeEmpty())
}

// Guards against adopted ejections that take the pool below its floor.
func TestAdoptedVerdictsRespectTheFloor(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(4, 1, func(c *pool.Config) { c.Limits = floor.Limits{MinServers: 3} })
	f.pool.AdoptEjections(at(10), []pool.Ejection{{Server: "s0", Score: 2}, {Server: "s1", Score: 9, Remaining: time.Second}, {Server: "s2"}, {Server: "unknown"}})
	g.Expect(f.server(10, "s1").Status).To(Equal(pool.Ejected))
	for _, id := range []string{"s0", "s2", "s3"} {
		g.Expect(f.server(10, model.ServerID(id)).Status).To(Equal(pool.Serving), id)
	}
}
