package configstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

func newAPI(t testing.TB, e *platform.Endpoint) objectapi.Store {
	t.Helper()
	c, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: e.Transport(), Timeout: time.Second})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return c
}

func newStore(t testing.TB, e *platform.Endpoint) *configstore.Store {
	return configstore.NewStore(newAPI(t, e))
}

func service(name string) snapshot.Service {
	return snapshot.Service{
		Name: model.ServiceName(name), Floor: snapshot.Floor{Share: 0.5, MinServers: 1}, Policy: snapshot.PolicyRidemark,
		DeadlineMs: 2000, RetryBudgetShare: 0.1, QueueLimit: 100,
	}
}

func server(i int) snapshot.Server {
	return snapshot.Server{
		ID: model.ServerID(fmt.Sprintf("booking-%05d", i)), Service: "booking", DataCentre: "lagos-1",
		Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Slots: 2, Connections: 330,
	}
}

// firstChange returns a change that creates one service and n servers.
func firstChange(n int) snapshot.Change {
	c := snapshot.Change{ID: "first", Author: "setup", Put: snapshot.Objects{Services: []snapshot.Service{service("booking")}}}
	for i := range n {
		c.Put.Servers = append(c.Put.Servers, server(i))
	}
	return c
}

// drain returns a change that sets the state of server i to draining.
func drain(id string, i int) snapshot.Change {
	s := server(i)
	s.State = snapshot.ServerDraining
	return snapshot.Change{ID: id, Author: "op-" + id, Put: snapshot.Objects{Servers: []snapshot.Server{s}}}
}

func mustApply(t testing.TB, s *configstore.Store, c snapshot.Change, expected model.Epoch) {
	t.Helper()
	r, err := s.Apply(t.Context(), c, expected)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(r.Epoch).To(Equal(expected + 1))
}

// host is a follower with its holder and the epochs that it has applied.
type host struct {
	*configstore.Follower
	holder snapshot.Holder
	epochs chan configstore.AppliedEpoch
}

func newHost(s *configstore.Store, relay bool, peers ...configstore.Peer) *host {
	h := &host{epochs: make(chan configstore.AppliedEpoch, 1000)}
	h.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: s, Holder: &h.holder, Rand: rand.New(rand.NewPCG(1, 2)),
		IsRelay: func() bool { return relay },
		Peers:   func() []configstore.Peer { return peers },
		OnEpoch: func(a configstore.AppliedEpoch) { h.epochs <- a },
	})
	return h
}

// next waits for the next applied epoch. It fails after ten minutes, far more
// than any target, so that a host that makes no progress does not block the
// test.
func (h *host) next(t testing.TB) configstore.AppliedEpoch {
	t.Helper()
	select {
	case a := <-h.epochs:
		return a
	case <-time.After(10 * time.Minute):
		t.Fatal("no new epoch within 10 minutes")
		return configstore.AppliedEpoch{}
	}
}

func (h *host) peer(local bool) configstore.Peer {
	return configstore.Peer{ID: "peer", Local: local, Source: h.Follower}
}

func (h *host) status() configstore.Status {
	s, _ := h.Status(context.Background())
	return s
}

// run starts the host's tasks and returns a function that stops them.
func (h *host) run(t testing.TB) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- kernel.RunTasks(ctx, h.Tasks()...) }()
	return func() {
		cancel()
		NewWithT(t).Expect(<-done).To(Succeed())
	}
}
