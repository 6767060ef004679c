package catalog

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/fetch"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/transfer"
)

// fakeSource is a fake store in virtual time.
type fakeSource struct {
	mu       sync.Mutex
	epoch    model.Epoch
	servers  map[string]*Server
	events   []ServerEvent
	revision Revision
	err      error
	hang     bool
	calls    int
	pings    int
	// era is the one that the next answer names.
	era Era
	// size is the size of the configuration in bytes and rate that of the link in
	// bytes per second. While the configuration passes, checks wait behind it.
	size, rate int
	passing    int
	// passed has the number of whole configurations that passed the link.
	passed int
}

// transmit passes a configuration over the slow link.
func (f *fakeSource) transmit(ctx context.Context) error {
	f.mu.Lock()
	size := f.size
	f.passing++
	f.mu.Unlock()
	defer f.set(func() { f.passing-- })
	const chunk = 10 * time.Millisecond
	for sent := 0; sent < size; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(chunk):
		}
		n := 0
		f.set(func() { n = f.rate / int(time.Second/chunk) })
		sent += n
		transfer.Progress(ctx, n)
	}
	f.set(func() { f.passed++ })
	return nil
}

var errDown = errors.New("down")

func (f *fakeSource) call(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	hang, err := f.hang, f.err
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (f *fakeSource) Config(ctx context.Context) (*Config, Revision, error) {
	if err := f.call(ctx); err != nil {
		return nil, 0, err
	}
	if err := f.transmit(ctx); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.epoch == 0 {
		return nil, f.revision, nil
	}
	return &Config{Epoch: f.epoch}, f.revision, nil
}

func (f *fakeSource) WatchConfig(ctx context.Context, after Revision, wait time.Duration) (*Config, Revision, error) {
	if err := f.call(ctx); err != nil {
		return nil, 0, err
	}
	if err := f.await(ctx, wait, func() bool { return f.revision > after }); err != nil {
		return nil, 0, err
	}
	changed := false
	f.set(func() { changed = f.revision > after })
	if changed {
		if err := f.transmit(ctx); err != nil {
			return nil, 0, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Config{Epoch: f.epoch}, f.revision, nil
}

// await waits until a condition holds, as a watch does. A silent store holds up the
// response, a failing one ends the watch.
func (f *fakeSource) await(ctx context.Context, wait time.Duration, condition func() bool) error {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		hang, err, met := f.hang, f.err, condition()
		f.mu.Unlock()
		switch {
		case hang:
			<-ctx.Done()
			return ctx.Err()
		case err != nil:
			return err
		case met || !time.Now().Before(end):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

func (f *fakeSource) Servers(ctx context.Context) (map[string]*Server, Revision, error) {
	if err := f.call(ctx); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.servers), f.revision, nil
}

func (f *fakeSource) WatchServers(ctx context.Context, after Revision, wait time.Duration) ([]ServerEvent, Revision, error) {
	if err := f.call(ctx); err != nil {
		return nil, 0, err
	}
	if err := f.await(ctx, wait, func() bool { return len(f.events) > 0 }); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.events
	f.events = nil
	return events, f.revision, nil
}

func (f *fakeSource) Ping(ctx context.Context) (Era, error) {
	f.mu.Lock()
	f.pings++
	era := f.era
	hang, err := f.hang || f.passing > 0 && f.size > 0, f.err
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if errors.Is(err, ErrHistoryGone) {
		return era, nil
	}
	return era, err
}

// Era implements Source.
func (f *fakeSource) Era() (era Era) {
	f.set(func() { era = f.era })
	return era
}

func (f *fakeSource) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// set runs change under the fake's lock.
func (f *fakeSource) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// follow runs a follower of the given rank in virtual time.
func follow(t *testing.T, rank int, test func(g *WithT, f *fakeSource, cache *Cache)) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{epoch: 1, revision: 10, servers: map[string]*Server{"i-1": {ID: "i-1"}, "i-2": {ID: "i-2"}}}
		cache := NewCache(nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- kernel.RunTasks(ctx, NewFollower(cache, source, func() Role { return Role{Rank: rank, Relay: rank == 0, First: true, Listed: fetch.Unlisted} }, 0, discardLogger()).Tasks()...)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(100 * time.Millisecond)
		test(NewWithT(t), source, cache)
	})
}

func serverNames(cache *Cache) []string {
	var out []string
	for _, s := range cache.View().Servers {
		out = append(out, string(s.ID))
	}
	return out
}

// Guards against all hosts that start before the first configuration is written taking
// the role of relay, because each has read the store and knows no other host yet.
func TestReadOfAnEmptyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{revision: 10}
		f := NewFollower(NewCache(nil), source, func() Role { return Role{First: true, Listed: fetch.Unlisted} }, 0, discardLogger())
		g.Expect(f.syncConfig(t.Context(), f.loops[0])).To(Succeed())
		g.Expect(f.HasRead()).To(BeFalse())
		source.set(func() { source.epoch = 1 })
		f.loops[0].fullRead = true
		g.Expect(f.syncConfig(t.Context(), f.loops[0])).To(Succeed())
		g.Expect(f.HasRead()).To(BeTrue())
	})
}
