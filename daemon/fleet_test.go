package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/platform"
)

// testFleet runs a stand-in platform, stand-in backend servers and daemons in the
// test process, on loopback.
type testFleet struct {
	t        testing.TB
	platform *platform.Platform
	store    *configstore.Store
	url      string
	backends *backend.Group
	nodes    []*testNode
}

type testNode struct {
	daemon *Daemon
	cancel context.CancelFunc
	done   chan error
	caller string
}

const testSecret = "0123456789abcdef-test"

// newTestFleet starts the given number of daemons (hosts) in the data centre
// lagos-1, where the service booking has the given number of backend servers. Their
// service time is exponential with a mean of 5 ms.
func newTestFleet(t testing.TB, hosts, servers int, configure func(*Settings)) *testFleet {
	t.Helper()
	return newTimedFleet(t, hosts, servers, backend.Distribution{Kind: backend.Exponential, Mean: 5 * time.Millisecond}, configure)
}

func newTimedFleet(t testing.TB, hosts, servers int, service backend.Distribution, configure func(*Settings)) *testFleet {
	t.Helper()
	g := NewWithT(t)
	f := &testFleet{t: t, platform: platform.New(platform.Options{HostLag: -1})}
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.url = server.URL
	client, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: server.URL})
	g.Expect(err).NotTo(HaveOccurred())
	f.store = configstore.NewStore(client)
	f.startBackends(servers, service)
	f.startNodes(hosts, configure)
	// The daemons stop together. If they stopped one after the other, each would
	// hand over its keys.
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.cancel()
		}
	})
	f.apply(f.objects())
	g.Eventually(func() bool { return f.ready() }).WithTimeout(5 * time.Second).Should(BeTrue())
	return f
}

func (f *testFleet) startBackends(n int, service backend.Distribution) {
	options := make([]backend.Options, n)
	for i := range options {
		options[i] = backend.Options{ID: model.ServerID(fmt.Sprintf("booking-%d", i)), QueueLimit: 4, ServiceTime: service, Seed: uint64(i + 1)}
	}
	group, err := backend.NewGroup("127.0.0.1:0", options)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = group.Serve(ctx) }()
	f.t.Cleanup(func() { cancel(); <-done })
	f.backends = group
}

func (f *testFleet) startNodes(n int, configure func(*Settings)) {
	var hosts []objectapi.Host
	for i := range n {
		s := testSettings(i, f.url)
		if configure != nil {
			configure(&s)
		}
		d, err := New(s, io.Discard)
		NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
		hosts = append(hosts, objectapi.Host{
			ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: objectapi.HostLive,
			CallerAddress: s.Listeners.Caller, FleetAddress: s.Listeners.Fleet, PeerAddress: s.Listeners.Peer, AdminAddress: s.Listeners.Admin,
		})
		f.nodes = append(f.nodes, &testNode{daemon: d, caller: s.Listeners.Caller, done: make(chan error, 1)})
	}
	f.platform.SetHosts(hosts)
	for _, node := range f.nodes {
		node.start(f.t)
	}
}

func (n *testNode) start(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.done <- n.daemon.Run(ctx); close(n.done) }()
	t.Cleanup(func() { cancel(); <-n.done })
}

func testSettings(i int, platformURL string) Settings {
	s := DefaultSettings()
	s.Host = HostSettings{ID: model.HostID(fmt.Sprintf("host-%d", i)), DataCentre: "lagos-1", Region: "lagos"}
	s.Listeners = ListenerSettings{Caller: freeAddress(), Fleet: freeAddress(), Peer: freeAddress(), Admin: freeAddress()}
	s.Platform.URL = platformURL
	s.Fleet.Secrets = []string{testSecret}
	s.Keys.Secrets = []string{testSecret}
	s.Stop.Notice = settings.Duration(200 * time.Millisecond)
	return s
}

func freeAddress() string {
	address, err := standin.FreeAddress()
	if err != nil {
		panic(err)
	}
	return address
}

func (f *testFleet) objects() snapshot.Objects {
	o := snapshot.Objects{
		Services: []snapshot.Service{{
			Name: "booking", Floor: snapshot.Floor{Share: 0.5, MinServers: 1}, Policy: snapshot.PolicyRidemark,
			DeadlineMs: 2000, RetryBudgetShare: 0.2, QueueLimit: 200, CancelPath: "/requests/{id}", Shards: 1,
		}},
		Routes: []snapshot.Route{
			{Name: "spaces", PathPrefix: "/spaces", Methods: []string{"GET"}, Service: "booking", Repeatable: true},
			{Name: "payments", PathPrefix: "/payments", Methods: []string{"POST"}, Service: "booking"},
		},
		Workspaces: []snapshot.Workspace{{ID: "gate", Weight: 1}},
	}
	for _, l := range f.backends.Listings() {
		o.Servers = append(o.Servers, snapshot.Server{ID: l.ID, Service: "booking", DataCentre: "lagos-1", Address: l.Address, Slots: 2, Connections: 330, State: snapshot.ServerActive})
	}
	return o
}

