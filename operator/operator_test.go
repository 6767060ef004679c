package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	pb "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/gen/agateusher/v1/agateusherv1connect"
	"github.com/agateusher/agateusher/objectapi"
)

var ctx = context.Background()

// applyServer returns a request that puts one server without a state.
func applyServer(id string, expected uint64) *connect.Request[pb.ApplyRequest] {
	return connect.NewRequest(&pb.ApplyRequest{
		ExpectedEpoch: expected,
		Put: &pb.Objects{Servers: []*pb.Server{{
			Id: id, Service: "booking", DataCentre: "lagos-1", Address: "127.0.0.1:900" + id[1:], Slots: 2, Connections: 10,
		}}},
	})
}

// Guards against an operator's change that silently overwrites another operator's,
// and against a conflict error that does not tell who changed which objects.
func TestApplyRefusesChangeAgainstOlderEpoch(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	r.put(g, booking(snapshot.Floor{}, 0))
	res, err := r.config(aliceToken).Apply(ctx, applyServer("b1", 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Msg.GetEpoch()).To(Equal(uint64(2)))

	_, err = r.config(bobToken).Apply(ctx, applyServer("b2", 1))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
	d := detail[*pb.ConflictDetail](g, err)
	g.Expect(d.GetCurrentEpoch()).To(Equal(uint64(2)))
	g.Expect(d.GetChanges()).To(HaveLen(1))
	g.Expect(d.GetChanges()[0].GetAuthor()).To(Equal("alice"))
	g.Expect(d.GetChanges()[0].GetObjects()[0].GetName()).To(Equal("b1"))
}

// Guards against calls that any of the services accepts without a valid token.
func TestCallsWithoutValidTokenAreRefused(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	for _, token := range []string{"", "wrong", aliceToken + "x", aliceToken[:len(aliceToken)-1]} {
		_, err := r.config(token).GetEpoch(ctx, connect.NewRequest(&pb.GetEpochRequest{}))
		g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated), token)
		_, err = r.fleetClient(token).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: "b1"}))
		g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated), token)
		reports := agateusherv1connect.NewReportServiceClient(&http.Client{Transport: bearer(token)}, r.url)
		stream, err := reports.GetDailyReport(ctx, connect.NewRequest(&pb.GetDailyReportRequest{}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stream.Receive()).To(BeFalse())
		g.Expect(connect.CodeOf(stream.Err())).To(Equal(connect.CodeUnauthenticated), token)
	}
	g.Expect(r.logs.LastEntry().Data).To(HaveKeyWithValue("code", "unauthenticated"))
}

// Guards against a call without an access log line, or a line without the
// operator's name.
func TestEveryCallIsLogged(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	_, err := r.config(bobToken).Get(ctx, connect.NewRequest(&pb.GetRequest{Ref: &pb.Ref{Kind: pb.Kind_KIND_SERVER, Name: "none"}}))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeNotFound))
	g.Eventually(func() int { return len(r.logs.AllEntries()) }).Should(Equal(1))
	g.Expect(r.logs.LastEntry().Data).To(HaveKeyWithValue("operator", "bob"))
	g.Expect(r.logs.LastEntry().Data).To(HaveKeyWithValue("code", "not_found"))
	g.Expect(r.logs.LastEntry().Data).To(HaveKeyWithValue("method", "/agateusher.v1.ConfigService/Get"))
}

// Guards against manual ejections that leave a pool below its floor.
func TestEjectRespectsFloor(t *testing.T) {
	for _, c := range []struct {
		name          string
		floor         snapshot.Floor
		servers       int
		ejectedBefore []string
		ownerStates   map[model.ServerID]adminapi.ServerState
		allowed       bool
	}{
		{name: "share allows", floor: snapshot.Floor{Share: 0.5}, servers: 4, allowed: true},
		{name: "share allows exactly", floor: snapshot.Floor{Share: 0.75}, servers: 4, allowed: true},
		{name: "share refuses", floor: snapshot.Floor{Share: 0.76}, servers: 4},
		{name: "inexact share allows", floor: snapshot.Floor{Share: 0.8}, servers: 5, allowed: true},
		{name: "count refuses", floor: snapshot.Floor{MinServers: 4}, servers: 4},
		{name: "earlier ejection counts", floor: snapshot.Floor{Share: 0.75}, servers: 4, ejectedBefore: []string{"b2"}},
		{name: "ejection by the fleet counts", floor: snapshot.Floor{Share: 0.75}, servers: 4,
			ownerStates: map[model.ServerID]adminapi.ServerState{"b2": adminapi.ServerEjected}},
		{name: "a server that the fleet ejected takes nothing more", floor: snapshot.Floor{Share: 0.75}, servers: 4, allowed: true,
			ownerStates: map[model.ServerID]adminapi.ServerState{"b1": adminapi.ServerEjected}},
		{name: "suspicion does not count", floor: snapshot.Floor{Share: 0.75}, servers: 4, allowed: true,
			ownerStates: map[model.ServerID]adminapi.ServerState{"b2": adminapi.ServerSuspect}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t, nil)
			r.put(g, booking(c.floor, c.servers))
			r.fleet.pools = []HostPools{hostPools(c.ownerStates)}
			for _, id := range c.ejectedBefore {
				_, err := r.fleetClient(aliceToken).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: id}))
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err := r.fleetClient(aliceToken).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: "b1"}))
			if c.allowed {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeFailedPrecondition))
			g.Expect(detail[*pb.FloorDetail](g, err).GetService()).To(Equal("booking"))
			g.Expect(r.store.current.Objects.Servers[0].State).To(Equal(snapshot.ServerActive))
		})
	}
}

