package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/gen/agateusher/v1/agateusherv1connect"
)

// memoryStore is an in-memory ConfigStore.
type memoryStore struct {
	mu       sync.Mutex
	current  snapshot.Snapshot
	accepted []ChangeSummary
	// beforeApply is called once at the start of the next Apply, without the lock.
	beforeApply func()
	err         error
}

func (m *memoryStore) Load(context.Context) (snapshot.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.err
}

func (m *memoryStore) Apply(_ context.Context, c snapshot.Change, expected model.Epoch) (model.Epoch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if hook := m.beforeApply; hook != nil {
		m.beforeApply = nil
		m.mu.Unlock()
		hook()
		m.mu.Lock()
	}
	if m.err != nil {
		return 0, m.err
	}
	if expected != m.current.Epoch {
		return 0, &ConflictError{Expected: expected, Current: m.current.Epoch, Changes: m.accepted[expected:]}
	}
	next, err := m.current.Apply(c)
	if err != nil {
		return 0, err
	}
	m.current = *next
	summary := ChangeSummary{Epoch: m.current.Epoch, ChangeID: c.ID, Author: c.Author, Objects: c.Refs(), ObjectCount: len(c.Refs())}
	m.accepted = append(m.accepted, summary)
	return m.current.Epoch, nil
}

// staticFleet is a Fleet with the state that the test sets.
type staticFleet struct {
	status []HostStatus
	pools  []HostPools
}

func (f *staticFleet) Status(context.Context) ([]HostStatus, error) { return f.status, nil }
func (f *staticFleet) Pools(context.Context) ([]HostPools, error)   { return f.pools, nil }

// hostPools returns the report of host h1 that owns a pool with these servers.
func hostPools(states map[model.ServerID]adminapi.ServerState) HostPools {
	p := adminapi.Pool{Service: "booking", DataCentre: "lagos-1"}
	for id, state := range states {
		p.Servers = append(p.Servers, adminapi.Server{ID: id, State: state})
	}
	return HostPools{Host: Host{ID: "h1"}, Pools: []adminapi.Pool{p}}
}

const (
	aliceToken = "alice-secret-0123456789"
	bobToken   = "bob-secret-0123456789"
)

// harness runs the service on loopback over fake dependencies.
type harness struct {
	store *memoryStore
	fleet *staticFleet
	url   string
	logs  *logtest.Hook
}

func newHarness(t *testing.T, change func(*Options)) *harness {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &harness{store: &memoryStore{}, fleet: &staticFleet{}, logs: logtest.NewLocal(log)}
	o := Options{
		Store: r.store, Fleet: r.fleet, Log: log,
		Tokens: []Token{{Name: "alice", Secret: aliceToken}, {Name: "bob", Secret: bobToken}},
	}
	if change != nil {
		change(&o)
	}
	server := httptest.NewServer(NewHandler(o))
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
}

// bearer is an http.RoundTripper that sends the token with each request.
type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

func (r *harness) config(token string) agateusherv1connect.ConfigServiceClient {
	return agateusherv1connect.NewConfigServiceClient(&http.Client{Transport: bearer(token)}, r.url)
}

func (r *harness) fleetClient(token string) agateusherv1connect.FleetServiceClient {
	return agateusherv1connect.NewFleetServiceClient(&http.Client{Transport: bearer(token)}, r.url)
}

// put adds objects to the current configuration.
func (r *harness) put(g Gomega, o snapshot.Objects) {
	_, err := r.store.Apply(context.Background(), snapshot.Change{ID: "setup", Author: "setup", Put: o}, r.store.current.Epoch)
	g.Expect(err).NotTo(HaveOccurred())
}

// booking returns a service with the floor and n servers with two slots each.
func booking(floor snapshot.Floor, n int) snapshot.Objects {
	o := snapshot.Objects{Services: []snapshot.Service{{
		Name: "booking", Floor: floor, Policy: snapshot.PolicyRidemark, DeadlineMs: 1000, QueueLimit: 100,
	}}}
	for i := range n {
		o.Servers = append(o.Servers, snapshot.Server{
			ID: model.ServerID("b" + string(rune('1'+i))), Service: "booking", DataCentre: "lagos-1",
			Address: "127.0.0.1:900" + string(rune('1'+i)), Slots: 2, Connections: 10, State: snapshot.ServerActive,
		})
	}
	return o
}

// detail returns the first detail message of type T of a connect error.
func detail[T any](g Gomega, err error) T {
	var none T
	ce := new(connect.Error)
	g.Expect(err).To(BeAssignableToTypeOf(ce))
	for _, d := range err.(*connect.Error).Details() {
		m, valueErr := d.Value()
		g.Expect(valueErr).NotTo(HaveOccurred())
		if v, ok := m.(T); ok {
			return v
		}
	}
	g.Expect(err).To(BeNil(), "no detail of the wanted type")
	return none
}