func (f *testFleet) apply(o snapshot.Objects) {
	f.t.Helper()
	_, err := f.store.Apply(context.Background(), snapshot.Change{ID: fmt.Sprint(time.Now().UnixNano()), Author: "test", Put: o}, 0)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
}

func (f *testFleet) ready() bool {
	for _, n := range f.nodes {
		resp, err := http.Get("http://" + n.daemon.settings.Listeners.Admin + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

type callResult struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

func send(method, address, path, key string, body []byte) (callResult, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	r.Header.Set(fleet.HeaderWorkspace, "gate")
	if key != "" {
		r.Header.Set(fleet.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return callResult{}, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, outcome: resp.Header.Get(fleet.HeaderOutcome), reason: resp.Header.Get(fleet.HeaderReason), body: content}, err
}

func issueKeys(t testing.TB, address string, n int) []string {
	t.Helper()
	r, err := send("POST", address, "/.well-known/agateusher/keys", "", fmt.Appendf(nil, `{"method":"POST","path":"/payments","count":%d}`, n))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(r.status).To(Equal(http.StatusOK), string(r.body))
	var keys fleet.KeysResponse
	NewWithT(t).Expect(json.Unmarshal(r.body, &keys)).To(Succeed())
	return keys.Keys
}

func (f *testFleet) executions() map[string]int {
	runs := map[string]int{}
	for _, l := range f.backends.Listings() {
		log, _ := f.backends.Server(l.ID).Executions(time.Time{})
		for _, e := range log {
			if e.Ran() && e.IdempotencyKey != "" {
				runs[e.IdempotencyKey]++
			}
		}
	}
	return runs
}

// Guards the path from entry to backend server: each entry answers lookups, and a
// request that is sent three times with one key, through different entries, is
// executed once and gets the same response each time.
func TestEndToEnd(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 4, 6, nil)
	for i := range 40 {
		r, err := send("GET", f.nodes[i%4].caller, "/spaces/7", "", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.outcome).To(Equal("answered"), "%+v", r)
	}
	keys := issueKeys(t, f.nodes[0].caller, 10)
	var wg sync.WaitGroup
	for i, key := range keys {
		bodies := make([][]byte, 3)
		for j := range 3 {
			wg.Go(func() {
				r, err := send("POST", f.nodes[(i+j)%4].caller, "/payments", key, []byte(`{"amount":5}`))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.outcome).To(Equal("answered"), "%+v", r)
				bodies[j] = r.body
			})
		}
		wg.Wait()
		g.Expect(bodies[1]).To(Equal(bodies[0]))
		g.Expect(bodies[2]).To(Equal(bodies[0]))
	}
	runs := f.executions()
	for _, key := range keys {
		g.Expect(runs[key]).To(Equal(1))
	}
}

// Guards against requests that reach a backend server with a missing or invalid key,
// or with a key that was used with another body.
func TestKeyFailures(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2, 2, nil)
	key := issueKeys(t, f.nodes[0].caller, 1)[0]
	forged := []byte(key)
	forged[len(forged)-2] ^= 1
	for _, c := range []struct{ key, reason string }{
		{"", "key-missing"}, {"garbage", "key-invalid"}, {string(forged), "key-invalid"},
	} {
		r, err := send("POST", f.nodes[1].caller, "/payments", c.key, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.status).To(Equal(http.StatusBadRequest))
		g.Expect(r.outcome).To(Equal("not-run"))
		g.Expect(r.reason).To(Equal(c.reason))
	}
	_, err := send("POST", f.nodes[1].caller, "/payments", key, []byte("a"))
	g.Expect(err).NotTo(HaveOccurred())
	r, err := send("POST", f.nodes[0].caller, "/payments", key, []byte("b"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(http.StatusUnprocessableEntity))
}

// Guards against a planned stop that waits for connections without a request:
// clients open connections ahead, the more the busier they are.
func TestUnusedConnectionsDoNotDelayStop(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2, 2, nil)
	n := f.nodes[0]
	for _, address := range []string{n.caller, n.daemon.settings.Listeners.Fleet} {
		c, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
	}
	n.cancel()
	g.Eventually(n.done).WithTimeout(4 * time.Second).Should(Receive(BeNil()))
}

// Guards against a planned stop that cuts requests in flight. The requests are sent
// to the other daemons' entries.
func TestPlannedStopFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 3, 6, nil)
	stopLoad := make(chan struct{})
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	for w := range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stopLoad:
					return
				default:
				}
				r, err := send("GET", f.nodes[1+w%2].caller, "/spaces/1", "", nil)
				if err != nil || r.outcome != "answered" {
					failures <- fmt.Sprintf("%v %+v", err, r)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.nodes[0].cancel()
	g.Eventually(f.nodes[0].done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	time.Sleep(300 * time.Millisecond)
	close(stopLoad)
	wg.Wait()
	close(failures)
	for x := range failures {
		t.Error(x)
	}
}
