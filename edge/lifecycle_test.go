package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin/consortium"
)

// Guards against a daemon that responds with 404 or reports that it is ready before
// it has a configuration.
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

// Guards against refusing requests that arrive between the start of a daemon and its
// first configuration.
func TestRequestRightAfterStart(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	s.store.SetDelay(150 * time.Millisecond)
	d := s.daemon(s.settings("h1"))
	s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusOK))
}

// Guards against a graceful shutdown that aborts a request or goes on accepting
// connections.
func TestGracefulShutdown(t *testing.T) {
	s := newSite(t)
	s.configure(3*time.Second, "")
	server := s.server("i-1", service)
	set := s.settings("h1")
	set.Stop.Notice = settings.Duration(300 * time.Millisecond)
	d := s.ready(s.daemon(set))
	server.SetServiceTime(700 * time.Millisecond)
	c, idle := s.dial(d), s.dial(d)
	c.send(request("POST", "/write/x", "w", "payload", ""))
	s.g.Eventually(func() int { return runCount("w", server) }).WithTimeout(time.Second).Should(Equal(1))
	d.stop()
	s.g.Eventually(func() int { return readiness(d) }).WithTimeout(time.Second).Should(Equal(http.StatusServiceUnavailable))
	// A request on an idle connection is still served; its response announces
	// that the connection is closed.
	server.SetServiceTime(0)
	idle.send(request("GET", "/read/x", "r", "", ""))
	a := idle.receive()
	s.g.Expect(a.status).To(Equal(http.StatusOK))
	s.g.Expect(a.close).To(BeTrue())
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	s.g.Eventually(d.exited).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
	d.exited <- nil
	_, err := net.DialTimeout("tcp4", d.settings.Listeners.Caller, time.Second)
	s.g.Expect(err).To(HaveOccurred())
}

// Guards against a request that arrives late in the grace period, is forwarded and then cut
// by the exit without a response. It is refused as soon as it is known that its response may
// be too late; one that is answered in time is served.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	const grace, work = 4 * time.Second, 700 * time.Millisecond
	const half, exit = grace / 2, grace - 500*time.Millisecond
	for _, c := range []struct {
		name string
		// begun, headed and whole are when the first bytes of the request, its header and
		// all of it are sent after the signal.
		begun, headed, whole time.Duration
		headers              string
		work                 time.Duration
		status               int
	}{
		{"whole early", 0, 100 * time.Millisecond, half - 300*time.Millisecond, "", work, http.StatusOK},
		{"body late", 0, 100 * time.Millisecond, exit - 400*time.Millisecond, "", work, http.StatusRequestTimeout},
		{"body late, begun before the signal", -100 * time.Millisecond, -50 * time.Millisecond, exit - 400*time.Millisecond, "", work, http.StatusRequestTimeout},
		{"header late", half - 200*time.Millisecond, half + 100*time.Millisecond, exit - 400*time.Millisecond, "", work, http.StatusRequestTimeout},
		{"body late, short deadline", 0, 100 * time.Millisecond, half + 300*time.Millisecond, "Agateusher-Deadline-Ms: 500\r\n", work / 10, http.StatusOK},
		{"body too late, short deadline", 0, 100 * time.Millisecond, exit - 300*time.Millisecond, "Agateusher-Deadline-Ms: 500\r\n", work / 10, http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(4*time.Second, "")
			server := s.server("i-1", service)
			server.SetServiceTime(c.work)
			set := s.settings("h1")
			set.Stop.Grace, set.Stop.Notice = settings.Duration(grace), settings.Duration(half)
			d := s.ready(s.daemon(set))
			signal := time.Now().Add(200 * time.Millisecond)
			time.AfterFunc(time.Until(signal), d.stop)
			time.Sleep(time.Until(signal.Add(c.begun)))
			caller := s.dial(d)
			body := strings.Repeat("x", 1000)
			text := request("POST", "/write/x", "w", body, c.headers)
			header := len(text) - len(body)
			// The caller may be answered before it has sent all.
			write := func(part string) { _, _ = io.WriteString(caller, part) }
			write(text[:header/2])
			time.Sleep(time.Until(signal.Add(c.headed)))
			write(text[header/2 : header+1])
			go func() {
				time.Sleep(time.Until(signal.Add(c.whole)))
				write(text[header+1:])
			}()
			a := caller.receive()
			s.g.Expect(a.status).To(Equal(c.status))
			s.g.Expect(a.close).To(BeTrue())
			if c.status == http.StatusOK {
				s.g.Expect(time.Since(signal)).To(BeNumerically("<", exit))
			} else {
				s.g.Expect(time.Since(signal)).To(BeNumerically("<", c.whole), "the rest of the body was awaited")
			}
			s.g.Eventually(d.exited).WithTimeout(grace).Should(Receive(BeNil()))
			d.exited <- nil
			if c.status != http.StatusOK {
				s.g.Expect(server.Requests()).To(BeEmpty())
			}
		})
	}
}

