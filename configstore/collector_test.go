package configstore_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

// Guards against unused chunks that are not deleted, used chunks that are, and a
// collection that exceeds its call rate.
func TestCollect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		for i := range 9 {
			mustApply(t, s, drain(fmt.Sprint("c", i), i), model.Epoch(i+1))
		}
		c := configstore.NewCollector(s, configstore.CollectorOptions{CallsPerSecond: 2})
		before, start := p.Calls(), time.Now()
		g.Expect(c.Collect(t.Context())).To(Equal(9))
		g.Expect(p.Calls().Gets - before.Gets).To(Equal(int64(10)))
		g.Expect(time.Since(start)).To(BeNumerically(">=", (9+9-1)*500*time.Millisecond))
		keys, err := newAPI(t, p.Endpoint).List(t.Context(), configstore.ChunkPrefix)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(keys).To(HaveLen(2))
		_, err = newStore(t, p.Endpoint).Load(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Collect(t.Context())).To(Equal(0))
	})
}

// Guards against the deletion of a chunk that a concurrent change uses again.
// The changes alternate between two states, so that each needs a chunk that the
// change before it made unused.
func TestCollectWhileChanging(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) { collectWhileChanging(t, seed) })
	}
}

func collectWhileChanging(t *testing.T, seed uint64) {
	g := NewWithT(t)
	p := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	writer := configstore.NewStore(delayedAPI(t, p, seed, 1))
	collector := configstore.NewCollector(configstore.NewStore(delayedAPI(t, p, seed, 2)), configstore.CollectorOptions{CallsPerSecond: 1e6})
	mustApply(t, writer, firstChange(3), 0)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	deleted := 0
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				n, err := collector.Collect(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
				deleted += n
			}
		}
	})
	for i := range 150 {
		c := drain(fmt.Sprint("c", i), 0)
		c.Put.Servers[0].Slots = 2 + i%2
		mustApply(t, writer, c, model.Epoch(i+1))
		loaded, err := newStore(t, p.Endpoint).Load(t.Context())
		g.Expect(err).NotTo(HaveOccurred(), "seed %d, change %d", seed, i)
		g.Expect(loaded.Snapshot.Objects.Servers[0]).To(HaveField("Slots", 2+i%2))
	}
	close(stop)
	wg.Wait()
	g.Expect(deleted).To(BeNumerically(">", 10))
}

// delayedAPI returns an object API whose calls have random delays but no losses.
func delayedAPI(t *testing.T, p *platform.Platform, seed, stream uint64) objectapi.Store {
	net := &faultyTransport{next: p.Transport(), rand: rand.New(rand.NewPCG(seed, stream)), reliable: true}
	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: net})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return api
}
