package configstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// DefaultRemotePullDelay is how long a host that is not a relay waits before
	// it pulls from another data centre. Its own relays usually have the epoch
	// by then, so that traffic between regions does not grow with the number of
	// hosts.
	DefaultRemotePullDelay = time.Second
	// relayPollInterval is how often a host checks whether it has become a relay.
	relayPollInterval = time.Second
	// headTimeout limits the call for a peer's head, so that a hanging peer
	// delays pulls from other peers only briefly. A head of 20 KB takes less
	// than 100 ms between regions (30 ms latency, 30 Mbit/s).
	headTimeout = 500 * time.Millisecond
	// pullTimeout limits a pull of a head and its chunks from one peer.
	pullTimeout = 2 * time.Second
	// peerQueryTimeout limits a call for a peer's epoch or for a chunk that is
	// missing.
	peerQueryTimeout = time.Second
	// maxQueriedPeers limits the peers that a host queries for their epoch when
	// it starts, or for a missing chunk.
	maxQueriedPeers = 5
	// noticeQueueLength limits the queued notices. A full queue drops the oldest
	// notice, because heartbeats repeat the epoch.
	noticeQueueLength = 64
	// minWatchInterval is the minimum time between the starts of two watches if
	// the first returns without a newer head, and the delay after a read that
	// finds no head.
	minWatchInterval = 100 * time.Millisecond
	// minBackoff is the delay after the first failed call to the object API. It
	// doubles with each further failure, up to maxBackoff, within which a relay
	// resumes after an outage.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxConfirmBackoff replaces maxBackoff for reads that confirm the head. It
	// is higher because all hosts that started during an outage make these
	// calls, not only the relays.
	maxConfirmBackoff = 30 * time.Second
)

// AppliedEpoch reports a newly applied epoch. The snapshot's objects have the
// compact form of snapshot.JoinCompact, which leaves out workspaces with default
// settings.
type AppliedEpoch struct {
	Snapshot *snapshot.Snapshot
	// Confirmed has the meaning of Status.Confirmed.
	Confirmed bool
}

// FollowerOptions configures a Follower. Store, Holder and Rand are required.
type FollowerOptions struct {
	Store  *Store
	Holder *snapshot.Holder
	// Rand adds jitter to retries. Only the follower may use it.
	Rand *rand.Rand
	// IsRelay reports whether this host is currently one of the two relays of
	// its data centre. Nil means never.
	IsRelay func() bool
	// Peers returns the live hosts to start from and to read missing chunks
	// from, nearest first. Nil means none.
	Peers func() []Peer
	// OnEpoch is called for each newly applied epoch, in order. It must not
	// block or call the follower.
	OnEpoch func(AppliedEpoch)
	// RemotePullDelay replaces DefaultRemotePullDelay if it is not zero.
	RemotePullDelay time.Duration
	Logger          telemetry.Logger
	// Scope receives the metrics. Nil means none.
	Scope tally.Scope
}

// Follower keeps one host at the newest epoch and serves the configuration to
// other hosts. It implements Source. All methods are safe for concurrent use.
type Follower struct {
	options FollowerOptions
	state   state
	notices *kernel.Ring[notice]
	metrics followerMetrics

	randMu sync.Mutex
}

type followerMetrics struct {
	epoch         tally.Gauge
	pulls         tally.Counter
	pullFailures  tally.Counter
	storeFailures tally.Counter
	replays       tally.Counter
	chunksFetched tally.Counter
	// noticeDepth and noticeDrops are the length of the notice queue and the
	// number of notices dropped from it.
	noticeDepth tally.Gauge
	noticeDrops tally.Gauge
}

// notice is the epoch that a peer reported.
type notice struct {
	peer  Peer
	epoch model.Epoch
	due   time.Time // set by pullQueue
}

var _ Source = (*Follower)(nil)

// NewFollower returns a follower without a configuration.
func NewFollower(o FollowerOptions) *Follower {
	if o.IsRelay == nil {
		o.IsRelay = func() bool { return false }
	}
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	if o.OnEpoch == nil {
		o.OnEpoch = func(AppliedEpoch) {}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.RemotePullDelay = orDefault(o.RemotePullDelay, DefaultRemotePullDelay)
	return &Follower{
		options: o,
		notices: kernel.NewRing[notice]("config-notices", noticeQueueLength, kernel.DropOldest),
		metrics: followerMetrics{
			epoch:         o.Scope.Gauge("config_epoch"),
			pulls:         o.Scope.Counter("config_pulls"),
			pullFailures:  o.Scope.Counter("config_pull_failures"),
			storeFailures: o.Scope.Counter("config_store_failures"),
			replays:       o.Scope.Counter("config_replays"),
			chunksFetched: o.Scope.Counter("config_chunks_fetched"),
			noticeDepth:   o.Scope.Gauge("config_notices_depth"),
			noticeDrops:   o.Scope.Gauge("config_notices_dropped"),
		},
	}
}

// Tasks returns the long-running tasks. One loads the configuration at the
// start and watches the object API while the host is a relay. The other pulls
// from peers.
func (f *Follower) Tasks() []kernel.Task {
	return []kernel.Task{
		{Name: "config-watch", Run: f.runWatch},
		{Name: "config-pull", Run: f.runPull},
	}
}

// Status implements Source.
func (f *Follower) Status(context.Context) (Status, error) {
	c, confirmed := f.state.get()
	if c == nil {
		return Status{}, nil
	}
	return Status{Epoch: c.head.Epoch, ChangeID: c.head.ChangeID, Confirmed: confirmed}, nil
}

// Head implements Source.
func (f *Follower) Head(context.Context) ([]byte, error) {
	c, _ := f.state.get()
	if c == nil {
		return nil, ErrNoConfiguration
	}
	return c.encodedHead, nil
}

// Chunk implements Source.
func (f *Follower) Chunk(_ context.Context, name snapshot.ChunkName) ([]byte, error) {
	p, ok := f.state.chunk(name)
	if !ok {
		return nil, &snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}
	}
	return p.unpack(name)
}

