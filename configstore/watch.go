package configstore

import (
	"context"
	"errors"
	"time"

	"github.com/agateusher/agateusher/objectapi"
)

// runWatch starts the host and then watches the head while the host is a
// relay. A host that is not a relay reads the head only until it is confirmed.
func (f *Follower) runWatch(ctx context.Context) error {
	f.startFromPeers(ctx)
	w := watcher{follower: f}
	w.confirm(ctx)
	for ctx.Err() == nil {
		if _, confirmed := f.state.get(); !confirmed && !f.options.IsRelay() {
			f.startFromPeers(ctx)
			w.confirm(ctx)
			continue
		}
		if f.options.IsRelay() {
			w.watch(ctx)
			continue
		}
		pause(ctx, relayPoll)
	}
	return nil
}

// watcher is the state of the calls to the object API.
type watcher struct {
	follower *Follower
	// seen is the version of the head that the follower has caught up with.
	seen     objectapi.Version
	failures int
}

// watch waits for one newer version of the head.
func (w *watcher) watch(ctx context.Context) {
	started := time.Now()
	o, err := w.follower.options.Store.api.Watch(ctx, HeadKey, w.seen)
	w.finish(ctx, o, err, maxBackoff)
	if err != nil || o.Value == nil {
		pause(ctx, minWatchTime-time.Since(started))
	}
}

// confirm reads the head once.
func (w *watcher) confirm(ctx context.Context) {
	o, err := w.follower.storeHead(ctx)
	w.finish(ctx, o, err, maxConfirmBackoff)
}

// finish handles the result of a read or watch and pauses after a failure.
func (w *watcher) finish(ctx context.Context, o objectapi.Object, err error, limit time.Duration) {
	if err == nil && o.Value != nil {
		err = w.accept(ctx, o)
	}
	if err == nil || errors.Is(err, objectapi.ErrNotFound) {
		w.failures = 0
		if err != nil {
			w.follower.state.confirm(0)
			pause(ctx, minWatchTime)
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	w.follower.metrics.storeFailures.Inc(1)
	w.follower.log("the object API did not give the configuration head", err)
	pause(ctx, w.follower.jitter(backoff(w.failures, limit)))
	w.failures++
}

// accept brings the follower to a head that the object API returned.
func (w *watcher) accept(ctx context.Context, o objectapi.Object) error {
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
	w.seen = max(w.seen, o.Version)
	return nil
}

func (f *Follower) log(message string, err error) {
	if f.options.Logger != nil {
		f.options.Logger.WithError(err).Warn(message)
	}
}
