package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agateusher/agateusher/transfer"
)

const (
	// readFirst is the time until the first bytes of a whole read, and stall the longest
	// time without progress of any transfer from the store.
	readFirst = 1500 * time.Millisecond
	stall     = time.Second
	// watchMargin is the time beyond the wait of a watch until its first bytes, and
	// minWatchFirst that of a watch that does not wait.
	watchMargin   = 400 * time.Millisecond
	minWatchFirst = 600 * time.Millisecond
	// fetchNotice is how long others are told of a call that has received nothing yet.
	// It is shorter than readFirst, so that a store that is silent to this daemon only
	// does not hold up the others.
	fetchNotice = 400 * time.Millisecond
)

var (
	// errStoreSilent ends a watch while the store does not answer other calls.
	errStoreSilent = errors.New("the store does not answer while a watch waits")
	// errWatchLost is returned for a watch without a response although the store
	// answers other calls: its connection is dead, or it was late behind a transfer.
	errWatchLost = errors.New("a watch was not answered although the store answers other calls")
)

// syncLoop keeps one kind of content up to date: the configuration or the
// servers.
type syncLoop struct {
	follower *Follower
	kind     string
	// large is set if a change brings the whole content.
	large bool
	// sync calls the store once and applies the result.
	sync func(ctx context.Context, l *syncLoop) error
	// confirm records that the store confirmed the content.
	confirm func(at time.Time)
	// age returns the time since the store last confirmed the content.
	age func(now time.Time) time.Duration
	// isRelay is set while this daemon is the relay.
	isRelay bool
	// fullRead is set if the next call has to read the whole content.
	fullRead bool
	// failingSince is when the calls began to fail; zero while they succeed.
	failingSince time.Time
	// failures is the number of consecutive failed calls, counted while backing
	// off.
	failures int

	mu sync.Mutex
	// call is the read or watch in progress; nil without one.
	call *call
}

// call is one read or watch.
type call struct {
	*transfer.Transfer
	startedAt time.Time
	// whole is set for a read of the whole content, waits for a watch that waits for a
	// change.
	whole, waits bool
	// interrupted is why the watch was ended from outside; nil if it was not.
	interrupted error
}

// startRead returns the context of a read of the whole content, and a function to be
// called with its error at its end, which returns the error to report.
func (l *syncLoop) startRead(ctx context.Context) (context.Context, func(error) error) {
	ctx, end := l.start(ctx, readFirst, call{whole: true})
	l.follower.announce()
	return ctx, end
}

// OnEvent sets a function that announces this daemon's state to others. It is called when
// a read of the whole content begins, so that others wait for it, and when the store
// responds again, so that others tell at once whether it was away. It must be set before
// the tasks run.
func (f *Follower) OnEvent(announce func()) { f.announce = announce }

// startWatch is startRead for a watch that waits for the given time.
func (l *syncLoop) startWatch(ctx context.Context, wait time.Duration) (context.Context, func(error) error) {
	return l.start(ctx, max(minWatchFirst, wait+watchMargin), call{waits: wait >= watchWait})
}

func (l *syncLoop) start(ctx context.Context, first time.Duration, c call) (context.Context, func(error) error) {
	c.startedAt = time.Now()
	ctx, c.Transfer = transfer.Start(ctx, transfer.Limit{First: first, Stall: stall}, l.follower.recordReceived)
	l.mu.Lock()
	l.call = &c
	l.mu.Unlock()
	return ctx, func(err error) error { return l.end(&c, err) }
}

// end ends a call and returns the error to report.
func (l *syncLoop) end(c *call, err error) error {
	err = c.End(err)
	l.mu.Lock()
	l.call = nil
	l.mu.Unlock()
	switch {
	case err != nil && c.interrupted != nil:
		return c.interrupted
	case c.waits && errors.Is(err, transfer.ErrStalled) && (l.follower.pingedSince(c.startedAt) || l.follower.receivedSince(c.startedAt)):
		return errWatchLost
	}
	return err
}

// waitsSince reports whether a watch is waiting that began before a time.
func (l *syncLoop) waitsSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.call != nil && l.call.waits && l.call.startedAt.Before(at) && !l.call.Receiving()
}

// interrupt ends the watch that is waiting, unless its response is arriving. The watch
// returns the reason.
func (l *syncLoop) interrupt(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.call != nil && l.call.waits && l.call.Interrupt() {
		l.call.interrupted = reason
	}
}

// fetching reports whether a read of the whole content has begun a moment ago, or a call is
// receiving. A watch that does not wait usually brings nothing, so that it is not
// announced before its response arrives.
func (l *syncLoop) fetching(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.call != nil && (l.call.Receiving() || (l.call.whole && now.Sub(l.call.startedAt) < fetchNotice))
}

// Fetching reports whether this daemon receives content from the store, so that others
// need not call it.
func (f *Follower) Fetching() bool {
	now := time.Now()
	for _, l := range f.loops {
		if l.fetching(now) {
			return true
		}
	}
	return false
}

func (f *Follower) recordReceived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedAt = time.Now()
}

// receivedSince reports whether bytes of the content have arrived since a time.
func (f *Follower) receivedSince(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receivedAt.After(at)
}
