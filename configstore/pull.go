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

// maxFailedPeers bounds the peers whose failures are remembered.
const maxFailedPeers = 1024

// pullQueue holds the newest notice of each peer. Peers whose last pulls
// failed come last: in an asymmetric partition a peer can announce an epoch
// again and again that this host cannot get from it, and must not hold up
// those that it can reach.
type pullQueue struct {
	pending  map[model.HostID]notice
	failures map[model.HostID]int
}

// add takes a notice that may be pulled from the time due. A later notice of
// the same peer does not put that off.
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

// next removes and returns the best notice that is due. If there is none, it
// returns the time until the first one, zero if nothing is pending. Notices
// that are not of a newer epoch are dropped.
func (q *pullQueue) next(now time.Time, current model.Epoch) (n notice, ok bool, wait time.Duration) {
	for id, p := range q.pending {
		switch {
		case p.epoch <= current:
			delete(q.pending, id)
		case p.due.After(now):
			if left := p.due.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		case !ok || q.better(p, n):
			n, ok = p, true
		}
	}
	delete(q.pending, n.peer.ID)
	return n, ok, wait
}

// better orders by failures, then by epoch, then near before far.
func (q *pullQueue) better(a, b notice) bool {
	if c := cmp.Compare(q.failures[a.peer.ID], q.failures[b.peer.ID]); c != 0 {
		return c < 0
	}
	if a.epoch != b.epoch {
		return a.epoch > b.epoch
	}
	return a.peer.Local && !b.peer.Local
}

// result records whether a pull succeeded.
func (q *pullQueue) result(id model.HostID, ok bool) {
	if ok {
		delete(q.failures, id)
		return
	}
	if len(q.failures) >= maxFailedPeers {
		clear(q.failures)
	}
	q.failures[id]++
}

// runPull pulls from peers that are ahead. A notice from another data centre
// waits for RemotePullDelay unless this host is a relay.
func (f *Follower) runPull(ctx context.Context) error {
	q := &pullQueue{pending: map[model.HostID]notice{}, failures: map[model.HostID]int{}}
	for ctx.Err() == nil {
		f.collectNotices(q)
		c, _ := f.state.get()
		n, ok, wait := q.next(time.Now(), c.epoch())
		if ok {
			q.result(n.peer.ID, f.pull(ctx, n))
			continue
		}
		f.awaitNotice(ctx, q, wait)
	}
	return nil
}

// collectNotices takes the notices that have arrived, without waiting.
func (f *Follower) collectNotices(q *pullQueue) {
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

// awaitNotice waits for a notice, or for a time if that is not zero.
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

// due returns the time from which a notice may be followed.
func (f *Follower) due(n notice) time.Time {
	if n.peer.Local || f.options.IsRelay() {
		return time.Now()
	}
	return time.Now().Add(f.options.RemotePullDelay)
}

// behind reports whether the notice is of a newer epoch than this host has.
func (f *Follower) behind(n notice) bool {
	c, _ := f.state.get()
	return n.epoch > c.epoch()
}

// pull brings the follower to the peer's head and reports whether that worked.
// A failure is logged and not repeated here: the next heartbeat of any peer
// that is ahead leads to another pull.
func (f *Follower) pull(ctx context.Context, n notice) bool {
	if !f.behind(n) {
		return true
	}
	err := f.pullFrom(ctx, n.peer)
	if err != nil && ctx.Err() == nil {
		f.log("configuration could not be pulled from a peer", &PullError{Peer: n.peer.ID, Err: err})
	}
	return err == nil
}

func (f *Follower) pullFrom(ctx context.Context, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	f.metrics.pulls.Inc(1)
	raw, err := f.headOf(ctx, p)
	if err == nil {
		fromPeer := func(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
			return checkedChunk(ctx, p.Source, name)
		}
		err = f.advance(ctx, raw, false, firstOf(fromPeer, f.peerChunk, f.options.Store.Chunk))
	}
	if err != nil {
		f.metrics.pullFailures.Inc(1)
	}
	return err
}

func (f *Follower) headOf(ctx context.Context, p Peer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	return p.Source.Head(ctx)
}

// startFromPeers asks several peers for their epoch and pulls from the one
// with the highest; if that fails, from the next. It does nothing if no peer
// is ahead.
func (f *Follower) startFromPeers(ctx context.Context) {
	for _, n := range f.askPeers(ctx) {
		if !f.behind(n) {
			return
		}
		f.pull(ctx, n)
	}
}

// askPeers returns what the peers answered within askTimeout, highest epoch
// first, local ones first among equals.
func (f *Follower) askPeers(ctx context.Context) []notice {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := f.options.Peers()
	peers = peers[:min(len(peers), askedPeers)]
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
