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

// headFaults wraps a store and spoils updates of the head.
type headFaults struct {
	objectapi.Store
	loseReplies  int // updates that take effect and report a failure
	loseRequests int // updates that report a failure without effect
	before       func()
	after        func()
	puts         int
}

var errLost = &objectapi.UnavailableError{Method: "PUT", Target: configstore.HeadKey, Err: context.DeadlineExceeded}

func (h *headFaults) Put(ctx context.Context, key string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	if key != configstore.HeadKey {
		return h.Store.Put(ctx, key, value, expected)
	}
	h.puts++
	if h.before != nil {
		h.before()
	}
	if h.loseRequests > 0 {
		h.loseRequests--
		return 0, errLost
	}
	v, err := h.Store.Put(ctx, key, value, expected)
	if h.after != nil {
		h.after()
	}
	if h.loseReplies > 0 {
		h.loseReplies--
		return 0, errLost
	}
	return v, err
}

// Guards against a change whose lost reply leads to a second update, to a
// wrong report, or to an endless wait, also when the head is read from a
// lagging reader.
func TestLostReply(t *testing.T) {
	for name, tc := range map[string]struct {
		faults headFaults
		lagMs  int
		puts   int
	}{
		"reply lost":              {headFaults{loseReplies: 1}, 0, 1},
		"request lost":            {headFaults{loseRequests: 1}, 0, 2},
		"both lost":               {headFaults{loseRequests: 1, loseReplies: 1}, 0, 2},
		"reply lost, stale reads": {headFaults{loseReplies: 1}, 1500, 2},
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
				// A lagging reader shows the base, so the update is made again
				// under the same condition, which cannot take effect twice.
				g.Expect(faults.puts).To(Equal(tc.puts))
				head, err := s.Head(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(head.Epoch).To(Equal(model.Epoch(2)))
				g.Expect(head.ChangeID).To(Equal("a"))
			})
		})
	}
}

// Guards against a change that is taken for accepted because another one was,
// after the reply to its update was lost.
func TestLostRequestAndAnotherOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(5), 0)
		faults := &headFaults{Store: newAPI(t, p.Endpoint), loseRequests: 1}
		faults.before = func() {
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

// Guards against outages that are reported as definite when the update may
// have taken effect, or as unknown when it cannot have.
func TestOutageDuringApply(t *testing.T) {
	for _, outage := range []platform.Outage{platform.OutageRefuse, platform.OutageHang} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := platform.New(platform.Options{})
			s := newStore(t, p.Endpoint)
			mustApply(t, s, firstChange(5), 0)

			p.SetFaults(platform.Faults{Outage: outage})
			_, err := s.Apply(t.Context(), drain("a", 1), 1)
			var not *configstore.NotAcceptedError
			g.Expect(errors.As(err, &not)).To(BeTrue())
			g.Expect(err).To(MatchError(objectapi.ErrUnavailable))

			p.SetFaults(platform.Faults{})
			faults := &headFaults{Store: newAPI(t, p.Endpoint), loseReplies: 1}
			faults.after = func() { p.SetFaults(platform.Faults{Outage: outage}) }
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

// Guards against a stale read that is mistaken for a conflict, and against one
// that lets a change pass that is based on an old epoch.
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

// Guards against an ID used for two changes being reported as accepted, and
// against invalid changes that reach the object API.
func TestRefusedChanges(t *testing.T) {
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

// Guards against a change that fails, or is written too fast, because the
// object API limits its rate.
func TestRateLimitedApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{WritesPerSecond: 1})
		mustApply(t, newStore(t, p.Endpoint), firstChange(5), 0)
		g.Expect(p.Calls().Limited).To(BeNumerically(">", 0))
		g.Expect(p.Calls().Puts).To(BeNumerically("<", 12))
	})
}
