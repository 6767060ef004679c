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
	// DefaultInterval is the interval between flushes. With it, 44 hosts together
	// write less than once per second. 7,000 hosts need an interval of 5 minutes to
	// stay below 25 writes per second.
	DefaultInterval = time.Minute
	// DefaultWritesPerSecond bounds one host's write rate when many parts changed.
	DefaultWritesPerSecond = 2
	// finalFlushTimeout bounds the last flush, at a planned stop.
	finalFlushTimeout = 5 * time.Second
	// maxPutAttempts bounds the attempts to write a part within one flush.
	maxPutAttempts = 3
	// dayGrace is the delay between the end of a day and its last flush, so that
	// requests which end at midnight are still counted on the day.
	dayGrace = 2 * time.Second
)

// errPartMismatch means that the content of an object does not match its key.
var errPartMismatch = errors.New("the object belongs to another host, incarnation, day or part than its key")

// FlushError reports a part that could not be written. A later flush writes its
// counters.
type FlushError struct {
	// Key is the key of the object.
	Key string
	Err error
}

// Error implements error.
func (e *FlushError) Error() string { return fmt.Sprintf("flush report object %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *FlushError) Unwrap() error { return e.Err }

// FlusherOptions configures a Flusher. Recorder, Store and Log are required.
type FlusherOptions struct {
	Recorder *Recorder
	Store    objectapi.Store
	Log      telemetry.Logger
	// Interval is the interval between flushes; zero means DefaultInterval.
	Interval time.Duration
	// WritesPerSecond bounds the write rate; zero means DefaultWritesPerSecond.
	WritesPerSecond float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Flusher writes a recorder's counters to the object API. Flush must not be
// called concurrently.
type Flusher struct {
	opts     FlusherOptions
	limiter  *rate.Limiter
	versions map[string]objectapi.Version // last known version of each object, by key
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
	return &Flusher{opts: o, limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), 1), versions: map[string]objectapi.Version{}}
}

// Task returns the long-running task that flushes at each interval, and once
// more when the daemon stops.
func (f *Flusher) Task() kernel.Task { return kernel.Task{Name: "report.flush", Run: f.run} }

// run flushes at each interval until ctx ends. The time of the first flush within the
// interval depends on the incarnation, so that hosts which start at the same time do
// not write at the same time.
func (f *Flusher) run(ctx context.Context) error {
	offset := xxhash.Sum64String(string(f.opts.Recorder.opts.Incarnation)) % uint64(f.opts.Interval)
	wait := time.Duration(offset)
	for {
		select {
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
			defer cancel()
			f.logFailure(f.Flush(stop, true))
			return nil
		case <-time.After(wait):
			f.logFailure(f.Flush(ctx, false))
		}
		wait = f.opts.Interval
	}
}

func (f *Flusher) logFailure(err error) {
	if err != nil {
		f.opts.Log.WithField("event", "report_flush_failed").WithError(err).Warn("report counters not written; the next flush retries")
	}
}

// Flush writes all counters recorded so far. If stopping is true, the current day's
// data are marked complete; nothing must be recorded afterwards. The error joins a
// *FlushError for each day that failed. A later call writes what this one did not.
func (f *Flusher) Flush(ctx context.Context, stopping bool) error {
	now := f.opts.Now()
	var failures []error
	for _, day := range f.opts.Recorder.pendingDays(now) {
		_, end := day.Span(f.opts.Recorder.opts.Zone)
		over := !now.Before(end.Add(dayGrace))
		err := f.flushDay(ctx, day, earlier(now, end), over || stopping)
		switch {
		case err != nil:
			failures = append(failures, err)
		case over:
			f.finishDay(day)
		}
	}
	return errors.Join(failures...)
}

// flushDay writes the changed parts of a day. Part 0 is written last, because its
// CoveredUntil is valid for all parts.
func (f *Flusher) flushDay(ctx context.Context, day Day, until time.Time, complete bool) error {
	dirty, total := f.opts.Recorder.dirtyParts(day)
	for _, number := range dirty {
		if err := f.flushPart(ctx, day, number, until, func(*Part) {}); err != nil {
			return err
		}
	}
	return f.flushPart(ctx, day, 0, until, func(p *Part) { p.Parts, p.Complete = total, complete })
}

// flushPart writes one part. It calls finish to complete the part before encoding it.
func (f *Flusher) flushPart(ctx context.Context, day Day, number int, until time.Time, finish func(*Part)) error {
	r := f.opts.Recorder
	key := partKey(day, r.opts.Host, r.opts.Incarnation, number)
	part, change, err := r.encodePart(day, number, until)
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

// put replaces the object. After a conflict or a lost reply it reads the current
// version and replaces that. This loses nothing, because the counters are cumulative
// and no other process writes to the key. An earlier write that takes effect late then
// fails with a conflict.
func (f *Flusher) put(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxPutAttempts {
		if err = f.limiter.Wait(ctx); err != nil {
			return err
		}
		var version objectapi.Version
		version, err = f.opts.Store.Put(ctx, key, value, f.versions[key])
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

// readVersion updates the known version of an object. The error is a *PartError if the
// object is not a part with this key.
func (f *Flusher) readVersion(ctx context.Context, key string) error {
	object, err := f.opts.Store.Get(ctx, key)
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

// finishDay drops the counters and the object versions of a day whose last flush
// succeeded.
func (f *Flusher) finishDay(day Day) {
	f.opts.Recorder.finish(day)
	r := f.opts.Recorder.opts
	for number := 0; ; number++ {
		key := partKey(day, r.Host, r.Incarnation, number)
		if _, ok := f.versions[key]; !ok {
			return
		}
		delete(f.versions, key)
	}
}
