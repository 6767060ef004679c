package configstore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

// faultyHeadStore wraps a store and injects faults into updates of the head.
type faultyHeadStore struct {
	objectapi.Store
	loseReplies  int // number of updates that take effect but return an error
	loseRequests int // number of updates that return an error and have no effect
	beforePut    func()
	afterPut     func()
	puts         int
}

var errLostPut = &objectapi.UnavailableError{Method: "PUT", Target: configstore.HeadKey, Err: context.DeadlineExceeded}

func (h *faultyHeadStore) Put(ctx context.Context, key string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	if key != configstore.HeadKey {
		return h.Store.Put(ctx, key, value, expected)
	}
	h.puts++
	if h.beforePut != nil {
		h.beforePut()
	}
	if h.loseRequests > 0 {
		h.loseRequests--
		return 0, errLostPut
	}
	v, err := h.Store.Put(ctx, key, value, expected)
	if h.afterPut != nil {
		h.afterPut()
	}
	if h.loseReplies > 0 {
		h.loseReplies--
		return 0, errLostPut
	}
	return v, err
}

// Guards against a lost reply that leads to a second accepted update, a wrong
// result or an endless wait, also when reads of the head are stale.
func TestLostReply(t *testing.T) {
	for name, tc := range map[string]struct {
		faults faultyHeadStore
		lagMs  int
		puts   int
	}{
		"reply lost":              {faultyHeadStore{loseReplies: 1}, 0, 1},
		"request lost":            {faultyHeadStore{loseRequests: 1}, 0, 2},
		"both lost":               {faultyHeadStore{loseRequests: 1, loseReplies: 1}, 0, 2},
		"reply lost, stale reads": {faultyHeadStore{loseReplies: 1}, 1500, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := platform.New(platform.Options{})
				s := newStore(t, p.Endpoint)
				mustApply(t, s, firstChange(5), 0)
				time.Sleep(time.Minute)
				p.EndpointNamed("stale").SetFaults(platform.Faults{ReadLagMs: tc.lagMs})
				faults := tc.faults
				faults.Store = newAPI(t, p.EndpointNamed("stale"))
				r, err := configstore.NewStore(&faults).Apply(t.Context(), drain("a", 1), 1)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r).To(Equal(configstore.ApplyResult{Epoch: 2}))
				// A stale read still returns the base version. The update is then
				// repeated on the same condition, so that it takes effect once.
				g.Expect(faults.puts).To(Equal(tc.puts))
				head, err := s.Head(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(head.Epoch).To(Equal(model.Epoch(2)))
				g.Expect(head.ChangeID).To(Equal("a"))
			})
		})
	}
}

// Guards against a lost update that is reported as accepted because another
// operator's change was accepted at the same epoch.
func TestLostRequestWithConcurrentChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(5), 0)
		faults := &faultyHeadStore{Store: newAPI(t, p.Endpoint), loseRequests: 1}
		faults.beforePut = func() {
			if faults.puts == 1 {
				mustApply(t, s, drain("b", 2), 1)
			}
		}
		_, err := configstore.NewStore(faults).Apply(t.Context(), drain("a", 1), 1)
		var conflict *configstore.ConflictError
		g.Expect(errors.As(err, &conflict)).To(BeTrue())
		g.Expect(conflict.Current).To(Equal(model.Epoch(2)))
		g.Expect(conflict.Complete).To(BeTrue())
		g.Expect(err).To(MatchError(ContainSubstring("epoch 2: op-b changed Server booking-00002 (change b)")))
	})
}

// Guards against an outage that is reported as NotAcceptedError when the update
// may have taken effect, or as UnknownResultError when it cannot have.
func TestOutageDuringApply(t *testing.T) {
	for _, outage := range []platform.Outage{platform.OutageRefuse, platform.OutageHang} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := platform.New(platform.Options{})
			s := newStore(t, p.Endpoint)
			mustApply(t, s, firstChange(5), 0)

			p.SetFaults(platform.Faults{Outage: outage})
			_, err := s.Apply(t.Context(), drain("a", 1), 1)
			var notAccepted *configstore.NotAcceptedError
			g.Expect(errors.As(err, &notAccepted)).To(BeTrue())
			g.Expect(err).To(MatchError(objectapi.ErrUnavailable))

			p.SetFaults(platform.Faults{})
			faults := &faultyHeadStore{Store: newAPI(t, p.Endpoint), loseReplies: 1}
			faults.afterPut = func() { p.SetFaults(platform.Faults{Outage: outage}) }
			start := time.Now()
			_, err = configstore.NewStore(faults).Apply(t.Context(), drain("b", 2), 1)
			var unknown *configstore.UnknownResultError
			g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
			g.Expect(time.Since(start)).To(BeNumerically("<=", configstore.ApplyTimeout+time.Second))

			p.SetFaults(platform.Faults{})
			_, found, err := s.Lookup(t.Context(), "b")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(found).To(BeTrue())
			r, err := s.Apply(t.Context(), drain("b", 2), 1)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r).To(Equal(configstore.ApplyResult{Epoch: 2, AlreadyAccepted: true}))
		})
	}
}

// Guards against a stale read that is reported as a conflict, and against one
// that allows a change based on an old epoch.
func TestStaleReadsDuringApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		fresh, stale := newStore(t, p.Endpoint), newStore(t, p.EndpointNamed("stale"))
		p.EndpointNamed("stale").SetFaults(platform.Faults{ReadLagMs: 1000})
		mustApply(t, fresh, firstChange(5), 0)
		mustApply(t, stale, drain("a", 1), 1)
		time.Sleep(time.Minute)
		mustApply(t, fresh, drain("b", 2), 2)
		_, err := stale.Apply(t.Context(), drain("c", 3), 2)
		var conflict *configstore.ConflictError
		g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		g.Expect(conflict.Changes).To(HaveExactElements(HaveField("ID", "b")))
	})
}

// Guards against a second change with a used ID that is reported as accepted,
// and against invalid changes that are written to the object API.
func TestRejectedChanges(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{})
	s := newStore(t, p.Endpoint)
	_, err := s.Load(t.Context())
	g.Expect(err).To(MatchError(configstore.ErrNoConfiguration))
	mustApply(t, s, firstChange(5), 0)
	_, err = s.Apply(t.Context(), drain("first", 1), 1)
	g.Expect(err).To(BeAssignableToTypeOf(&configstore.ReusedIDError{}))
	before := p.Calls().Puts
	_, err = s.Apply(t.Context(), snapshot.Change{ID: "x", Author: "a", Delete: []snapshot.Ref{{Kind: snapshot.KindService, Name: "booking"}}}, 1)
	g.Expect(err).To(BeAssignableToTypeOf(&snapshot.ValidationError{}))
	g.Expect(p.Calls().Puts).To(Equal(before))
}

// Guards against a change that fails when the object API limits the write rate,
// and against retries that are too frequent.
func TestRateLimitedApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{WritesPerSecond: 1})
		mustApply(t, newStore(t, p.Endpoint), firstChange(5), 0)
		g.Expect(p.Calls().Limited).To(BeNumerically(">", 0))
		g.Expect(p.Calls().Puts).To(BeNumerically("<", 12))
	})
}
