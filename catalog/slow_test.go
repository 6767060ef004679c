package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/kernel"
)

// Guards against a change that is discarded and read again because it takes longer than
// a fixed time limit, and against a check behind this transfer that ends it or makes the
// daemon hand over the role of relay (review/2).
func TestSlowChangeArrives(t *testing.T) {
	for _, relay := range []int{0, 3} {
		follow(t, relay, func(g *WithT, f *fakeSource, cache *Cache) {
			f.set(func() { f.epoch, f.revision, f.size, f.rate, f.passed = 2, 11, 1<<20, 300<<10, 0 })
			// 1 MiB takes 3.5 s; a daemon other than the relay begins when its content is
			// stale, after 1.7 s.
			time.Sleep(5400 * time.Millisecond)
			g.Expect(cache.View().Epoch()).To(Equal(model.Epoch(2)))
			f.set(func() { g.Expect(f.passed).To(Equal(1)) })
		})
	}
}

// Guards against a first read that is discarded and begun anew for ever on a slow link
// (review/1).
func TestSlowFirstReadArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{epoch: 1, revision: 10, size: 1 << 20, rate: 300 << 10}
		cache := NewCache(nil)
		ctx, cancel := context.WithCancel(t.Context())
		f := NewFollower(cache, source, func() Role { return Role{First: true} }, 0, discardLogger())
		done := make(chan error, 1)
		go func() { done <- kernel.RunTasks(ctx, f.Tasks()...) }()
		defer func() { cancel(); <-done }()
		time.Sleep(2 * time.Second)
		g.Expect(f.Fetching()).To(BeTrue(), "others must know that they need not read")
		g.Expect(f.StoreFailing()).To(BeFalse())
		time.Sleep(1700 * time.Millisecond)
		g.Expect(cache.View().Epoch()).To(Equal(model.Epoch(1)))
		source.set(func() { g.Expect(source.passed).To(Equal(1)) })
	})
}

// Guards against a transfer that stalls midway and is never given up, or whose relay
// does not hand over its role.
func TestStalledTransferEnds(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.epoch, f.revision, f.size, f.rate = 2, 11, 1<<20, 300<<10 })
		time.Sleep(time.Second)
		f.set(func() { f.rate, f.hang = 0, true })
		time.Sleep(1200 * time.Millisecond)
		f.set(func() { g.Expect(f.passing).To(BeZero()); f.rate, f.hang, f.size = 0, false, 0 })
		time.Sleep(time.Second)
		g.Expect(cache.View().Epoch()).To(Equal(model.Epoch(2)))
	})
}
