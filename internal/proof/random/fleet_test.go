package random

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/core/routing"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/modules/detector"
	"github.com/agateusher/agateusher/owner"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/relay"
	"github.com/agateusher/agateusher/telemetry"

	_ "github.com/agateusher/agateusher/modules/exporter" // registers exporter.none
)

const (
	hostCount   = 4
	serverCount = 8
	serverSlots = 4
	// deadline of the service. It leaves a lookup time for a second owner after
	// the first does not respond, which is detected in under 500 ms.
	deadline     = 1500 * time.Millisecond
	maxBodyBytes = 1 << 20
	dialTimeout  = 300 * time.Millisecond
	secret       = "0123456789abcdef-test"
)

// testFleet is four hosts, each with an entry and an owner, and eight stand-in
// servers, with a relay on every link between hosts and from hosts to servers.
type testFleet struct {
	t        testing.TB
	members  *members
	backends *backend.Group
	hosts    []*host
	tracing  *telemetry.Tracing
	log      telemetry.Logger
}

// host is one host and its current process.
type host struct {
	id            model.HostID
	fleet         *testFleet
	callerAddress string                          // address for callers, kept over restarts
	peerRelays    map[model.HostID]*relay.Relay   // to the fleet listeners of the others
	serverRelays  map[model.ServerID]*relay.Relay // to the backend servers

	mu      sync.Mutex
	process *process
}

// process is one incarnation of a host.
type process struct {
	owner        *owner.Owner
	entry        *entry.Entry
	transports   []*stricthttp.Transport
	callerServer *http.Server
	fleetServer  *http.Server
	address      string // of the fleet listener
}

func newFleet(t testing.TB, seed uint64) *testFleet {
	g := NewWithT(t)
	f := &testFleet{t: t, members: &members{live: map[model.HostID]bool{}, successors: map[model.Incarnation]model.HostID{}}}
	var err error
	f.log, err = telemetry.NewLogger(io.Discard, "error")
	g.Expect(err).NotTo(HaveOccurred())
	m, err := kernel.Load("exporter.none", nil)
	g.Expect(err).NotTo(HaveOccurred())
	f.tracing, err = telemetry.NewTracing(t.Context(), "test", "test", m.(telemetry.Exporter))
	g.Expect(err).NotTo(HaveOccurred())
	f.startBackends(seed)
	for i := range hostCount {
		address, err := standin.FreeAddress()
		g.Expect(err).NotTo(HaveOccurred())
		f.hosts = append(f.hosts, &host{id: model.HostID(fmt.Sprintf("host-%d", i)), fleet: f, callerAddress: address})
	}
	for i, h := range f.hosts {
		h.createRelays(seed + uint64(i)*1000)
	}
	for _, h := range f.hosts {
		h.start()
	}
	t.Cleanup(f.close)
	return f
}

func (f *testFleet) startBackends(seed uint64) {
	options := make([]backend.Options, serverCount)
	for i := range options {
		options[i] = backend.Options{
			ID: model.ServerID(fmt.Sprintf("booking-%d", i)), Slots: serverSlots, QueueLimit: i % 3, Seed: seed + uint64(i),
			ServiceTime: backend.Distribution{Kind: backend.Exponential, Mean: 3 * time.Millisecond},
			// Every second server finishes a request after its client disconnected.
			IgnoreClose: i%2 == 0,
		}
	}
	group, err := backend.NewGroup("127.0.0.1:0", options)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = group.Serve(ctx) }()
	f.t.Cleanup(func() { cancel(); <-done })
	f.backends = group
}

func (f *testFleet) close() {
	for _, h := range f.hosts {
		h.kill()
		for _, r := range h.relays() {
			r.Close()
		}
	}
}

