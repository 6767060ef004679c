package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/consortium"
)

// newRoute is a route that only later configurations have.
const newRoute = `,"r-new":{"host":"api.example","path_prefix":"/new/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"registry","max_attempts":2}`

// drill makes the store unavailable and lets it come back from a copy. Meanwhile rewritten
// runs, which writes again what was lost; the daemons see the store only after it.
func (s *site) drill(c consortium.Copy, rewritten func()) {
	s.store.SetFault(consortium.Silent)
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	rewritten()
	s.store.SetFault(consortium.Healthy)
}

// fill makes n changes that no daemon looks at.
func (s *site) fill(n int) {
	for i := range n {
		s.store.Put("filler", "x", fmt.Sprintf(`{"n":%d}`, i), "")
	}
}

// Guards against a configuration that never comes into force: after the store came back
// from an older copy, a watch goes on from a revision of the earlier era, which the store
// has given out again meanwhile. A daemon that starts between two returns knows one of them.
func TestConfigurationAfterOlderCopy(t *testing.T) {
	t.Parallel()
	for name, drills := range map[string]int{"once": 1, "twice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.server("i-1", service)
			s.configure(2*time.Second, "")
			daemons := []*daemon{s.ready(s.daemon(s.settings("h-1")))}
			for range drills {
				c := s.store.Copy()
				s.fill(20)
				s.configure(1900*time.Millisecond, "")
				time.Sleep(300 * time.Millisecond)
				s.drill(c, func() {
					s.version -= 3
					s.configure(1900*time.Millisecond, "")
					s.fill(5)
				})
				if drills > 1 {
					daemons = append(daemons, s.ready(s.daemon(s.settings(fmt.Sprint("h-", len(daemons)+1)))))
				}
			}
			c := s.store.Copy()
			s.fill(20)
			time.Sleep(200 * time.Millisecond)
			s.drill(c, func() {
				s.configure(2*time.Second, newRoute)
				s.fill(30)
			})
			for i, d := range daemons {
				s.g.Eventually(func() int { return s.do(d, request("GET", "/new/x", fmt.Sprint("n", i), "", "")).status }).
					WithTimeout(2500 * time.Millisecond).Should(Equal(http.StatusOK))
			}
		})
	}
}

// Guards against servers of the store's older copy that had left before, and against changes
// of the servers that are discarded because their revisions are lower than before. Daemons
// that start in between know only the copy, and what the others tell them.
func TestServersAfterOlderCopy(t *testing.T) {
	t.Parallel()
	for name, drills := range map[string]int{"once": 1, "twice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(2*time.Second, "")
			servers := map[string]*consortium.Server{}
			for _, id := range []string{"i-stays", "i-drains", "i-left", "i-later"} {
				servers[id] = s.server(id, service)
			}
			daemons := []*daemon{s.ready(s.daemon(s.settings("h-1")))}
			s.g.Eventually(s.registered).WithTimeout(3 * time.Second).Should(Equal(1))
			c := s.store.Copy()
			s.fill(20)
			s.register(servers["i-drains"], service, "draining")
			s.store.Delete("servers", "i-left")
			servers["i-joined"] = s.server("i-joined", service)
			time.Sleep(time.Second)
			for range drills {
				s.drill(c, func() {})
				daemons = append(daemons, s.ready(s.daemon(s.settings(fmt.Sprint("h-", len(daemons)+1)))))
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(700 * time.Millisecond)
			// Requests that would run on a server that left, had they been sent to it.
			play := func(d time.Duration) {
				for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
					s.read(daemons[i%len(daemons)], fmt.Sprint("r", time.Now().UnixNano()))
					time.Sleep(2 * time.Millisecond)
				}
			}
			count := func(id string) int { return len(servers[id].Requests()) }
			drained, left, joined := count("i-drains"), count("i-left"), count("i-joined")
			play(time.Second)
			s.g.Expect(count("i-drains")).To(Equal(drained), "it had said that it is draining")
			s.g.Expect(count("i-left")).To(Equal(left), "its entry was gone")
			s.g.Expect(count("i-joined")).To(BeNumerically(">", joined), "it joined after the copy was made")
			s.register(servers["i-joined"], service, "in_service")
			s.register(servers["i-later"], service, "draining")
			time.Sleep(2 * time.Second)
			later := count("i-later")
			joined = count("i-joined")
			play(2 * time.Second)
			s.g.Expect(count("i-later")).To(Equal(later), "it drains in the new era")
			s.g.Expect(count("i-joined")).To(BeNumerically(">", joined))
			s.g.Expect(count("i-drains")).To(Equal(drained))
			s.g.Expect(count("i-left")).To(Equal(left))
		})
	}
}

// Guards against all daemons reading the store when it comes back from an older copy: in a
// region the relay does so for the others, and in a data centre one daemon reads the registry.
func TestCallsAfterOlderCopy(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(2*time.Second, "")
			s.server("i-1", service)
			for i := range n {
				set := s.settings(fmt.Sprint("h-", i))
				set.Regions = map[model.DataCentre]model.Region{zone: "region", "zone-b": "region"}
				if i%2 == 1 {
					set.Host.DataCentre = "zone-b"
				}
				s.ready(s.daemon(set))
			}
			s.g.Eventually(s.registered).WithTimeout(3 * time.Second).Should(Equal(n))
			time.Sleep(11 * time.Second) // the first reads of the registry
			c := s.store.Copy()
			s.fill(5)
			time.Sleep(100 * time.Millisecond)
			config, servers, hosts, writes := s.store.Reads("config"), s.store.Reads("servers"), s.store.StaleReads("usher-hosts"), s.store.Changes("usher-hosts")
			s.drill(c, func() {})
			time.Sleep(5 * time.Second)
			t.Logf("%d daemons: %d, %d and %d reads of configuration, servers and registry, %d writes", n,
				s.store.Reads("config")-config, s.store.Reads("servers")-servers, s.store.StaleReads("usher-hosts")-hosts, s.store.Changes("usher-hosts")-writes)
			// 5 s of watches that wait 1.2 s, the reads of the new era, and calls that the
			// absence cut.
			s.g.Expect(s.store.Reads("config") - config).To(BeNumerically("<=", 12))
			s.g.Expect(s.store.Reads("servers") - servers).To(BeNumerically("<=", 12))
			s.g.Expect(s.store.StaleReads("usher-hosts")-hosts).To(BeNumerically("<=", 8), "two relays, three times each")
			s.g.Expect(s.store.Changes("usher-hosts")-writes).To(BeZero(), "nothing was lost")
		})
	}
}