// Guards against a request without a body, or one behind others, that is forwarded late in
// the grace period and then cut by the exit: it is refused.
func TestLateRequestsWithoutBody(t *testing.T) {
	s := newSite(t)
	s.configure(4*time.Second, "")
	server := s.server("i-1", service)
	server.SetServiceTime(500 * time.Millisecond)
	set := s.settings("h1")
	set.Stop.Grace, set.Stop.Notice = settings.Duration(3*time.Second), settings.Duration(1500*time.Millisecond)
	d := s.ready(s.daemon(set))
	late, behind := s.dial(d), s.dial(d)
	const header = "GET /read/x HTTP/1.1\r\nHost: api.example\r\nAgateusher-Request-Id: late\r\n"
	d.stop()
	time.Sleep(1300 * time.Millisecond)
	_, err := io.WriteString(late, header)
	s.g.Expect(err).NotTo(HaveOccurred())
	for i := range 6 {
		// Requests that must not repeat wait for those before them.
		behind.send(request("POST", "/write/x", fmt.Sprint("w-", i), "payload", ""))
	}
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(late, "\r\n")
	s.g.Expect(err).NotTo(HaveOccurred())
	a := late.receive()
	s.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	s.g.Expect(runCount("late", server)).To(BeZero())
	for i := range 6 {
		a := behind.receive()
		id := fmt.Sprint("w-", i)
		switch a.status {
		case http.StatusOK:
			s.g.Expect(runCount(id, server)).To(Equal(1))
		default:
			s.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			s.g.Expect(runCount(id, server)).To(BeZero())
		}
		if a.close {
			break
		}
	}
}

// Guards against a configuration that does not reach all daemons in time, or that is
// lost while the store is unavailable.
func TestConfigurationPropagates(t *testing.T) {
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

// Guards against a draining server that goes on receiving requests.
func TestDrainingServer(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	draining, inService := s.server("i-1", service), s.server("i-2", service)
	d := s.ready(s.daemon(s.settings("h1")))
	s.register(draining, service, "draining")
	time.Sleep(2500 * time.Millisecond)
	before := len(draining.Requests())
	for range 10 {
		s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusOK))
	}
	s.g.Expect(draining.Requests()).To(HaveLen(before))
	s.g.Expect(inService.Requests()).NotTo(BeEmpty())
}

// Guards against requests that another server runs because it reuses the address of
// an old entry.
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
	for _, x := range server.Requests() {
		if x.Header.Get("Agateusher-Target-Instance") == "i-old" {
			s.g.Expect(x.Ran).To(BeFalse())
		}
	}
}

// Guards against evidence that is not shared: each daemon of a data centre would have
// to detect a failing server by its own requests.
func TestEvidenceIsShared(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service).SetBehaviour(always(consortium.Fail))
	s.server("i-2", service)
	d1, d2 := s.ready(s.daemon(s.settings("h1"))), s.ready(s.daemon(s.settings("h2")))
	time.Sleep(1500 * time.Millisecond) // until both daemons have read the registry
	for range 3 {
		s.read(d1, "r")
	}
	s.g.Eventually(d2.log.String).WithTimeout(time.Second).Should(ContainSubstring("event=server_suspected evidence=peer"))
}

// Guards against a connection that is never closed after its caller has disconnected
// with more pipelined requests than the daemon keeps in progress.
func TestLongPipelineIsAbandoned(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service).SetBehaviour(always(consortium.Hang))
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
	s.g.Eventually(d.exited).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
	d.exited <- nil
}

