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
	// leaves about one chunk behind.
	DefaultCollectInterval = 10 * time.Minute
	// DefaultCollectRate bounds the calls of a collection, in calls a second:
	// 1% of the writes that the object API sustains.
	DefaultCollectRate = 3
	// maxCollected bounds the chunks deleted in one collection.
	maxCollected = 500
)

// CollectorOptions configures a Collector.
type CollectorOptions struct {
	// CallsPerSecond bounds the calls; zero: DefaultCollectRate.
	CallsPerSecond float64
	// Interval is the time between collections; zero: DefaultCollectInterval.
	Interval time.Duration
	// Active says whether this process should collect, for example because it
	// runs on the first relay of the object API's data centre. Two active
	// processes do no harm. Nil: always.
	Active func() bool
	Logger telemetry.Logger
}

// Collector deletes chunks that the head no longer names.
//
// It reads the versions of unused chunks, then rewrites the head with a higher
// fence, and then deletes each chunk only at the version that it read. A
// change that is being applied is based either on a head before the fence, and
// then its head update fails and it starts again; or on a later head, and then
// it creates the chunk anew or raises its version after the collector read it,
// which makes the deletion fail. No clock is involved.
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

// Task collects at every interval. Failures are logged and tried again at the
// next one.
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
		l.WithError(err).Warn("configuration chunks could not be collected")
		return
	}
	l.Info("collected unused configuration chunks")
}

// Collect deletes the chunks that are unused now, at most maxCollected, and
// returns how many. It gives up without an error if the head changes while it
// looks for them. Errors are those of objectapi.Store and *HeadError.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	head, err := c.store.Head(ctx)
	if err != nil || head.Version == 0 {
		return 0, err
	}
	unused, err := c.unused(ctx, head.Head)
	if err != nil || len(unused) == 0 {
		return 0, err
	}
	fenced, err := c.fence(ctx, head)
	if err != nil || !fenced {
		return 0, err
	}
	return c.remove(ctx, unused)
}

// unused returns the chunks that the head does not name, with versions.
func (c *Collector) unused(ctx context.Context, h Head) ([]objectapi.Object, error) {
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
		if used[key] || len(unused) == maxCollected {
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

// fence rewrites the head. False means that it has changed.
func (c *Collector) fence(ctx context.Context, head StoredHead) (bool, error) {
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

func (c *Collector) remove(ctx context.Context, unused []objectapi.Object) (int, error) {
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
