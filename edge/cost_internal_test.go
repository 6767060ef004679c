package edge

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/cost"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// costState returns the state of a daemon that knows one server, and what it publishes.
func costState() (*serverState, *[]*gen.Observation) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, published := newServerState(DefaultSettings(), log), &[]*gen.Observation{}
	s.publish = func(o *gen.Observation) { *published = append(*published, o) }
	s.setServers(&catalog.View{Servers: []catalog.Server{{ID: "i-1", StartedAtMs: 1, Service: "s", Slots: 2}}})
	return s, published
}

// Guards against attempts that do not tell the data centre what they are expected to cost,
// and against costs that the other daemons do not learn.
func TestCostsAreShared(t *testing.T) {
	g := NewWithT(t)
	a, published := costState()
	q := balance.Query{Service: "s", Request: cost.Request{Service: "s", Route: "r", Method: "POST", Path: "render"}}
	for range 50 {
		choice, number, _ := a.startAttempt(q, false)
		a.finishAttempt(attemptResult{number: number, choice: choice, verdict: Usable, latency: 800 * time.Millisecond})
	}
	a.startAttempt(q, false)
	started := (*published)[len(*published)-1]
	g.Expect(started.Kind).To(Equal(gen.Observation_KIND_STARTED))
	g.Expect(started.ExpectedMs).To(BeNumerically("~", 800, 100))
	a.tick()
	digest := (*published)[len(*published)-1]
	g.Expect(digest.Kind).To(Equal(gen.Observation_KIND_COSTS))

	b, _ := costState()
	g.Expect(b.expectedServiceTime(q.Request)).To(BeZero())
	b.applyPeerObservation("h2", digest)
	g.Expect(b.expectedServiceTime(q.Request)).To(BeNumerically("~", 800*time.Millisecond, 100*time.Millisecond))
	b.applyPeerObservation("h2", started)
	a.tick()
	g.Expect(*published).To(HaveLen(102), "the next digest is due after costDigestInterval")
	g.Expect(b.localLoads()[0].WorkMs).To(BeNumerically("~", 800, 200))
}
