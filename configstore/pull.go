package configstore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/snapshot"
)

// runPull pulls from peers that are ahead. A notice from another data centre
// waits for FarDelay unless this host is a relay; the newest one is kept.
func (f *Follower) runPull(ctx context.Context) error {
	var far notice
	waiting := false
	timer := time.NewTimer(f.options.FarDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-f.notices.Items():
			if n.peer.Local || f.options.IsRelay() {
				f.pull(ctx, n)
				continue
			}
			if !waiting {
				timer.Reset(f.options.FarDelay)
			}
			if !waiting || n.epoch > far.epoch {
				far = n
			}
			waiting = true
		case <-timer.C:
			waiting = false
			f.pull(ctx, far)
		}
	}
}

// behind reports whether the notice is of a newer epoch than this host has.
func (f *Follower) behind(n notice) bool {
	c, _ := f.state.get()
	return n.epoch > c.epoch()
}

// pull brings the follower to the peer's head. A failure is logged and not
// repeated here: the next heartbeat of any peer that is ahead leads to
// another pull.
func (f *Follower) pull(ctx context.Context, n notice) {
	if !f.behind(n) {
		return
	}
	if err := f.pullFrom(ctx, n.peer); err != nil && ctx.Err() == nil {
		f.log("configuration could not be pulled from a peer", &PullError{Peer: n.peer.ID, Err: err})
	}
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