// Guards against a floor check that divides servers into other pools than the
// daemons do.
func TestFloorIsCheckedPerPool(t *testing.T) {
	for _, c := range []struct {
		minServers, shards int
		allowed            bool
	}{
		{minServers: 2, shards: 1, allowed: true}, // minimum of 1 for the 2 servers in each data centre
		{minServers: 3, shards: 1},                // minimum of 2 in each, rounded up
		{minServers: 0, shards: 64},               // each server is in a pool of its own
	} {
		g, r := NewWithT(t), newHarness(t, nil)
		o := booking(snapshot.Floor{Share: 0.4, MinServers: c.minServers}, 4)
		o.Services[0].Shards = c.shards
		o.Servers[2].DataCentre, o.Servers[3].DataCentre = "lagos-2", "lagos-2"
		r.put(g, o)
		_, err := r.fleetClient(aliceToken).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: "b1"}))
		g.Expect(err == nil).To(Equal(c.allowed), "%+v: %v", c, err)
	}
}

// Guards against an Apply call that ejects a server and bypasses the floor check
// that Eject makes.
func TestApplyChecksFloor(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	r.put(g, booking(snapshot.Floor{Share: 1}, 2))
	req := applyServer("b1", 1)
	req.Msg.Put.Servers[0].State = string(snapshot.ServerEjected)
	_, err := r.config(aliceToken).Apply(ctx, req)
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeFailedPrecondition))
	req.Msg.ExpectedEpoch = 9
	_, err = r.config(aliceToken).Apply(ctx, req)
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
}

// Guards against a change without server states that undoes a drain.
func TestApplyKeepsStateThatTheChangeOmits(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	drained := booking(snapshot.Floor{}, 1)
	drained.Servers[0].State = snapshot.ServerDraining
	r.put(g, drained)
	req := applyServer("b1", 1)
	req.Msg.Put.Servers = append(req.Msg.Put.Servers, applyServer("b2", 1).Msg.Put.Servers...)
	_, err := r.config(aliceToken).Apply(ctx, req)
	g.Expect(err).NotTo(HaveOccurred())
	states := map[model.ServerID]snapshot.ServerState{}
	for _, s := range r.store.current.Objects.Servers {
		states[s.ID] = s.State
	}
	g.Expect(states).To(Equal(map[model.ServerID]snapshot.ServerState{"b1": snapshot.ServerDraining, "b2": snapshot.ServerActive}))
}

// Guards against two concurrent ejections that leave a pool below its floor,
// although each of them alone would not.
func TestRacingEjectionsCheckTheFloorAgain(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	r.put(g, booking(snapshot.Floor{Share: 0.75}, 4))
	r.store.beforeApply = func() {
		_, err := r.fleetClient(bobToken).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: "b2"}))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := r.fleetClient(aliceToken).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: "b1"}))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeFailedPrecondition))
}

// Guards against a retry that overwrites another operator's concurrent change of
// the same server, and against a conflict error when the other change concerns
// another server, where a retry is safe.
func TestRacingStateChanges(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	r.put(g, booking(snapshot.Floor{}, 4))
	drain := func(token, id string) error {
		_, err := r.fleetClient(token).Drain(ctx, connect.NewRequest(&pb.DrainRequest{Server: id}))
		return err
	}
	r.store.beforeApply = func() { g.Expect(drain(bobToken, "b2")).To(Succeed()) }
	g.Expect(drain(aliceToken, "b1")).To(Succeed())

	r.store.beforeApply = func() { g.Expect(drain(bobToken, "b3")).To(Succeed()) }
	_, err := r.fleetClient(aliceToken).Eject(ctx, connect.NewRequest(&pb.EjectRequest{Server: "b3"}))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
	g.Expect(detail[*pb.ConflictDetail](g, err).GetChanges()[0].GetAuthor()).To(Equal("bob"))
}

