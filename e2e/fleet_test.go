package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/daemon"
	"github.com/agateusher/agateusher/internal/proof"
	"github.com/agateusher/agateusher/loadgen"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/platform"
)

const (
	hostCount    = 4
	serverCount  = "8"
	serverSlots  = 4
	dataCentre   = model.DataCentre("lagos-1")
	serviceName  = model.ServiceName("booking")
	deadline     = 2 * time.Second
	readyTimeout = 10 * time.Second
	stopNotice   = 300 * time.Millisecond
	// slowFactor makes the mean service time 200 ms, two thirds of stopNotice.
	slowFactor = 40
	testSecret = "0123456789abcdef-test"
)

// testFleet is a fleet of usherd processes with its platform and servers.
type testFleet struct {
	t        testing.TB
	platform string // address
	standins *loadgen.Standins
	servers  []backend.Listing
	hosts    []*host
	started  time.Time
}

// host is one usherd, which may be started several times.
type host struct {
	fleet    *testFleet
	settings daemon.Settings
	path     string

	mu      sync.Mutex
	program *program
	usable  bool // the load balancer sends requests to the host
	// unavailable lists the intervals in which the host was killed or paused.
	unavailable []interval
}

type interval struct{ from, to time.Time }

func newFleet(t testing.TB, seed uint64) *testFleet {
	f := &testFleet{t: t, started: time.Now()}
	f.platform = address(launchStandin(t, "platform", "--host-lag", "100ms"), standin.LinePlatform)
	lines := launchStandin(t, "backends", "--count", serverCount, "--prefix", "booking", "--slots", fmt.Sprint(serverSlots),
		"--queue", "2", "--mean", "5ms", "--seed", fmt.Sprint(seed))
	f.standins = loadgen.NewStandins(address(lines, standin.LineAdmin))
	var err error
	f.servers, err = f.standins.Servers(t.Context())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f.createHosts()
	for _, h := range f.hosts {
		h.start()
	}
	f.apply()
	f.awaitReady(f.hosts...)
	return f
}

func address(lines []standin.Line, kind standin.LineKind) string {
	for _, l := range lines {
		if l.Kind == kind {
			return l.Address
		}
	}
	return ""
}

// createHosts chooses the hosts' addresses, writes their settings files and
// publishes the host list.
func (f *testFleet) createHosts() {
	g := NewWithT(f.t)
	dir := f.t.TempDir()
	list := objectapi.HostList{}
	for i := range hostCount {
		var a [4]string
		for j := range a {
			var err error
			a[j], err = standin.FreeAddress()
			g.Expect(err).NotTo(HaveOccurred())
		}
		s := daemon.DefaultSettings()
		s.Host = daemon.HostSettings{ID: model.HostID(fmt.Sprintf("host-%d", i)), DataCentre: dataCentre, Region: "lagos"}
		s.Listeners = daemon.ListenerSettings{Caller: a[0], Fleet: a[1], Peer: a[2], Admin: a[3]}
		s.Platform.URL = "http://" + f.platform
		s.Fleet.Secrets, s.Keys.Secrets = []string{testSecret}, []string{testSecret}
		s.Stop.Notice = settings.Duration(stopNotice)
		raw, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		h := &host{fleet: f, settings: s, path: filepath.Join(dir, string(s.Host.ID)+".json")}
		g.Expect(os.WriteFile(h.path, raw, 0o600)).To(Succeed())
		f.hosts = append(f.hosts, h)
		list.Hosts = append(list.Hosts, objectapi.Host{
			ID: s.Host.ID, DataCentre: dataCentre, Region: "lagos", State: objectapi.HostLive,
			CallerAddress: a[0], FleetAddress: a[1], PeerAddress: a[2], AdminAddress: a[3],
		})
	}
	f.put("/admin/hosts", list)
}

