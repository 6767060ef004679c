package report

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// DefaultInterval is the time between flushes. 44 hosts then write less
	// than once a second together. At 7,000 hosts an interval of 5m keeps them
	// below 25 writes a second.
	DefaultInterval = time.Minute
	// DefaultWritesPerSecond bounds one host's writes while many parts changed.
	DefaultWritesPerSecond = 2
	// stopTimeout bounds the last flush of a planned stop.
	stopTimeout = 5 * time.Second
	// putAttempts bounds the attempts to write one part in one flush.
	putAttempts = 3
	// dayGrace is how long after its end a day is finished, so that requests
	// which end at midnight are counted before.
	dayGrace = 2 * time.Second
)

// errForeignPart: the object at a key belongs to something else.
var errForeignPart = errors.New("the object belongs to another host, incarnation, day or part")

// FlushError says which part could not be written. Its counts are written by a
// later flush.
type FlushError struct {
	Key string
	Err error
}

// Error implements error.
func (e *FlushError) Error() string { return fmt.Sprintf("flush report object %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *FlushError) Unwrap() error { return e.Err }

// FlusherOptions configures a Flusher. Recorder, Store and Log are needed.
type FlusherOptions struct {
	Recorder *Recorder
	Store    objectapi.Store
	Log      telemetry.Logger
	// Interval is the time between flushes; zero: DefaultInterval.
	Interval time.Duration
	// WritesPerSecond bounds the writes; zero: DefaultWritesPerSecond.
	WritesPerSecond float64
	// Now is the clock; nil: time.Now.
	Now func() time.Time
}

// Flusher writes a recorder's counters to the object API. Flush must not be
// called concurrently.
type Flusher struct {
	o        FlusherOptions
	limiter  *rate.Limiter
	versions map[string]objectapi.Version
}

// NewFlusher returns a flusher.
func NewFlusher(o FlusherOptions) *Flusher {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Flusher{o: o, limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), 1), versions: map[string]objectapi.Version{}}
}

// Task returns the long-running task that flushes at each interval, and once
// more when the daemon stops.
func (f *Flusher) Task() kernel.Task { return kernel.Task{Name: "report.flush", Run: f.run} }

// run starts at a moment within the interval that depends on the incarnation,
// so that hosts started together do not write together.
func (f *Flusher) run(ctx context.Context) error {
	offset := xxhash.Sum64String(string(f.o.Recorder.o.Incarnation)) % uint64(f.o.Interval)
	wait := time.Duration(offset)
	for {
		select {
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			defer cancel()
			f.log(f.Flush(stop, true))
			return nil
		case <-time.After(wait):
			f.log(f.Flush(ctx, false))
		}
		wait = f.o.Interval
	}
}

func (f *Flusher) log(err error) {
	if err != nil {
		f.o.Log.WithField("event", "report_flush_failed").WithError(err).Warn("report counters stay in memory until the next flush")
	}
}

// Flush writes everything counted so far. With stopping, nothing is counted
// afterwards and the current day's data are marked complete. The error joins a
// *FlushError for each day that failed; a later call writes what this one did not.
func (f *Flusher) Flush(ctx context.Context, stopping bool) error {
	now := f.o.Now()
	var failures []error
	for _, day := range f.o.Recorder.pending(now) {
		_, end := day.Span(f.o.Recorder.o.Zone)
		over := !now.Before(end.Add(dayGrace))
		err := f.flushDay(ctx, day, earlier(now, end), over || stopping)
		switch {
		case err != nil:
			failures = append(failures, err)
		case over:
			f.forget(day)
		}
	}
	return errors.Join(failures...)
}

// flushDay writes part 0 last: its CoveredUntil speaks for all parts.
func (f *Flusher) flushDay(ctx context.Context, day Day, until time.Time, complete bool) error {
	dirty, total := f.o.Recorder.dirtyParts(day)
	for _, number := range dirty {
		if err := f.flushPart(ctx, day, number, until, func(*Part) {}); err != nil {
			return err
		}
	}
	return f.flushPart(ctx, day, 0, until, func(p *Part) { p.Parts, p.Complete = total, complete })
}

func (f *Flusher) flushPart(ctx context.Context, day Day, number int, until time.Time, finish func(*Part)) error {
	r := f.o.Recorder
	key := partKey(day, r.o.Host, r.o.Incarnation, number)
	part, change, err := r.part(day, number, until)
	if err != nil {
		return &FlushError{Key: key, Err: err}
	}
	finish(&part)
	value, err := json.Marshal(part)
	if err != nil {
		return &FlushError{Key: key, Err: err}
	}
	if err := f.put(ctx, key, value); err != nil {
		return &FlushError{Key: key, Err: err}
	}
	r.markWritten(day, number, change)
	return nil
}

// put replaces the object. The counters are totals and no one else writes to
// the key, so that after a conflict or a lost reply the current version is read
// and replaced; an earlier write that takes effect late then conflicts.
func (f *Flusher) put(ctx context.Context, key string, value []byte) error {
	var err error
	for range putAttempts {
		if err = f.limiter.Wait(ctx); err != nil {
			return err
		}
		var version objectapi.Version
		version, err = f.o.Store.Put(ctx, key, value, f.versions[key])
		if err == nil {
			f.versions[key] = version
			return nil
		}
		if readErr := f.readVersion(ctx, key); readErr != nil {
			return errors.Join(err, readErr)
		}
	}
	return err
}

func (f *Flusher) readVersion(ctx context.Context, key string) error {
	object, err := f.o.Store.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		f.versions[key] = 0
		return nil
	}
	if err != nil {
		return err
	}
	if _, err := decodePart(key, object.Value); err != nil {
		return err
	}
	f.versions[key] = object.Version
	return nil
}

func (f *Flusher) forget(day Day) {
	f.o.Recorder.finish(day)
	r := f.o.Recorder.o
	for number := 0; ; number++ {
		key := partKey(day, r.Host, r.Incarnation, number)
		if _, ok := f.versions[key]; !ok {
			return
		}
		delete(f.versions, key)
	}
}