// Guards against store errors that reach operators with the wrong code.
func TestStoreErrorsMapToCodes(t *testing.T) {
	for code, err := range map[connect.Code]error{
		connect.CodeUnavailable:      fmt.Errorf("read head: %w", objectapi.ErrUnavailable),
		connect.CodeDeadlineExceeded: fmt.Errorf("read head: %w", context.DeadlineExceeded),
		connect.CodeInvalidArgument:  &snapshot.ValidationError{Violations: []snapshot.FieldViolation{{Field: "service", Expected: "a service that exists"}}},
		connect.CodeInternal:         io.ErrUnexpectedEOF,
	} {
		g, r := NewWithT(t), newHarness(t, nil)
		r.store.err = err
		_, got := r.config(aliceToken).Apply(ctx, applyServer("b1", 0))
		g.Expect(connect.CodeOf(got)).To(Equal(code))
	}
}

// Guards against requests of unlimited size, which could exhaust the memory.
func TestRequestSizeIsBounded(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, func(o *Options) { o.MaxRequestBytes = 1000 })
	_, err := r.config(aliceToken).Apply(ctx, applyServer(strings.Repeat("x", 2000), 0))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
}

// Guards against a diff that shows unchanged objects or omits changed fields.
func TestDiff(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	r.put(g, booking(snapshot.Floor{}, 2))
	put := booking(snapshot.Floor{}, 3)
	put.Servers = append(put.Servers[:1], put.Servers[2])
	put.Servers[0].Slots = 4
	res, err := r.config(aliceToken).Diff(ctx, connect.NewRequest(&pb.DiffRequest{
		Put:    ObjectsToProto(put),
		Delete: []*pb.Ref{{Kind: pb.Kind_KIND_SERVER, Name: "b2"}},
	}))
	g.Expect(err).NotTo(HaveOccurred())
	var got []string
	for _, d := range res.Msg.GetObjects() {
		got = append(got, fmt.Sprintf("%s %s %d", d.GetAction(), d.GetRef().GetName(), len(d.GetFields())))
	}
	g.Expect(got).To(Equal([]string{"ACTION_REPLACE b1 1", "ACTION_DELETE b2 7", "ACTION_CREATE b3 7"}))
	f := res.Msg.GetObjects()[0].GetFields()[0]
	g.Expect([]string{f.GetField(), f.GetBefore(), f.GetAfter()}).To(Equal([]string{"slots", "2", "4"}))
}

// Guards against a change that names an object twice, so that one of the two
// entries would be dropped silently.
func TestChangeNamesEachObjectOnce(t *testing.T) {
	g, r := NewWithT(t), newHarness(t, nil)
	r.put(g, booking(snapshot.Floor{}, 1))
	twice := applyServer("b1", 1)
	twice.Msg.Put.Servers = append(twice.Msg.Put.Servers, twice.Msg.Put.Servers[0])
	both := applyServer("b1", 1)
	both.Msg.Delete = []*pb.Ref{{Kind: pb.Kind_KIND_SERVER, Name: "b1"}}
	for _, req := range []*connect.Request[pb.ApplyRequest]{twice, both, connect.NewRequest(&pb.ApplyRequest{ExpectedEpoch: 1})} {
		_, err := r.config(aliceToken).Apply(ctx, req)
		g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
	}
}

// Guards against object fields that the conversion to or from protobuf drops, so
// that they would not reach the store.
func TestObjectsSurviveConversion(t *testing.T) {
	g := NewWithT(t)
	o := snapshot.Objects{
		Services:      []snapshot.Service{{Name: "s", Floor: snapshot.Floor{Share: 0.5, MinServers: 2}, Policy: "ridemark", DeadlineMs: 3, RetryBudgetShare: 0.1, QueueLimit: 4, CancelPath: "/c", ShedHeader: "H", Shards: 5}},
		Servers:       []snapshot.Server{{ID: "i", Service: "s", DataCentre: "d", Address: "a", Slots: 1 << 40, Connections: 7, State: "draining"}},
		Routes:        []snapshot.Route{{Name: "r", Host: "h", PathPrefix: "/p", Methods: []string{"GET"}, Service: "s", Repeatable: true, IssueKeysFor: "q", RatePerSecond: 8}},
		Workspaces:    []snapshot.Workspace{{ID: "w", Weight: 2, RatePerSecond: 9}},
		ReportLayouts: []snapshot.ReportLayout{{Name: "l", Columns: []snapshot.ReportColumn{{Heading: "h", Field: "f", Format: "0"}}, Separator: ";", Decimal: ","}},
	}
	g.Expect(ObjectsFromProto(ObjectsToProto(o))).To(Equal(o))
}

// stubSource is an adminapi.Source with the fixed state of one host.
type stubSource struct{ host model.HostID }

