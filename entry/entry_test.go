package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

// fakeFleet is a catalogue with one route and one pool, and a directory of
// owners.
type fakeFleet struct{ owners []fleet.Peer }

var testPool = model.PoolID{Service: "s", DataCentre: "dc"}

func (f *fakeFleet) Epoch() model.Epoch { return 1 }
func (f *fakeFleet) Match(string, string, string) (*snapshot.Route, bool) {
	return &snapshot.Route{Name: "r", Service: "s", Repeatable: true}, true
}
func (f *fakeFleet) Route(model.RouteName) (*snapshot.Route, bool) { return nil, false }
func (f *fakeFleet) Service(model.ServiceName) (*snapshot.Service, bool) {
	return &snapshot.Service{Name: "s", DeadlineMs: 2000}, true
}
func (f *fakeFleet) Pools(model.ServiceName) []PoolChoice             { return []PoolChoice{{Pool: testPool}} }
func (f *fakeFleet) Owners(model.PoolID, int) []fleet.Peer            { return f.owners }
func (f *fakeFleet) Successor(model.Incarnation) (model.HostID, bool) { return "", false }
func (f *fakeFleet) Peer(model.HostID) (fleet.Peer, model.DataCentre, bool) {
	return fleet.Peer{}, "", false
}

func newTestEntry(t *testing.T, f *fakeFleet) *Entry {
	logger, err := telemetry.NewLogger(io.Discard, "error")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	e := New(Options{
		Host: "self", Catalog: func() Catalog { return f }, Directory: f, Log: logger, Scope: tally.NoopScope, MaxBody: 1 << 20,
		Tracing: &telemetry.Tracing{Tracer: noop.NewTracerProvider().Tracer(""), Propagator: propagation.TraceContext{}},
		Client: &fleet.Client{
			Transport: fleet.NewTransport(fleet.TransportOptions{DialTimeout: time.Second}), Secrets: fleet.Secrets{[]byte("secret")},
			Propagator: propagation.TraceContext{}, MaxBody: 1 << 20,
		},
	})
	t.Cleanup(e.Close)
	return e
}

// owner starts a fleet listener with the given handler and returns its address.
func owner(t *testing.T, handler http.HandlerFunc) string {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against "not run" for a lookup that an owner accepted before it became
// unresponsive, when the next owner in rank refuses it. A load test found two
// lookups that had run but were reported to their callers as not run.
func TestNotRunAfterUnresponsiveOwnerIsUnknown(t *testing.T) {
	g := NewWithT(t)
	// This owner reads requests and pings but answers none of them.
	unresponsive := owner(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	refusing := owner(t, func(w http.ResponseWriter, r *http.Request) {
		resp := fleet.NotRun(model.ReasonShed, 0)
		fleet.WriteResponse(w, &resp)
	})
	e := newTestEntry(t, &fakeFleet{owners: []fleet.Peer{{Host: "a", Address: unresponsive}, {Host: "b", Address: refusing}}})
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	g.Expect(w.Header().Get(fleet.HeaderOutcome)).To(Equal("unknown"))

	// Without the unresponsive owner, the refusal is reported unchanged.
	e = newTestEntry(t, &fakeFleet{owners: []fleet.Peer{{Host: "b", Address: refusing}}})
	w = httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	g.Expect(w.Header().Get(fleet.HeaderOutcome)).To(Equal("not-run"))
}

// Guards against a lookup that waits for an unresponsive owner until its deadline
// although the next host in rank could answer.
func TestUnresponsiveOwnerIsSkipped(t *testing.T) {
	g := NewWithT(t)
	release, stop := context.WithCancel(context.Background())
	defer stop()
	unresponsive := owner(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-release.Done():
		}
	})
	answering := owner(t, func(w http.ResponseWriter, r *http.Request) {
		resp := fleet.Response{Outcome: model.Answered, Status: http.StatusOK}
		fleet.WriteResponse(w, &resp)
	})
	e := newTestEntry(t, &fakeFleet{owners: []fleet.Peer{{Host: "a", Address: unresponsive}, {Host: "b", Address: answering}}})
	started := time.Now()
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	g.Expect(w.Code).To(Equal(http.StatusOK))
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))

	// The owner is now suspected, so that the second lookup skips it at once.
	started = time.Now()
	e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
	g.Expect(time.Since(started)).To(BeNumerically("<", pingDelay))
}
