package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/daemon"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/platform"
)

const (
	liveHosts        = 2
	liveServers      = 8
	liveTimeout      = 10 * time.Second
	liveSecret       = "0123456789abcdef-capacity"
	liveMaxBody      = 1 << 20
	liveLookupPath   = "/spaces/1"
	livePaymentsPath = "/payments"
)

var livePoolID = model.PoolID{Service: "booking", DataCentre: "lagos-1"}

// liveFleet is two real daemons with a stand-in platform and backend servers
// that answer at once, in this process and on loopback.
type liveFleet struct {
	owner, entry daemon.Settings
	backend      string
	http         *http.Client
	client       *fleet.Client
	stop         context.CancelFunc
	done         sync.WaitGroup
	closers      []func()
}

func newLiveFleet() (*liveFleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	transport := fleet.NewTransport(fleet.TransportOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerHost: 64})
	f := &liveFleet{stop: cancel, http: &http.Client{Transport: transport}, client: &fleet.Client{
		Transport: transport, Secrets: fleet.Secrets{[]byte(liveSecret)}, Propagator: propagation.TraceContext{}, MaxBody: liveMaxBody,
	}}
	p := platform.New(platform.Options{HostLag: -1})
	server := httptest.NewServer(p)
	f.closers = append(f.closers, server.Close)
	group, err := f.startBackends(ctx)
	if err != nil {
		return f, err
	}
	if err := f.startDaemons(ctx, p, server.URL); err != nil {
		return f, err
	}
	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: server.URL, Timeout: time.Second})
	if err != nil {
		return f, err
	}
	if _, err := configstore.NewStore(api).Apply(ctx, snapshot.Change{ID: "first", Author: "setup", Put: liveObjects(group)}, 0); err != nil {
		return f, err
	}
	return f, f.awaitReady()
}

func (f *liveFleet) startBackends(ctx context.Context) (*backend.Group, error) {
	options := make([]backend.Options, liveServers)
	for i := range options {
		options[i] = backend.Options{
			ID: model.ServerID(fmt.Sprint("booking-", i)), QueueLimit: 4, Seed: uint64(i + 1),
			ServiceTime: backend.Distribution{Kind: backend.Fixed, Mean: time.Microsecond},
		}
	}
	group, err := backend.NewGroup("127.0.0.1:0", options)
	if err != nil {
		return nil, err
	}
	f.backend = group.Listings()[0].Address
	f.done.Go(func() { _ = group.Serve(ctx) })
	return group, nil
}

func (f *liveFleet) startDaemons(ctx context.Context, p *platform.Platform, url string) error {
	var hosts []objectapi.Host
	var ids []model.HostID
	all := map[model.HostID]daemon.Settings{}
	for i := range liveHosts {
		s, err := liveSettings(i, url)
		if err != nil {
			return err
		}
		l := s.Listeners
		hosts = append(hosts, objectapi.Host{
			ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: objectapi.HostLive,
			CallerAddress: l.Caller, FleetAddress: l.Fleet, PeerAddress: l.Peer, AdminAddress: l.Admin,
		})
		ids, all[s.Host.ID] = append(ids, s.Host.ID), s
	}
	p.SetHosts(hosts)
	for _, s := range all {
		d, err := daemon.New(s, io.Discard)
		if err != nil {
			return err
		}
		f.done.Go(func() { _ = d.Run(ctx) })
	}
	ranked := ranking.Rank(livePoolID.String(), ids)
	f.owner, f.entry = all[ranked[0]], all[ranked[1]]
	return nil
}

func liveSettings(i int, url string) (daemon.Settings, error) {
	s := daemon.DefaultSettings()
	s.Host = daemon.HostSettings{ID: model.HostID(fmt.Sprint("host-", i)), DataCentre: livePoolID.DataCentre, Region: "lagos"}
	for _, address := range []*string{&s.Listeners.Caller, &s.Listeners.Fleet, &s.Listeners.Peer, &s.Listeners.Admin} {
		var err error
		if *address, err = standin.FreeAddress(); err != nil {
			return s, err
		}
	}
	s.Platform.URL = url
	s.Fleet.Secrets, s.Keys.Secrets = []string{liveSecret}, []string{liveSecret}
	s.Log.Level = "error"
	return s, nil
}

func liveObjects(group *backend.Group) snapshot.Objects {
	o := snapshot.Objects{
		Services: []snapshot.Service{{
			Name: livePoolID.Service, Floor: snapshot.Floor{Share: 0.5, MinServers: 1}, Policy: snapshot.PolicyRidemark,
			DeadlineMs: 2000, RetryBudgetShare: 0.2, QueueLimit: 200, Shards: 1,
		}},
		Routes: []snapshot.Route{
			{Name: "spaces", PathPrefix: "/spaces", Methods: []string{"GET"}, Service: livePoolID.Service, Repeatable: true},
			{Name: "payments", PathPrefix: livePaymentsPath, Methods: []string{"POST"}, Service: livePoolID.Service},
		},
		Workspaces: []snapshot.Workspace{{ID: "gate", Weight: 1}},
	}
	for _, l := range group.Listings() {
		o.Servers = append(o.Servers, snapshot.Server{ID: l.ID, Service: livePoolID.Service, DataCentre: livePoolID.DataCentre, Address: l.Address, Slots: 2, Connections: 330})
	}
	return o
}

// awaitReady waits until both daemons answer requests. Returns the error of the
// last request after liveTimeout.
func (f *liveFleet) awaitReady() error {
	deadline := time.Now().Add(liveTimeout)
	for {
		err := f.get(f.entry.Listeners.Caller)
		if err == nil {
			err = f.get(f.owner.Listeners.Caller)
		}
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *liveFleet) close() {
	f.stop()
	f.done.Wait()
	for _, c := range f.closers {
		c()
	}
}

// StatusError reports a request that was answered with another status than 200, or
// a forwarded request whose outcome is not model.Answered.
type StatusError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("request answered with status %d, reason %q", e.Status, e.Reason)
}

// get sends a GET request to the listener at address.
func (f *liveFleet) get(address string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+liveLookupPath, nil)
	if err != nil {
		return err
	}
	r.Header.Set(fleet.HeaderWorkspace, "gate")
	resp, err := f.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Reason: resp.Header.Get(fleet.HeaderReason)}
	}
	return err
}

// forward sends a request to the owner as an entry does. A request with a key uses
// the payments route.
func (f *liveFleet) forward(method, target, key string) error {
	route := model.RouteName("spaces")
	if key != "" {
		route = "payments"
	}
	resp, err := f.client.Forward(context.Background(), f.peer(), &fleet.Request{
		ID: model.RequestID(fmt.Sprint(time.Now().UnixNano())), Pool: livePoolID, Route: route, Workspace: "gate",
		Repeatable: key == "", Key: key, Budget: 2 * time.Second, Epoch: 1, Method: method, Target: target, Authority: "api.example", Header: http.Header{},
	})
	if err == nil && resp.Outcome != model.Answered {
		return &StatusError{Status: resp.Status, Reason: string(resp.Reason)}
	}
	return err
}

func (f *liveFleet) peer() fleet.Peer {
	return fleet.Peer{Host: f.owner.Host.ID, Address: f.owner.Listeners.Fleet}
}

// issue returns a new idempotency key from the owner.
func (f *liveFleet) issue() (string, error) {
	keys, err := f.client.IssueKeys(context.Background(), f.peer(), fleet.KeysRequest{Workspace: "gate", Route: "payments", Count: 1})
	if err != nil {
		return "", err
	}
	return keys.Keys[0], nil
}
