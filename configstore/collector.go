package configstore

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// DefaultCollectInterval is the time between garbage collections. A change
	// leaves about one unused chunk.
	DefaultCollectInterval = 10 * time.Minute
	// DefaultCollectRate limits the calls of a collection, in calls per second.
	// It is 1% of the write rate that the object API sustains.
	DefaultCollectRate = 3
	// maxDeletedChunks limits the chunks deleted in one collection.
	maxDeletedChunks = 500
)

// CollectorOptions configures a Collector.
type CollectorOptions struct {
	// CallsPerSecond limits the calls to the object API. Zero means
	// DefaultCollectRate.
	CallsPerSecond float64
	// Interval is the time between collections. Zero means
	// DefaultCollectInterval.
	Interval time.Duration
	// Active reports whether this process should collect, for example because
	// it runs on the first relay of the object API's data centre. Two
	// processes may safely collect at the same time. Nil means always.
	Active func() bool
	Logger telemetry.Logger
}

// Collector deletes chunks that the head no longer names.
//
// It reads the versions of unused chunks, rewrites the head with a higher
// fence, and then deletes each chunk on condition that it still has the version
// read. A concurrent change that is based on a head before the fence fails at
// its head update and starts again. One that is based on a later head creates
// the chunk again, or raises its version after the collector read it, so that
// the deletion fails. This does not depend on clocks.
type Collector struct {
	store   *Store
	options CollectorOptions
	limiter *rate.Limiter
}

// NewCollector returns a collector for the store.
func NewCollector(s *Store, o CollectorOptions) *Collector {
	o.CallsPerSecond = orDefault(o.CallsPerSecond, DefaultCollectRate)
	o.Interval = orDefault(o.Interval, DefaultCollectInterval)
	if o.Active == nil {
		o.Active = func() bool { return true }
	}
	return &Collector{store: s, options: o, limiter: rate.NewLimiter(rate.Limit(o.CallsPerSecond), 1)}
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Task returns the long-running task that collects at each interval. A failed
// collection is logged and retried at the next interval.
func (c *Collector) Task() kernel.Task {
	return kernel.Task{Name: "config-collect", Run: func(ctx context.Context) error {
		for pause(ctx, c.options.Interval) {
			if !c.options.Active() {
				continue
			}
			deleted, err := c.Collect(ctx)
			c.log(deleted, err)
		}
		return nil
	}}
}

func (c *Collector) log(deleted int, err error) {
	if c.options.Logger == nil {
		return
	}
	l := c.options.Logger.WithField("deleted", deleted)
	if err != nil {
		l.WithError(err).Warn("failed to delete unused configuration chunks")
		return
	}
	l.Info("deleted unused configuration chunks")
}

// Collect deletes the currently unused chunks, at most maxDeletedChunks, and
// returns how many it deleted. If the head changes before the fence is raised,
// it deletes nothing and returns no error. Errors are those of objectapi.Store
// or a *HeadError.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	head, err := c.store.Head(ctx)
	if err != nil || head.Version == 0 {
		return 0, err
	}
	unused, err := c.unusedChunks(ctx, head.Head)
	if err != nil || len(unused) == 0 {
		return 0, err
	}
	fenced, err := c.raiseFence(ctx, head)
	if err != nil || !fenced {
		return 0, err
	}
	return c.deleteChunks(ctx, unused)
}

// unusedChunks returns the keys and versions of up to maxDeletedChunks chunks
// that the head does not name.
func (c *Collector) unusedChunks(ctx context.Context, h Head) ([]objectapi.Object, error) {
	keys, err := c.store.api.List(ctx, ChunkPrefix)
	if err != nil {
		return nil, err
	}
	used := map[string]bool{}
	for _, name := range h.Chunks.Names() {
		used[ChunkKey(name)] = true
	}
	var unused []objectapi.Object
	for _, key := range keys {
		if used[key] || len(unused) == maxDeletedChunks {
			continue
		}
		if err := c.limiter.Wait(ctx); err != nil {
			return nil, err
		}
		o, err := c.store.api.Get(ctx, key)
		if errors.Is(err, objectapi.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		unused = append(unused, objectapi.Object{Key: key, Version: o.Version})
	}
	return unused, nil
}

// raiseFence rewrites the head with a higher fence. It returns false if the
// head has changed.
func (c *Collector) raiseFence(ctx context.Context, head StoredHead) (bool, error) {
	head.Fence++
	data, err := head.encode()
	if err != nil {
		return false, err
	}
	_, err = c.store.api.Put(ctx, HeadKey, data, head.Version)
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// deleteChunks deletes the chunks that still have the given versions and
// returns how many.
func (c *Collector) deleteChunks(ctx context.Context, unused []objectapi.Object) (int, error) {
	deleted := 0
	for _, o := range unused {
		if err := c.limiter.Wait(ctx); err != nil {
			return deleted, err
		}
		err := c.store.api.Delete(ctx, o.Key, o.Version)
		var conflict *objectapi.ConflictError
		if errors.As(err, &conflict) || errors.Is(err, objectapi.ErrNotFound) {
			continue
		}
		if err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
