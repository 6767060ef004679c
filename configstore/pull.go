package configstore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// maxFailedPeers limits the peers whose failures pullQueue counts.
const maxFailedPeers = 1024

// pullQueue holds the newest notice of each peer. Peers whose last pulls failed
// come last: in an asymmetric partition a peer can repeatedly announce an epoch
// that this host cannot pull from it, and pulls from reachable peers must not
// wait for it.
type pullQueue struct {
	pending  map[model.HostID]notice
	failures map[model.HostID]int // consecutive failed pulls
}

// add queues a notice that may be pulled from the time due on. A later notice
// of the same peer does not postpone the pull.
func (q *pullQueue) add(n notice, due time.Time) {
	n.due = due
	if old, ok := q.pending[n.peer.ID]; ok {
		n.epoch = max(n.epoch, old.epoch)
		if old.due.Before(due) {
			n.due = old.due
		}
	}
	q.pending[n.peer.ID] = n
}

// next removes and returns the notice with the highest priority that is due. If
// none is due, it returns the time until the first one is, or zero if nothing
// is pending. Notices whose epoch is not newer than the current one are
// dropped.
func (q *pullQueue) next(now time.Time, current model.Epoch) (n notice, ok bool, wait time.Duration) {
	for id, p := range q.pending {
		switch {
		case p.epoch <= current:
			delete(q.pending, id)
		case p.due.After(now):
			if left := p.due.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		case !ok || q.hasPriority(p, n):
			n, ok = p, true
		}
	}
	delete(q.pending, n.peer.ID)
	return n, ok, wait
}

// hasPriority reports whether a comes before b: fewer failures first, then the
// higher epoch, then a peer in the same data centre.
func (q *pullQueue) hasPriority(a, b notice) bool {
	if c := cmp.Compare(q.failures[a.peer.ID], q.failures[b.peer.ID]); c != 0 {
		return c < 0
	}
	if a.epoch != b.epoch {
		return a.epoch > b.epoch
	}
	return a.peer.Local && !b.peer.Local
}

// recordResult records whether a pull succeeded.
func (q *pullQueue) recordResult(id model.HostID, ok bool) {
	if ok {
		delete(q.failures, id)
		return
	}
	if len(q.failures) >= maxFailedPeers {
		clear(q.failures)
	}
	q.failures[id]++
}

// runPull pulls from peers that are ahead. A pull from another data centre is
// delayed by RemotePullDelay unless this host is a relay.
func (f *Follower) runPull(ctx context.Context) error {
	q := &pullQueue{pending: map[model.HostID]notice{}, failures: map[model.HostID]int{}}
	for ctx.Err() == nil {
		f.drainNotices(q)
		c, _ := f.state.get()
		n, ok, wait := q.next(time.Now(), c.epoch())
		if ok {
			q.recordResult(n.peer.ID, f.pull(ctx, n))
			continue
		}
		f.awaitNotice(ctx, q, wait)
	}
	return nil
}

// drainNotices moves the notices received so far to q. It does not block.
func (f *Follower) drainNotices(q *pullQueue) {
	f.metrics.noticeDepth.Update(float64(f.notices.Depth()))
	f.metrics.noticeDrops.Update(float64(f.notices.Dropped()))
	for {
		select {
		case n := <-f.notices.Items():
			q.add(n, f.due(n))
		default:
			return
		}
	}
}

// awaitNotice waits for a notice and adds it to q. A wait that is not zero
// limits the time.
func (f *Follower) awaitNotice(ctx context.Context, q *pullQueue, wait time.Duration) {
	var due <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		due = t.C
	}
	select {
	case <-ctx.Done():
	case <-due:
	case n := <-f.notices.Items():
		q.add(n, f.due(n))
	}
}

// due returns the time from which the peer may be pulled from.
func (f *Follower) due(n notice) time.Time {
	if n.peer.Local || f.options.IsRelay() {
		return time.Now()
	}
	return time.Now().Add(f.options.RemotePullDelay)
}

// isNewer reports whether the epoch of the notice is newer than this host's.
func (f *Follower) isNewer(n notice) bool {
	c, _ := f.state.get()
	return n.epoch > c.epoch()
}

// pull applies the peer's configuration and reports whether that succeeded. A
// failure is logged but not retried here, because the next heartbeat of any
// peer that is ahead leads to another pull.
func (f *Follower) pull(ctx context.Context, n notice) bool {
	if !f.isNewer(n) {
		return true
	}
	err := f.pullFrom(ctx, n.peer)
	if err != nil && ctx.Err() == nil {
		f.log("failed to pull the configuration from a peer", &PullError{Peer: n.peer.ID, Err: err})
	}
	return err == nil
}

func (f *Follower) pullFrom(ctx context.Context, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	f.metrics.pulls.Inc(1)
	encodedHead, err := f.peerHead(ctx, p)
	if err == nil {
		fromPeer := func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
			return verifiedChunk(ctx, p.Source, name)
		}
		err = f.advance(ctx, encodedHead, false, firstOf(fromPeer, f.peerChunk, f.options.Store.Chunk))
	}
	if err != nil {
		f.metrics.pullFailures.Inc(1)
	}
	return err
}

func (f *Follower) peerHead(ctx context.Context, p Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	return p.Source.Head(ctx)
}

// bootstrapFromPeers queries several peers for their epoch and pulls from the
// one with the highest. If that fails, it pulls from the next one. It does
// nothing if no peer is ahead.
func (f *Follower) bootstrapFromPeers(ctx context.Context) {
	for _, n := range f.queryPeers(ctx) {
		if !f.isNewer(n) {
			return
		}
		f.pull(ctx, n)
	}
}

// queryPeers returns the epochs that peers reported within peerQueryTimeout,
// highest first. Of peers with equal epochs, those in the same data centre come
// first. A peer that did not answer has epoch zero.
func (f *Follower) queryPeers(ctx context.Context) []notice {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	peers := f.options.Peers()
	peers = peers[:min(len(peers), maxQueriedPeers)]
	answers := make([]notice, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() {
			if s, err := p.Source.Status(ctx); err == nil {
				answers[i] = notice{peer: p, epoch: s.Epoch}
			}
		})
	}
	wg.Wait()
	slices.SortStableFunc(answers, func(a, b notice) int {
		if c := cmp.Compare(b.epoch, a.epoch); c != 0 || a.peer.Local == b.peer.Local {
			return c
		}
		if a.peer.Local {
			return -1
		}
		return 1
	})
	return answers
}
