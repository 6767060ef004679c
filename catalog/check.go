package catalog

import (
	"context"
	"time"
)

const (
	// pingInterval is the interval between checks, while a watch waits, that the
	// store still serves this daemon; a check costs a tenth of a watch. A daemon
	// that the store no longer answers would wait for events that never come.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds one check.
	pingTimeout = 400 * time.Millisecond
)

// checkStore checks at intervals that the store still serves this daemon while a
// watch waits. A success confirms what is watched; a failure ends the watches, unless
// content is arriving: the check may be late behind this daemon's own transfer.
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
		era, err := f.ping(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			f.observeEra(era, eraFromStore)
			if era < f.cache.Era() {
				continue // an answer from before the store came back confirms nothing
			}
			f.recordPing(began)
		}
		if err != nil && f.receivedSince(began) {
			continue
		}
		for _, l := range waiting {
			if err != nil {
				l.interrupt(errStoreSilent)
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

func (f *Follower) ping(ctx context.Context) (Era, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return f.source.Ping(ctx)
}
