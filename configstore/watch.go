package configstore

import (
	"context"
	"errors"
	"time"

	"github.com/agateusher/agateusher/objectapi"
)

// runWatch loads the configuration at the start and then watches the head while
// the host is a relay. A host that is not a relay reads the head only until it
// is confirmed.
func (f *Follower) runWatch(ctx context.Context) error {
	f.bootstrapFromPeers(ctx)
	w := watcher{follower: f}
	w.confirm(ctx)
	for ctx.Err() == nil {
		if _, confirmed := f.state.get(); !confirmed && !f.options.IsRelay() {
			f.bootstrapFromPeers(ctx)
			w.confirm(ctx)
			continue
		}
		if f.options.IsRelay() {
			w.watch(ctx)
			continue
		}
		pause(ctx, relayPollInterval)
	}
	return nil
}

// watcher reads and watches the head in the object API.
type watcher struct {
	follower *Follower
	// seenVersion is the version of the head that the follower is up to date
	// with.
	seenVersion objectapi.Version
	failures    int // consecutive failed reads or watches
}

// watch makes one watch call for a newer version of the head and handles the
// result.
func (w *watcher) watch(ctx context.Context) {
	started := time.Now()
	o, err := w.follower.options.Store.api.Watch(ctx, HeadKey, w.seenVersion)
	w.handleResult(ctx, o, err, maxBackoff)
	if err != nil || o.Value == nil {
		pause(ctx, minWatchInterval-time.Since(started))
	}
}

// confirm reads the head once and handles the result.
func (w *watcher) confirm(ctx context.Context) {
	o, err := w.follower.storeHead(ctx)
	w.handleResult(ctx, o, err, maxConfirmBackoff)
}

// handleResult applies the head that a read or watch returned. After a failure
// it waits for the backoff, which is at most limit.
func (w *watcher) handleResult(ctx context.Context, o objectapi.Object, err error, limit time.Duration) {
	if err == nil && o.Value != nil {
		err = w.applyHead(ctx, o)
	}
	if err == nil || errors.Is(err, objectapi.ErrNotFound) {
		w.failures = 0
		if err != nil {
			w.follower.state.confirm(0)
			pause(ctx, minWatchInterval)
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	w.follower.metrics.storeFailures.Inc(1)
	w.follower.log("failed to read the configuration head from the object API", err)
	pause(ctx, w.follower.jitter(backoff(w.failures, limit)))
	w.failures++
}

// applyHead applies a head that the object API returned and confirms it.
func (w *watcher) applyHead(ctx context.Context, o objectapi.Object) error {
	f := w.follower
	h, err := DecodeHead(o.Value)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	if err := f.advance(ctx, o.Value, true, firstOf(f.options.Store.Chunk, f.peerChunk)); err != nil {
		return err
	}
	f.state.confirm(h.Epoch)
	w.seenVersion = max(w.seenVersion, o.Version)
	return nil
}

func (f *Follower) log(message string, err error) {
	if f.options.Logger != nil {
		f.options.Logger.WithError(err).Warn(message)
	}
}