// ObserveEpoch records a peer's epoch from a heartbeat or an epoch notice. If
// the peer is ahead, the follower later pulls from it. The method does not
// block.
func (f *Follower) ObserveEpoch(p Peer, e model.Epoch) {
	if c, _ := f.state.get(); e > c.epoch() {
		f.notices.Put(context.Background(), notice{peer: p, epoch: e})
	}
}

// DroppedNotices returns how many notices were dropped because the queue was
// full.
func (f *Follower) DroppedNotices() uint64 { return f.notices.Dropped() }

// MissingChunks returns the names of the chunks that Deliver needs besides the
// head. There are none if the head is not newer or lists all changes in full.
// Errors are those of Deliver.
func (f *Follower) MissingChunks(head []byte) ([]snapshot.ChunkName, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	if c, _ := f.state.get(); h.Epoch <= c.epoch() {
		return nil, nil
	}
	_, missing, err := f.state.build(head, h, nil)
	return missing, err
}

// Deliver applies a head and chunks that another host has sent, without any
// remote call. If chunks are missing, it changes nothing and returns their
// names. The error is a *HeadError or a *snapshot.ChunkError.
func (f *Follower) Deliver(head []byte, chunks snapshot.Chunks) (missing []snapshot.ChunkName, err error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	if c, _ := f.state.get(); h.Epoch <= c.epoch() {
		return nil, nil
	}
	c, missing, err := f.state.build(head, h, packAll(chunks))
	if err != nil || len(missing) > 0 {
		return missing, err
	}
	f.install(c, false)
	return nil, nil
}

// advance applies a head if its epoch is newer, reading missing chunks through
// get. Confirmed is set if the head was read from the object API.
func (f *Follower) advance(ctx context.Context, encodedHead []byte, confirmed bool, get chunkGetter) error {
	h, err := DecodeHead(encodedHead)
	if err != nil {
		return err
	}
	if c, _ := f.state.get(); h.Epoch <= c.epoch() {
		return nil
	}
	c, missing, err := f.state.build(encodedHead, h, nil)
	if err != nil {
		return err
	}
	if len(missing) == 0 {
		f.metrics.replays.Inc(1)
		f.install(c, confirmed)
		return nil
	}
	fetched := packedChunks{}
	if err := fetchChunks(ctx, fetched, missing, packingGetter(get)); err != nil {
		return err
	}
	f.metrics.chunksFetched.Inc(int64(len(fetched)))
	if c, missing, err = f.state.build(encodedHead, h, fetched); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &snapshot.ChunkError{Name: missing[0], Err: snapshot.ErrChunkMissing}
	}
	f.install(c, confirmed)
	return nil
}

func (f *Follower) install(c *configuration, confirmed bool) {
	f.state.install(c, confirmed, func(confirmed bool) {
		f.options.Holder.Apply(c.snapshot)
		f.metrics.epoch.Update(float64(c.head.Epoch))
		f.options.OnEpoch(AppliedEpoch{Snapshot: c.snapshot, Confirmed: confirmed})
	})
}

// peerChunk reads a chunk from the first of maxQueriedPeers peers that has it.
func (f *Follower) peerChunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	failures := []error{&snapshot.ChunkError{Name: name, Err: snapshot.ErrChunkMissing}}
	peers := f.options.Peers()
	for _, p := range peers[:min(len(peers), maxQueriedPeers)] {
		peerCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
		data, err := verifiedChunk(peerCtx, p.Source, name)
		cancel()
		if err == nil {
			return data, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// jitter returns a random duration between half of d and d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return d/2 + time.Duration(f.options.Rand.Int64N(int64(d/2)+1))
}

func backoff(failures int, limit time.Duration) time.Duration {
	return min(minBackoff<<min(failures, 12), limit)
}

// storeHead reads the head from the object API without retries.
func (f *Follower) storeHead(ctx context.Context) (objectapi.Object, error) {
	return f.options.Store.api.Get(ctx, HeadKey)
}