func (s stubSource) Status(context.Context) adminapi.Status {
	return adminapi.Status{Host: s.host, Epoch: 2, StartedAt: time.Unix(1, 0)}
}

func (s stubSource) Pools(context.Context) adminapi.Pools {
	return adminapi.Pools{Host: s.host, Pools: []adminapi.Pool{{Service: "booking", DataCentre: "lagos-1"}}}
}

type hostList []Host

func (l hostList) Hosts(context.Context) ([]Host, error) { return l, nil }

// Guards against hosts whose admin address is missing, does not respond or now
// belongs to another host: they must not delay the response, nor be reported as
// running the epoch.
func TestRolloutOverAdminEndpoints(t *testing.T) {
	g := NewWithT(t)
	live := httptest.NewServer(adminapi.Handler(stubSource{"h1"}))
	defer live.Close()
	stalled := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer stalled.Close()
	address := func(s *httptest.Server) string { return s.Listener.Addr().String() }
	fleet := NewAdminFleet(hostList{
		{ID: "h1", AdminAddress: address(live)}, {ID: "h2", AdminAddress: address(stalled)},
		{ID: "h3", AdminAddress: address(live)}, {ID: "h4"},
	}, 200*time.Millisecond)
	defer fleet.Close()
	r := newHarness(t, func(o *Options) { o.Fleet = fleet })

	res, err := r.fleetClient(aliceToken).Rollout(ctx, connect.NewRequest(&pb.RolloutRequest{Epoch: 2}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Msg.GetInForce()).To(HaveLen(1))
	g.Expect(res.Msg.GetInForce()[0].GetId()).To(Equal("h1"))
	g.Expect(res.Msg.GetSilent()).To(HaveLen(3))
	res, err = r.fleetClient(aliceToken).Rollout(ctx, connect.NewRequest(&pb.RolloutRequest{Epoch: 3}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Msg.GetBehind()).To(HaveLen(1))

	pools, err := r.fleetClient(aliceToken).ListPools(ctx, connect.NewRequest(&pb.ListPoolsRequest{Service: "booking"}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pools.Msg.GetPools()[0].GetOwner()).To(Equal("h1"))
	g.Expect(pools.Msg.GetSilent()).To(HaveLen(2))
}

type largeReport struct{ text []byte }

func (b largeReport) Daily(context.Context, string, snapshot.ReportLayout) ([]MissingHost, func(io.Writer) error, error) {
	write := func(w io.Writer) error {
		// One write that is larger than a chunk, and one that is smaller.
		for _, text := range [][]byte{b.text[:2*reportChunkBytes], b.text[2*reportChunkBytes:]} {
			if _, err := w.Write(text); err != nil {
				return err
			}
		}
		return nil
	}
	return []MissingHost{{Host: "h9", Problem: "no data"}}, write, nil
}

// Guards against a report of several chunks that arrives modified or without the
// list of missing hosts.
func TestReportArrivesWhole(t *testing.T) {
	g := NewWithT(t)
	text := bytes.Repeat([]byte("0123456789"), reportChunkBytes/4)
	r := newHarness(t, func(o *Options) { o.Reports = largeReport{text} })
	r.put(g, snapshot.Objects{ReportLayouts: []snapshot.ReportLayout{{Name: "daily", Columns: []snapshot.ReportColumn{{Heading: "h", Field: "requests"}}}}})
	client := agateusherv1connect.NewReportServiceClient(&http.Client{Transport: bearer(aliceToken)}, r.url)
	stream, err := client.GetDailyReport(ctx, connect.NewRequest(&pb.GetDailyReportRequest{Day: "2026-12-04", Layout: "daily"}))
	g.Expect(err).NotTo(HaveOccurred())
	var got []byte
	var missing []string
	for stream.Receive() {
		g.Expect(len(stream.Msg().GetCsv())).To(BeNumerically("<=", reportChunkBytes))
		got = append(got, stream.Msg().GetCsv()...)
		for _, m := range stream.Msg().GetMissing() {
			missing = append(missing, m.GetHost())
		}
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(missing).To(Equal([]string{"h9"}))
	g.Expect(bytes.Equal(got, text)).To(BeTrue())
}

// Guards against health endpoints that require a token, and against a ready
// endpoint that does not report a failure.
func TestHealthEndpoints(t *testing.T) {
	g := NewWithT(t)
	var failure error
	r := newHarness(t, func(o *Options) { o.Ready = func(context.Context) error { return failure } })
	status := func(path string) int {
		res, err := http.Get(r.url + path)
		g.Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		return res.StatusCode
	}
	g.Expect(status(ReadyPath)).To(Equal(http.StatusOK))
	failure = objectapi.ErrUnavailable
	g.Expect(status(ReadyPath)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(status(LivePath)).To(Equal(http.StatusOK))
}
