package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin/consortium"
)

// Guards against a daemon that answers 404, or says that it is ready, before it
// knows a configuration.
func TestWithoutConfiguration(t *testing.T) {
	s := newSite(t)
	s.store.SetFault(consortium.Silent)
	d := s.daemon(s.settings("h1"))
	a := s.read(d, "r")
	s.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	s.g.Expect(readiness(d)).To(Equal(http.StatusServiceUnavailable))
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	s.store.SetFault(consortium.Healthy)
	s.ready(d)
	s.g.Expect(s.read(d, "r2").status).To(Equal(http.StatusOK))
}

// Guards against requests that are refused in the moment between a daemon's start
// and its first configuration.
func TestRequestRightAfterStart(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	s.store.SetDelay(150 * time.Millisecond)
	d := s.daemon(s.settings("h1"))
	s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusOK))
}

// Guards against a planned stop that cuts a request or goes on taking new
// connections.
func TestPlannedStop(t *testing.T) {
	s := newSite(t)
	s.configure(3*time.Second, "")
	server := s.server("i-1", service)
	set := s.settings("h1")
	set.Stop.Notice = settings.Duration(300 * time.Millisecond)
	d := s.ready(s.daemon(set))
	server.SetWork(700 * time.Millisecond)
	c, idle := s.dial(d), s.dial(d)
	c.send(request("POST", "/write/x", "w", "payload", ""))
	s.g.Eventually(func() int { return runs("w", server) }).WithTimeout(time.Second).Should(Equal(1))
	d.stop()
	s.g.Eventually(func() int { return readiness(d) }).WithTimeout(time.Second).Should(Equal(http.StatusServiceUnavailable))
	// A request on a kept connection is still served, and told that the
	// connection ends.
	server.SetWork(0)
	idle.send(request("GET", "/read/x", "r", "", ""))
	a := idle.receive()
	s.g.Expect(a.status).To(Equal(http.StatusOK))
	s.g.Expect(a.close).To(BeTrue())
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	s.g.Eventually(d.ended).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
	d.ended <- nil
	_, err := net.DialTimeout("tcp4", d.settings.Listeners.Caller, time.Second)
	s.g.Expect(err).To(HaveOccurred())
}

// Guards against a configuration that is not in force everywhere in time, or
// that is lost while the store is away.
func TestConfigurationSpreads(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	d1, d2 := s.ready(s.daemon(s.settings("h1"))), s.ready(s.daemon(s.settings("h2")))
	added := `,"r-new":{"host":"api.example","path_prefix":"/new/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":500,"priority":2,"service":"registry","max_attempts":2}`
	s.configure(2*time.Second, added)
	changed := time.Now()
	for _, d := range []*daemon{d1, d2} {
		s.g.Eventually(func() int { return s.do(d, request("GET", "/new/x", "n", "", "")).status }).WithTimeout(2500 * time.Millisecond).Should(Equal(http.StatusOK))
	}
	s.g.Expect(time.Since(changed)).To(BeNumerically("<", 2500*time.Millisecond))
	s.store.SetFault(consortium.Silent)
	time.Sleep(time.Second)
	for _, d := range []*daemon{d1, d2} {
		s.g.Expect(s.do(d, request("GET", "/new/x", "n", "", "")).status).To(Equal(http.StatusOK))
	}
}

// Guards against a leaving server that goes on receiving requests.
func TestLeavingServer(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	leaving, staying := s.server("i-1", service), s.server("i-2", service)
	d := s.ready(s.daemon(s.settings("h1")))
	s.register(leaving, service, "draining")
	time.Sleep(2500 * time.Millisecond)
	before := len(leaving.Seen())
	for range 10 {
		s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusOK))
	}
	s.g.Expect(leaving.Seen()).To(HaveLen(before))
	s.g.Expect(staying.Seen()).NotTo(BeEmpty())
}

// Guards against requests that reach another service at a reused address.
func TestReusedAddress(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	server := s.server("i-1", service)
	spec, status := server.Entry(service, zone, "in_service", 2)
	s.store.Put("servers", "i-old", spec, status)
	d := s.ready(s.daemon(s.settings("h1")))
	for range 6 {
		s.g.Expect(s.write(d, "w").status).To(Equal(http.StatusOK))
	}
	for _, x := range server.Seen() {
		if x.Header.Get("Agateusher-Target-Instance") == "i-old" {
			s.g.Expect(x.Ran).To(BeFalse())
		}
	}
}