// put sends a PUT request to the administrative API of the stand-in platform.
func (f *testFleet) put(path string, body any) {
	f.t.Helper()
	g := NewWithT(f.t)
	raw, err := json.Marshal(body)
	g.Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequest(http.MethodPut, "http://"+f.platform+path, bytes.NewReader(raw))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func (f *testFleet) setOutage(o platform.Outage) {
	f.put("/admin/faults", platform.Faults{Outage: o})
}

func (f *testFleet) apply() {
	g := NewWithT(f.t)
	client, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://" + f.platform})
	g.Expect(err).NotTo(HaveOccurred())
	o := snapshot.Objects{
		Services: []snapshot.Service{{
			Name: serviceName, Floor: snapshot.Floor{Share: 0.5, MinServers: 1}, Policy: snapshot.PolicyRidemark,
			DeadlineMs: int(deadline.Milliseconds()), RetryBudgetShare: 0.2, QueueLimit: 200, CancelPath: "/requests/{id}", Shards: 1,
		}},
		Routes: []snapshot.Route{
			{Name: "spaces", PathPrefix: "/spaces", Methods: []string{"GET"}, Service: serviceName, Repeatable: true},
			{Name: "payments", PathPrefix: "/payments", Methods: []string{"POST"}, Service: serviceName},
		},
		Workspaces: []snapshot.Workspace{{ID: "gate", Weight: 1}},
	}
	for _, l := range f.servers {
		o.Servers = append(o.Servers, snapshot.Server{ID: l.ID, Service: serviceName, DataCentre: dataCentre, Address: l.Address, Slots: serverSlots, Connections: 330, State: snapshot.ServerActive})
	}
	_, err = configstore.NewStore(client).Apply(f.t.Context(), snapshot.Change{ID: "e2e", Author: "test", Put: o}, 0)
	g.Expect(err).NotTo(HaveOccurred())
}

func (f *testFleet) awaitReady(hosts ...*host) {
	f.t.Helper()
	for _, h := range hosts {
		NewWithT(f.t).Eventually(h.ready).WithTimeout(readyTimeout).WithPolling(10*time.Millisecond).Should(BeTrue(), string(h.settings.Host.ID))
		h.setUsable(true)
	}
}

// owner returns the usable host that ranks first for the pool, or the first host
// if none is usable.
func (f *testFleet) owner() *host {
	var ids []model.HostID
	byID := map[model.HostID]*host{}
	for _, h := range f.hosts {
		if h.isUsable() {
			ids = append(ids, h.settings.Host.ID)
			byID[h.settings.Host.ID] = h
		}
	}
	top := ranking.Top(model.PoolID{Service: serviceName, DataCentre: dataCentre}.String(), ids, 1)
	if len(top) == 0 {
		return f.hosts[0]
	}
	return byID[top[0]]
}

// entries returns the caller addresses of the usable hosts, or of all hosts if
// none is usable.
func (f *testFleet) entries() []string {
	var list, all []string
	for _, h := range f.hosts {
		all = append(all, h.settings.Listeners.Caller)
		if h.isUsable() {
			list = append(list, h.settings.Listeners.Caller)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

func (f *testFleet) executions() []backend.Execution {
	g := NewWithT(f.t)
	logs, err := f.standins.Logs(context.Background(), f.servers, f.started)
	g.Expect(err).NotTo(HaveOccurred())
	var all []backend.Execution
	for _, l := range logs {
		g.Expect(l.Dropped).To(BeZero())
		all = append(all, l.Executions...)
	}
	return all
}

// check compares the operations with the execution logs and fails the test for
// violations, interrupted requests and broken invariants.
func (f *testFleet) check(operations []*proof.Operation) {
	count := map[proof.Kind]int{}
	byID := map[string]*proof.Operation{}
	for _, o := range operations {
		byID[o.ID] = o
	}
	for _, v := range proof.Check(operations, f.executions()) {
		if v.Kind == proof.LookupUnanswered && f.entryWasUnavailable(byID[v.Operation]) {
			continue
		}
		if count[v.Kind]++; count[v.Kind] <= 5 {
			f.t.Error(v)
		}
	}
	f.checkUninterrupted(operations)
	if len(count) > 0 {
		f.t.Errorf("violations: %v", count)
	}
	for _, h := range f.hosts {
		if n := h.current().log.count("invariant_violated"); n > 0 {
			f.t.Errorf("%s logged %d broken invariants:\n%s", h.settings.Host.ID, n, h.current().log.tail())
		}
	}
}

// checkUninterrupted fails the test for a request that received no whole response
// although its entry was neither killed nor paused. A planned stop must not
// interrupt requests.
func (f *testFleet) checkUninterrupted(operations []*proof.Operation) {
	for _, o := range operations {
		for _, s := range o.Requests {
			if s.Err != nil && !s.Abandoned && !f.entryWasUnavailable(&proof.Operation{Requests: []proof.Request{s}}) {
				f.t.Errorf("interrupted: %s through %s after %s: %v", o.ID, s.Entry, s.Ended.Sub(s.Sent), s.Err)
			}
		}
	}
}

// entryWasUnavailable reports whether an entry was killed or paused during one of
// the operation's requests to it. Such an entry cannot answer.
func (f *testFleet) entryWasUnavailable(o *proof.Operation) bool {
	for _, s := range o.Requests {
		for _, h := range f.hosts {
			if h.settings.Listeners.Caller == s.Entry && h.wasUnavailable(s.Sent, s.Ended) {
				return true
			}
		}
	}
	return false
}

func (h *host) start() {
	p := launch(h.fleet.t, nil, "usherd", "--settings", h.path)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.program = p
}

func (h *host) current() *program {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.program
}

func (h *host) ready() bool {
	resp, err := http.Get("http://" + h.settings.Listeners.Admin + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) isUsable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable
}

func (h *host) setUsable(usable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usable = usable
}

func (h *host) wasUnavailable(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.unavailable {
		if g.from.Before(to) && from.Before(g.to) {
			return true
		}
	}
	return false
}

func (h *host) recordUnavailable(from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = append(h.unavailable, interval{from, time.Now()})
}

// restart starts the daemon again and waits until it is ready.
func (h *host) restart() {
	h.start()
	h.fleet.awaitReady(h)
}

// kill kills the daemon and records the interval until its end.
func (h *host) kill() {
	from := time.Now()
	h.setUsable(false)
	h.current().kill()
	h.recordUnavailable(from)
}

// pause suspends the daemon's process for a time without its knowledge.
func (h *host) pause(d time.Duration) {
	from := time.Now()
	h.setUsable(false)
	h.current().signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.current().signal(syscall.SIGCONT)
	h.recordUnavailable(from)
	h.setUsable(true)
}

// stop stops the daemon as planned with the given number of stop signals. Backend
// servers are slow in that time, so that requests are in flight when the daemon's
// notice period ends.
func (h *host) stop(times int) {
	h.fleet.setLatencyFactor(slowFactor)
	time.Sleep(stopNotice)
	h.setUsable(false)
	for range times {
		h.current().signal(syscall.SIGTERM)
		time.Sleep(stopNotice / 3)
	}
	time.Sleep(stopNotice)
	h.fleet.setLatencyFactor(1)
	h.current().awaitStop()
}

// setLatencyFactor multiplies the backend servers' service times by a factor.
func (f *testFleet) setLatencyFactor(factor float64) {
	for _, l := range f.servers {
		_, err := f.standins.SetFaults(f.t.Context(), l.ID, backend.Faults{LatencyFactor: factor})
		NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	}
}
