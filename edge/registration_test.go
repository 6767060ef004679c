package edge_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// registered returns the number of hosts in the registry.
func (s *site) registered() int { return s.store.Count("usher-hosts") }

// Guards against a daemon that takes itself for registered because other daemons list it
// after its heartbeats: it was started while the store was away, and restarted before the
// store was back.
func TestRegistrationAfterRestartWithoutStore(t *testing.T) {
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