// Guards against a failure of a server that the other daemons of the data centre
// have to find out for themselves.
func TestEvidenceIsShared(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service).Behave(all(consortium.Fail))
	s.server("i-2", service)
	d1, d2 := s.ready(s.daemon(s.settings("h1"))), s.ready(s.daemon(s.settings("h2")))
	time.Sleep(1500 * time.Millisecond) // both have read the registry
	for range 3 {
		s.read(d1, "r")
	}
	s.g.Eventually(d2.log.String).WithTimeout(time.Second).Should(ContainSubstring("event=server_suspected evidence=peer"))
}

// Guards against a connection that stays for ever when its caller leaves with
// more pipelined requests than are kept in progress.
func TestLongPipelineIsAbandoned(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service).Behave(all(consortium.Hang))
	d := s.ready(s.daemon(s.settings("h1")))
	c := s.dial(d)
	var text strings.Builder
	for i := range 80 {
		text.WriteString(request("GET", "/read/x", fmt.Sprint("p", i), "", ""))
	}
	c.send(text.String())
	time.Sleep(200 * time.Millisecond)
	s.g.Expect(c.Conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
	_ = c.Close()
	time.Sleep(4 * time.Second)
	d.stop()
	s.g.Eventually(d.ended).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
	d.ended <- nil
}

// Guards against a daemon that the store refuses keeping an old configuration or
// an old set of servers, although others of its data centre are served.
func TestStoreRefusesOneDaemon(t *testing.T) {
	for _, fault := range []consortium.Fault{consortium.Busy, consortium.Limited, consortium.Reset, consortium.Silent} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			s := newSite(t)
			s.configure(2*time.Second, "")
			s.server("i-1", service)
			// Both daemons have a door of their own; either of them may be the relay.
			var doors []*consortium.Door
			var daemons []*daemon
			for i := range 2 {
				door, err := s.store.NewDoor()
				s.g.Expect(err).NotTo(HaveOccurred())
				set := s.settings(fmt.Sprint("h", i))
				set.Store = door.Address()
				doors = append(doors, door)
				daemons = append(daemons, s.ready(s.daemon(set)))
			}
			for refused := range doors {
				doors[refused].SetFault(fault)
				path := fmt.Sprint("/new", refused, "/")
				s.configure(2*time.Second, fmt.Sprintf(`,"r-new":{"host":"api.example","path_prefix":%q,"route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":2,"service":"registry","max_attempts":2}`, path))
				n := 0
				s.g.Eventually(func() int {
					n++
					return s.do(daemons[refused], request("GET", path, fmt.Sprint("n", refused, "-", n), "", "")).status
				}).WithTimeout(2500 * time.Millisecond).Should(Equal(http.StatusOK))
				doors[refused].SetFault(consortium.Healthy)
			}
		})
	}
}

// Guards against content that is bound by a time being read from stale copies.
func TestStaleReadsAreForHostsOnly(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	old := s.server("i-old", service)
	d := s.ready(s.daemon(s.settings("h1")))
	s.store.FreezeStaleReads()
	s.register(old, service, "draining")
	s.server("i-new", service)
	s.g.Eventually(func() string {
		return s.read(d, fmt.Sprint("r", time.Now().UnixNano())).header.Get("Agateusher-Response-Signature")
	}).WithTimeout(2 * time.Second).Should(HavePrefix("i-new."))
	s.g.Expect(s.store.StaleReads("usher-hosts")).To(BeNumerically(">", 0))
	s.g.Expect(s.store.StaleReads("servers") + s.store.StaleReads("config")).To(BeZero())
}

// Guards against a write to the store by each daemon that starts again: the
// store prices every call.
func TestRestartDoesNotRegisterAgain(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	set := s.settings("h1")
	d := s.ready(s.daemon(set))
	s.g.Eventually(func() int { return s.store.Changes("usher-hosts") }).Should(Equal(1))
	d.stop()
	s.g.Eventually(d.ended).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	d.ended <- nil
	s.ready(s.daemon(set))
	s.g.Consistently(func() int { return s.store.Changes("usher-hosts") }, "300ms").Should(Equal(1))
}
