package edge_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// registered returns the number of hosts in the registry.
func (s *site) registered() int { return s.store.Count("usher-hosts") }

// Guards against daemons that are never in the registry again after the store came back
// from a copy without their entries: the issuers of each data centre divide the limits of
// workspaces by the hosts that are listed, while all vote.
func TestRegistrationIsLostWithTheCopy(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.limits(map[string]float64{"w": 100})
	daemons := s.quotaDaemons(2)
	s.g.Eventually(s.registered).WithTimeout(3 * time.Second).Should(Equal(2))
	c := s.store.Copy()
	daemons = append(daemons, s.quotaDaemonsFrom(2, 4)...)
	s.g.Eventually(s.registered).WithTimeout(3 * time.Second).Should(Equal(4))
	time.Sleep(1500 * time.Millisecond)
	s.drill(c, func() {})
	s.g.Expect(s.registered()).To(Equal(2))
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		share := 0.0
		for _, d := range daemons {
			share += d.node.QuotaShare()
		}
		s.g.Expect(share).To(BeNumerically("<=", 1.001), "the parts of the limits that are issued together")
	}
	s.g.Expect(s.registered()).To(Equal(4))
	s.g.Expect(s.store.Changes("usher-hosts")).To(BeNumerically("<=", 4+2+1), "only what was lost is written again")
}

// Guards against a daemon that takes itself for registered because other daemons list it
// after its heartbeats: it was started while the store was away, and restarted before the
// store was back.
func TestRegistrationAfterRestartWithoutStore(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	seed := s.settings("h-0")
	seed.Seeds = []string{seed.Listeners.Admin}
	s.ready(s.daemon(seed))
	s.g.Eventually(s.registered).WithTimeout(3 * time.Second).Should(Equal(1))
	time.Sleep(time.Second)
	s.store.SetFault(consortium.Busy)
	set := s.settings("h-1")
	set.Seeds = seed.Seeds
	d := s.ready(s.daemon(set))
	time.Sleep(time.Second) // its heartbeats arrive
	d.stop()
	s.g.Eventually(d.exited).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	d.exited <- nil
	s.ready(s.daemon(set))
	s.store.SetFault(consortium.Healthy)
	s.g.Eventually(s.registered).WithTimeout(5 * time.Second).Should(Equal(2))
}