// Guards against an old configuration or an old set of servers in a daemon that
// cannot read the store, although other daemons of its data centre can.
func TestStoreRefusesOneDaemon(t *testing.T) {
	for _, fault := range []consortium.Fault{consortium.Busy, consortium.Limited, consortium.Reset, consortium.Silent} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(2*time.Second, "")
			s.server("i-1", service)
			// Each daemon reaches the store through an address of its own, so that one
			// of them can be refused. Either may be the relay.
			var doors []*consortium.Endpoint
			var daemons []*daemon
			for i := range 2 {
				door, err := s.store.NewEndpoint()
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

// Guards against calls of the store that grow with the fleet: a start of all daemons
// at once costs as many reads as the seed needs, whatever the number of daemons.
func TestStartOfManyDaemons(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	seed := s.settings("h0")
	seed.Seeds = []string{seed.Listeners.Admin}
	daemons := []*daemon{s.daemon(seed)}
	for i := range 7 {
		set := s.settings(fmt.Sprint("h", i+1))
		set.Seeds = seed.Seeds
		daemons = append(daemons, s.daemon(set))
	}
	for _, d := range daemons {
		s.ready(d)
	}
	time.Sleep(2 * time.Second)
	// One read, and a watch each 1.2 s while the daemons get to know each other and
	// the relay.
	s.g.Expect(s.store.Reads("config")).To(BeNumerically("<=", 6))
	s.g.Expect(s.store.Reads("servers")).To(BeNumerically("<=", 6))
	s.configure(3*time.Second, "")
	for _, d := range daemons {
		s.g.Eventually(d.log.String).WithTimeout(time.Second).Should(ContainSubstring(fmt.Sprintf("epoch=%d ", s.version)))
	}
}

// Guards against the load pattern "all hosts start again under traffic": a request
// that arrives right after the start must not wait for seeds that are down.
func TestRequestEndsTheWaitForSeeds(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	set := s.settings("h1")
	set.Seeds = []string{"127.0.0.1:9"}
	d := s.daemon(set)
	r := s.read(d, "id-1")
	s.g.Expect(r.status).To(Equal(http.StatusOK))
	s.g.Expect(r.took).To(BeNumerically("<", 250*time.Millisecond))
}

// Guards against a server that has left being used again after a restart: the content
// of a seed that the store does not serve is old.
func TestRestartDoesNotUseOldContent(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	left := s.server("i-1", service)
	door, err := s.store.NewEndpoint()
	s.g.Expect(err).NotTo(HaveOccurred())
	seed := s.settings("h0")
	seed.Store, seed.Seeds = door.Address(), []string{seed.Listeners.Admin}
	s.ready(s.daemon(seed))
	door.SetFault(consortium.Silent)
	s.store.Delete("servers", left.ID)
	s.server("i-2", service)
	time.Sleep(2 * time.Second)

	set := s.settings("h1")
	set.Seeds = seed.Seeds
	set.Host.DataCentre = "zone-b" // no heartbeats from the seed
	set.Regions["zone-b"] = "region"
	d := s.daemon(set)
	for i := range 20 {
		s.g.Expect(s.read(d, fmt.Sprint("id-", i)).status).To(Equal(http.StatusOK))
		time.Sleep(10 * time.Millisecond)
	}
	s.g.Expect(left.Requests()).To(BeEmpty())
}

// Guards against stale reads of configuration and servers, which have to be current
// within a time limit. Only the list of hosts may be read from a stale copy.
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

// Guards against a registration at every restart of a daemon: the store charges for
// each call.
func TestRestartDoesNotRegisterAgain(t *testing.T) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	s.server("i-1", service)
	set := s.settings("h1")
	d := s.ready(s.daemon(set))
	s.g.Eventually(func() int { return s.store.Changes("usher-hosts") }).Should(Equal(1))
	d.stop()
	s.g.Eventually(d.exited).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	d.exited <- nil
	s.ready(s.daemon(set))
	s.g.Consistently(func() int { return s.store.Changes("usher-hosts") }, "300ms").Should(Equal(1))
}

// Guards against requests that are refused just after a start although the first content
// arrives within a second, as after a restart of all hosts.
func TestRequestsWaitForTheFirstContent(t *testing.T) {
	s := newSite(t)
	s.configure(5*time.Second, "")
	s.server("i-1", service)
	s.store.SetFault(consortium.Reset)
	d := s.daemon(s.settings("h1"))
	restored := time.AfterFunc(800*time.Millisecond, func() { s.store.SetFault(consortium.Healthy) })
	defer restored.Stop()
	s.g.Expect(s.read(d, "r").status).To(Equal(http.StatusOK))
}
