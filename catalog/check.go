package catalog

import (
	"context"
	"errors"
	"time"
)

const (
	// pingInterval is the interval between checks, while a watch waits, that the
	// store still serves this daemon; a check costs a tenth of a watch. A daemon
	// that the store no longer answers would wait for events that never come.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds one check.
	pingTimeout = 400 * time.Millisecond
	// minWatchTimeout bounds the response to a watch that does not wait.
	minWatchTimeout = 400 * time.Millisecond
)

// checkStore checks at intervals that the store still serves this daemon while a
// watch waits. A success confirms what is watched; a failure ends the watches.
func (f *Follower) checkStore(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		began := time.Now()
		var waiting []*syncLoop
		for _, l := range f.loops {
			if l.waitsSince(began) {
				waiting = append(waiting, l)
			}
		}
		if len(waiting) == 0 {
			continue
		}
		err := f.ping(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			f.recordPing(began)
		}
		for _, l := range waiting {
			if err != nil {
				l.interrupt()
			} else if l.waitsSince(began) {
				l.confirm(began)
			}
		}
	}
}

func (f *Follower) recordPing(began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pingedAt = began
}

// pingedSince reports whether the store has answered a check since a time.
func (f *Follower) pingedSince(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pingedAt.After(at)
}

func (f *Follower) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return f.source.Ping(ctx)
}

var (
	// errStoreSilent ends a watch while the store does not answer other calls.
	errStoreSilent = errors.New("the store does not answer while a watch waits")
	// errWatchLost is returned for a watch without a response although the store
	// answers other calls: its connection is dead.
	errWatchLost = errors.New("a watch was not answered although the store answers other calls")
)

// watchContext returns the context of a watch that waits for the given time, and a
// function to be called with the watch's error at its end, which returns the error
// to report.
func (l *syncLoop) watchContext(ctx context.Context, wait time.Duration) (context.Context, func(error) error) {
	ctx, cancel := context.WithTimeout(ctx, max(minWatchTimeout, wait+watchTimeoutMargin))
	l.mu.Lock()
	defer l.mu.Unlock()
	interrupted := false
	l.waitingSince, l.endWatch = time.Now(), func() { interrupted = true; cancel() }
	return ctx, func(err error) error {
		cancel()
		l.mu.Lock()
		defer l.mu.Unlock()
		began := l.waitingSince
		l.waitingSince, l.endWatch = time.Time{}, nil
		switch {
		case err != nil && interrupted:
			return errStoreSilent
		case errors.Is(err, context.DeadlineExceeded) && l.follower.pingedSince(began):
			return errWatchLost
		}
		return err
	}
}

// waitsSince reports whether a watch is waiting that began before a time.
func (l *syncLoop) waitsSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.waitingSince.IsZero() && l.waitingSince.Before(at)
}

// interrupt ends the watch that is waiting.
func (l *syncLoop) interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endWatch != nil {
		l.endWatch()
	}
}