func (f *testFleet) host(id model.HostID) *host {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// createRelays makes the host's relays. Those to other hosts get their targets when
// these start.
func (h *host) createRelays(seed uint64) {
	h.peerRelays, h.serverRelays = map[model.HostID]*relay.Relay{}, map[model.ServerID]*relay.Relay{}
	for i, other := range h.fleet.hosts {
		if other != h {
			h.peerRelays[other.id] = h.newRelay("127.0.0.1:1", seed+uint64(i))
		}
	}
	for i, l := range h.fleet.backends.Listings() {
		h.serverRelays[l.ID] = h.newRelay(l.Address, seed+100+uint64(i))
	}
}

func (h *host) newRelay(target string, seed uint64) *relay.Relay {
	r, err := relay.New(target, seed)
	NewWithT(h.fleet.t).Expect(err).NotTo(HaveOccurred())
	return r
}

func (h *host) relays() []*relay.Relay {
	var list []*relay.Relay
	for _, r := range h.peerRelays {
		list = append(list, r)
	}
	for _, r := range h.serverRelays {
		list = append(list, r)
	}
	return list
}

// start starts a new incarnation of the host and makes it a member.
func (h *host) start() {
	p := &process{}
	p.owner = owner.New(h.ownerOptions(p))
	client := &fleet.Client{Transport: p.newTransport(), Secrets: fleet.Secrets{[]byte(secret)}, Propagator: h.fleet.tracing.Propagator, MaxBody: maxBodyBytes}
	d := &directory{members: h.fleet.members, addresses: map[model.HostID]string{h.id: "127.0.0.1:1"}}
	for id, r := range h.peerRelays {
		d.addresses[id] = r.Address()
	}
	c := h.catalog()
	p.entry = entry.New(entry.Options{
		Host: h.id, Catalog: func() entry.Catalog { return c }, Directory: d, Local: p.owner, Client: client,
		Tracing: h.fleet.tracing, Log: h.fleet.log, Scope: tally.NoopScope, MaxBody: maxBodyBytes,
	})
	p.fleetServer, p.address = h.listen("127.0.0.1:0", owner.Handler(p.owner, owner.HandlerOptions{Secrets: fleet.Secrets{[]byte(secret)}, MaxBodyBytes: maxBodyBytes, Propagator: propagation.TraceContext{}}))
	p.callerServer, _ = h.listen(h.callerAddress, p.entry)
	for _, other := range h.fleet.hosts {
		if r := other.peerRelays[h.id]; r != nil {
			r.SetTarget(p.address)
		}
	}
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	h.fleet.members.set(h.id, true)
}

func (p *process) newTransport() *stricthttp.Transport {
	t := fleet.NewTransport(fleet.TransportOptions{DialTimeout: dialTimeout, IdleTimeout: 5 * time.Second, MaxIdlePerHost: 64})
	p.transports = append(p.transports, t)
	return t
}

func (h *host) ownerOptions(p *process) owner.Options {
	m, err := kernel.Load("detector.sequential", nil)
	NewWithT(h.fleet.t).Expect(err).NotTo(HaveOccurred())
	return owner.Options{
		Host: h.id, Incarnation: model.Incarnation(rand.Text()), Catalog: h.catalog(),
		NewDetector: m.(detector.Factory).NewDetector, Transport: p.newTransport(),
		Tracing: h.fleet.tracing, Log: h.fleet.log, Scope: tally.NoopScope, Observer: noObserver{},
		KeySecrets: idempotency.Secrets{[]byte(secret)}, KeyLimits: idempotency.DefaultLimits, MaxResponseBytes: maxBodyBytes,
	}
}

func (h *host) catalog() *catalog {
	routes, err := routing.Compile([]snapshot.Route{
		{Name: "spaces", PathPrefix: "/spaces", Methods: []string{"GET"}, Service: serviceName, Repeatable: true},
		{Name: "payments", PathPrefix: "/payments", Methods: []string{"POST"}, Service: serviceName},
	})
	NewWithT(h.fleet.t).Expect(err).NotTo(HaveOccurred())
	c := &catalog{routes: routes, service: snapshot.Service{
		Name: serviceName, Floor: snapshot.Floor{Share: 0.5, MinServers: 1}, Policy: snapshot.PolicyRidemark,
		DeadlineMs: int(deadline.Milliseconds()), RetryBudgetShare: 0.2, QueueLimit: 200, CancelPath: "/requests/{id}", Shards: 1,
	}}
	for _, l := range h.fleet.backends.Listings() {
		c.servers = append(c.servers, snapshot.Server{ID: l.ID, Service: serviceName, DataCentre: dataCentre, Address: h.serverRelays[l.ID].Address(), Slots: serverSlots, State: snapshot.ServerActive})
	}
	return c
}

func (h *host) listen(address string, handler http.Handler) (*http.Server, string) {
	ln, err := net.Listen("tcp", address)
	NewWithT(h.fleet.t).Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String()
}

// current returns the running process, nil if there is none.
func (h *host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

func (h *host) takeProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	h.process = nil
	return p
}

// kill ends the process without notice: all its connections are closed, and its
// key ledgers are lost.
func (h *host) kill() {
	p := h.takeProcess()
	if p == nil {
		return
	}
	_ = p.callerServer.Close()
	_ = p.fleetServer.Close()
	for _, r := range h.relays() {
		r.CutAll()
	}
	p.closeAll()
	h.fleet.members.set(h.id, false)
}

func (p *process) closeAll() {
	p.entry.Close()
	p.owner.Close()
	for _, t := range p.transports {
		t.CloseIdleConnections()
	}
}

// stopTimeout bounds a planned stop. The shutdown of net/http waits up to 5 s
// for a connection on which the client has sent nothing.
const stopTimeout = 8 * time.Second

// stop performs a planned stop: it waits for the notice period, hands the key
// ledgers to a successor and waits for the requests in flight.
func (h *host) stop(notice time.Duration) error {
	p := h.takeProcess()
	if p == nil {
		return nil
	}
	h.fleet.members.set(h.id, false)
	time.Sleep(notice)
	p.owner.SealKeys()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := h.handOver(ctx, p); err != nil {
		return err
	}
	for _, s := range []*http.Server{p.callerServer, p.fleetServer} {
		if err := s.Shutdown(ctx); err != nil {
			return fmt.Errorf("planned stop of %s: %w", h.id, err)
		}
	}
	for p.owner.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	p.closeAll()
	return ctx.Err()
}

func (h *host) handOver(ctx context.Context, p *process) error {
	for {
		all, err := p.owner.ExportKeys()
		if err == nil {
			return h.adoptKeys(all, p.owner.KeyIssuers())
		}
		if ctx.Err() != nil {
			return fmt.Errorf("handover of %s: %w", h.id, err)
		}
		time.Sleep(time.Millisecond)
	}
}

// adoptKeys passes the ledgers to the first live host that accepts them. If
// there is none, they are lost, as after a kill.
func (h *host) adoptKeys(all []idempotency.ExportedLedger, issuers []model.Incarnation) error {
	for _, id := range h.fleet.members.ranked(testPool, hostCount) {
		successor := h.fleet.host(id).current()
		if successor == nil || successor.owner.AdoptKeys(all) != nil {
			continue
		}
		h.fleet.members.setSuccessor(issuers, id)
		return nil
	}
	return nil
}

// noObserver is an owner.Observer that ignores events.
type noObserver struct{}

func (noObserver) ServerChanged(time.Time, model.PoolID, pool.ServerChanged) {}
func (noObserver) Retried(model.PoolID, model.WorkspaceID)                   {}
